package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxIdlePerEngine bounds the idle connections in the pool per engine.
	maxIdlePerEngine = 8
	// headBytes is what the head of most requests fits into.
	headBytes = 512
	// maxFailed bounds the failures whose ids a connection keeps. It is closed after that.
	maxFailed = 64
	// DialTimeout is several times what a healthy engine in another region takes to accept a connection. It does not allow for the
	// retransmission of a lost packet.
	DialTimeout = 200 * time.Millisecond
)

type (
	// Request is one request to an engine.
	Request struct {
		Method string
		// Target is the path and query, exactly as the caller sent them.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// ID is the id that the request bears. It is not sent over a connection that has brought a failure of a request with that id.
		ID string
		// Matches reports whether the answer with the given header names this request.
		Matches func(http.Header) bool
		// Unnamed reports whether an answer that names no request may be the one to this request; nil means that none may. On a connection
		// that was used before, such an answer may repeat an earlier one, while this request runs: the answer to this request is then lost.
		Unnamed func(http.Header) bool
		// MaxIdle is the longest idle time of a pooled connection that may be used. With 0 a new connection is made.
		MaxIdle time.Duration
		// MaxConns bounds the connections to the engine, in use and idle, if it is above 0.
		MaxConns int
		// MaySend reports whether the request may still be sent. It is asked directly before the first byte; nil means that it always may.
		MaySend func() bool
	}

	// Response is an answer whose body is still to be read. The body must be closed.
	Response struct {
		Status int
		Header http.Header
		Body   io.ReadCloser
		// Length is the length of the body, or -1 if it is unknown.
		Length int64
		// Framed says that the body has a length or chunks. Otherwise it ends with the connection.
		Framed bool
	}

	// Client sends requests to engines and pools its connections. It is safe for concurrent use.
	Client struct {
		// DialTimeout bounds a connection attempt. New sets it to the constant of that name; it may be changed before the first request.
		DialTimeout time.Duration

		mu   sync.Mutex
		idle map[string][]*conn
		// open counts the connections to each engine: those being made, in use and idle. A count rises only while mu is held, so that it cannot pass a
		// bound, and falls without mu when a connection is closed. The map is guarded by mu.
		open    map[string]*atomic.Int64
		yielded int64
	}

	// Counts are the connections of a Client.
	Counts struct {
		InUse, Idle int
		// Yielded is the number of idle connections that were closed so far because of a bound.
		Yielded int64
	}

	// body is an answer's body. On Close it returns the connection to the pool if the answer was read to its end, and closes the
	// connection otherwise.
	body struct {
		io.Reader
		client  *Client
		conn    *conn
		address string
		// maxConns is the MaxConns of the request.
		maxConns int
		resp     *http.Response
		// written receives the result of writing the request.
		written <-chan error
		// stop ends the watch on the context of Do. It returns false if that has ended already.
		stop             func() bool
		complete, closed bool
	}
)

// New returns a Client without connections.
func New() *Client {
	return &Client{DialTimeout: DialTimeout, idle: make(map[string][]*conn), open: make(map[string]*atomic.Int64)}
}

// Do sends the request and returns its answer once the header is read. It fails with *NotSentError, whose cause is a *WithheldError if MaySend does not
// allow the request any more and a *FullError if MaxConns leaves no connection for it, or with *LostError. Cancelling ctx closes the connection, also while
// the body is read.
func (c *Client) Do(ctx context.Context, address string, r Request, now time.Time) (*Response, error) {
	conn, err := c.connect(ctx, address, &r, now)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if r.MaySend != nil && !r.MaySend() {
		_ = conn.Close()
		return nil, &NotSentError{Cause: &WithheldError{Address: address}}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	//nolint:bodyclose // The body type closes the connection.
	resp, written, err := conn.roundTrip(&r)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, &LostError{Cause: err}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		conn.failed = append(conn.failed, hashOf(r.ID))
	}
	b := &body{Reader: resp.Body, client: c, conn: conn, address: address, maxConns: r.MaxConns, resp: resp, written: written, stop: stop}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: b, Length: resp.ContentLength, Framed: isFramed(resp)}, nil
}

