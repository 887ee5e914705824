package idle

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const requestHeader = "X-Request"

// serve runs a server of a handler, and returns its connections and its address.
func serve(t *testing.T, limit time.Duration, handler http.HandlerFunc) (*Conns, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := New(func() time.Duration { return limit })
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- c.Serve(server, listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return c, listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// call sends a request and reads its answer.
func call(conn net.Conn, id string) error {
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", requestHeader, id); err != nil {
		return errors.Wrap(err, "send request")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Wrap(err, "read body")
}

func TestIdleConnectionsCloseAtLimit(t *testing.T) {
	const limit = 300 * time.Millisecond
	_, address := serve(t, limit, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * limit)
		w.WriteHeader(http.StatusNoContent)
	})
	conn := dial(t, address)
	for range 2 {
		if err := call(conn, "1"); err != nil {
			t.Fatalf("%v, though the connection was at work", err)
		}
		time.Sleep(limit / 3)
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * limit))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("the idle connection was not closed: %v", err)
	}
}

// TestRequestDuringCloseIsAnsweredOrNeverStarted sends requests at the moments at which idle connections end, or all do; those that the
// handler has begun must be answered.
func TestRequestDuringCloseIsAnsweredOrNeverStarted(t *testing.T) {
	const (
		limit   = 20 * time.Millisecond
		callers = 40
		rounds  = 15
		spread  = 400 * time.Microsecond
	)
	tests := []struct {
		name  string
		limit time.Duration
		stop  bool
	}{
		{"idle limit", limit, false},
		{"stop", 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for round := range rounds {
				var begun sync.Map
				conns, address := serve(t, tt.limit, func(w http.ResponseWriter, r *http.Request) {
					begun.Store(r.Header.Get(requestHeader), true)
					time.Sleep(time.Millisecond)
					w.WriteHeader(http.StatusNoContent)
				})
				var open []net.Conn
				var idleSince []time.Time
				for range callers {
					conn := dial(t, address)
					if err := call(conn, "first"); err != nil {
						t.Fatal(err)
					}
					open, idleSince = append(open, conn), append(idleSince, time.Now())
				}
				end := time.Now().Add(limit)
				var group sync.WaitGroup
				for i, conn := range open {
					at := end
					if !tt.stop {
						at = idleSince[i].Add(limit)
					}
					at = at.Add(time.Duration(i-callers/2) * spread / callers)
					group.Go(func() {
						time.Sleep(time.Until(at))
						id := strconv.Itoa(i)
						err := call(conn, id)
						if _, ok := begun.Load(id); ok && err != nil {
							t.Errorf("round %d: request %s was begun and not answered: %v", round, id, err)
						}
					})
				}
				if tt.stop {
					time.Sleep(time.Until(end))
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					if err := conns.Stop(ctx); err != nil {
						t.Error(err)
					}
					cancel()
				}
				group.Wait()
			}
		})
	}
}

// TestPartlyReadRequestIsNotClosed ends connections in the moment after a request's bytes were read.
func TestPartlyReadRequestIsNotClosed(t *testing.T) {
	caller, server := net.Pipe()
	defer func() { _ = caller.Close() }()
	n := &conn{Conn: server}
	n.startIdle(time.Minute)
	go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n") }()
	if _, err := n.Read(make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	n.expireIfIdle()
	if _, err := n.Read(make([]byte, 12)); err != nil {
		t.Fatalf("the request was cut: %v", err)
	}
}

// TestStopWaitsForRequestsOnly stops a server that has a connection without a request and one in the middle of a request.
func TestStopWaitsForRequestsOnly(t *testing.T) {
	const patience = 4 * time.Second
	begun, goOn := make(chan struct{}), make(chan struct{})
	c, address := serve(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-goOn
		_, _ = io.WriteString(w, "whole")
	})
	_ = dial(t, address)
	answer := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + address)
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
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := c.Stop(ctx); err != nil {
		t.Error(err)
	}
	if got := <-answer; got != "whole" {
		t.Errorf("the request in progress got %q", got)
	}
}

// TestStopReportsOpenConnections stops a server whose handler does not end.
func TestStopReportsOpenConnections(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	defer close(goOn)
	c, address := serve(t, 0, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-goOn
	})
	conn := dial(t, address)
	go func() { _ = call(conn, "1") }()
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := c.Stop(ctx); err == nil || !strings.Contains(err.Error(), "1 connections are in use") {
		t.Errorf("got %v", err)
	}
}
