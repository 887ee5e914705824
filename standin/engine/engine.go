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

// Outcomes of requests in the log.
const (
	Running   Outcome = "running"
	Completed Outcome = "completed"
	Cancelled Outcome = "cancelled"
	Crashed   Outcome = "crashed"
)

type (
	// Outcome is the state of a request at the engine: running, or how it ended.
	Outcome string

	// Config is the speed and the capacity of the simulated engine.
	Config struct {
		ID          ident.Engine
		Models      []ident.Model
		Slots       int
		CacheTokens int
		// PrefillPerToken is the prefill time for each prompt token that is not in the cache.
		PrefillPerToken time.Duration
		// DecodePerToken is the time for each answer token while one request is running.
		DecodePerToken time.Duration
		// BatchSlowdown is the relative increase of the decode time for each additional running request.
		BatchSlowdown float64
		// DefaultTokens is the length of the answer if the request has no max_tokens.
		DefaultTokens int
		// ChecksOrders makes the engine refuse orders with an outdated fencing token.
		ChecksOrders bool
	}

	// Order is an order that the engine received. Accepted reports whether the engine followed it.
	Order struct {
		Fence    ident.Revision `json:"fence"`
		Models   []ident.Model  `json:"models"`
		Accepted bool           `json:"taken"`
	}

	// Faults are the injected faults, set by POST /standin/faults.
	Faults struct {
		// SlowFactor multiplies the prefill and decode times; 0 means 1.
		SlowFactor float64 `json:"slowFactor"`
		// DelayMs is added before the first token, in milliseconds.
		DelayMs int `json:"delayMs"`
		// Crash closes all connections and restarts the engine after RestartMs; 0 means one second.
		Crash     bool `json:"crash"`
		RestartMs int  `json:"restartMs"`
		// CrashOnBody crashes the engine if the body of a request contains the text; empty means never.
		CrashOnBody string `json:"crashOnBody"`
		// DropReply closes the connections of that many streams halfway through the answer.
		DropReply fault.Remaining `json:"dropReply"`
		// Hang pauses all streams without closing their connections.
		Hang bool `json:"hang"`
		// Leaving refuses new requests and sets the leaving flag of the load report.
		Leaving bool `json:"leaving"`
		// AnnounceLeaving sets the leaving flag of the load report but still accepts requests, as an engine that is shutting
		// down does.
		AnnounceLeaving bool `json:"announceLeaving"`
		// ReportLagMs delays the load report: it shows the state at least that many milliseconds ago, or the current state if no
		// earlier request for a report is that old.
		ReportLagMs int `json:"reportLagMs"`
	}

	// Entry is the log entry of a request.
	Entry struct {
		RequestID ident.Request `json:"requestId"`
		ChatID    ident.Chat    `json:"chatId"`
		// IdempotencyKey is always empty because chats have no idempotency keys.
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

	// Engine is the simulated engine.
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

// Start serves a simulated engine on a listener until Close.
func Start(config Config, ln net.Listener) *Engine {
	e := &Engine{
		config: config, streams: make(map[ident.Request]*stream), cache: newPrefixCache(config.CacheTokens),
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

// Address returns the address of the engine as "IP:port".
func (e *Engine) Address() string { return e.host.Address() }

// Config returns the configuration of the engine; Models are the current ones.
func (e *Engine) Config() Config {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config
}

// Close stops the engine.
func (e *Engine) Close() { e.host.Close() }

// SetFaults replaces the injected faults.
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

// Log returns a copy of the request log, with the peak number of running requests of the engine in each entry.
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

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int { return e.host.Crashes() }

// Orders returns the orders received so far.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// Models returns the models that the engine serves.
func (e *Engine) Models() []ident.Model {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.Models
}

// OnModelsChanged sets the function that is called with the new models after each accepted order.
func (e *Engine) OnModelsChanged(f func([]ident.Model)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onModelsChanged = f
}

// LeavingSince returns the time of the last SetFaults call with Leaving or AnnounceLeaving, or the zero time.
func (e *Engine) LeavingSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leavingSince
}

// crash ends all streams, closes all connections and empties the cache; the host restarts after RestartMs. It does nothing if
// the number of crashes is no longer the given one, so that several requests cause only one crash.
func (e *Engine) crash(crashes int) {
	e.mu.Lock()
	downtime := time.Duration(e.faults.RestartMs) * time.Millisecond
	e.faults.Crash = false
	e.mu.Unlock()
	if !e.host.Crash(crashes, downtime) {
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
	for _, r := range e.reports {
		if now.Sub(r.at) >= lag {
			report = r
		}
	}
	const maxReports = 100
	if len(e.reports) > maxReports {
		e.reports = e.reports[len(e.reports)-maxReports:]
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
	notify := e.onModelsChanged
	e.mu.Unlock()
	if !o.Accepted {
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	if notify != nil {
		notify(o.Models)
	}
	fault.WriteJSON(w, o)
}

func (e *Engine) serveLog(w http.ResponseWriter, _ *http.Request) { fault.WriteJSON(w, e.Log()) }
