package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// probeTimeout is how long it may take to see that an engine's process is gone.
	probeTimeout = 30 * time.Millisecond
	// maxIdlePerEngine bounds the idle connections kept to one engine.
	maxIdlePerEngine = 8
	// DialTimeout is the time in which a sound engine of another region accepts a connection, several times over; a lost packet is not waited for.
	DialTimeout = 200 * time.Millisecond
)

type (
	// Request is one request as an engine gets it.
	Request struct {
		Method string
		// Target is the path with its query, unchanged from the caller.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// Matches reports by its header whether an answer belongs to the request.
		Matches func(http.Header) bool
		// MaxIdle is how long a kept connection may have been idle; 0 asks for a new connection.
		MaxIdle time.Duration
	}

	// Response is the head of an answer; its body must be closed.
	Response struct {
		Status int
		Header http.Header
		Body   io.ReadCloser
	}

	// Client keeps connections to engines.
	Client struct {
		mu   sync.Mutex
		idle map[string][]*conn
	}

	// body hands the connection back after the whole answer was read, and closes it otherwise.
	body struct {
		io.Reader
		client   *Client
		conn     *conn
		address  string
		resp     *http.Response
		written  <-chan error
		stop     func() bool
		complete bool
	}
)

// New returns a client without connections.
func New() *Client { return &Client{idle: make(map[string][]*conn)} }

// Do sends the request and returns the head of its answer; it fails with *NotSentError or *LostError. Ending ctx closes the connection.
func (c *Client) Do(ctx context.Context, address string, r Request, now time.Time) (*Response, error) {
	conn := c.takeIdle(address, r.MaxIdle, now)
	if conn == nil {
		var err error
		if conn, err = dial(ctx, address, DialTimeout); err != nil {
			return nil, &NotSentError{Cause: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	//nolint:bodyclose // The body is closed by the body type below.
	resp, written, err := conn.roundTrip(r.Method, r.encode(), r.Matches)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, &LostError{Cause: err}
	}
	b := &body{Reader: resp.Body, client: c, conn: conn, address: address, resp: resp, written: written, stop: stop}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: b}, nil
}

// ConnectionRefused reports whether an address refuses connections now; one that does not answer within a moment does not.
func ConnectionRefused(ctx context.Context, address string) bool {
	c, err := dial(ctx, address, probeTimeout)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, unix.ECONNREFUSED)
}

// CloseIdle closes the idle connections to all addresses that are not in use any more, and those idle for too long.
func (c *Client) CloseIdle(inUse func(address string) bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if inUse(address) && now.Sub(conn.lastUsed) < conn.maxIdle {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

func (c *Client) takeIdle(address string, maxIdle time.Duration, now time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for maxIdle > 0 && len(c.idle[address]) > 0 {
		list := c.idle[address]
		conn := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		if conn.reusable(now, maxIdle) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

func (c *Client) putIdle(address string, conn *conn, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdlePerEngine {
		_ = conn.Close()
		return
	}
	conn.lastUsed = now
	c.idle[address] = append(c.idle[address], conn)
}

// Read reads the body, and fails unless it is whole.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close keeps the connection where the answer was read whole and the request written whole, and closes it otherwise.
func (b *body) Close() error {
	ended := b.stop()
	sent := false
	select {
	case err := <-b.written:
		sent = err == nil
	default:
	}
	if b.complete && ended && sent && !b.resp.Close && b.conn.reader.Buffered() == 0 {
		b.client.putIdle(b.address, b.conn, time.Now())
		return nil
	}
	return b.conn.Close()
}

// encode returns the request's bytes.
func (r *Request) encode() []byte {
	var out bytes.Buffer
	out.Grow(len(r.Body) + 512)
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&out)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(r.Body)
	return out.Bytes()
}
