package kv

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/standin/fault"
)

const expiryInterval = 100 * time.Millisecond

type (
	// Server is the simulated key-value service; it implements http.Handler.
	Server struct {
		mux      *http.ServeMux
		mu       sync.Mutex
		entries  map[string]entry
		history  []event
		revision int64
		leases   map[int64]lease
		nextID   int64
		changed  chan struct{}
		faults   Faults
		stats    Stats
	}

	// Faults are the injected faults, set by POST /standin/faults.
	Faults struct {
		// Down answers every call with status 503 and ends the watches.
		Down bool `json:"down"`
		// DelayMs delays every call by that many milliseconds.
		DelayMs int `json:"delayMs"`
		// DropReplies is the number of transactions that are executed without a response.
		DropReplies int `json:"dropReplies"`
	}

	// Stats counts the calls since the start by kind.
	Stats struct {
		Reads   int64 `json:"reads"`
		Writes  int64 `json:"writes"`
		Watches int64 `json:"watches"`
	}

	entry struct {
		value       []byte
		modRevision int64
		lease       int64
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
	}

	event struct {
		revision int64
		key      string
		value    []byte
		deleted  bool
	}
)

// New returns a server with an empty store.
func New() *Server {
	s := &Server{
		mux: http.NewServeMux(), entries: make(map[string]entry), leases: make(map[int64]lease),
		changed: make(chan struct{}), revision: 1,
	}
	s.mux.HandleFunc("POST /v3/kv/range", s.withFaults(s.serveRange))
	s.mux.HandleFunc("POST /v3/kv/txn", s.withFaults(s.serveTxn))
	s.mux.HandleFunc("POST /v3/kv/put", s.withFaults(s.servePut))
	s.mux.HandleFunc("POST /v3/lease/grant", s.withFaults(s.serveGrant))
	s.mux.HandleFunc("POST /v3/lease/keepalive", s.withFaults(s.serveKeepAlive))
	s.mux.HandleFunc("POST /v3/watch", s.withFaults(s.serveWatch))
	s.mux.HandleFunc("POST /standin/faults", fault.Handler(s.SetFaults))
	s.mux.HandleFunc("GET /standin/stats", s.serveStats)
	return s
}

// ServeHTTP serves the calls of the gateway.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// Put writes a value without a condition, as operators' tools do, and returns its revision.
func (s *Server) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(operation{Put: &putRequest{Key: []byte(key), Value: value}})
	s.notifyWatchers()
	return s.revision
}

