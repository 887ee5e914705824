package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/response"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/store"
)

const (
	callTimeout    = 2 * time.Second
	maxAnswerBytes = 64 << 20
	pageEntries    = 1000
	maxTxnOps      = 100
)

// Client is a store.Store over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ store.Store = (*Client)(nil)

// New returns a Client of the store at address, an IP address with a port.
func New(address string) *Client {
	transport := response.NewTransport(&http.Transport{
		DialContext: engine.Dial, MaxIdleConnsPerHost: 16, DisableCompression: true, MaxResponseHeaderBytes: sizelimit.MaxHeadBytes,
	})
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// List reads the entries under a prefix page by page, all at the same revision, and returns that revision.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, ident.Revision, error) {
	var all []store.Entry
	var revision ident.Revision
	start := prefix
	for {
		req := rangeRequest{Key: []byte(start), RangeEnd: prefixEnd(prefix), Limit: pageEntries, Revision: int64(revision)}
		var resp rangeResponse
		if err := c.call(ctx, "/v3/kv/range", req, &resp); err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = ident.Revision(resp.Header.Revision)
		}
		for _, kv := range resp.Kvs {
			all = append(all, kv.entry())
		}
		if !resp.More || len(resp.Kvs) == 0 {
			return all, revision, nil
		}
		start = string(resp.Kvs[len(resp.Kvs)-1].Key) + "\x00"
	}
}

// Get reads one entry. For a missing key it returns an entry with revision 0.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	var resp rangeResponse
	if err := c.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &resp); err != nil {
		return store.Entry{}, err
	}
	if len(resp.Kvs) == 0 {
		return store.Entry{Key: key}, nil
	}
	return resp.Kvs[0].entry(), nil
}

// Commit runs a transaction of at most 100 conditions and 100 puts. If a condition fails, the result holds the entries found instead.
func (c *Client) Commit(ctx context.Context, t store.Txn) (store.Result, error) {
	var req txnRequest
	for _, cond := range t.Conditions {
		req.Compare = append(req.Compare, compare{Key: []byte(cond.Key), Target: "MOD", Result: "EQUAL", ModRevision: int64(cond.Revision)})
		req.Failure = append(req.Failure, operation{Range: &rangeRequest{Key: []byte(cond.Key)}})
	}
	for _, p := range t.Puts {
		if p.Delete {
			req.Success = append(req.Success, operation{Delete: &deleteRequest{Key: []byte(p.Key)}})
			continue
		}
		req.Success = append(req.Success, operation{Put: &putRequest{Key: []byte(p.Key), Value: p.Value, Lease: int64(p.Lease)}})
	}
	if len(req.Success) > maxTxnOps || len(req.Compare) > maxTxnOps {
		return store.Result{}, errors.Errorf("transaction of more than %d operations", maxTxnOps)
	}
	var resp txnResponse
	if err := c.call(ctx, "/v3/kv/txn", req, &resp); err != nil {
		return store.Result{}, err
	}
	result := store.Result{Succeeded: resp.Succeeded, Revision: ident.Revision(resp.Header.Revision)}
	for _, r := range resp.Responses {
		if r.Range == nil {
			continue
		}
		for _, kv := range r.Range.Kvs {
			result.Found = append(result.Found, kv.entry())
		}
	}
	return result, nil
}

// Grant creates a lease. ttl is rounded down to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	var resp leaseResponse
	if err := c.call(ctx, "/v3/lease/grant", leaseRequest{TTL: int64(ttl / time.Second)}, &resp); err != nil {
		return 0, err
	}
	return store.Lease(resp.ID), nil
}

// KeepAlive renews a lease. It fails with store.ErrLeaseLost if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, id store.Lease) error {
	var resp struct {
		Result leaseResponse `json:"result"`
	}
	if err := c.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: int64(id)}, &resp); err != nil {
		return err
	}
	if resp.Result.TTL <= 0 {
		return store.ErrLeaseLost
	}
	return nil
}

// Watch passes the changes under a prefix since the revision from to changes, in the order of their revisions. It returns only on an
// error.
func (c *Client) Watch(ctx context.Context, prefix string, from ident.Revision, changes func([]store.Change)) error {
	req := watchRequest{Create: watchCreate{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: int64(from)}}
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode watch")
	}
	resp, err := c.post(ctx, "/v3/watch", body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	messages := json.NewDecoder(resp.Body)
	for {
		var m watchMessage
		if err := messages.Decode(&m); err != nil {
			return &store.UnavailableError{Cause: errors.Wrap(err, "watch")}
		}
		if m.Result.Canceled {
			return &store.UnavailableError{Cause: errors.New("watch cancelled by the store")}
		}
		if list := m.changes(); len(list) > 0 {
			changes(list)
		}
	}
}

func (c *Client) call(ctx context.Context, path string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	answer, err := c.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(resp); err != nil {
		return &store.OutcomeUnknownError{Cause: err}
	}
	return nil
}

// post sends a call. It clears GetBody so that the transport can't send a transaction twice.
func (c *Client) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		var dial *engine.DialError
		if errors.As(err, &dial) {
			return nil, &store.UnavailableError{Cause: dial}
		}
		return nil, &store.OutcomeUnknownError{Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		err := errors.Errorf("store answered %s", resp.Status)
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			return nil, &store.UnavailableError{Cause: err}
		}
		return nil, &store.OutcomeUnknownError{Cause: err}
	}
	return resp, nil
}

func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}
