package service

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/standin/fault"
)

const maxBodyBytes = 1 << 20

type (
	// Faults are switched on by POST /standin/faults.
	Faults struct {
		// SlowFactor multiplies the time that a call takes; 0 is 1.
		SlowFactor float64 `json:"slowFactor"`
		DelayMs    int     `json:"delayMs"`
		// DropReply runs that many calls without answering them.
		DropReply fault.Remaining `json:"dropReply"`
		// Crash closes every connection and stays away for RestartMs.
		Crash     bool `json:"crash"`
		RestartMs int  `json:"restartMs"`
		// CrashOnBody crashes the service when a call's body contains the text.
		CrashOnBody string `json:"crashOnBody"`
		// ReportLagMs is taken for the sake of one fault interface; a service reports nothing.
		ReportLagMs int `json:"reportLagMs"`
		// Leaving refuses new calls without running them.
		Leaving bool `json:"leaving"`
	}

	// Entry is one call in the log.
	Entry struct {
		RequestID      ident.Request `json:"requestId"`
		ChatID         ident.Chat    `json:"chatId"`
		IdempotencyKey string        `json:"idempotencyKey"`
		Path           string        `json:"path"`
		StartedAtMs    int64         `json:"startedAtMs"`
		EndedAtMs      int64         `json:"endedAtMs"`
		Outcome        string        `json:"outcome"`
		PeakRunning    int           `json:"peakRunning"`
	}

	// Service is the stand-in.
	Service struct {
		id       ident.Engine
		host     *fault.Host
		callTime time.Duration

		mu          sync.Mutex
		faults      Faults
		log         []*Entry
		running     int
		peakRunning int
	}
)

// Start serves a service on a listener; took is how long a call takes.
func Start(id ident.Engine, took time.Duration, ln net.Listener) *Service {
	s := &Service{id: id, callTime: took}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.serveBooking)
	mux.HandleFunc("GET /catalogue", s.serveCatalogue)
	mux.HandleFunc("GET /standin/log", s.serveLog)
	mux.HandleFunc("POST /standin/faults", fault.Handler(s.SetFaults))
	s.host = fault.NewHost(mux, ln)
	return s
}

// Address returns the IP number and port that the service serves on.
func (s *Service) Address() string { return s.host.Address() }

// Close stops the service.
func (s *Service) Close() { s.host.Close() }

// SetFaults switches faults on and off.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if f.Crash {
		s.host.Crash(s.host.Crashes(), time.Duration(f.RestartMs)*time.Millisecond)
	}
}

// Log returns a copy of the log.
func (s *Service) Log() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Entry, len(s.log))
	for i, e := range s.log {
		list[i] = *e
		list[i].PeakRunning = s.peakRunning
	}
	return list
}

// serveBooking books once for each call; it does not check keys, as not every service does.
func (s *Service) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if s.crashOnBody(body, fault.CrashesBefore(r)) {
		panic(http.ErrAbortHandler)
	}
	s.run(w, r, func(n int) any {
		return struct {
			Booking string          `json:"booking"`
			For     json.RawMessage `json:"for"`
		}{fmt.Sprintf("%s-%d", s.id, n), json.RawMessage(body)}
	})
}

// crashOnBody reports whether the body crashed the service, before the call ran.
func (s *Service) crashOnBody(body []byte, life int) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.CrashOnBody == "" || !bytes.Contains(body, []byte(f.CrashOnBody)) {
		return false
	}
	s.host.Crash(life, time.Duration(f.RestartMs)*time.Millisecond)
	return true
}

func (s *Service) serveCatalogue(w http.ResponseWriter, r *http.Request) {
	s.run(w, r, func(int) any {
		return struct {
			Bells []string `json:"bells"`
		}{[]string{"Brest 1903", "Morlaix 1911", "Lorient 1908"}}
	})
}

func (s *Service) run(w http.ResponseWriter, r *http.Request, answer func(n int) any) {
	s.mu.Lock()
	if s.faults.Leaving {
		s.mu.Unlock()
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	entry := &Entry{
		RequestID: ident.Request(r.Header.Get("X-Request-Id")), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Path: r.URL.Path, StartedAtMs: time.Now().UnixMilli(), Outcome: "running",
	}
	s.log = append(s.log, entry)
	n := len(s.log)
	s.running++
	s.peakRunning = max(s.peakRunning, s.running)
	took := s.callTime + time.Duration(s.faults.DelayMs)*time.Millisecond
	if s.faults.SlowFactor > 0 {
		took = time.Duration(float64(took) * s.faults.SlowFactor)
	}
	drop := s.faults.DropReply.Consume()
	s.mu.Unlock()
	time.Sleep(took)
	s.mu.Lock()
	s.running--
	entry.Outcome = "completed"
	entry.EndedAtMs = time.Now().UnixMilli()
	s.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	fault.WriteJSON(w, answer(n))
}

func (s *Service) serveLog(w http.ResponseWriter, _ *http.Request) { fault.WriteJSON(w, s.Log()) }
