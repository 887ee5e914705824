package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestResetQuestionsAreNotSilence guards against taking an engine for silent that resets connections directly after accepting them. The reset can then
// arrive before the connection attempt returns, so many attempts are made.
func TestResetQuestionsAreNotSilence(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if tcp, ok := c.(*net.TCPConn); ok {
				// Close then sends a reset.
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	const (
		questions = 500
		// timeout is longer than a busy machine keeps a process waiting: with 100 ms, 2 of 60,000 questions timed out under load.
		timeout = 5 * time.Second
	)
	shown := make(map[Life]int)
	for range questions {
		shown[askHealth(t.Context(), listener.Addr().String(), "/health", timeout, func(http.Header) bool { return true })]++
	}
	if shown[ResetByPeer] != questions {
		t.Errorf("got %v, want %d times ResetByPeer", shown, questions)
	}
}

// TestMalformedAnswerIsNoSignOfLife guards against a malformed answer that counts as an engine's.
func TestMalformedAnswerIsNoSignOfLife(t *testing.T) {
	for head, want := range map[string]Life{"HTTP/1.1 503 No\r\n": Alive, "HTTP/1.1 000 Zero\r\n": Silent, "HTTP/1.1 200 OK\r\nX Other: x\r\n": Silent} {
		address, _ := startEngine(t, func(int, int, string) string { return head + "Content-Length: 0\r\n\r\n" })
		if got := askHealth(t.Context(), address, "/health", 5*time.Second, func(http.Header) bool { return true }); got != want {
			t.Errorf("%q: got %d, want %d", head, got, want)
		}
	}
}
