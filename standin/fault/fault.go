package fault

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	defaultDowntime = time.Second
	listenAttempts  = 100
	headerTimeout   = time.Second
)

type (
	// Remaining is how many more times a fault occurs. In JSON it is a count, or true for always and false for never.
	Remaining int

	// Host is an HTTP server that can crash and restart on the same address.
	Host struct {
		handler http.Handler
		address string

		mu      sync.Mutex
		server  *http.Server
		crashes int
		// down is true between a crash and the restart.
		down     bool
		closed   bool
		restarts sync.WaitGroup
	}

	// crashesKey is the context key for the number of crashes before a request.
	crashesKey struct{}
)

// UnmarshalJSON decodes a count or a Boolean.
func (r *Remaining) UnmarshalJSON(data []byte) error {
	switch string(data) {
	case "true":
		*r = math.MaxInt
	case "false":
		*r = 0
	default:
		return json.Unmarshal(data, (*int)(r))
	}
	return nil
}

// Consume reports whether the fault occurs now, and decrements the count if so.
func (r *Remaining) Consume() bool {
	if *r <= 0 {
		return false
	}
	*r--
	return true
}

// NewHost starts to serve the handler on a listener.
func NewHost(h http.Handler, ln net.Listener) *Host {
	host := &Host{handler: h, address: ln.Addr().String()}
	host.serve(ln)
	return host
}

// Address returns the address of the host as "IP:port".
func (h *Host) Address() string { return h.address }

// Crashes returns the number of crashes so far.
func (h *Host) Crashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes
}

// Crash closes all connections and restarts the host after the downtime; 0 means one second. It does nothing and returns false if
// the host is closed or the number of crashes is no longer the given one, so that several callers cause only one crash.
func (h *Host) Crash(crashes int, downtime time.Duration) bool {
	h.mu.Lock()
	if h.closed || crashes != h.crashes {
		h.mu.Unlock()
		return false
	}
	h.crashes++
	h.down = true
	server := h.server
	h.mu.Unlock()
	_ = server.Close()
	if downtime <= 0 {
		downtime = defaultDowntime
	}
	h.restarts.Go(func() { h.restart(downtime) })
	return true
}

// Close stops the host and waits for a pending restart to end.
func (h *Host) Close() {
	h.mu.Lock()
	h.closed = true
	server := h.server
	h.mu.Unlock()
	_ = server.Close()
	h.restarts.Wait()
}

func (h *Host) serve(ln net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(h.serveUnlessDown), ReadHeaderTimeout: headerTimeout}
	h.mu.Lock()
	h.server, h.down = server, false
	h.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
}

// serveUnlessDown serves a request and records the number of crashes before it in its context. A request that is read during a
// crash gets no response: its connection is aborted.
func (h *Host) serveUnlessDown(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	crashes, down := h.crashes, h.down
	h.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	h.handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), crashesKey{}, crashes)))
}

// CrashesBefore returns the number of crashes of the host before the request.
func CrashesBefore(r *http.Request) int {
	crashes, _ := r.Context().Value(crashesKey{}).(int)
	return crashes
}

func (h *Host) restart(downtime time.Duration) {
	time.Sleep(downtime)
	for range listenAttempts {
		h.mu.Lock()
		closed := h.closed
		h.mu.Unlock()
		if closed {
			return
		}
		if ln, err := net.Listen("tcp", h.address); err == nil {
			h.serve(ln)
			return
		}
		time.Sleep(downtime / listenAttempts)
	}
}

// Handler returns a handler for POST /standin/faults that decodes the faults, passes them to set and returns them.
func Handler[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f F
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
		WriteJSON(w, f)
	}
}

// WriteJSON writes a value as a JSON response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
