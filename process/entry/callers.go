package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/idle"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
)

const (
	// headerTimeout bounds how long a caller may take to send the header of a request if the configuration does not.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the header of a request if the configuration does not, at four times what configurations allow callers.
	maxHeaderBytes = 64 << 10
	// readTimeout is how long a caller may read nothing of its answer if the configuration does not bound how long a connection may be idle.
	readTimeout = 30 * time.Second
)

// closedConnections counts the connections that limits have closed since the last log line.
type closedConnections struct {
	mu      sync.Mutex
	reasons map[idle.Reason]int
}

// newConns returns the connections of a listener. maxConns chooses their bound.
func (n *Instance) newConns(maxConns func(connections) int) *idle.Conns {
	return idle.New(idle.Options{Memory: n.peerBytes, OnClose: n.recordClosed, Limits: func() idle.Limits {
		limits := n.callerLimits()
		limits.MaxConns = maxConns(*n.connections.Load())
		return limits
	}})
}

// newServer returns a server whose limits idle.Conns sets.
func (n *Instance) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(n.log)}
}

// serveOther serves one of the listeners beside that for callers.
func (n *Instance) serveOther(server *http.Server, l net.Listener) error {
	return n.newConns(func(c connections) int { return c.other }).Serve(server, l)
}

// callerLimits returns the limits of callers' connections under the configuration in force, without a bound on their number.
func (n *Instance) callerLimits() idle.Limits {
	var configured routing.Limits
	if c := n.snapshot.Load().configuration; c != nil {
		configured = c.Limits
	}
	limits := idle.Limits{MaxHeadBytes: maxHeaderBytes, FirstByteTimeout: headerTimeout, HeadTimeout: headerTimeout, IdleTimeout: configured.IdleTimeout, WriteTimeout: readTimeout}
	if configured.MaxHeaderBytes > 0 {
		limits.MaxHeadBytes = configured.MaxHeaderBytes
	}
	if configured.HeaderTimeout > 0 {
		limits.HeadTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		limits.FirstByteTimeout = min(headerTimeout, configured.IdleTimeout)
		limits.WriteTimeout = configured.IdleTimeout
	}
	limits.MaxHeadBytes = min(limits.MaxHeadBytes, n.peerBytes.Max()/headCost)
	limits.BodyTimeout = limits.HeadTimeout
	return limits
}

// recordClosed counts a connection that a limit has closed.
func (n *Instance) recordClosed(reason idle.Reason) {
	n.metrics.Add("connectionsClosed_"+string(reason), 1)
	n.closed.mu.Lock()
	defer n.closed.mu.Unlock()
	if n.closed.reasons == nil {
		n.closed.reasons = make(map[idle.Reason]int)
	}
	n.closed.reasons[reason]++
}

// logClosed logs the connections that limits have closed since the last call, in one line.
func (n *Instance) logClosed() {
	n.closed.mu.Lock()
	reasons := n.closed.reasons
	n.closed.reasons = nil
	n.closed.mu.Unlock()
	if len(reasons) > 0 {
		n.log.Warn("connections closed", zap.Any("reasons", reasons))
	}
}
