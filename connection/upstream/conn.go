package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedTimeout ends a connection whose bytes the engine's machine does not acknowledge.
	unacknowledgedTimeout = 600 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find connections that went silent while an answer is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// readBufferBytes holds a few events of a stream.
	readBufferBytes = 2 << 10
	// inlineWriteBytes is a request's size up to which it is written before its answer is read.
	inlineWriteBytes = 8 << 10
	// idleMargin is taken from the idle timeout that an engine states, for the time on the way.
	idleMargin = 500 * time.Millisecond
	// defaultMaxIdle is how long an idle connection is kept where the engine states no timeout.
	defaultMaxIdle = 4 * time.Second
)

// conn is one connection to one engine, used for one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// lastUsed is when the last answer ended.
	lastUsed time.Time
	// maxIdle is how long the connection may be idle.
	maxIdle time.Duration

	closeOnce sync.Once
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error
			err := c.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), maxIdle: defaultMaxIdle}, nil
}

// Close closes the connection, once.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.Conn.Close() })
	return err
}

// reusable reports whether an idle connection may be used again: not idle for too long, and neither closed nor written to by the engine.
func (c *conn) reusable(now time.Time, maxIdle time.Duration) bool {
	if now.Sub(c.lastUsed) > min(c.maxIdle, maxIdle) || c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// roundTrip writes the request and reads the head of the answer with its id, passing over answers to other requests.
func (c *conn) roundTrip(method string, raw []byte, answers func(http.Header) bool) (*http.Response, <-chan error, error) {
	written := make(chan error, 1)
	if len(raw) <= inlineWriteBytes {
		_, err := c.Write(raw)
		if err != nil {
			return nil, nil, errors.Wrap(err, "write request")
		}
		written <- nil
	} else {
		go func() {
			_, err := c.Write(raw)
			written <- err
		}()
	}
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if answers(resp.Header) {
			c.readKeepAlive(resp.Header)
			return resp, written, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, nil, errors.New("the answer to another request has no end")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, nil, errors.Wrap(err, "pass over the answer to another request")
		}
	}
}

// readKeepAlive takes the idle timeout that the engine states.
func (c *conn) readKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.maxIdle = time.Duration(seconds)*time.Second - idleMargin
		}
	}
}
