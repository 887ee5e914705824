package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/response"
	"github.com/vanillaroute/vanillaroute/sizelimit"
)

// Headers between routers and engines in addition to those of the OpenAI interface.
const (
	HeaderRequest    = "X-Request-Id"
	HeaderPriority   = "X-Priority"
	HeaderResumeFrom = "X-Resume-From"

	maxEventBytes    = 1 << 20
	maxAnswerBytes   = 16 << 20
	maxReportBytes   = 64 << 10
	reportTimeout    = time.Second
	cancelTimeout    = 2 * time.Second
	maxIdlePerEngine = 256
	idleTimeout      = 90 * time.Second
	doneMark         = "[DONE]"
	initialLineBytes = 1 << 10
	loadPath         = "/load"
)

type (
	// Client sends requests to one engine. It is safe for concurrent use.
	Client struct {
		base string
		http *http.Client
	}

	// Call is one chat request to an engine.
	Call struct {
		Request  ident.Request
		Priority int
		Stream   bool
		Body     []byte
		// FirstOffset is the offset of the first event to send if the call continues an answer.
		FirstOffset int
	}

	// Report is an engine's own load report, taken some time before it arrives.
	Report struct {
		Running   int   `json:"running"`
		Waiting   int   `json:"waiting"`
		Slots     int   `json:"slots"`
		Leaving   bool  `json:"leaving"`
		TakenAtMs int64 `json:"takenAtMs"`
		// Models lists the models that the engine holds, or is nil if the engine does not report them.
		Models []ident.Model `json:"models"`
	}

	// StatusError is returned if the engine answers with a status other than 200.
	StatusError struct {
		Status int
		Body   []byte
	}

	// TruncatedError is returned if the request may have been sent and its answer is missing or incomplete. A stream is incomplete
	// without its end mark.
	TruncatedError struct{ Cause error }

	// DialError is returned if no connection to the engine could be made, so that nothing was sent.
	DialError struct{ Cause error }
)

// Error returns the message with the status.
func (e *StatusError) Error() string { return "engine answered " + strconv.Itoa(e.Status) }

// Error returns the message with the cause.
func (e *TruncatedError) Error() string { return "answer truncated: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// Error returns the message with the cause.
func (e *DialError) Error() string { return "engine unreachable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// NewTransport returns an HTTP transport to be shared by the clients of all engines. It dials with Dial.
func NewTransport() *response.Transport {
	return response.NewTransport(&http.Transport{
		DialContext:            Dial,
		MaxIdleConnsPerHost:    maxIdlePerEngine,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: sizelimit.MaxHeadBytes,
	})
}

// New returns a Client of the engine at address, an IP address with a port.
func New(address string, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Stream runs the call and passes the data of each event to event, or the body of an answer that is not streamed. It fails with *DialError,
// *StatusError or *TruncatedError.
func (c *Client) Stream(ctx context.Context, call Call, event func([]byte)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(call.Body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequest, string(call.Request))
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if call.FirstOffset > 0 {
		req.Header.Set(HeaderResumeFrom, strconv.Itoa(call.FirstOffset))
	}
	return c.do(req, call.Stream, event)
}

// Resume passes the events of a stream that the engine still holds to event, starting at the offset from. It fails like Stream.
func (c *Client) Resume(ctx context.Context, id ident.Request, from int, event func([]byte)) error {
	address := c.base + "/v1/streams/" + url.PathEscape(string(id)) + "?from=" + strconv.Itoa(from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	return c.do(req, true, event)
}

// Cancel tells the engine to stop a request. It succeeds if the engine does not know the request.
func (c *Client) Cancel(ctx context.Context, id ident.Request) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/streams/"+url.PathEscape(string(id)), nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "cancel")
	}
	return resp.Body.Close()
}

// LoadRequestBytes returns the size of the HTTP request of Load, in bytes.
func (c *Client) LoadRequestBytes() int {
	host := strings.TrimPrefix(c.base, "http://")
	return len("GET " + loadPath + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
}

// Load requests the engine's load report. It fails with *StatusError on a status other than 200.
func (c *Client) Load(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+loadPath, nil)
	if err != nil {
		return Report{}, errors.Wrap(err, "build request")
	}
	req.Header.Set("User-Agent", "")
	resp, err := c.http.Do(req)
	if err != nil {
		return Report{}, errors.Wrap(err, "request load")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Report{}, &StatusError{Status: resp.StatusCode}
	}
	var r Report
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r); err != nil {
		return Report{}, errors.Wrap(err, "decode load")
	}
	return r, nil
}

func (c *Client) do(req *http.Request, stream bool, event func([]byte)) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
		return &StatusError{Status: resp.StatusCode, Body: body}
	}
	if stream {
		return readEvents(resp.Body, event)
	}
	body, err := sizelimit.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return &TruncatedError{Cause: err}
	}
	event(body)
	return nil
}

// readEvents passes the data of each server-sent event up to the end mark to event. It fails with *TruncatedError if the
// end mark is missing.
func readEvents(r io.Reader, event func([]byte)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMark {
			return nil
		}
		event(bytes.Clone(data))
	}
	if err := lines.Err(); err != nil {
		return &TruncatedError{Cause: err}
	}
	return &TruncatedError{Cause: io.ErrUnexpectedEOF}
}
