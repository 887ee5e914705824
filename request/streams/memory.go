package streams

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

// maxStreams bounds the streams that a memory holds. A collector hears of some hundred a second.
const maxStreams = 32768

type (
	// ID identifies the request that began a stream. It is a 64-bit hash.
	ID uint64

	// Beginning is a stream with the version of the engine that began it.
	Beginning struct {
		ID      ID
		Version engines.Version
	}

	// Memory holds the beginnings of recent streams. It is safe for concurrent use.
	Memory struct {
		mu      sync.Mutex
		known   *simplelru.LRU[ID, beginning]
		waiting map[ID]map[chan struct{}]bool
	}

	beginning struct {
		version engines.Version
		at      time.Time
		// own says that this instance has seen the stream begin.
		own bool
		// ambiguous says that streams of several versions began under the id.
		ambiguous bool
	}
)

// NewID returns the id of the stream that a request of an organisation began at a service.
func NewID(s ident.Service, org ident.Organisation, r ident.Request) ID {
	return ID(xxhash.Sum64String(string(s) + "\x00" + string(org) + "\x00" + string(r)))
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	known, err := simplelru.NewLRU[ID, beginning](maxStreams, nil)
	if err != nil {
		panic(err)
	}
	return &Memory{known: known, waiting: make(map[ID]map[chan struct{}]bool)}
}

// RecordOwn records the beginning of a stream of this instance.
func (m *Memory) RecordOwn(b Beginning, now time.Time) { m.record(b, true, now) }

// Record records the beginning of a stream of which this instance has heard, and wakes those who wait for it.
func (m *Memory) Record(b Beginning, now time.Time) { m.record(b, false, now) }

func (m *Memory) record(b Beginning, own bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(now)
	known, ok := m.known.Get(b.ID)
	if !ok {
		known = beginning{version: b.Version, at: now}
	}
	known.own = known.own || own
	known.ambiguous = known.ambiguous || known.version != b.Version
	m.known.Add(b.ID, known)
	for woken := range m.waiting[b.ID] {
		close(woken)
	}
	delete(m.waiting, b.ID)
}

// forget removes the least recently used beginnings that are older than Retention.
func (m *Memory) forget(now time.Time) {
	for {
		_, oldest, ok := m.known.GetOldest()
		if !ok || now.Sub(oldest.at) < Retention {
			return
		}
		m.known.RemoveOldest()
	}
}

// VersionOf returns the version at which a stream began, and false if it is not known or not certain.
func (m *Memory) VersionOf(id ID) (engines.Version, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.known.Get(id)
	return known.version, ok && !known.ambiguous
}

// Await returns a channel that is closed when the beginning of a stream is recorded, and a function that ends the wait.
func (m *Memory) Await(id ID) (<-chan struct{}, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	recorded := make(chan struct{})
	if m.waiting[id] == nil {
		m.waiting[id] = make(map[chan struct{}]bool)
	}
	m.waiting[id][recorded] = true
	return recorded, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waiting[id], recorded)
		if len(m.waiting[id]) == 0 {
			delete(m.waiting, id)
		}
	}
}

// OwnSince returns the streams of this instance that began after a time and are certain.
func (m *Memory) OwnSince(t time.Time) []Beginning {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Beginning
	for _, id := range m.known.Keys() {
		if b, _ := m.known.Peek(id); b.own && b.at.After(t) && !b.ambiguous {
			list = append(list, Beginning{ID: id, Version: b.version})
		}
	}
	return list
}
