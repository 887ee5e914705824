package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// endingEngine is an engine that sends an answer without a length and closes its connection. After that, its address accepts connections as an option
// says.
type endingEngine struct {
	listener net.Listener
	answer   string
	// ended says that the answer has been sent. accept handles later connections and reports whether the address accepts another.
	ended  atomic.Bool
	accept func(net.Conn) bool
	// again says that a later incarnation is registered before the answer ends.
	again bool
}

// startEndingEngine starts the engine as the only one of the fixture. The others take requests once it has one.
func startEndingEngine(t testing.TB, f *fixture, e *endingEngine) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e.listener = listener
	others := f.engines.Load().All()
	own := engines.Engine{ID: "ending", Service: service, Address: listener.Addr().String()}
	f.engines.Store(engines.NewList([]engines.Engine{own}))
	go func() {
		defer func() { _ = listener.Close() }()
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if e.ended.Load() {
				if !e.accept(c) {
					return
				}
				continue
			}
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				continue
			}
			registered := own
			if e.again {
				registered.StartedAtMs++
			}
			f.engines.Store(engines.NewList(append(slices.Clone(others), registered)))
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: seal\r\n\r\n%s", testNames.RequestID, r.Header.Get(testNames.RequestID), testNames.ResponseSeal, e.answer)
			e.ended.Store(true)
			_ = c.Close()
		}
	}()
}

// resetConn ends a connection without an answer, as the kernel does for a process that is killed.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// answerHealth answers as an engine with that id.
func answerHealth(c net.Conn, id string) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", testNames.EngineID, id)
	}
	_ = c.Close()
}

// TestStreamOfAnEndingEngineIsResumed guards against taking a stream for whole although its engine was killed, when its address still accepts
// connections, or accepts them again.
func TestStreamOfAnEndingEngineIsResumed(t *testing.T) {
	const last, sent = 6, 3
	var left atomic.Int32
	left.Store(2)
	tests := []struct {
		name    string
		accept  func(net.Conn) bool
		resumed bool
		// again says that a later incarnation of the engine is registered.
		again bool
	}{
		{"address closes later", func(c net.Conn) bool { resetConn(c); return left.Add(-1) > 0 }, true, false},
		{"another engine at the address", func(c net.Conn) bool { answerHealth(c, "other"); return true }, true, false},
		{"still running", func(c net.Conn) bool { answerHealth(c, "ending"); return true }, false, false},
		{"started again", func(c net.Conn) bool { answerHealth(c, "ending"); return true }, true, true},
		{"as many connections as it accepts", func(c net.Conn) bool { resetConn(c); return true }, false, false},
		{"silent", func(net.Conn) bool { return true }, false, false},
	}
	route := routing.Route{Kind: routing.Stream, Resumable: true, MaxEngines: 2, TargetFirstByte: time.Second}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, route, func(_ int, w http.ResponseWriter, _ *http.Request) { writeSealed(w, events(sent+1, last)) })
			startEndingEngine(t, f, &endingEngine{answer: events(1, sent), accept: tt.accept, again: tt.again})
			want := events(1, sent)
			if tt.resumed {
				want = events(1, last)
			}
			if resp, body, err := f.send(t, nil); err != nil || resp.StatusCode != http.StatusOK || body != want {
				t.Errorf("got %v, %q, %v, want %q", resp, body, err, want)
			}
		})
	}
}

// BenchmarkEndOfAnswer measures answers with a length, and answers that end with their connection.
func BenchmarkEndOfAnswer(b *testing.B) {
	for _, framed := range []bool{true, false} {
		b.Run(fmt.Sprintf("framed=%t", framed), func(b *testing.B) {
			f := newFixture(b, routing.Route{Kind: routing.Idempotent}, func(_ int, w http.ResponseWriter, _ *http.Request) {
				if framed {
					writeSealed(w, "whole")
					return
				}
				writeUnframed(w, "whole", false)
			})
			took := make([]time.Duration, 0, b.N)
			for b.Loop() {
				began := time.Now()
				resp, body, err := f.send(b, nil)
				if err != nil || resp.StatusCode != http.StatusOK || body != "whole" {
					b.Fatalf("got %v, %q, %v", resp, body, err)
				}
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			b.ReportMetric(float64(f.runs.Load())/float64(len(took)), "runs/answer")
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}
