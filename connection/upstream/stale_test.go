package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func failure(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", idHeader, id)
}

// TestConnectionKeepsFewFailures guards against a connection that keeps the ids of ever more failures.
func TestConnectionKeepsFewFailures(t *testing.T) {
	address, conns := startEngine(t, func(_, _ int, id string) string { return failure(id) })
	c := New()
	for i := range 2*maxFailed + 1 {
		if _, err := doNamed(c, address, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	if n := conns.Load(); n != 3 {
		t.Fatalf("%d connections, want 3", n)
	}
}

// TestInterimAnswersAreNoAnswers guards against an interim answer on a kept connection that counts as one that names no request.
func TestInterimAnswersAreNoAnswers(t *testing.T) {
	address, conns := startEngine(t, func(_, _ int, id string) string {
		return "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + idHeader + ": other\r\n\r\n" + reply(id, "for "+id)
	})
	c := New()
	for _, id := range []string{"1", "2", "3"} {
		if body, err := doNamed(c, address, id); err != nil || body != "for "+id {
			t.Fatalf("request %s got %q, %v", id, body, err)
		}
	}
	if n := conns.Load(); n != 1 {
		t.Fatalf("%d connections, want 1", n)
	}
}

// TestAnswerBeforeTheBodyIsRead guards against a request on a connection to which the body of the one before is still being written.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
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
			// The engine answers after the beginning of the request and reads no further.
			go func() {
				defer func() { _ = c.Close() }()
				head := make([]byte, 256)
				n, _ := c.Read(head)
				_, rest, _ := strings.Cut(string(head[:n]), idHeader+": ")
				id, _, _ := strings.Cut(rest, "\r\n")
				_, _ = io.WriteString(c, failure(id))
				time.Sleep(time.Second)
			}()
		}
	}()
	c := New()
	for _, id := range []string{"1", "2"} {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		r := named(id)
		r.Body = make([]byte, 32<<20)
		resp, err := c.Do(ctx, listener.Addr().String(), r, time.Now())
		if err != nil || resp.Status != http.StatusServiceUnavailable || resp.Header.Get(idHeader) != id {
			t.Fatalf("request %s: %+v, %v", id, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		cancel()
		if len(c.idle) > 0 && len(c.idle[listener.Addr().String()]) > 0 {
			t.Fatal("the connection is kept although its request is not written")
		}
	}
}

// named returns a request that states its id, as doNamed sends it.
func named(id string) Request {
	r := request(id)
	r.ID = id
	r.Unnamed = func(h http.Header) bool { return h.Get(idHeader) == "" }
	return r
}

func doNamed(c *Client, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, address, named(id), time.Now())
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
