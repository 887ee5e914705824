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
		limit func() time.Duration
		mu    sync.Mutex
		open  map[*conn]struct{}
		ended bool
		// gone is closed once the connections were ended and none is open.
		gone     chan struct{}
		goneOnce sync.Once
		// accepting is where the server listens, once it serves.
		accepting net.Listener
	}

	// conn is a connection that knows whether anything of its next request has come. The server's own read deadlines end it, so
	// that it ends in the task that reads it: closed by another one, a request might be lost that was read a moment ago.
	conn struct {
		net.Conn
		mu sync.Mutex
		// waiting says that nothing has come since the connection was opened or its last answer was given.
		waiting bool
		// until is when it has waited for too long, or zero.
		until time.Time
	}

	listener struct{ net.Listener }
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// New returns the connections of a server that has none yet; limit returns how long one may wait for its next request, 0 for any time.
func New(limit func() time.Duration) *Conns {
	return &Conns{limit: limit, open: make(map[*conn]struct{}), gone: make(chan struct{})}
}

// Serve serves on a listener until Stop, or the end of the server.
func (c *Conns) Serve(server *http.Server, l net.Listener) error {
	server.ConnState = c.changed
	c.mu.Lock()
	c.accepting = l
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
	c.end()
	select {
	case <-c.gone:
		return nil
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		return errors.Wrapf(ctx.Err(), "%d connections are in use", len(c.open))
	}
}

func (c *Conns) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepting != nil {
		_ = c.accepting.Close()
	}
	c.ended = true
	for each := range c.open {
		each.end()
	}
	c.checkGone()
}

// changed follows the state of a connection.
func (c *Conns) changed(nc net.Conn, state http.ConnState) {
	followed, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.add(followed)
	case http.StateIdle:
		followed.wait(c.limit())
		if c.isEnded() {
			followed.end()
		}
	case http.StateClosed, http.StateHijacked:
		c.remove(followed)
	}
}

func (c *Conns) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *Conns) add(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[n] = struct{}{}
	if c.ended {
		n.end()
	}
}

func (c *Conns) remove(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, n)
	c.checkGone()
}

// checkGone lets Stop return once nothing is open; the lock is held.
func (c *Conns) checkGone() {
	if c.ended && len(c.open) == 0 {
		c.goneOnce.Do(func() { close(c.gone) })
	}
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, waiting: true}, nil
}

// Read reads; whatever comes begins a request.
func (n *conn) Read(p []byte) (int, error) {
	count, err := n.Conn.Read(p)
	if count > 0 {
		n.mu.Lock()
		n.waiting, n.until = false, time.Time{}
		n.mu.Unlock()
	}
	return count, err
}

// SetReadDeadline sets the server's deadline, or the end of the waiting time where that comes first.
func (n *conn) SetReadDeadline(t time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.until.IsZero() && (t.IsZero() || n.until.Before(t)) {
		t = n.until
	}
	return n.Conn.SetReadDeadline(t)
}

// wait begins to wait for a request; the server sets its deadline next.
func (n *conn) wait(limit time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting = true
	if limit > 0 {
		n.until = time.Now().Add(limit)
	}
}

// end ends the connection if nothing of a request has come.
func (n *conn) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.waiting {
		return
	}
	n.until = past
	_ = n.Conn.SetReadDeadline(past)
}
