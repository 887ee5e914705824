package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// HeaderIdempotencyKey carries the idempotency key of a call.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNotRun is set to "true" by an instance on a 503 for a call that it did not run.
	HeaderNotRun = "X-Not-Run"

	callTimeout    = 30 * time.Second
	maxAnswerBytes = 8 << 20
)

type (
	// Client sends calls to the instances of plain services.
	Client struct {
		http *http.Client
	}

	// NotRunError is returned if the instance was not reached, or refused the call without running it.
	NotRunError struct{ Cause error }

	// LostError is returned if the call may have run but no complete answer was received.
	LostError struct{ Cause error }

	// singleReadBody can't be rewound, so that the transport can't send a call twice.
	singleReadBody struct{ *bytes.Reader }
)

// Error returns the message with the cause.
func (e *NotRunError) Error() string { return "call not run: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Error returns the message with the cause.
func (e *LostError) Error() string { return "answer lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// New returns a Client that does not follow redirects.
func New() *Client {
	return &Client{http: &http.Client{
		Transport:     engine.NewTransport(),
		Timeout:       callTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call sends a call once to the instance at address, an IP address with a port. It fails with *NotRunError or *LostError.
func (c *Client) Call(ctx context.Context, address string, call wire.ServiceCall) (wire.ServiceAnswer, error) {
	body := singleReadBody{bytes.NewReader(call.Body)}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, io.NopCloser(body))
	if err != nil {
		return wire.ServiceAnswer{}, &NotRunError{Cause: err}
	}
	req.ContentLength = int64(len(call.Body))
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	req.Header.Set(engine.HeaderRequest, string(call.Request))
	if call.Key != "" {
		req.Header.Set(HeaderIdempotencyKey, call.Key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var dial *engine.DialError
		if errors.As(err, &dial) {
			return wire.ServiceAnswer{}, &NotRunError{Cause: err}
		}
		return wire.ServiceAnswer{}, &LostError{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := sizelimit.ReadAll(resp.Body, maxAnswerBytes)
	switch {
	case err != nil:
		return wire.ServiceAnswer{}, &LostError{Cause: err}
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true":
		return wire.ServiceAnswer{}, &NotRunError{Cause: errors.New("instance refused the call")}
	}
	return wire.ServiceAnswer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: answer}, nil
}
