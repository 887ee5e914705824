package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/response"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedTimeout is the TCP_USER_TIMEOUT: the connection ends if sent bytes stay unacknowledged for this long.
	unacknowledgedTimeout = 600 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect a dead peer while the connection waits for an answer.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// readBufferBytes is enough for a few events of a stream.
	readBufferBytes = 2 << 10
	// inlineWriteBytes is the largest request that is written before the answer is read. Larger ones are written concurrently.
	inlineWriteBytes = 8 << 10
	// maxSkippedBytes bounds the body of an answer to another request. At most maxSkippedAnswers interim answers and answers to other
	// requests are skipped.
	maxSkippedBytes   = 1 << 20
	maxSkippedAnswers = 16
	// idleMargin is subtracted from the idle time-out that an engine states, to allow for network delay.
	idleMargin = 500 * time.Millisecond
	// defaultMaxIdle is the idle time-out of a connection if the engine states none.
	defaultMaxIdle = 4 * time.Second
)

// conn is a connection to an engine that carries one request at a time.
type conn struct {
	*response.Conn
	reader *bufio.Reader
	// bound limits the bytes that reader takes from the connection.
	bound *sizelimit.Reader
	// lastUsed is the time at which the last answer ended, or zero if there was none.
	lastUsed time.Time
	// maxIdle is the idle time-out of the connection.
	maxIdle time.Duration
	// failed holds the hashed ids of the requests whose answers were no successes. The engine may repeat such an answer later, when it would be
	// taken for that of a request with the same id.
	failed []uint64

	closeOnce sync.Once
	// open is the count of connections to the engine that this one is part of until it is closed, or nil.
	open *atomic.Int64
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var setErr error
			err := c.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return setErr
		},
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	checked := response.NewConn(c)
	bound := &sizelimit.Reader{Reader: checked}
	return &conn{Conn: checked, reader: bufio.NewReaderSize(bound, readBufferBytes), bound: bound, maxIdle: defaultMaxIdle}, nil
}

// Close closes the connection. Further calls do nothing and return nil.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		if c.open != nil {
			c.open.Add(-1)
		}
	})
	return err
}

// hasFailed reports whether the connection has brought a failure of a request with that id.
func (c *conn) hasFailed(id string) bool { return slices.Contains(c.failed, hashOf(id)) }

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

// expiresAt returns when the idle time-out of a connection ends.
func (c *conn) expiresAt() time.Time { return c.lastUsed.Add(c.maxIdle) }

// isFresh reports whether the idle time of a connection is within its idle time-out and maxIdle.
func (c *conn) isFresh(maxIdle time.Duration, now time.Time) bool {
	return now.Sub(c.lastUsed) <= min(c.maxIdle, maxIdle)
}

// isQuiet reports whether an engine has neither closed an idle connection nor sent bytes over it.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingToRead = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}

// roundTrip writes the request and reads answers until one matches it. It skips interim answers and answers to other requests, within
// bounds. The channel receives the result of writing the request.
func (c *conn) roundTrip(r *Request) (*http.Response, <-chan error, error) {
	head := r.encodeHead()
	written := make(chan error, 1)
	if head.Len()+len(r.Body) <= inlineWriteBytes {
		head.Write(r.Body)
		if _, err := c.Write(head.Bytes()); err != nil {
			return nil, nil, errors.Wrap(err, "write request")
		}
		written <- nil
	} else {
		go func() {
			// A large body is not copied.
			_, err := c.Write(head.Bytes())
			if err == nil {
				_, err = c.Write(r.Body)
			}
			written <- err
		}()
	}
	for range maxSkippedAnswers {
		c.bound.Allow(sizelimit.MaxHeadBytes)
		resp, err := c.ReadResponse(c.reader, r.Method)
		if err != nil {
			return nil, nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		unnamed := r.Unnamed != nil && r.Unnamed(resp.Header)
		if unnamed && !c.lastUsed.IsZero() {
			return nil, nil, errors.New("an answer that names no request, on a connection that was used before")
		}
		if unnamed || r.Matches(resp.Header) {
			c.readKeepAlive(resp.Header)
			c.bound.Allow(math.MaxInt64)
			return resp, written, nil
		}
		if !isFramed(resp) {
			return nil, nil, errors.New("unframed answer to another request")
		}
		c.bound.Allow(maxSkippedBytes)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, nil, errors.Wrap(err, "skip answer to another request")
		}
	}
	return nil, nil, errors.Errorf("none of %d answers belongs to the request", maxSkippedAnswers)
}

// readKeepAlive sets maxIdle from the time-out in the Keep-Alive field, if there is one.
func (c *conn) readKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.maxIdle = time.Duration(seconds)*time.Second - idleMargin
		}
	}
}
