package fault

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// isServed reports whether a host gives a request that it has read to its handler.
func isServed(h *Host) (served bool) {
	defer func() { _ = recover() }()
	h.serveUnlessDown(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	return true
}

// TestRequestReadDuringCrashGetsNoAnswer has a request meet its host's crash: connections end a moment after it.
func TestRequestReadDuringCrashGetsNoAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lives := make(chan int, 2)
	h := NewHost(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { lives <- CrashesBefore(r) }), ln)
	defer h.Close()
	if !isServed(h) {
		t.Fatal("the host does not serve")
	}
	if !h.Crash(0, 300*time.Millisecond) {
		t.Fatal("the host did not crash")
	}
	if isServed(h) {
		t.Fatal("the host serves though it has crashed")
	}
	if life := <-lives; life != 0 {
		t.Errorf("the request came in life %d", life)
	}
}
