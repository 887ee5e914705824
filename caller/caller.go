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
	addressTimeout  = 2 * time.Second
	rememberedChats = 10_000
	maxAnswerBytes  = 16 << 20
	idleConnections = 512
	retryPause      = 50 * time.Millisecond
	maxTries        = 8
)

type (
	// Client sends requests of one organisation.
	Client struct {
		key   string
		seeds []string
		http  *http.Client
		known *lru.Cache[string, addresses]
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

	// Answer is the answer of a plain service.
	Answer struct {
		Status int
		Body   []byte
	}

	addresses struct {
		list  []string
		until time.Time
	}
)

// Error names status, code and outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Status, e.Code, e.Outcome, e.Message)
}

// New returns a client that knows some routers, as "http://IP:port", and an organisation's key.
func New(seeds []string, key string) *Client {
	known, err := lru.New[string, addresses](rememberedChats)
	if err != nil {
		panic(errors.Wrap(err, "create cache"))
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	return &Client{key: key, seeds: seeds, http: &http.Client{Transport: transport}, known: known}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do calls a plain service, at the next router where one fails; it fails with *Error or the last connection's error.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	var last error
	for try := range maxTries {
		address := c.address(ctx, "", "", try)
		answer, err := c.doAt(ctx, address, call)
		if err == nil || !movesOn(err) || ctx.Err() != nil {
			return answer, err
		}
		last = err
		pause.For(ctx, retryPause)
	}
	return Answer{}, last
}

// Key obtains an idempotency key that one router runs without the store; the call must reach that router.
func (c *Client) Key(ctx context.Context) (string, error) {
	req, err := c.request(ctx, http.MethodPost, c.address(ctx, "", "", 0)+"/v1/keys", nil)
	if err != nil {
		return "", err
	}
	var body struct {
		Key string `json:"key"`
	}
	return body.Key, c.decode(req, &body)
}

func (c *Client) doAt(ctx context.Context, address string, call Call) (Answer, error) {
	req, err := c.request(ctx, call.Method, address+"/v1/services/"+string(call.Service)+call.Path, call.Body)
	if err != nil {
		return Answer{}, err
	}
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, errors.Wrap(err, "call service")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, errors.Wrap(err, "read answer")
	}
	if e := refusal(resp, body); e != nil {
		return Answer{}, e
	}
	return Answer{Status: resp.StatusCode, Body: body}, nil
}

// address returns the router to use for a chat at the n-th try.
func (c *Client) address(ctx context.Context, chat ident.Chat, model ident.Model, try int) string {
	list := c.ask(ctx, chat, model)
	if try >= len(list) {
		c.known.Remove(string(chat))
		list = c.seeds
	}
	return list[try%len(list)]
}

// ask returns the routers that the system names, kept for as long as it says.
func (c *Client) ask(ctx context.Context, chat ident.Chat, model ident.Model) []string {
	if a, ok := c.known.Get(string(chat)); ok && time.Now().Before(a.until) {
		return a.list
	}
	query := url.Values{"chat": {string(chat)}, "model": {string(model)}}.Encode()
	for _, seed := range c.seeds {
		askCtx, cancel := context.WithTimeout(ctx, addressTimeout)
		a, err := c.askAt(askCtx, seed+"/v1/addresses?"+query)
		cancel()
		if err == nil && len(a.list) > 0 {
			c.known.Add(string(chat), a)
			return a.list
		}
	}
	return c.seeds
}

func (c *Client) askAt(ctx context.Context, at string) (addresses, error) {
	req, err := c.request(ctx, http.MethodGet, at, nil)
	if err != nil {
		return addresses{}, err
	}
	var body struct {
		Addresses []string `json:"addresses"`
		ValidMs   int64    `json:"validMs"`
	}
	if err := c.decode(req, &body); err != nil {
		return addresses{}, err
	}
	return addresses{list: body.Addresses, until: time.Now().Add(time.Duration(body.ValidMs) * time.Millisecond)}, nil
}

func (c *Client) request(ctx context.Context, method, at string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, at, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (c *Client) decode(req *http.Request, v any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call router")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if e := refusal(resp, body); e != nil {
		return e
	}
	return errors.Wrap(json.Unmarshal(body, v), "decode answer")
}

// refusal returns the router's error, or nil where the answer is none.
func refusal(resp *http.Response, body []byte) error {
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

// movesOn reports whether another router may have a better answer: a lost connection, or a router that is not ready.
func movesOn(err error) bool {
	var told *Error
	if errors.As(err, &told) {
		return told.Code == wire.CodeNotReady || told.Code == wire.CodeLeaving
	}
	return true
}
