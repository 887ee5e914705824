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
	// Faults are the injected faults, set by POST /standin/faults.
	Faults struct {
		// SlowFactor multiplies the time of a call, DelayMs included; 0 means 1.
		SlowFactor float64 `json:"slowFactor"`
		DelayMs    int     `json:"delayMs"`
		// DropReply is the number of calls that are run without a response.
		DropReply fault.Remaining `json:"dropReply"`
		// Crash closes all connections and restarts the service after RestartMs; 0 means one second.
		Crash     bool `json:"crash"`
		RestartMs int  `json:"restartMs"`
		// CrashOnBody crashes the service if the body of a booking contains the text; empty means never.
		CrashOnBody string `json:"crashOnBody"`
		// ReportLagMs has no effect, since services send no load reports; it is accepted so that engines and services have the
		// same interface for faults.
		ReportLagMs int `json:"reportLagMs"`
		// Leaving makes the service refuse new calls without running them.
		Leaving bool `json:"leaving"`
	}

	// Entry is the log entry of a call.
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

	// Service is the simulated service.
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

// Start serves a simulated service on a listener until Close; callTime is the duration of a call without faults.
func Start(id ident.Engine, callTime time.Duration, ln net.Listener) *Service {
	s := &Service{id: id, callTime: callTime}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.serveBooking)
	mux.HandleFunc("GET /catalogue", s.serveCatalogue)
	mux.HandleFunc("GET /standin/log", s.serveLog)
	mux.HandleFunc("POST /standin/faults", fault.Handler(s.SetFaults))
	s.host = fault.NewHost(mux, ln)
	return s
}

// Address returns the address of the service as "IP:port".
func (s *Service) Address() string { return s.host.Address() }

// Close stops the service.
func (s *Service) Close() { s.host.Close() }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if f.Crash {
		s.host.Crash(s.host.Crashes(), time.Duration(f.RestartMs)*time.Millisecond)
	}
}

// Log returns a copy of the call log, with the peak number of running calls of the service in each entry.
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

// serveBooking makes a booking for each call. It ignores idempotency keys, as some real services do.
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

// crashOnBody crashes the service if the body contains the text of the CrashOnBody fault, and reports whether it did. The call has
// not run then.
func (s *Service) crashOnBody(body []byte, crashes int) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.CrashOnBody == "" || !bytes.Contains(body, []byte(f.CrashOnBody)) {
		return false
	}
	s.host.Crash(crashes, time.Duration(f.RestartMs)*time.Millisecond)
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
	duration := s.callTime + time.Duration(s.faults.DelayMs)*time.Millisecond
	if s.faults.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * s.faults.SlowFactor)
	}
	drop := s.faults.DropReply.Consume()
	s.mu.Unlock()
	time.Sleep(duration)
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
