package gateway

import (
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/store"
)

// Messages of the etcd v3 JSON gateway, which encodes 64-bit integers as strings and bytes as base64.
type (
	header struct {
		Revision int64 `json:"revision,string"`
	}

	keyValue struct {
		Key         []byte `json:"key"`
		Value       []byte `json:"value"`
		ModRevision int64  `json:"mod_revision,string"`
	}

	rangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
		Limit    int64  `json:"limit,string,omitempty"`
		Revision int64  `json:"revision,string,omitempty"`
	}

	rangeResponse struct {
		Header header     `json:"header"`
		Kvs    []keyValue `json:"kvs"`
		More   bool       `json:"more"`
	}

	compare struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision int64  `json:"mod_revision,string"`
	}

	putRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string,omitempty"`
	}

	deleteRequest struct {
		Key []byte `json:"key"`
	}

	operation struct {
		Range  *rangeRequest  `json:"request_range,omitempty"`
		Put    *putRequest    `json:"request_put,omitempty"`
		Delete *deleteRequest `json:"request_delete_range,omitempty"`
	}

	txnRequest struct {
		Compare []compare   `json:"compare,omitempty"`
		Success []operation `json:"success,omitempty"`
		Failure []operation `json:"failure,omitempty"`
	}

	txnResponse struct {
		Header    header `json:"header"`
		Succeeded bool   `json:"succeeded"`
		Responses []struct {
			Range *rangeResponse `json:"response_range"`
		} `json:"responses"`
	}

	leaseRequest struct {
		TTL int64 `json:"TTL,string,omitempty"`
		ID  int64 `json:"ID,string,omitempty"`
	}

	leaseResponse struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}

	watchCreate struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string,omitempty"`
	}

	watchRequest struct {
		Create watchCreate `json:"create_request"`
	}

	watchMessage struct {
		Result struct {
			Canceled bool `json:"canceled"`
			Events   []struct {
				Type string   `json:"type"`
				Kv   keyValue `json:"kv"`
			} `json:"events"`
		} `json:"result"`
	}
)

func (kv keyValue) entry() store.Entry {
	return store.Entry{Key: string(kv.Key), Value: kv.Value, Revision: ident.Revision(kv.ModRevision)}
}

func (m watchMessage) changes() []store.Change {
	var list []store.Change
	for _, e := range m.Result.Events {
		list = append(list, store.Change{Entry: e.Kv.entry(), Deleted: e.Type == "DELETE"})
	}
	return list
}
