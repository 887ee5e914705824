package main

import (
	"io"
	"net"
	"sync"
)

// proxy stands for the network of an engine's machine. It passes on what the engine's process sends, also the end of its connections. While the machine
// is dark, whoever connects gets no answer.
type proxy struct {
	listener net.Listener
	backend  string
	mu       sync.Mutex
	dark     bool
	held     []net.Conn
}

func newProxy(address, backend string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, backend: backend}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		dark := p.dark
		if dark {
			p.held = append(p.held, c)
		}
		p.mu.Unlock()
		if !dark {
			go p.serve(c)
		}
	}
}

func (p *proxy) serve(c net.Conn) {
	engine, err := net.Dial("tcp", p.backend)
	if err != nil {
		_ = c.Close()
		return
	}
	go func() {
		_, _ = io.Copy(engine, c)
		_ = engine.Close()
	}()
	_, _ = io.Copy(c, engine)
	// The engine's process has closed the connection.
	_ = c.Close()
	_ = engine.Close()
}

func (p *proxy) setDark(dark bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dark = dark
	if !dark {
		for _, c := range p.held {
			_ = c.Close()
		}
		p.held = nil
	}
}
