package fault

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// isServed reports whether the host passes a request to its handler.
func isServed(h *Host) (served bool) {
	defer func() { _ = recover() }()
	h.serveUnlessDown(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	return true
}

// TestRequestReadDuringCrashGetsNoAnswer guards against a crashed host that still answers: the connections are closed shortly
// after the crash begins, so a request can be read in between.
func TestRequestReadDuringCrashGetsNoAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	crashes := make(chan int, 2)
	h := NewHost(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { crashes <- CrashesBefore(r) }), ln)
	defer h.Close()
	if !isServed(h) {
		t.Fatal("host does not serve before the crash")
	}
	if !h.Crash(0, 300*time.Millisecond) {
		t.Fatal("host did not crash")
	}
	if isServed(h) {
		t.Fatal("host serves a request while it is down")
	}
	if n := <-crashes; n != 0 {
		t.Errorf("got %d crashes before the first request, want 0", n)
	}
}
