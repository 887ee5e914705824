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
	defaultRestart = time.Second
	listenTries    = 100
	headerTimeout  = time.Second
)

type (
	// Times is how often a fault is still to happen; in JSON a count, or true for always and false for never.
	Times int

	// Host serves HTTP on one address, crashes, and comes back on the same address.
	Host struct {
		handler http.Handler
		address string

		mu     sync.Mutex
		server *http.Server
		life   int
		// away says that the host has crashed and is not back yet.
		away     bool
		closed   bool
		restarts sync.WaitGroup
	}

	// lifeKey finds a request's life in its context.
	lifeKey struct{}
)

// UnmarshalJSON reads a count or a truth value.
func (t *Times) UnmarshalJSON(data []byte) error {
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

// Take counts one down, and reports whether the fault is to happen.
func (t *Times) Take() bool {
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

// Life returns how often the host has crashed.
func (h *Host) Life() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

// Crash closes every connection and stays away for a while, one second where it is 0; a life crashes once.
func (h *Host) Crash(life int, away time.Duration) bool {
	h.mu.Lock()
	if h.closed || life != h.life {
		h.mu.Unlock()
		return false
	}
	h.life++
	h.away = true
	server := h.server
	h.mu.Unlock()
	_ = server.Close()
	if away <= 0 {
		away = defaultRestart
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
	server := &http.Server{Handler: http.HandlerFunc(h.serveAlive), ReadHeaderTimeout: headerTimeout}
	h.mu.Lock()
	h.server, h.away = server, false
	h.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
}

// serveAlive serves a request in the life that it came in; one that was read as the host crashed gets no answer.
func (h *Host) serveAlive(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	life, away := h.life, h.away
	h.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	h.handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), lifeKey{}, life)))
}

// LifeOf returns how often its host had crashed before a request came.
func LifeOf(r *http.Request) int {
	life, _ := r.Context().Value(lifeKey{}).(int)
	return life
}

func (h *Host) restart(away time.Duration) {
	time.Sleep(away)
	for range listenTries {
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
		time.Sleep(away / listenTries)
	}
}

// Switch serves POST /standin/faults: it reads the faults and hands them on.
func Switch[F any](set func(F)) http.HandlerFunc {
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
