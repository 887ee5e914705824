package kv

// Messages of the etcd v3 JSON gateway, limited to the fields that the simulation supports.
type (
	header struct {
		Revision int64 `json:"revision,string"`
	}

	keyValue struct {
		Key         []byte `json:"key"`
		Value       []byte `json:"value,omitempty"`
		ModRevision int64  `json:"mod_revision,string"`
	}

	rangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
		Limit    int64  `json:"limit,string"`
	}

	rangeResponse struct {
		Header header     `json:"header"`
		Kvs    []keyValue `json:"kvs,omitempty"`
		More   bool       `json:"more,omitempty"`
	}

	putRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string"`
	}

	operation struct {
		Range  *rangeRequest `json:"request_range"`
		Put    *putRequest   `json:"request_put"`
		Delete *struct {
			Key []byte `json:"key"`
		} `json:"request_delete_range"`
	}

	txnRequest struct {
		Compare []struct {
			Key         []byte `json:"key"`
			ModRevision int64  `json:"mod_revision,string"`
		} `json:"compare"`
		Success []operation `json:"success"`
		Failure []operation `json:"failure"`
	}

	response struct {
		Range *rangeResponse `json:"response_range,omitempty"`
	}

	txnResponse struct {
		Header    header     `json:"header"`
		Succeeded bool       `json:"succeeded"`
		Responses []response `json:"responses,omitempty"`
	}

	leaseMessage struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}

	watchCreate struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	}

	watchRequest struct {
		Create watchCreate `json:"create_request"`
	}

	watchEvent struct {
		Type string   `json:"type"`
		Kv   keyValue `json:"kv"`
	}

	watchMessage struct {
		Result struct {
			Events []watchEvent `json:"events"`
		} `json:"result"`
	}
)
