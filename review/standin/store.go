package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems = 500
	maxWait   = 30 * time.Second
)

type (
	// item is an entry of the store, or the deletion of a key.
	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision int64  `json:"revision"`
		Created  int64  `json:"created,omitempty"`
		Lease    int64  `json:"lease,omitempty"`
		Deleted  bool   `json:"deleted,omitempty"`
	}

	// store is a stand-in for the platform's metadata store. It keeps its whole history.
	store struct {
		mu       sync.Mutex
		revision int64
		items    map[string]item
		history  []item
		changed  chan struct{}
		leases   map[int64]*lease
		nextID   int64
	}

	lease struct {
		ttl   time.Duration
		timer *time.Timer
	}
)

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), changed: make(chan struct{}), leases: make(map[int64]*lease), nextID: 1000}
}

// serve serves the store on an address until the listener is closed.
func (s *store) serve(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	return server.Serve(l)
}

// put writes a key on behalf of the operator or an engine and returns when the store has accepted it.
func (s *store) put(key string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, body, 0)
	s.notify()
	return nil
}

// remove deletes a key on behalf of the operator or an engine.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.unset(key)
	s.notify()
}

// set writes a key at the current revision. The caller holds mu.
func (s *store) set(key string, value []byte, leaseID int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = it
	s.history = append(s.history, it)
}

// unset deletes a key at the current revision. The caller holds mu.
func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

// notify wakes the watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{it, revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := make([]item, 0, len(s.items))
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	reply(w, http.StatusOK, struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"hasMore"`
		AsOf    int64  `json:"asOf"`
	}{list, more, revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		timedOut := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				timedOut = true
			}
		}
		if timedOut {
			// The revision was read before the wait; a change since then would have ended it.
			events = []item{}
		}
		reply(w, http.StatusOK, struct {
			Events []item `json:"events"`
			AsOf   int64  `json:"asOf"`
		}{events, revision})
		return
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectRev"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"setKeys"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range change.Expect {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, struct {
				Items []item `json:"items"`
			}{[]item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range change.Set {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range change.Set {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range change.Remove {
		s.unset(key)
	}
	s.notify()
	reply(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTLMs <= 0 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := min(max(time.Duration(request.TTLMs)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	reply(w, http.StatusOK, struct {
		Lease int64 `json:"lease"`
		TTLMs int64 `json:"ttlMs"`
	}{id, ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, struct {
		TTLMs int64 `json:"ttlMs"`
	}{l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.expire(id)
	reply(w, http.StatusOK, struct{}{})
}

// expire ends a lease and removes its keys.
func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.unset(key)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
