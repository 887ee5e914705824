package response

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// heldConn is a connection whose failed write returns only after a read has returned io.EOF. With late set, reads after the first wait for the write to fail.
type heldConn struct {
	*net.TCPConn
	failed, ended chan struct{}
	late          bool
	reads         int
}

func (c *heldConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		close(c.failed)
		<-c.ended
	}
	return n, err
}

func (c *heldConn) Read(p []byte) (int, error) {
	if c.reads++; c.late && c.reads > 1 {
		<-c.failed
	}
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) {
		close(c.ended)
	}
	return n, err
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func dialHeld(address string) (*heldConn, error) {
	to, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	c, err := net.DialTCP("tcp", nil, to)
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: c, failed: make(chan struct{}), ended: make(chan struct{})}, nil
}

// reset closes a connection so that the peer gets a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestEndOfAConnectionDuringAWrite guards against a reset that a write takes from the kernel before a read, and against an early answer whose server has
// closed its side and is taken for reset.
func TestEndOfAConnectionDuringAWrite(t *testing.T) {
	closeWrite := func(c *net.TCPConn) { _ = c.CloseWrite() }
	tests := []struct {
		name string
		// ends are the steps in which the server ends the connection while it reads nothing.
		ends []func(*net.TCPConn)
		// fails says that they let the write fail.
		fails bool
		want  error
	}{
		{"reset", []func(*net.TCPConn){reset}, true, unix.ECONNRESET},
		{"closed by the server, which may read later", []func(*net.TCPConn){closeWrite}, false, nil},
		{"closed by the server, then reset", []func(*net.TCPConn){closeWrite, reset}, true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener := listen(t)
			held, err := dialHeld(listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			accepted, err := listener.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = accepted.Close() }()
			_ = held.SetDeadline(time.Now().Add(10 * time.Second))
			c := NewConn(held)
			defer func() { _ = c.Close() }()
			go func() { _, _ = c.Write(make([]byte, 64<<20)) }()
			if _, err := io.ReadFull(accepted, make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(accepted, "part")
			for _, end := range tt.ends {
				end(accepted)
			}
			if tt.fails {
				<-held.failed
			}
			data, err := io.ReadAll(c)
			if string(data) != "part" || !errors.Is(err, tt.want) {
				t.Errorf("got %q, %v, want %v", data, err, tt.want)
			}
		})
	}
}

// TestTransportTellsResetFromEnd guards against the same through net/http, which looks at the result of a write too late.
func TestTransportTellsResetFromEnd(t *testing.T) {
	listener := listen(t)
	answered := make(chan struct{})
	go func() {
		c, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		// The rest of the request stays unread.
		_, _ = c.Read(make([]byte, 1))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		<-answered
		reset(c)
	}()
	transport := NewTransport(&http.Transport{DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
		c, err := dialHeld(address)
		if err != nil {
			return nil, err
		}
		c.late = true
		return c, nil
	}})
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: 10 * time.Second}).Post("http://"+listener.Addr().String(), "", bytes.NewReader(make([]byte, 64<<20)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	close(answered)
	if data, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("%q counts as the whole answer", data)
	}
}
