package unused

import (
	"net"
	"net/http"
	"sync"
)

// Conns are the connections of a server on which no request has begun.
type Conns struct {
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// New returns no connections.
func New() *Conns { return &Conns{conns: make(map[net.Conn]struct{})} }

// Changed follows the state of a connection; it is for http.Server's ConnState.
func (c *Conns) Changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateNew {
		delete(c.conns, conn)
		return
	}
	if c.closed {
		_ = conn.Close()
		return
	}
	c.conns[conn] = struct{}{}
}

// Close closes them, and those that come later. Server.Shutdown takes a new connection for one in use for five seconds.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
}