// Keys returns the keys with a prefix in lexical order.
func (s *Server) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.entries {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// Stats returns the number of calls since the start.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if f.DelayMs > 0 {
			select {
			case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var req rangeRequest
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	s.stats.Reads++
	s.expireLeases(time.Now())
	resp := s.readRange(req)
	s.mu.Unlock()
	fault.WriteJSON(w, resp)
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	var req putRequest
	if !decode(w, r, &req) {
		return
	}
	rev := s.Put(string(req.Key), req.Value)
	s.mu.Lock()
	s.stats.Writes++
	s.mu.Unlock()
	fault.WriteJSON(w, struct {
		Header header `json:"header"`
	}{header{rev}})
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req txnRequest
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	s.stats.Writes++
	s.expireLeases(time.Now())
	resp := s.commitTxn(req)
	drop := s.faults.DropReplies > 0
	if drop {
		s.faults.DropReplies--
	}
	s.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	fault.WriteJSON(w, resp)
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req leaseMessage
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	s.stats.Writes++
	s.nextID++
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[s.nextID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	resp := leaseMessage{ID: s.nextID, TTL: req.TTL}
	s.mu.Unlock()
	fault.WriteJSON(w, resp)
}

func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var req leaseMessage
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	s.stats.Writes++
	s.expireLeases(time.Now())
	resp := leaseMessage{ID: req.ID}
	if l, ok := s.leases[req.ID]; ok {
		l.expires = time.Now().Add(l.ttl)
		s.leases[req.ID] = l
		resp.TTL = int64(l.ttl / time.Second)
	}
	s.mu.Unlock()
	fault.WriteJSON(w, struct {
		Result leaseMessage `json:"result"`
	}{resp})
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if !decode(w, r, &req) {
		return
	}
	s.mu.Lock()
	s.stats.Watches++
	next := req.Create.StartRevision
	if next == 0 {
		next = s.revision + 1
	}
	s.mu.Unlock()
	flusher, _ := w.(http.Flusher)
	out := json.NewEncoder(w)
	for {
		s.mu.Lock()
		s.expireLeases(time.Now())
		message, through := s.eventsSince(req.Create, next)
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			return
		}
		if len(message.Result.Events) > 0 {
			_ = out.Encode(message)
		}
		next = through + 1
		flusher.Flush()
		select {
		case <-changed:
		case <-time.After(expiryInterval):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) { fault.WriteJSON(w, s.Stats()) }

func (s *Server) readRange(req rangeRequest) rangeResponse {
	resp := rangeResponse{Header: header{s.revision}}
	for _, k := range slices.Sorted(maps.Keys(s.entries)) {
		if !inRange(k, req.Key, req.RangeEnd) {
			continue
		}
		if req.Limit > 0 && int64(len(resp.Kvs)) >= req.Limit {
			resp.More = true
			break
		}
		resp.Kvs = append(resp.Kvs, keyValue{Key: []byte(k), Value: s.entries[k].value, ModRevision: s.entries[k].modRevision})
	}
	return resp
}

func (s *Server) commitTxn(req txnRequest) txnResponse {
	matched := true
	for _, c := range req.Compare {
		matched = matched && s.entries[string(c.Key)].modRevision == c.ModRevision
	}
	resp := txnResponse{Succeeded: matched}
	operations := req.Failure
	if matched {
		operations = req.Success
		s.revision++
	}
	for _, op := range operations {
		if op.Range != nil {
			found := s.readRange(*op.Range)
			resp.Responses = append(resp.Responses, response{Range: &found})
			continue
		}
		s.apply(op)
		resp.Responses = append(resp.Responses, response{})
	}
	resp.Header = header{s.revision}
	s.notifyWatchers()
	return resp
}

// apply executes one put or delete at the current revision. The caller must hold s.mu.
func (s *Server) apply(op operation) {
	switch {
	case op.Put != nil:
		key := string(op.Put.Key)
		s.entries[key] = entry{value: op.Put.Value, modRevision: s.revision, lease: op.Put.Lease}
		s.history = append(s.history, event{revision: s.revision, key: key, value: op.Put.Value})
	case op.Delete != nil:
		s.remove(string(op.Delete.Key))
	}
}

func (s *Server) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.history = append(s.history, event{revision: s.revision, key: key, deleted: true})
}

// expireLeases deletes expired leases and their entries. The caller must hold s.mu.
func (s *Server) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		s.revision++
		for k, e := range s.entries {
			if e.lease == id {
				s.remove(k)
			}
		}
		s.notifyWatchers()
	}
}

func (s *Server) eventsSince(create watchCreate, from int64) (watchMessage, int64) {
	var m watchMessage
	first, _ := slices.BinarySearchFunc(s.history, from, func(e event, rev int64) int { return int(e.revision - rev) })
	for _, e := range s.history[first:] {
		if !inRange(e.key, create.Key, create.RangeEnd) {
			continue
		}
		kind := "PUT"
		if e.deleted {
			kind = "DELETE"
		}
		m.Result.Events = append(m.Result.Events, watchEvent{Type: kind, Kv: keyValue{Key: []byte(e.key), Value: e.value, ModRevision: e.revision}})
	}
	return m, s.revision
}

func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func inRange(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	return bytes.Compare([]byte(key), from) >= 0 && bytes.Compare([]byte(key), end) < 0
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, "bad request: "+strconv.Quote(err.Error()), http.StatusBadRequest)
		return false
	}
	return true
}
