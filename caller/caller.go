package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/response"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	addressLookupTimeout  = 2 * time.Second
	maxCachedChats        = 10_000
	maxResponseBytes      = 16 << 20
	maxIdleConnsPerRouter = 512
	retryDelay            = 50 * time.Millisecond
	maxAttempts           = 8
)

type (
	// Client sends the requests of one organisation. It is safe for concurrent use.
	Client struct {
		key          string
		seeds        []string
		http         *http.Client
		addressCache *lru.Cache[string, cachedAddresses]
	}

	// Error is an error response of a router.
	Error struct {
		Status  int
		Code    wire.Code
		Message string
		Outcome wire.Outcome
		// RetryAfter is the value of the Retry-After header, in whole seconds; it is empty if the header is missing.
		RetryAfter string
	}

	// Call is a request to a service other than a model engine.
	Call struct {
		Service ident.Service
		Method  string
		Path    string
		// Key is the idempotency key; non-idempotent calls require one.
		Key  string
		Body []byte
	}

	// Response is the response of a service.
	Response struct {
		Status int
		Body   []byte
	}

	cachedAddresses struct {
		urls    []string
		expires time.Time
	}
)

// Error returns the status, code, outcome and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Status, e.Code, e.Outcome, e.Message)
}

// New returns a client that authenticates with an organisation's API key. Seeds are the URLs of some routers, as "http://IP:port".
func New(seeds []string, key string) *Client {
	cache, err := lru.New[string, cachedAddresses](maxCachedChats)
	if err != nil {
		panic(errors.Wrap(err, "create cache"))
	}
	transport := response.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerRouter, DisableCompression: true})
	return &Client{key: key, seeds: seeds, http: &http.Client{Transport: transport}, addressCache: cache}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a call to a service and fails over to other routers. It returns an *Error, or the connection error of the last attempt.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	var last error
	for attempt := range maxAttempts {
		address := c.routerForAttempt(ctx, "", "", attempt)
		resp, err := c.doOnce(ctx, address, call)
		if err == nil || !isRetryable(err) || ctx.Err() != nil {
			return resp, err
		}
		last = err
		pause.For(ctx, retryDelay)
	}
	return Response{}, last
}

// NewIdempotencyKey requests an idempotency key from a router. A call with this key needs no write to the store, but must
// reach the same router.
func (c *Client) NewIdempotencyKey(ctx context.Context) (string, error) {
	req, err := c.newRequest(ctx, http.MethodPost, c.routerForAttempt(ctx, "", "", 0)+"/v1/keys", nil)
	if err != nil {
		return "", err
	}
	var body struct {
		Key string `json:"key"`
	}
	return body.Key, c.doJSON(req, &body)
}

func (c *Client) doOnce(ctx context.Context, address string, call Call) (Response, error) {
	req, err := c.newRequest(ctx, call.Method, address+"/v1/services/"+string(call.Service)+call.Path, call.Body)
	if err != nil {
		return Response{}, err
	}
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, errors.Wrap(err, "call service")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := sizelimit.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return Response{}, errors.Wrap(err, "read response")
	}
	if e := responseError(resp, body); e != nil {
		return Response{}, e
	}
	return Response{Status: resp.StatusCode, Body: body}, nil
}

// routerForAttempt returns the router URL for an attempt, counted from 0. After all known routers have been tried, it drops
// the cached addresses and uses the seeds.
func (c *Client) routerForAttempt(ctx context.Context, chat ident.Chat, model ident.Model, attempt int) string {
	urls := c.routersFor(ctx, chat, model)
	if attempt >= len(urls) {
		c.addressCache.Remove(string(chat))
		urls = c.seeds
	}
	return urls[attempt%len(urls)]
}

// routersFor returns the URLs of the routers for a chat from the cache or from a router, or the seeds if no router answers.
func (c *Client) routersFor(ctx context.Context, chat ident.Chat, model ident.Model) []string {
	if a, ok := c.addressCache.Get(string(chat)); ok && time.Now().Before(a.expires) {
		return a.urls
	}
	query := url.Values{"chat": {string(chat)}, "model": {string(model)}}.Encode()
	for _, seed := range c.seeds {
		lookupCtx, cancel := context.WithTimeout(ctx, addressLookupTimeout)
		a, err := c.lookupAddresses(lookupCtx, seed+"/v1/addresses?"+query)
		cancel()
		if err == nil && len(a.urls) > 0 {
			c.addressCache.Add(string(chat), a)
			return a.urls
		}
	}
	return c.seeds
}

func (c *Client) lookupAddresses(ctx context.Context, addressesURL string) (cachedAddresses, error) {
	req, err := c.newRequest(ctx, http.MethodGet, addressesURL, nil)
	if err != nil {
		return cachedAddresses{}, err
	}
	var body struct {
		Addresses []string `json:"addresses"`
		ValidMs   int64    `json:"validMs"`
	}
	if err := c.doJSON(req, &body); err != nil {
		return cachedAddresses{}, err
	}
	return cachedAddresses{urls: body.Addresses, expires: time.Now().Add(time.Duration(body.ValidMs) * time.Millisecond)}, nil
}

func (c *Client) newRequest(ctx context.Context, method, requestURL string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (c *Client) doJSON(req *http.Request, v any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call router")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := sizelimit.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if e := responseError(resp, body); e != nil {
		return e
	}
	return errors.Wrap(json.Unmarshal(body, v), "decode response")
}

// responseError returns the router's error as an *Error, or nil if the response is not an error of a router.
func responseError(resp *http.Response, body []byte) error {
	if resp.StatusCode < http.StatusBadRequest {
		return nil
	}
	e := parseError(body)
	if e == nil {
		return nil
	}
	e.Status = resp.StatusCode
	e.RetryAfter = resp.Header.Get("Retry-After")
	return e
}

// parseError parses the error body of a router and returns nil for any other body.
func parseError(body []byte) *Error {
	var b struct {
		Error *struct {
			Message string       `json:"message"`
			Code    wire.Code    `json:"code"`
			Outcome wire.Outcome `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &b) != nil || b.Error == nil || b.Error.Outcome == "" {
		return nil
	}
	return &Error{Code: b.Error.Code, Message: b.Error.Message, Outcome: b.Error.Outcome}
}

// isRetryable reports whether to retry at another router: after a connection error, or if the router is not ready or is
// shutting down.
func isRetryable(err error) bool {
	var routerErr *Error
	if errors.As(err, &routerErr) {
		return routerErr.Code == wire.CodeNotReady || routerErr.Code == wire.CodeLeaving
	}
	return true
}
