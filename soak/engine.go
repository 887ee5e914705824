package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/forward"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/platform/standin"
	"github.com/vanillaroute/vanillaroute/standin/memstore"
)

const (
	eventsPerStream = 20
	eventInterval   = 10 * time.Millisecond
	processingTime  = 20 * time.Millisecond
	// downtime is how long an engine is away that has crashed on a request or has left.
	downtime     = 400 * time.Millisecond
	slots        = 50
	service      = ident.Service("s")
	organisation = ident.Organisation("museum")
)

type (
	// engine is a stand-in for an engine behind a proxy.
	engine struct {
		names      forward.HeaderNames
		executions *executionLog
		store      *memstore.Store
		server     *http.Server
		proxy      *proxy
		// domain is the failure domain, which is that of this engine alone.
		domain ident.Domain
		// disturbed holds the times at which the proxy harmed connections.
		disturbed disturbances
		// mu guards id, restarting, limit and notices. An engine that has crashed on a request or has left starts again under a new id.
		mu         sync.Mutex
		id         ident.Engine
		restarting bool
		// limit is the current limit of the engine, or nil.
		limit   *limitSpan
		notices notices
		// losesAnswers makes the engine run requests but, for a third of them, close the connection or send bytes without end instead of answering.
		losesAnswers atomic.Bool
	}

	// executionLog records the requests that all engines ran.
	executionLog struct {
		mu       sync.Mutex
		runs     map[ident.Request]int
		problems []string
		// crashes are the times at which engines crashed on requests, by cause, and crashArrivals the requests with that cause.
		crashes       map[string][]time.Time
		crashArrivals map[string][]arrival
		// crashed are the engines that crashed on requests.
		crashed []crashedEngine
		// limits are the limits that engines named.
		limits []limitSpan
		// coldStarts are the starts of engines that come back cold.
		coldStarts []coldStart
		// visits are all requests that reached engines, also those that were not run.
		visits []visit
		// evacuations are the evacuations of failure domains.
		evacuations []evacuationSpan
	}

	// crashedEngine is an engine that crashed on a request, and when it began to.
	crashedEngine struct {
		id ident.Engine
		at time.Time
	}

	// arrival is a request that an engine received at a time.
	arrival struct {
		id ident.Request
		at time.Time
	}
)

func newExecutionLog() *executionLog {
	return &executionLog{runs: make(map[ident.Request]int), crashes: make(map[string][]time.Time), crashArrivals: make(map[string][]arrival)}
}

func (r *executionLog) count(id ident.Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *executionLog) recordStart(id ident.Request, problem string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	if problem != "" {
		r.problems = append(r.problems, fmt.Sprintf("request %s: %s", id, problem))
	}
}

func (r *executionLog) recordProblem(problem string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, problem)
}

func (r *executionLog) recordCrash(cause string, c crashedEngine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes[cause] = append(r.crashes[cause], time.Now())
	r.crashed = append(r.crashed, c)
}

// wasRunningAtCrash reports whether an engine that had received a request crashed on another one before the request's end.
func (r *executionLog) wasRunningAtCrash(c call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.visits, func(v visit) bool {
		return v.id == c.id && slices.ContainsFunc(r.crashed, func(e crashedEngine) bool {
			return e.id == v.engineID && !e.at.Before(v.at) && !e.at.After(c.endedAt)
		})
	})
}

// crashTimes returns the times of the crashes on requests, by cause.
func (r *executionLog) crashTimes() map[string][]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	times := make(map[string][]time.Time)
	for cause, list := range r.crashes {
		times[cause] = slices.Clone(list)
	}
	return times
}

func (r *executionLog) recordCrashArrival(cause string, id ident.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashArrivals[cause] = append(r.crashArrivals[cause], arrival{id, time.Now()})
}

// startEngine starts an engine and registers it in the store as one that started at a time.
func startEngine(id ident.Engine, names forward.HeaderNames, executions *executionLog, store *memstore.Store, startedAt time.Time) (*engine, error) {
	e := &engine{id: id, domain: ident.Domain("of-" + id), names: names, executions: executions, store: store}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }()
	if e.proxy, err = newProxy(listener.Addr().String()); err != nil {
		return nil, err
	}
	executions.recordColdStart(id, startedAt)
	return e, standin.RegisterEngineIn(e.domain, store, id, service, e.proxy.address(), slots, false, startedAt)
}

