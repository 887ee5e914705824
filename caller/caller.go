package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
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
	// Client sends requests of one organisation.
	Client struct {
		key          string
		seeds        []string
		http         *http.Client
		addressCache *lru.Cache[string, cachedAddresses]
	}

	// Error is a refusal or failure as the router tells it.
	Error struct {
		Status  int
		Code    wire.Code
		Message string
		Outcome wire.Outcome
		// RetryAfter is in whole seconds, as in the header.
		RetryAfter string
	}

	// Call is one call of a plain service.
	Call struct {
		Service ident.Service
		Method  string
		Path    string
		// Key is the idempotency key, needed where the call may not repeat.
		Key  string
		Body []byte
	}

	// Response is the answer of a plain service.
	Response struct {
		Status int
		Body   []byte
	}

	cachedAddresses struct {
		urls    []string
		expires time.Time
	}
)

// Error names status, code and outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Status, e.Code, e.Outcome, e.Message)
}

// New returns a client that knows some routers, as "http://IP:port", and an organisation's key.
func New(seeds []string, key string) *Client {
	known, err := lru.New[string, cachedAddresses](maxCachedChats)
	if err != nil {
		panic(errors.Wrap(err, "create cache"))
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerRouter, DisableCompression: true}
	return &Client{key: key, seeds: seeds, http: &http.Client{Transport: transport}, addressCache: known}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do calls a plain service, at the next router where one fails; it fails with *Error or the last connection's error.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	var last error
	for try := range maxAttempts {
		address := c.routerForAttempt(ctx, "", "", try)
		answer, err := c.doOnce(ctx, address, call)
		if err == nil || !isRetryable(err) || ctx.Err() != nil {
			return answer, err
		}
		last = err
		pause.For(ctx, retryDelay)
	}
	return Response{}, last
}

// NewIdempotencyKey obtains an idempotency key that one router runs without the store; the call must reach that router.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Response{}, errors.Wrap(err, "read answer")
	}
	if e := responseError(resp, body); e != nil {
		return Response{}, e
	}
	return Response{Status: resp.StatusCode, Body: body}, nil
}

// routerForAttempt returns the router to use for a chat at the n-th try.
func (c *Client) routerForAttempt(ctx context.Context, chat ident.Chat, model ident.Model, try int) string {
	list := c.routersFor(ctx, chat, model)
	if try >= len(list) {
		c.addressCache.Remove(string(chat))
		list = c.seeds
	}
	return list[try%len(list)]
}

// routersFor returns the routers that the system names, kept for as long as it says.
func (c *Client) routersFor(ctx context.Context, chat ident.Chat, model ident.Model) []string {
	if a, ok := c.addressCache.Get(string(chat)); ok && time.Now().Before(a.expires) {
		return a.urls
	}
	query := url.Values{"chat": {string(chat)}, "model": {string(model)}}.Encode()
	for _, seed := range c.seeds {
		askCtx, cancel := context.WithTimeout(ctx, addressLookupTimeout)
		a, err := c.lookupAddresses(askCtx, seed+"/v1/addresses?"+query)
		cancel()
		if err == nil && len(a.urls) > 0 {
			c.addressCache.Add(string(chat), a)
			return a.urls
		}
	}
	return c.seeds
}

func (c *Client) lookupAddresses(ctx context.Context, at string) (cachedAddresses, error) {
	req, err := c.newRequest(ctx, http.MethodGet, at, nil)
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

func (c *Client) newRequest(ctx context.Context, method, at string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, at, bytes.NewReader(body))
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if e := responseError(resp, body); e != nil {
		return e
	}
	return errors.Wrap(json.Unmarshal(body, v), "decode answer")
}

// responseError returns the router's error, or nil where the answer is none.
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

// parseError reads an error body of a router, or returns nil for anything else.
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

// isRetryable reports whether another router may have a better answer: a lost connection, or a router that is not ready.
func isRetryable(err error) bool {
	var told *Error
	if errors.As(err, &told) {
		return told.Code == wire.CodeNotReady || told.Code == wire.CodeLeaving
	}
	return true
}
