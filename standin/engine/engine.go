package engine

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	streamRetention = 10 * time.Second
	restartAfter    = time.Second
)

// Outcomes in the log.
const (
	Running   Outcome = "running"
	Completed Outcome = "completed"
	Cancelled Outcome = "cancelled"
	Crashed   Outcome = "crashed"
)

type (
	// Outcome says how a request ended at the engine.
	Outcome string

	// Shape is how fast and how large the engine is.
	Shape struct {
		ID            ident.Engine
		Models        []ident.Model
		Slots         int
		CacheTokens   int
		PrefillToken  time.Duration
		DecodeToken   time.Duration
		BatchSlowdown float64
		DefaultTokens int
	}

	// Faults are switched on by POST /standin/faults.
	Faults struct {
		// SlowFactor multiplies all times; 0 is 1.
		SlowFactor float64 `json:"slowFactor"`
		// DelayMs is added before the first token.
		DelayMs int `json:"delayMs"`
		// Crash closes every connection and stays away for RestartMs.
		Crash     bool `json:"crash"`
		RestartMs int  `json:"restartMs"`
		// CrashOnBody crashes the engine when a request's body contains the text.
		CrashOnBody string `json:"crashOnBody"`
		// DropReply cuts that many streams in the middle.
		DropReply int `json:"dropReply"`
		// Hang stops every stream without closing it.
		Hang bool `json:"hang"`
		// Leaving refuses new requests and says so in the report.
		Leaving bool `json:"leaving"`
		// AnnounceLeaving says so in the report but still takes requests, as a leaving engine does.
		AnnounceLeaving bool `json:"announceLeaving"`
		// ReportLagMs is how old the report is.
		ReportLagMs int `json:"reportLagMs"`
	}

	// Entry is one request in the log.
	Entry struct {
		RequestID    ident.Request `json:"requestId"`
		ChatID       ident.Chat    `json:"chatId"`
		StartedAtMs  int64         `json:"startedAtMs"`
		EndedAtMs    int64         `json:"endedAtMs"`
		Outcome      Outcome       `json:"outcome"`
		PromptTokens int           `json:"promptTokens"`
		CachedTokens int           `json:"cachedTokens"`
		Tokens       int           `json:"tokens"`
		PeakRunning  int           `json:"peakRunning"`
		Started      time.Time     `json:"-"`
		Ended        time.Time     `json:"-"`
	}

	// Engine is the stand-in.
	Engine struct {
		shape   Shape
		address string
		mux     *http.ServeMux

		mu       sync.Mutex
		server   *http.Server
		faults   Faults
		streams  map[ident.Request]*stream
		waiting  []*stream
		running  int
		peak     int
		log      []*Entry
		cache    *prefixCache
		reports  []timedReport
		crashes  int
		leftAt   time.Time
		closed   bool
		restarts sync.WaitGroup
	}

	timedReport struct {
		at              time.Time
		running, queued int
		leaving         bool
	}
)

// Start serves an engine on a listener.
func Start(shape Shape, ln net.Listener) *Engine {
	e := &Engine{
		shape: shape, address: ln.Addr().String(), mux: http.NewServeMux(),
		streams: make(map[ident.Request]*stream), cache: newPrefixCache(shape.CacheTokens),
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("GET /standin/log", e.serveLog)
	e.mux.HandleFunc("POST /standin/faults", e.serveFaults)
	e.serve(ln)
	return e
}

// Address returns the IP number and port that the engine serves on.
func (e *Engine) Address() string { return e.address }

// Shape returns what the engine was started with.
func (e *Engine) Shape() Shape { return e.shape }

// Close stops the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	e.restarts.Wait()
}

// SetFaults switches faults on and off.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	if f.Leaving || f.AnnounceLeaving {
		e.leftAt = time.Now()
	}
	life := e.crashes
	e.mu.Unlock()
	if f.Crash {
		e.crash(life)
	}
}

// Log returns a copy of the log.
func (e *Engine) Log() []Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Entry, len(e.log))
	for i, entry := range e.log {
		list[i] = *entry
		list[i].PeakRunning = e.peak
	}
	return list
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// LeftAt returns when the engine began to leave.
func (e *Engine) LeftAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leftAt
}

func (e *Engine) serve(ln net.Listener) {
	server := &http.Server{Handler: e.mux, ReadHeaderTimeout: time.Second}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
}

// crash ends everything that runs, and comes back after a while with an empty cache; a life crashes once.
func (e *Engine) crash(life int) {
	e.mu.Lock()
	if e.closed || life != e.crashes {
		e.mu.Unlock()
		return
	}
	e.crashes++
	e.faults.Crash = false
	for _, s := range e.streams {
		s.stop(Crashed)
	}
	e.streams = make(map[ident.Request]*stream)
	e.waiting = nil
	e.running = 0
	e.cache = newPrefixCache(e.shape.CacheTokens)
	server := e.server
	after := restartAfter
	if e.faults.RestartMs > 0 {
		after = time.Duration(e.faults.RestartMs) * time.Millisecond
	}
	e.mu.Unlock()
	_ = server.Close()
	e.restarts.Go(func() { e.restart(after) })
}

func (e *Engine) restart(after time.Duration) {
	const tries = 100
	time.Sleep(after)
	for range tries {
		e.mu.Lock()
		closed := e.closed
		e.mu.Unlock()
		if closed {
			return
		}
		if ln, err := net.Listen("tcp", e.address); err == nil {
			e.serve(ln)
			return
		}
		time.Sleep(after / tries)
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	report := timedReport{at: now, running: e.running, queued: len(e.waiting), leaving: e.faults.Leaving || e.faults.AnnounceLeaving}
	e.reports = append(e.reports, report)
	lag := time.Duration(e.faults.ReportLagMs) * time.Millisecond
	for _, old := range e.reports {
		if now.Sub(old.at) >= lag {
			report = old
		}
	}
	const keep = 100
	if len(e.reports) > keep {
		e.reports = e.reports[len(e.reports)-keep:]
	}
	e.mu.Unlock()
	writeJSON(w, struct {
		Running   int   `json:"running"`
		Waiting   int   `json:"waiting"`
		Slots     int   `json:"slots"`
		Leaving   bool  `json:"leaving"`
		TakenAtMs int64 `json:"takenAtMs"`
	}{report.running, report.queued, e.shape.Slots, report.leaving, report.at.UnixMilli()})
}

func (e *Engine) serveLog(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Log()) }

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	writeJSON(w, f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
