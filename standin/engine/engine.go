package engine

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/standin/fault"
)

const (
	streamRetention = 10 * time.Second
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

	// Config is how fast and how large the engine is.
	Config struct {
		ID              ident.Engine
		Models          []ident.Model
		Slots           int
		CacheTokens     int
		PrefillPerToken time.Duration
		DecodePerToken  time.Duration
		BatchSlowdown   float64
		DefaultTokens   int
		// ChecksOrders refuses orders with an old fencing number.
		ChecksOrders bool
	}

	// Order is an order that the engine was given, and whether it took it.
	Order struct {
		Fence    ident.Revision `json:"fence"`
		Models   []ident.Model  `json:"models"`
		Accepted bool           `json:"taken"`
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
		DropReply fault.Remaining `json:"dropReply"`
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
		RequestID ident.Request `json:"requestId"`
		ChatID    ident.Chat    `json:"chatId"`
		// IdempotencyKey is always empty, since chats have none.
		IdempotencyKey string    `json:"idempotencyKey"`
		StartedAtMs    int64     `json:"startedAtMs"`
		EndedAtMs      int64     `json:"endedAtMs"`
		Outcome        Outcome   `json:"outcome"`
		PromptTokens   int       `json:"promptTokens"`
		CachedTokens   int       `json:"cachedTokens"`
		Tokens         int       `json:"tokens"`
		PeakRunning    int       `json:"peakRunning"`
		Started        time.Time `json:"-"`
		Ended          time.Time `json:"-"`
	}

	// Engine is the stand-in.
	Engine struct {
		config Config
		host   *fault.Host

		mu              sync.Mutex
		faults          Faults
		streams         map[ident.Request]*stream
		waiting         []*stream
		running         int
		peakRunning     int
		log             []*Entry
		cache           *prefixCache
		reports         []loadReport
		leavingSince    time.Time
		highestFence    ident.Revision
		orders          []Order
		onModelsChanged func([]ident.Model)
	}

	loadReport struct {
		at              time.Time
		running, queued int
		leaving         bool
	}
)

// Start serves an engine on a listener.
func Start(shape Config, ln net.Listener) *Engine {
	e := &Engine{
		config: shape, streams: make(map[ident.Request]*stream), cache: newPrefixCache(shape.CacheTokens),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /standin/log", e.serveLog)
	mux.HandleFunc("POST /standin/faults", fault.Handler(e.SetFaults))
	e.host = fault.NewHost(mux, ln)
	return e
}

// Address returns the IP number and port that the engine serves on.
func (e *Engine) Address() string { return e.host.Address() }

// Config returns what the engine was started with.
func (e *Engine) Config() Config {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config
}

// Close stops the engine for good.
func (e *Engine) Close() { e.host.Close() }

// SetFaults switches faults on and off.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	if f.Leaving || f.AnnounceLeaving {
		e.leavingSince = time.Now()
	}
	e.mu.Unlock()
	if f.Crash {
		e.crash(e.host.Crashes())
	}
}

// Log returns a copy of the log.
func (e *Engine) Log() []Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Entry, len(e.log))
	for i, entry := range e.log {
		list[i] = *entry
		list[i].PeakRunning = e.peakRunning
	}
	return list
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int { return e.host.Crashes() }

// Orders returns the orders given so far.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// Models returns the models that the engine holds.
func (e *Engine) Models() []ident.Model {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.Models
}

// OnModelsChanged has a function called with the new models after each order taken.
func (e *Engine) OnModelsChanged(f func([]ident.Model)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onModelsChanged = f
}

// LeavingSince returns when the engine began to leave.
func (e *Engine) LeavingSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leavingSince
}

// crash ends everything that runs, and comes back after a while with an empty cache; a life crashes once.
func (e *Engine) crash(life int) {
	e.mu.Lock()
	away := time.Duration(e.faults.RestartMs) * time.Millisecond
	e.faults.Crash = false
	e.mu.Unlock()
	if !e.host.Crash(life, away) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.stop(Crashed)
	}
	e.streams = make(map[ident.Request]*stream)
	e.waiting = nil
	e.running = 0
	e.cache = newPrefixCache(e.config.CacheTokens)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	report := loadReport{at: now, running: e.running, queued: len(e.waiting), leaving: e.faults.Leaving || e.faults.AnnounceLeaving}
	e.reports = append(e.reports, report)
	models := e.config.Models
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
	fault.WriteJSON(w, struct {
		Running   int   `json:"running"`
		Waiting   int   `json:"waiting"`
		Slots     int   `json:"slots"`
		Leaving   bool  `json:"leaving"`
		TakenAtMs int64 `json:"takenAtMs"`

		Models []ident.Model `json:"models"`
	}{report.running, report.queued, e.config.Slots, report.leaving, report.at.UnixMilli(), models})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	o.Accepted = !e.config.ChecksOrders || o.Fence >= e.highestFence
	e.orders = append(e.orders, o)
	if o.Accepted {
		e.highestFence = max(e.highestFence, o.Fence)
		e.config.Models = o.Models
	}
	tell := e.onModelsChanged
	e.mu.Unlock()
	if !o.Accepted {
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	if tell != nil {
		tell(o.Models)
	}
	fault.WriteJSON(w, o)
}

func (e *Engine) serveLog(w http.ResponseWriter, _ *http.Request) { fault.WriteJSON(w, e.Log()) }
