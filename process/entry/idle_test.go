package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func TestIdleConnectionsEndAtTheLimitAndNotBefore(t *testing.T) {
	const limit = 300 * time.Millisecond
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * limit)
		w.WriteHeader(http.StatusNoContent)
	}))
	idle := newIdleConns(func() time.Duration { return limit })
	server.Config.ConnState = idle.changed
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 1024)
	for range 2 {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if n, err := conn.Read(buffer); err != nil || !strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 204") {
			t.Fatalf("got %q, %v, though the connection was at work", buffer[:n], err)
		}
		time.Sleep(limit / 3)
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * limit))
	if _, err := conn.Read(buffer); !errors.Is(err, io.EOF) {
		t.Fatalf("the idle connection was not closed: %v", err)
	}
}
