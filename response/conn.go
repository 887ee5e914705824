package response

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

type (
	// Conn is a connection to an HTTP/1.1 server. Reading fails with *MalformedError at a malformed head of a response that is expected, and with the error
	// of the connection if it broke off where a read would return io.EOF.
	Conn struct {
		net.Conn

		// readMu guards head and err.
		readMu sync.Mutex
		// head checks the head of the expected response, or is nil if none is expected.
		head *head
		// err is the error at which checking ended.
		err error

		// writeMu is held during a write, and guards writeErr.
		writeMu sync.Mutex
		// writeErr is the error of the first write that failed.
		writeErr error
	}

	// body is the body of a response. Reading fails at its end if the trailer is malformed.
	body struct {
		io.ReadCloser
		resp *http.Response
		// conn is closed if the trailer is malformed.
		conn *Conn
	}
)

// NewConn returns a Conn that expects no response yet.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// ReadResponse reads the head of the next response to a request with that method. r buffers what is read from the connection.
func (c *Conn) ReadResponse(r *bufio.Reader, method string) (*http.Response, error) {
	buffered, err := r.Peek(r.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.expect(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	c.guardBody(resp)
	return resp, nil
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if checkErr := c.check(p[:n]); checkErr != nil {
		return 0, checkErr
	}
	if errors.Is(err, io.EOF) {
		if broken := c.breakOff(); broken != nil {
			return n, errors.Wrap(broken, "the connection broke off during the request")
		}
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// SyscallConn returns the raw connection. It fails if there is none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return sys.SyscallConn()
}

// expect checks the head of the next response. buffered are the bytes that were read after the response before it.
func (c *Conn) expect(buffered []byte) error {
	c.readMu.Lock()
	c.head, c.err = &head{}, nil
	c.readMu.Unlock()
	return c.check(buffered)
}

// isExpecting reports whether the head of the expected response has not been read.
func (c *Conn) isExpecting() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.head != nil
}

// check checks bytes that arrived until the head of a response is complete that is not interim.
func (c *Conn) check(data []byte) error {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for c.err == nil && c.head != nil && len(data) > 0 {
		n, complete, err := c.head.read(data)
		data, c.err = data[n:], err
		switch {
		case !complete:
		case c.head.isInterim():
			c.head = &head{}
		default:
			c.head = nil
		}
	}
	return c.err
}

// breakOff returns the error of a connection that broke off, at an io.EOF. The kernel reports a reset to one call only: if a write takes it, the reads after it
// return io.EOF as if the server had closed the connection. A write gets EPIPE if the server had done so before.
func (c *Conn) breakOff() error {
	if !c.writeMu.TryLock() {
		if c.isClosedByServer() {
			return nil
		}
		// The write ends as well.
		c.writeMu.Lock()
	}
	defer c.writeMu.Unlock()
	var errno syscall.Errno
	if errors.As(c.writeErr, &errno) && errno != unix.EPIPE {
		return c.writeErr
	}
	return nil
}

// isClosedByServer reports whether the server has closed its side of a connection that has not ended.
func (c *Conn) isClosedByServer() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return err == nil && infoErr == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
}

// guardBody lets reading the body fail if its trailer is malformed.
func (c *Conn) guardBody(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp, conn: c}
	}
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkTrailer(b.resp.Trailer); malformed != nil {
			_ = b.conn.Close()
			return n, malformed
		}
	}
	return n, err
}
