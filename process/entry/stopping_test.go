package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

// TestRequestsAreAnsweredUntilTheInstanceEnds guards against requests that are passed on late in a planned stop and cut off without an answer.
func TestRequestsAreAnsweredUntilTheInstanceEnds(t *testing.T) {
	const (
		// fromStop is when the rest of a late request arrives: the instance has left the address lists for a while.
		fromStop = 1500 * time.Millisecond
		grace    = 5 * time.Second
	)
	tests := []struct {
		name string
		// late says that the end of the request arrives late in the stop, and deadline is the time that its caller waits.
		late       bool
		engineTime time.Duration
		deadline   time.Duration
		want, runs int
	}{
		{"in progress", false, 2 * grace, 3 * grace, http.StatusBadGateway, 1},
		{"late, to be answered in time", true, 100 * time.Millisecond, time.Second, http.StatusOK, 1},
		{"late, longer than the instance lives", true, 2 * grace, 3 * grace, http.StatusServiceUnavailable, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			f.engineDelay = tt.engineTime
			conn, err := net.Dial("tcp", f.nodes[0].settings.Instance.Callers.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: h.example\r\nX-Request: %s\r\nX-Deadline: %d\r\nContent-Length: 0\r\nAuthorization: ",
				patientPath, ident.NewRequest(), tt.deadline.Milliseconds())
			rest := keyHeader + oneKey + "\r\n\r\n"
			if tt.late {
				write(t, conn, head)
				time.Sleep(100 * time.Millisecond)
			} else {
				write(t, conn, head+rest)
				f.eventually(func() bool { return f.runs.Load() == 1 }, "the engine does not get the request")
			}
			stopped := time.Now()
			halted := make(chan struct{})
			go func() {
				f.halt(0)
				close(halted)
			}()
			defer func() { <-halted }()
			if tt.late {
				time.Sleep(fromStop)
				write(t, conn, rest)
			}
			if err := conn.SetReadDeadline(stopped.Add(grace + time.Second)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer %s after the stop: %v", time.Since(stopped), err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != tt.want || int(f.runs.Load()) != tt.runs {
				t.Errorf("got status %d after %d runs, want %d after %d", resp.StatusCode, f.runs.Load(), tt.want, tt.runs)
			}
		})
	}
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}
