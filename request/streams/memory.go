package streams

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

// maxStreams bounds the streams that a memory holds.
const maxStreams = 8192

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

// Record records the beginning of a stream, and wakes those who wait for it.
func (m *Memory) Record(b Beginning, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.known.Get(b.ID)
	if !ok {
		known = beginning{version: b.Version, at: now}
	}
	known.ambiguous = known.ambiguous || known.version != b.Version
	m.known.Add(b.ID, known)
	for woken := range m.waiting[b.ID] {
		close(woken)
	}
	delete(m.waiting, b.ID)
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

// Since returns the streams that were recorded after a time and are certain, oldest first.
func (m *Memory) Since(t time.Time) []Beginning {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Beginning
	for _, id := range m.known.Keys() {
		if b, _ := m.known.Peek(id); b.at.After(t) && !b.ambiguous {
			list = append(list, Beginning{ID: id, Version: b.version})
		}
	}
	return list
}
