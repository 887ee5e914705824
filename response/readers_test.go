package response_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/caller"
	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/connection/gateway"
	"github.com/vanillaroute/vanillaroute/connection/instances"
	"github.com/vanillaroute/vanillaroute/connection/service"
	"github.com/vanillaroute/vanillaroute/standin/rawhttp"
	"github.com/vanillaroute/vanillaroute/wire"
)

// TestReadersRejectMalformedResponses guards against a client that net/http gives a malformed response, or that uses its connection again.
func TestReadersRejectMalformedResponses(t *testing.T) {
	ignore := func([]byte) {}
	newEngine := func(address string) *engine.Client { return engine.New(address, engine.NewTransport()) }
	const stream = "data: {}\n\ndata: [DONE]\n\n"
	readers := []struct {
		name, body string
		read       func(ctx context.Context, address string) error
	}{
		{"chat", "{}", func(ctx context.Context, address string) error {
			return newEngine(address).Stream(ctx, engine.Call{}, ignore)
		}},
		{"streamed chat", stream, func(ctx context.Context, address string) error {
			return newEngine(address).Stream(ctx, engine.Call{Stream: true}, ignore)
		}},
		{"resumed chat", stream, func(ctx context.Context, address string) error { return newEngine(address).Resume(ctx, "r", 1, ignore) }},
		{"cancellation", "", func(ctx context.Context, address string) error { return newEngine(address).Cancel(ctx, "r") }},
		{"load report", "{}", func(ctx context.Context, address string) error {
			_, err := newEngine(address).Load(ctx)
			return err
		}},
		{"order", "", func(ctx context.Context, address string) error { return newEngine(address).Order(ctx, 1, nil) }},
		{"service", "x", func(ctx context.Context, address string) error {
			_, err := service.New().Call(ctx, address, wire.ServiceCall{Method: http.MethodPost, Path: "/x"})
			return err
		}},
		{"store", "{}", func(ctx context.Context, address string) error {
			_, err := gateway.New(address).Get(ctx, "k")
			return err
		}},
		{"list of instances", "[]", func(ctx context.Context, address string) error {
			_, err := instances.New(address).List(ctx)
			return err
		}},
		{"caller's call", "x", func(ctx context.Context, address string) error {
			_, err := caller.New([]string{"http://" + address}, "k").Do(ctx, caller.Call{Service: "s", Method: http.MethodGet, Path: "/x"})
			return err
		}},
		{"caller's chat", "data: [DONE]\n\n", func(ctx context.Context, address string) error {
			s, err := caller.New([]string{"http://" + address}, "k").Stream(ctx, caller.Chat{})
			if err != nil {
				return err
			}
			_, err = s.ReadAll()
			return err
		}},
	}
	heads := []struct {
		name, head string
		malformed  bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\nX-Other: x\r\nContent-Length: %d\r\n\r\n%s", false},
		{"sound after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", false},
		{"status 000", "HTTP/1.1 000 Zero\r\nContent-Length: %d\r\n\r\n%s", true},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Other: x\r\nContent-Length: %d\r\n\r\n%s", true},
		{"control character in a value", "HTTP/1.1 200 OK\r\nX-Other: \x7f\r\nContent-Length: %d\r\n\r\n%s", true},
		{"line feed before a name", "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\nX-Other: x\r\n\r\n%s", true},
		{"after a malformed interim response", "HTTP/1.1 103 Early Hints\r\nX Other: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", true},
	}
	for _, r := range readers {
		for _, h := range heads {
			t.Run(r.name+"/"+h.name, func(t *testing.T) {
				t.Parallel()
				server, err := rawhttp.Start(func(*http.Request) string { return fmt.Sprintf(h.head, len(r.body), r.body) })
				if err != nil {
					t.Fatal(err)
				}
				defer server.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if err := r.read(ctx, server.Address()); (err != nil) != h.malformed {
					t.Errorf("got %v", err)
				}
				if h.malformed && server.Conns() != server.Requests() {
					t.Errorf("%d connections for %d requests", server.Conns(), server.Requests())
				}
			})
		}
	}
}
