package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const idHeader = "X-Id"

// startEngine serves each request of a connection with the bytes that answer returns for its id. A trailing "CLOSE" or "RESET" is not
// sent but closes or resets the connection. It returns the address and the number of connections so far.
func startEngine(t *testing.T, answer func(conn, request int, id string) string) (string, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	conns := &atomic.Int32{}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c, int(conns.Add(1)), answer)
		}
	}()
	return listener.Addr().String(), conns
}

func serve(c net.Conn, number int, answer func(conn, request int, id string) string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		reply := answer(number, n, req.Header.Get(idHeader))
		body, closes := strings.CutSuffix(reply, "CLOSE")
		body, resets := strings.CutSuffix(body, "RESET")
		_, _ = io.WriteString(c, body)
		if resets {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		if closes || resets {
			return
		}
	}
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func request(id string) Request {
	return Request{
		Method: http.MethodPost, Target: "/p?q=%20", Host: "h.example", Header: http.Header{idHeader: {id}}, Body: []byte("body"), MaxIdle: time.Second,
		Matches: func(h http.Header) bool { return h.Get(idHeader) == id },
	}
}

func do(c *Client, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, address, request(id), time.Now())
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return string(body), err
}

func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	tests := []struct {
		name   string
		answer func(conn, request int, id string) string
	}{
		{"late answer to an earlier request", func(_, n int, id string) string {
			if n == 2 {
				return reply("1", "late") + reply(id, "for "+id)
			}
			return reply(id, "for "+id)
		}},
		{"extra answer after the matching one", func(_, _ int, id string) string { return reply(id, "for "+id) + reply(id, "extra") }},
		{"interim answer", func(_, _ int, id string) string { return "HTTP/1.1 102 Processing\r\n\r\n" + reply(id, "for "+id) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, _ := startEngine(t, tt.answer)
			c := New()
			for _, id := range []string{"1", "2", "3"} {
				if body, err := do(c, address, id); err != nil || body != "for "+id {
					t.Fatalf("request %s got %q, %v", id, body, err)
				}
			}
		})
	}
}

func TestConnectionsAreReusedOnlyAfterCompleteAnswers(t *testing.T) {
	tests := []struct {
		name   string
		answer func(conn, request int, id string) string
		conns  int32
	}{
		{"complete answers", func(_, _ int, id string) string { return reply(id, "x") }, 1},
		{"engine sends Connection: close", func(_, _ int, id string) string {
			return strings.Replace(reply(id, "x"), "\r\n", "\r\nConnection: close\r\n", 1)
		}, 3},
		{"engine closes without announcement", func(_, _ int, id string) string { return reply(id, "x") + "CLOSE" }, 3},
		{"idle time-out of the engine is shorter than the margin", func(_, _ int, id string) string {
			return strings.Replace(reply(id, "x"), "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1)
		}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, conns := startEngine(t, tt.answer)
			c := New()
			for _, id := range []string{"1", "2", "3"} {
				if _, err := do(c, address, id); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if got := conns.Load(); got != tt.conns {
				t.Fatalf("%d connections, want %d", got, tt.conns)
			}
		})
	}
}

func TestErrorsSayWhetherTheRequestMayHaveRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	silent, _ := startEngine(t, func(int, int, string) string { return "" })
	resets, _ := startEngine(t, func(int, int, string) string { return "RESET" })
	garbled, _ := startEngine(t, func(int, int, string) string { return "no HTTP at all\r\n\r\nCLOSE" })
	tests := []struct {
		name, address string
		sent          bool
	}{
		{"refused", closed.Addr().String(), false},
		{"reset", resets, true},
		{"not HTTP", garbled, true},
		{"silent", silent, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := New().Do(ctx, tt.address, request("1"), time.Now())
			var unsent *NotSentError
			var lost *LostError
			if errors.As(err, &unsent) == tt.sent || errors.As(err, &lost) != tt.sent {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestTruncatedAnswersAreErrors(t *testing.T) {
	tests := []struct{ name, answer string }{
		{"shorter than its length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nhalfCLOSE"},
		{"without its last chunk", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nCLOSE"},
		{"unframed and reset", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhalfRESET"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, _ := startEngine(t, func(int, int, string) string { return tt.answer })
			if body, err := do(New(), address, "1"); err == nil {
				t.Fatalf("truncated answer %q was taken for complete", body)
			}
		})
	}
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	address, _ := startEngine(t, func(int, int, string) string { return "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwholeCLOSE" })
	if body, err := do(New(), address, "1"); err != nil || body != "whole" {
		t.Fatalf("got %q, %v", body, err)
	}
}