// CloseIdle closes the idle connections that have exceeded their idle time-out, those above an engine's bound, and all to an engine that is not known.
// boundOf returns the bound, 0 if there is none, and whether the engine is known.
func (c *Client) CloseIdle(boundOf func(address string) (bound int, known bool), now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, open := range c.open {
		list := c.idle[address]
		bound, known := boundOf(address)
		d := decision{closed: list}
		if known {
			d = decideIdle(list, int(open.Load())-len(list), bound, now)
		}
		c.apply(address, d)
		if open.Load() == 0 {
			delete(c.open, address)
		}
	}
}

// FullAt returns the addresses of the engines to which at least bound connections are in use.
func (c *Client) FullAt(bound int) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var full map[string]bool
	for address, open := range c.open {
		if int(open.Load())-len(c.idle[address]) < bound {
			continue
		}
		if full == nil {
			full = make(map[string]bool)
		}
		full[address] = true
	}
	return full
}

// Counts returns the numbers of connections to all engines.
func (c *Client) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := Counts{Yielded: c.yielded}
	for address, open := range c.open {
		n.Idle += len(c.idle[address])
		n.InUse += int(open.Load()) - len(c.idle[address])
	}
	return n
}

// connect returns an idle connection or makes a new one. It fails with *FullError if the bound allows neither.
func (c *Client) connect(ctx context.Context, address string, r *Request, now time.Time) (*conn, error) {
	d, open := c.reserve(address, r, now)
	switch {
	case d.full:
		return nil, &FullError{Address: address, Bound: r.MaxConns}
	case d.reused != nil:
		return d.reused, nil
	}
	conn, err := dial(ctx, address, c.DialTimeout)
	if err != nil {
		open.Add(-1)
		return nil, err
	}
	conn.open = open
	return conn, nil
}

// reserve decides about the connection for a request and counts it if it is to be made.
func (c *Client) reserve(address string, r *Request, now time.Time) (decision, *atomic.Int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open, ok := c.open[address]
	if !ok {
		open = &atomic.Int64{}
		c.open[address] = open
	}
	list := c.idle[address]
	d := decide(list, int(open.Load())-len(list), r, (*conn).isQuiet, now)
	c.apply(address, d)
	if d.reused == nil && !d.full {
		open.Add(1)
	}
	return d, open
}

// apply closes the connections of a decision and keeps the others. The caller holds mu.
func (c *Client) apply(address string, d decision) {
	for _, conn := range d.closed {
		_ = conn.Close()
	}
	c.yielded += int64(d.yielded)
	if len(d.kept) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = d.kept
}

// putIdle returns a connection to the pool. It closes the connection if the pool or the bound, unless that is 0, leaves no place.
func (c *Client) putIdle(address string, conn *conn, bound int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	over := bound > 0 && int(conn.open.Load()) > bound
	if over {
		c.yielded++
	}
	if over || len(c.idle[address]) >= maxIdlePerEngine {
		_ = conn.Close()
		return
	}
	conn.lastUsed = now
	c.idle[address] = append(c.idle[address], conn)
}

// Read reads from the body. It returns io.EOF only at the end of a complete body, and another error if the body is truncated.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close returns the connection to the pool if the request was written and the answer read completely. It closes the connection otherwise,
// and also if the engine asked for that or has sent further bytes, or after maxFailed failures. Further calls do nothing, as the connection may carry
// another request by then.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	notCancelled := b.stop()
	sent := false
	select {
	case err := <-b.written:
		sent = err == nil
	default:
	}
	if b.complete && notCancelled && sent && !b.resp.Close && b.conn.reader.Buffered() == 0 && len(b.conn.failed) < maxFailed {
		b.client.putIdle(b.address, b.conn, b.maxConns, time.Now())
		return nil
	}
	return b.conn.Close()
}

// encodeHead returns the head of the request in HTTP/1.1 format.
func (r *Request) encodeHead() *bytes.Buffer {
	var out bytes.Buffer
	out.Grow(headBytes)
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&out)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	return &out
}

// isFramed reports whether the body of an answer has a length or chunks.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
