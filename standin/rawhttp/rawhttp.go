package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Server answers requests on a port of its own. It keeps connections open.
type Server struct {
	listener        net.Listener
	answer          func(*http.Request) string
	conns, requests atomic.Int32
}

// Start starts a Server. answer returns the bytes that it sends after it has read a request.
func Start(answer func(*http.Request) string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{listener: listener, answer: answer}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c)
		}
	}()
	return s, nil
}

// Address returns the address of the server as "IP:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// Conns returns the number of connections so far.
func (s *Server) Conns() int { return int(s.conns.Load()) }

// Requests returns the number of requests so far.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Close stops accepting connections.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if _, err := io.WriteString(c, s.answer(req)); err != nil {
			return
		}
	}
}
