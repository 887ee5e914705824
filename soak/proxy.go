package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Modes of a proxy.
const (
	pass mode = iota
	// slow delays all data in both directions by slowDelay.
	slow
	// silent accepts connections and data but forwards nothing.
	silent
	// oneWay forwards no data from the server to the client.
	oneWay
	// refuse closes new and open connections.
	refuse
)

const (
	slowDelay    = 150 * time.Millisecond
	bufferSize   = 16 << 10
	pollInterval = 10 * time.Millisecond
)

type (
	mode int

	// proxy is a TCP proxy on loopback that injects network faults.
	proxy struct {
		target string
		// at is the address of the proxy, which stays the same.
		at string
		mu sync.Mutex
		// listener is nil while the proxy is suspended.
		listener net.Listener
		closed   bool
		mode     mode
		conns    map[net.Conn]bool
	}
)

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, at: listener.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	go p.accept(listener)
	return p, nil
}

func (p *proxy) address() string { return p.at }

// suspend makes the address refuse connections and resets the open ones. It returns false if the proxy is closed or suspended already.
func (p *proxy) suspend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener == nil {
		return false
	}
	_ = p.listener.Close()
	p.listener = nil
	p.resetLocked()
	return true
}

// resume accepts connections again at the same address, unless the proxy is closed.
func (p *proxy) resume() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	listener, err := net.Listen("tcp", p.at)
	if err != nil {
		return errors.Wrap(err, "listen again")
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// setMode changes the mode. The mode refuse resets all open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == refuse {
		p.resetLocked()
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked()
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
	p.resetLocked()
}

func (p *proxy) resetLocked() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == refuse {
			_ = client.Close()
			continue
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, false) })
	both.Go(func() { p.copy(client, server, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy forwards data from one connection to the other. It holds data back while the mode does not allow it.
func (p *proxy) copy(to, from net.Conn, toClient bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		for m := p.currentMode(); n > 0 && (m == silent || (m == oneWay && toClient)); m = p.currentMode() {
			time.Sleep(pollInterval)
		}
		if n > 0 && p.currentMode() == slow {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
				return
			}
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}
