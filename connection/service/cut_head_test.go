package service_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/vanillaroute/vanillaroute/connection/service"
	"github.com/vanillaroute/vanillaroute/wire"
)

// TestAnswersCutInTheirHeadAreLost guards against an answer whose head was cut by a service that closes the connection, and which looks complete.
func TestAnswersCutInTheirHeadAreLost(t *testing.T) {
	tests := []struct{ name, answer string }{
		{"with length", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody"},
		{"in chunks", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			var served atomic.Int64
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = conn.Read(make([]byte, 4096))
					_, _ = io.WriteString(conn, tt.answer[:served.Load()])
					_ = conn.Close()
				}
			}()
			client := service.New()
			for cut := range len(tt.answer) + 1 {
				served.Store(int64(cut))
				answer, err := client.Call(context.Background(), listener.Addr().String(), wire.ServiceCall{Method: http.MethodPost, Path: "/x"})
				if whole := string(answer.Body) == "body"; (err == nil) != whole {
					t.Fatalf("cut after %q: %+v, %v", tt.answer[:cut], answer, err)
				}
				if cut == len(tt.answer) && err != nil || cut < strings.Index(tt.answer, "body") && err == nil {
					t.Fatalf("cut after %q: %v", tt.answer[:cut], err)
				}
			}
		})
	}
}
