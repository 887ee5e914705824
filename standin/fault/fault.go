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
	// Remaining is how often a fault is still to happen; in JSON a count, or true for always and false for never.
	Remaining int

	// Host serves HTTP on one address, crashes, and comes back on the same address.
	Host struct {
		handler http.Handler
		address string

		mu      sync.Mutex
		server  *http.Server
		crashes int
		// down says that the host has crashed and is not back yet.
		down     bool
		closed   bool
		restarts sync.WaitGroup
	}

	// crashesKey finds a request's life in its context.
	crashesKey struct{}
)

// UnmarshalJSON reads a count or a truth value.
func (t *Remaining) UnmarshalJSON(data []byte) error {
	switch string(data) {
	case "true":
		*t = math.MaxInt
	case "false":
		*t = 0
	default:
		return json.Unmarshal(data, (*int)(t))
	}
	return nil
}

// Consume counts one down, and reports whether the fault is to happen.
func (t *Remaining) Consume() bool {
	if *t <= 0 {
		return false
	}
	*t--
	return true
}

// NewHost serves the handler on a listener.
func NewHost(h http.Handler, ln net.Listener) *Host {
	host := &Host{handler: h, address: ln.Addr().String()}
	host.serve(ln)
	return host
}

// Address returns the IP number and port that the host serves on.
func (h *Host) Address() string { return h.address }

// Crashes returns how often the host has crashed.
func (h *Host) Crashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes
}

// Crash closes every connection and stays away for a while, one second where it is 0; a life crashes once.
func (h *Host) Crash(life int, away time.Duration) bool {
	h.mu.Lock()
	if h.closed || life != h.crashes {
		h.mu.Unlock()
		return false
	}
	h.crashes++
	h.down = true
	server := h.server
	h.mu.Unlock()
	_ = server.Close()
	if away <= 0 {
		away = defaultDowntime
	}
	h.restarts.Go(func() { h.restart(away) })
	return true
}

// Close stops the host for good.
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

// serveUnlessDown serves a request in the life that it came in; one that was read as the host crashed gets no answer.
func (h *Host) serveUnlessDown(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	life, away := h.crashes, h.down
	h.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	h.handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), crashesKey{}, life)))
}

// CrashesBefore returns how often its host had crashed before a request came.
func CrashesBefore(r *http.Request) int {
	life, _ := r.Context().Value(crashesKey{}).(int)
	return life
}

func (h *Host) restart(away time.Duration) {
	time.Sleep(away)
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
		time.Sleep(away / listenAttempts)
	}
}

// Handler serves POST /standin/faults: it reads the faults and hands them on.
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

// WriteJSON answers with a value as JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
