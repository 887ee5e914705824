package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// TestResetDuringTheRequestIsNoEndOfTheAnswer guards against the beginning of an answer without a length that counts as the whole one after a reset that the
// write of the request has taken from the kernel.
func TestResetDuringTheRequestIsNoEndOfTheAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	answered := make(chan struct{})
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\npart")
		<-answered
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r := request("1")
	// The buffers of the kernel hold less, so the write lasts until the reset.
	r.Body = make([]byte, 64<<20)
	c := New()
	resp, err := c.Do(ctx, listener.Addr().String(), r, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	close(answered)
	written := resp.Body.(*body).written //nolint:forcetypeassert // A panic fails the test.
	for len(written) == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	data, err := io.ReadAll(resp.Body)
	if err == nil {
		t.Errorf("%q counts as the whole answer", data)
	}
	_ = resp.Body.Close()
	if n := c.Counts(); n.InUse != 0 || n.Idle != 0 {
		t.Errorf("got %+v, want no connection", n)
	}
}
