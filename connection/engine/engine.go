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
)

// Headers that the routers and the engines use beside those of the published interface.
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
	// Client speaks to one engine.
	Client struct {
		base string
		http *http.Client
	}

	// Call is one request as it is handed to an engine.
	Call struct {
		Request  ident.Request
		Priority int
		Stream   bool
		Body     []byte
		// FirstOffset is the offset of the first event that is wanted of a continued answer.
		FirstOffset int
	}

	// Report is what an engine says of itself, some time late.
	Report struct {
		Running   int   `json:"running"`
		Waiting   int   `json:"waiting"`
		Slots     int   `json:"slots"`
		Leaving   bool  `json:"leaving"`
		TakenAtMs int64 `json:"takenAtMs"`
		// Models are the models that the engine holds; nil where it does not say.
		Models []ident.Model `json:"models"`
	}

	// StatusError is an answer of the engine other than 200.
	StatusError struct {
		Status int
		Body   []byte
	}

	// TruncatedError tells that a stream ended before its end mark.
	TruncatedError struct{ Cause error }

	// DialError tells that no connection to the engine could be made, so that nothing was sent.
	DialError struct{ Cause error }
)

// Error names the status.
func (e *StatusError) Error() string { return "engine answered " + strconv.Itoa(e.Status) }

// Error names the cause.
func (e *TruncatedError) Error() string { return "stream cut: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// Error names the cause.
func (e *DialError) Error() string { return "engine unreachable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// NewTransport returns the HTTP transport that all engines of a router share.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         Dial,
		MaxIdleConnsPerHost: maxIdlePerEngine,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// New returns a client of the engine at address, an IP number with a port.
func New(address string, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Stream runs the call and passes each event's data on; it fails with *DialError, *StatusError or *CutError.
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

// Resume passes on the events of a stream that the engine still holds, from an offset; it fails like Stream.
func (c *Client) Resume(ctx context.Context, id ident.Request, from int, event func([]byte)) error {
	address := c.base + "/v1/streams/" + url.PathEscape(string(id)) + "?from=" + strconv.Itoa(from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	return c.do(req, true, event)
}

// Cancel tells the engine to stop a request; an engine that no longer knows it has nothing to stop.
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

// LoadRequestBytes returns how many bytes asking for a report sends.
func (c *Client) LoadRequestBytes() int {
	host := strings.TrimPrefix(c.base, "http://")
	return len("GET " + loadPath + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
}

// Load returns the engine's own report.
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
		return Report{}, errors.Wrap(err, "ask load")
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &TruncatedError{Cause: err}
	}
	event(body)
	return nil
}

// readEvents passes on the data of each server-sent event up to the end mark.
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
