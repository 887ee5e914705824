package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that were idle for longer than the configuration in force allows.
type idleConns struct {
	// limit returns how long a connection may be idle, or 0 for any time.
	limit func() time.Duration
	mu    sync.Mutex
	ends  map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, ends: make(map[net.Conn]*time.Timer)}
}

// changed follows the state of a connection.
func (i *idleConns) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if end, ok := i.ends[c]; ok {
		end.Stop()
		delete(i.ends, c)
	}
	if limit := i.limit(); state == http.StateIdle && limit > 0 {
		i.ends[c] = time.AfterFunc(limit, func() { _ = c.Close() })
	}
}
