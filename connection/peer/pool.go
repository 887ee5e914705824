package peer

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	dialTimeout      = 500 * time.Millisecond
	handshakeTimeout = 2 * time.Second
	keepAlivePeriod  = 2 * time.Second
	// maxHelloBytes bounds the first frame of a connection, since the sender is not known before.
	maxHelloBytes = 1 << 10
	// maxHandshakes bounds the connections whose sender is not known yet.
	maxHandshakes = 64
	// acceptPause is the time before Accept is called again after an error, such as a lack of descriptors.
	acceptPause = 10 * time.Millisecond
)

type (
	// Identity is how a router introduces itself to its peers, with its TLS configuration, or nil if peers don't use TLS.
	Identity struct {
		Router      ident.Router
		Incarnation ident.Incarnation
		TLS         *tls.Config
		// Wrap wraps each connection once the peer is known. It may be nil.
		Wrap func(peer ident.Router, c net.Conn) net.Conn
		// Limits bound each connection.
		Limits Limits
	}

	// Directory returns the address of a router, and whether the router is known.
	Directory func(ident.Router) (address string, known bool)

	// Pool keeps one connection to each peer that was called, and dials again when it is lost.
	Pool struct {
		self      Identity
		directory Directory
		mu        sync.Mutex
		slots     map[ident.Router]*slot
		closed    bool
	}

	// slot holds the connection to one peer. Its lock is held while dialling.
	slot struct {
		mu   sync.Mutex
		conn *Conn
	}

	// UnreachableError is returned if no connection to a router could be made, so that nothing was sent.
	UnreachableError struct {
		Router ident.Router
		Cause  error
	}

	// Handler serves one stream that a peer opened. first is the stream's first frame.
	Handler func(ctx context.Context, from ident.Router, s *Stream, first wire.Frame)
)

// Error returns the message with the router and the cause.
func (e *UnreachableError) Error() string {
	return "router " + string(e.Router) + " unreachable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// NewPool returns a Pool without connections.
func NewPool(self Identity, directory Directory) *Pool {
	return &Pool{self: self, directory: directory, slots: make(map[ident.Router]*slot)}
}

// Conn returns the connection to the router, and dials it if there is none. It fails with *UnreachableError.
func (p *Pool) Conn(ctx context.Context, to ident.Router) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &UnreachableError{Router: to, Cause: ErrClosed}
	}
	s, ok := p.slots[to]
	if !ok {
		s = &slot{}
		p.slots[to] = s
	}
	p.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && !s.conn.lost() {
		return s.conn, nil
	}
	conn, err := p.dial(ctx, to)
	if err != nil {
		return nil, &UnreachableError{Router: to, Cause: err}
	}
	s.conn = conn
	return conn, nil
}

// Call sends a call and waits for its reply. It fails with *UnreachableError only if nothing was sent.
func (p *Pool) Call(ctx context.Context, to ident.Router, call wire.Call) (wire.Reply, error) {
	conn, err := p.Conn(ctx, to)
	if err != nil {
		return wire.Reply{}, err
	}
	s, err := conn.Open(ctx, wire.KindCall, wire.Encode(call))
	if err != nil {
		return wire.Reply{}, err
	}
	defer s.Close()
	f, err := s.Receive(ctx)
	if err != nil {
		return wire.Reply{}, err
	}
	return wire.Decode[wire.Reply](f.Body)
}

// Close closes all connections. Further calls of Conn fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	slots := p.slots
	p.slots = make(map[ident.Router]*slot)
	p.mu.Unlock()
	for _, s := range slots {
		s.mu.Lock()
		if s.conn != nil {
			s.conn.Close()
		}
		s.mu.Unlock()
	}
}

func (i Identity) wrap(peer ident.Router, c net.Conn) net.Conn {
	if i.Wrap == nil {
		return c
	}
	return i.Wrap(peer, c)
}

func (c *Conn) lost() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (p *Pool) dial(ctx context.Context, to ident.Router) (*Conn, error) {
	address, known := p.directory(to)
	if !known {
		return nil, errors.New("router is not in the list of instances")
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: keepAlivePeriod}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	if p.self.TLS != nil {
		secured := tls.Client(raw, p.self.TLS)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, errors.Wrap(err, "tls handshake")
		}
		raw = secured
	}
	conn := newConn(p.self.wrap(to, raw), p.self.Limits, nil)
	hello := wire.Frame{Kind: wire.KindHello, Body: wire.Encode(wire.Hello{Router: p.self.Router, Incarnation: p.self.Incarnation})}
	if err := wire.Write(conn.raw, hello); err != nil {
		conn.Close()
		return nil, err
	}
	go conn.writeLoop()
	go func() { _ = conn.readLoop() }()
	return conn, nil
}

// Serve accepts connections of peers until the listener is closed, and returns nil then. The connections end with ctx.
func Serve(ctx context.Context, ln net.Listener, self Identity, handle Handler) error {
	var group sync.WaitGroup
	defer group.Wait()
	var pending handshakes
	for {
		raw, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			pause.For(ctx, acceptPause)
			continue
		}
		pending.add(raw)
		group.Go(func() { serveConn(ctx, raw, self, handle, &pending) })
	}
}

// handshakes are the connections whose sender is not known yet, oldest first.
type handshakes struct {
	mu    sync.Mutex
	conns []net.Conn
}

// add adds a connection, and closes the oldest one if there are more than maxHandshakes.
func (h *handshakes) add(raw net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.conns) >= maxHandshakes {
		_ = h.conns[0].Close()
		h.conns = slices.Delete(h.conns, 0, 1)
	}
	h.conns = append(h.conns, raw)
}

func (h *handshakes) remove(raw net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.conns, raw); i >= 0 {
		h.conns = slices.Delete(h.conns, i, i+1)
	}
}

func serveConn(ctx context.Context, raw net.Conn, self Identity, handle Handler, pending *handshakes) {
	accepted := raw
	if self.TLS != nil {
		raw = tls.Server(raw, self.TLS)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	hello, err := readHello(raw)
	pending.remove(accepted)
	if err != nil {
		// A TLS connection would first write an alert, for which the sender may have no room.
		_ = accepted.Close()
		return
	}
	conn := newConn(self.wrap(hello.Router, raw), self.Limits, func(s *Stream, f wire.Frame) { handle(ctx, hello.Router, s, f) })
	go conn.writeLoop()
	_ = conn.readLoop()
}

// readHello reads the first frame of a connection within handshakeTimeout.
func readHello(raw net.Conn) (wire.Hello, error) {
	_ = raw.SetDeadline(time.Now().Add(handshakeTimeout))
	first, err := wire.ReadUpTo(raw, maxHelloBytes)
	if err != nil {
		return wire.Hello{}, err
	}
	if first.Kind != wire.KindHello {
		return wire.Hello{}, errors.New("the first frame is no hello")
	}
	_ = raw.SetDeadline(time.Time{})
	return wire.Decode[wire.Hello](first.Body)
}
