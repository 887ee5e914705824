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
	// Conns are the callers' connections of one server.
	Conns struct {
		// limit returns how long a connection may wait for its next request, or 0 for any time.
		limit    func() time.Duration
		mu       sync.Mutex
		open     map[*conn]struct{}
		stopping bool
		// drained is closed once the connections were ended and none is open.
		drained     chan struct{}
		drainedOnce sync.Once
		// listener is where the server listens, once it serves.
		listener net.Listener
	}

	// conn is a connection that knows whether anything of its next request has come. The server's own read deadlines end it, so
	// that it ends in the task that reads it: closed by another one, a request might be lost that was read a moment ago.
	conn struct {
		net.Conn
		mu sync.Mutex
		// idle says that nothing has come since the connection was opened or its last answer was given.
		idle bool
		// idleDeadline is when it has waited for too long, or zero.
		idleDeadline time.Time
	}

	listener struct{ net.Listener }
)

// expiredDeadline is a deadline that ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// New returns the connections of a server that has none yet; limit returns how long one may wait for its next request, 0 for any time.
func New(limit func() time.Duration) *Conns {
	return &Conns{limit: limit, open: make(map[*conn]struct{}), drained: make(chan struct{})}
}

// Serve serves on a listener until Stop, or the end of the server.
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

// Stop takes no new connections, ends those that wait for a request, and returns once the others have given their answers; it
// fails where ctx ends before. Server.Shutdown may close a connection whose request has just been read.
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
	for each := range c.open {
		each.expireIfIdle()
	}
	c.signalIfDrained()
}

// connStateChanged follows the state of a connection.
func (c *Conns) connStateChanged(nc net.Conn, state http.ConnState) {
	followed, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.add(followed)
	case http.StateIdle:
		followed.startIdle(c.limit())
		if c.isStopping() {
			followed.expireIfIdle()
		}
	case http.StateClosed, http.StateHijacked:
		c.remove(followed)
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

// signalIfDrained lets Stop return once nothing is open; the lock is held.
func (c *Conns) signalIfDrained() {
	if c.stopping && len(c.open) == 0 {
		c.drainedOnce.Do(func() { close(c.drained) })
	}
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, idle: true}, nil
}

// Read reads; whatever comes begins a request.
func (n *conn) Read(p []byte) (int, error) {
	count, err := n.Conn.Read(p)
	if count > 0 {
		n.mu.Lock()
		n.idle, n.idleDeadline = false, time.Time{}
		n.mu.Unlock()
	}
	return count, err
}

// SetReadDeadline sets the server's deadline, or the end of the waiting time where that comes first.
func (n *conn) SetReadDeadline(t time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.idleDeadline.IsZero() && (t.IsZero() || n.idleDeadline.Before(t)) {
		t = n.idleDeadline
	}
	return n.Conn.SetReadDeadline(t)
}

// startIdle begins to wait for a request; the server sets its deadline next.
func (n *conn) startIdle(limit time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idle = true
	if limit > 0 {
		n.idleDeadline = time.Now().Add(limit)
	}
}

// expireIfIdle ends the connection if nothing of a request has come.
func (n *conn) expireIfIdle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.idle {
		return
	}
	n.idleDeadline = expiredDeadline
	_ = n.Conn.SetReadDeadline(expiredDeadline)
}