// crash stops the engine without notice. Its store entry is removed a second later.
func (e *engine) crash() {
	_ = e.server.Close()
	e.proxy.close()
	time.AfterFunc(time.Second, func() { standin.RemoveEngine(e.store, e.currentID()) })
}

func (e *engine) currentID() ident.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// crashOn crashes the engine while it runs a request with a cause of crashes.
func (e *engine) crashOn(cause string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	crash := crashedEngine{id: e.id, at: time.Now()}
	if e.restart() {
		e.executions.recordCrash(cause, crash)
	}
}

// restart ends the engine, which starts again at the same address under a new id. It returns false if the engine has ended already. The caller
// holds mu.
func (e *engine) restart() bool {
	if e.restarting || !e.proxy.suspend() {
		return false
	}
	e.restarting = true
	e.endLimit()
	time.AfterFunc(downtime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		standin.RemoveEngine(e.store, e.id)
		e.id += "'"
		e.restarting, e.notices = false, notices{}
		if err := e.proxy.resume(); err != nil {
			e.executions.recordProblem(err.Error())
			return
		}
		now := time.Now()
		e.executions.recordColdStart(e.id, now)
		if err := standin.RegisterEngineIn(e.domain, e.store, e.id, service, e.proxy.address(), slots, false, now); err != nil {
			e.executions.recordProblem(err.Error())
		}
	})
	return true
}

// ServeHTTP runs a request and answers with a stream or a short body, depending on the path.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := ident.Request(r.Header.Get(e.names.RequestID))
	w.Header().Set(e.names.RequestID, string(id))
	if r.URL.Path == standin.HealthPath {
		w.Header().Set(e.names.EngineID, string(e.currentID()))
		return
	}
	if r.Header.Get(e.names.ExpectedEngine) != string(e.currentID()) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if limit := e.nameLimit(id); limit != "" {
		w.Header().Set(e.names.Limit, limit)
	}
	if e.giveNotice(w, id) {
		return
	}
	e.executions.recordStart(id, e.problem(r))
	if cause := crashCause(r, e.names); cause != "" {
		e.executions.recordCrashArrival(cause, id)
		if rand.IntN(2) == 0 {
			defer e.beginAnswer(w, id)()
		}
		time.Sleep(processingTime)
		e.crashOn(cause)
		panic(http.ErrAbortHandler)
	}
	if e.losesAnswers.Load() && rand.IntN(3) == 0 {
		time.Sleep(processingTime)
		if rand.IntN(2) == 0 {
			e.answerEndlessly(w, id)
			return
		}
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, pathStream) {
		e.stream(w, r, id)
		return
	}
	time.Sleep(processingTime)
	_, _ = fmt.Fprintf(w, "answer for %s", id)
}

// beginAnswer writes the beginning of an answer that has neither a length nor chunks, and breaks off inside its first event. It returns a function
// that closes the connection.
func (e *engine) beginAnswer(w http.ResponseWriter, id ident.Request) (end func()) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		e.executions.recordProblem(err.Error())
		return func() {}
	}
	// An error means that the instance has closed the connection.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n\r\nid: 1\nda", e.names.RequestID, id, e.names.ResponseSeal)
	return func() { _ = conn.Close() }
}

// answerEndlessly writes the head of an answer and then bytes that are no answer, until the instance closes the connection.
func (e *engine) answerEndlessly(w http.ResponseWriter, id ident.Request) {
	w.Header().Set(e.names.ResponseSeal, "seal")
	var err error
	for chunk := bytes.Repeat([]byte(id), 256); err == nil; {
		_, err = w.Write(chunk)
	}
}

func (e *engine) problem(r *http.Request) string {
	switch {
	case r.Header.Get("Authorization") != "":
		return "the caller's key was forwarded"
	case r.Header.Get(e.names.Organisation) != string(organisation):
		return "the organisation is " + r.Header.Get(e.names.Organisation)
	}
	return ""
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id ident.Request) {
	from, _ := strconv.Atoi(r.Header.Get(e.names.LastEventID))
	control := http.NewResponseController(w)
	for i := from + 1; i <= eventsPerStream; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", i, id, i)
		if control.Flush() != nil {
			return
		}
	}
}
