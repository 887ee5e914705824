package idle

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type (
	// Conns tracks the open connections of one server.
	Conns struct {
		// limit returns the idle time-out of a connection, or 0 for none.
		limit    func() time.Duration
		mu       sync.Mutex
		open     map[*conn]struct{}
		stopping bool
		// drained is closed once stopping is set and no connection is open.
		drained     chan struct{}
		drainedOnce sync.Once
		// listener is the server's listener, or nil before Serve.
		listener net.Listener
	}

	// conn is a connection that records whether any byte of its next request has arrived. An idle connection is ended through its read
	// deadline, and so by the goroutine that reads it. If another goroutine closed it, a request that had just been read could be lost.
	conn struct {
		net.Conn
		mu sync.Mutex
		// idle says that no byte has arrived since the connection was opened or its last answer was sent.
		idle bool
		// idleDeadline is when the idle connection times out, or zero for never.
		idleDeadline time.Time
	}

	// listener wraps accepted connections in conn.
	listener struct{ net.Listener }
)

// expiredDeadline is a deadline in the past, which ends a pending read at once.
var expiredDeadline = time.Unix(1, 0)

// New returns a Conns without connections. limit returns the idle time-out of a connection, or 0 for none; it is called each time a
// connection becomes idle after an answer.
func New(limit func() time.Duration) *Conns {
	return &Conns{limit: limit, open: make(map[*conn]struct{}), drained: make(chan struct{})}
}

// Serve runs the server on the listener. It returns nil after Stop or after the server is closed.
func (c *Conns) Serve(server *http.Server, l net.Listener) error {
	server.ConnState = c.connStateChanged
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	err := server.Serve(listener{l})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Stop closes the listener and the idle connections, and returns once all other connections have sent their answers. If ctx ends
// first, it returns an error with the number of connections in use. Server.Shutdown is not used because it may close a connection
// whose request has just been read.
func (c *Conns) Stop(ctx context.Context) error {
	c.beginStop()
	select {
	case <-c.drained:
		return nil
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		return errors.Wrapf(ctx.Err(), "%d connections are in use", len(c.open))
	}
}

func (c *Conns) beginStop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener != nil {
		_ = c.listener.Close()
	}
	c.stopping = true
	for open := range c.open {
		open.expireIfIdle()
	}
	c.signalIfDrained()
}

// connStateChanged is the server's ConnState hook.
func (c *Conns) connStateChanged(nc net.Conn, state http.ConnState) {
	tracked, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.add(tracked)
	case http.StateIdle:
		tracked.startIdle(c.limit())
		if c.isStopping() {
			tracked.expireIfIdle()
		}
	case http.StateClosed, http.StateHijacked:
		c.remove(tracked)
	}
}

func (c *Conns) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

func (c *Conns) add(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[n] = struct{}{}
	if c.stopping {
		n.expireIfIdle()
	}
}

func (c *Conns) remove(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, n)
	c.signalIfDrained()
}

// signalIfDrained closes drained if Conns is stopping and no connection is open. The caller holds mu.
func (c *Conns) signalIfDrained() {
	if c.stopping && len(c.open) == 0 {
		c.drainedOnce.Do(func() { close(c.drained) })
	}
}

// Accept returns the next connection as an idle conn.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, idle: true}, nil
}

// Read reads from the connection. Any byte read marks it as busy.
func (n *conn) Read(p []byte) (int, error) {
	count, err := n.Conn.Read(p)
	if count > 0 {
		n.mu.Lock()
		n.idle, n.idleDeadline = false, time.Time{}
		n.mu.Unlock()
	}
	return count, err
}

// SetReadDeadline sets the earlier of t and the idle deadline.
func (n *conn) SetReadDeadline(t time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.idleDeadline.IsZero() && (t.IsZero() || n.idleDeadline.Before(t)) {
		t = n.idleDeadline
	}
	return n.Conn.SetReadDeadline(t)
}

// startIdle marks the connection as idle. The idle deadline takes effect when the server next calls SetReadDeadline.
func (n *conn) startIdle(limit time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idle = true
	if limit > 0 {
		n.idleDeadline = time.Now().Add(limit)
	}
}

// expireIfIdle ends the pending read, and so the connection, if no byte of a request has arrived.
func (n *conn) expireIfIdle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.idle {
		return
	}
	n.idleDeadline = expiredDeadline
	_ = n.Conn.SetReadDeadline(expiredDeadline)
}
