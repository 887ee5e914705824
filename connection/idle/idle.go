package idle

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// shortestStay is how long a connection is not closed to make room after it was opened, after an answer, and after the first byte of a head, since the
	// request or its rest may be under way.
	shortestStay = 50 * time.Millisecond
	// maxServerHeadBytes and maxServerHeadTimeout are the server's own limits where Limits has some, which may change while the server runs.
	maxServerHeadBytes   = 1 << 30
	maxServerHeadTimeout = time.Hour
	// sendBufferBytes bounds what the kernel keeps of the answers on a connection. Otherwise it keeps up to 4 MB of answers that a caller does not read, and
	// a caller that sends requests without reading has thousands of them served before its connection counts as unread.
	sendBufferBytes = 64 << 10
)

// Answers to requests whose head is not accepted. The request has not run.
const (
	refusalTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalNoMemory = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.300\r\nContent-Length: 0\r\n\r\n"
)

type (
	// Conns tracks the open connections of one server. Its lock is taken before that of a connection.
	Conns struct {
		Options
		mu   sync.Mutex
		open map[*conn]struct{}
		// closing is the number of open connections that are about to be closed, and changed is signalled when one is closed or not to be closed any more.
		closing  int
		changed  *sync.Cond
		stopping bool
		// drained is closed once stopping is set and no connection is open.
		drained     chan struct{}
		drainedOnce sync.Once
		// listener is the server's listener, or nil before Serve.
		listener net.Listener
	}

	// listener wraps accepted connections in conn.
	listener struct {
		net.Listener
		conns *Conns
	}
)

// New returns a Conns without connections.
func New(o Options) *Conns {
	c := &Conns{Options: o, open: make(map[*conn]struct{}), drained: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Serve runs the server on the listener. It returns nil after Stop or after the server is closed.
func (c *Conns) Serve(server *http.Server, l net.Listener) error {
	server.ConnState = c.connStateChanged
	server.Handler = c.boundBodies(server.Handler)
	limits := c.Limits()
	if limits.MaxHeadBytes > 0 {
		server.MaxHeaderBytes = maxServerHeadBytes
	}
	if limits.HeadTimeout > 0 {
		server.ReadHeaderTimeout = maxServerHeadTimeout
	}
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	err := server.Serve(listener{l, c})
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
	c.changed.Broadcast()
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
		tracked.start(c.Limits())
		c.add(tracked)
	case http.StateActive:
		tracked.startRequest()
		c.unmarkClosing(tracked)
	case http.StateIdle:
		tracked.startIdle(c.Limits().IdleTimeout, time.Now())
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
	if _, ok := c.open[n]; !ok {
		return
	}
	n.release()
	delete(c.open, n)
	if n.closing {
		c.closing--
	}
	c.changed.Broadcast()
	c.signalIfDrained()
}

// signalIfDrained closes drained if Conns is stopping and no connection is open. The caller holds mu.
func (c *Conns) signalIfDrained() {
	if c.stopping && len(c.open) == 0 {
		c.drainedOnce.Do(func() { close(c.drained) })
	}
}

// Accept returns the next connection for which there is a place.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.conns.awaitPlace() {
			if tcp, ok := raw.(*net.TCPConn); ok {
				// Without the bound the connection works as well.
				_ = tcp.SetWriteBuffer(sendBufferBytes)
			}
			return newConn(raw, l.conns, time.Now()), nil
		}
		l.conns.report(ReasonNoPlace)
		_ = raw.Close()
	}
}

// awaitPlace waits until there is a place for a new connection. It makes room if it can, and returns false if all connections have requests.
func (c *Conns) awaitPlace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		limit := c.Limits().MaxConns
		if limit <= 0 || len(c.open) < limit || c.stopping {
			return true
		}
		if c.closing == 0 && !c.closeOne(time.Now()) && !c.hasYielding() {
			return false
		}
		c.wait()
	}
}

// closeOne begins to close the connection that yields first: of those that have sent nothing the oldest, of idle ones that used least recently, of
// incomplete heads the oldest. None yields within its first moments. The caller holds mu.
func (c *Conns) closeOne(now time.Time) bool {
	for p := phaseNew; p <= phaseHead; p++ {
		if c.closeOldest(p, now.Add(-shortestStay)) {
			return true
		}
	}
	return false
}

// closeOldest begins to close the oldest connection in a phase that began before a time, and reports whether there is one. The caller holds mu.
func (c *Conns) closeOldest(p phase, before time.Time) bool {
	var oldest *conn
	for n := range c.open {
		n.mu.Lock()
		if n.phase == p && !n.closing && n.since.Before(before) {
			oldest, before = n, n.since
		}
		n.mu.Unlock()
	}
	if oldest == nil || !oldest.expireIf(p) {
		return false
	}
	c.closing++
	// It may wait for memory.
	c.changed.Broadcast()
	c.report(ReasonYielded)
	return true
}

// hasYielding reports whether there is a connection that yields after shortestStay. The caller holds mu.
func (c *Conns) hasYielding() bool {
	for n := range c.open {
		n.mu.Lock()
		p := n.phase
		n.mu.Unlock()
		if p <= phaseHead {
			return true
		}
	}
	return false
}

// makeRoom closes incomplete heads that are older than that of a connection, and waits until there is memory for it. It returns false if there is none then.
func (c *Conns) makeRoom(n *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if charged, final := n.retryCharge(time.Now()); final {
			return charged
		}
		if c.closing == 0 && !c.closeOldest(phaseHead, n.since) {
			return false
		}
		c.wait()
	}
}

// wait waits until a connection is closed, or for a short time. The caller holds mu.
func (c *Conns) wait() {
	timer := time.AfterFunc(shortestStay, c.changed.Broadcast)
	defer timer.Stop()
	c.changed.Wait()
}

// markClosing counts a connection as about to be closed.
func (c *Conns) markClosing(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := c.open[n]; !ok || n.closing {
		return
	}
	n.closing = true
	c.closing++
}

// unmarkClosing corrects the count if a head was complete just as its connection was to be closed.
func (c *Conns) unmarkClosing(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.phase == phaseActive && n.closing {
		n.closing = false
		c.closing--
		c.changed.Broadcast()
	}
}

// boundBodies returns a handler that sets a deadline for bodies. It does not act on requests without a body: the server then reads ahead, and a deadline
// would cancel the request.
func (c *Conns) boundBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit := c.Limits().BodyTimeout; limit > 0 && r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit))
		}
		next.ServeHTTP(w, r)
	})
}

func (c *Conns) report(reason Reason) {
	if c.OnClose != nil {
		c.OnClose(reason)
	}
}
