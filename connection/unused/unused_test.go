package unused

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestShutdownWaitsForRequestsOnly stops a server that has a connection without a request and one in the middle of a request.
func TestShutdownWaitsForRequestsOnly(t *testing.T) {
	const patience = 4 * time.Second
	begun, goOn := make(chan struct{}), make(chan struct{})
	c := New()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-goOn
		_, _ = io.WriteString(w, "whole")
	}))
	server.Config.ConnState = c.Changed
	server.Start()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	answer := make(chan string, 1)
	go func() {
		resp, err := http.Get(server.URL)
		if err != nil {
			answer <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		answer <- string(body)
	}()
	<-begun
	time.AfterFunc(100*time.Millisecond, func() { close(goOn) })
	c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := server.Config.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if got := <-answer; got != "whole" {
		t.Errorf("the request in progress got %q", got)
	}
}
