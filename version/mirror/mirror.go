package mirror

import (
	"slices"
	"strings"
	"sync"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/ident"
)

// maxLogEntries is how many changes are kept for replicas that lag; one that lags more gets all entries.
const maxLogEntries = 512

type (
	// Entry is one key of the store with its value, or a key that was deleted.
	Entry struct {
		Key      string
		Value    []byte
		Revision ident.Revision
		Deleted  bool
	}

	// Delta brings a replica to a revision; a full one replaces all that the replica has.
	Delta struct {
		Full     bool
		Entries  []Entry
		Revision ident.Revision
	}

	// Mirror is a replica of the store.
	Mirror struct {
		mu       sync.Mutex
		entries  map[string]Entry
		revision ident.Revision
		// confirmedAt is the latest time at which nothing newer than revision was in the store.
		confirmedAt boottime.Instant
		log         []Entry
		// logStart is the revision after which log is complete.
		logStart ident.Revision
		loaded   bool
	}
)

// New returns an empty mirror that is proven at no time.
func New() *Mirror { return &Mirror{entries: make(map[string]Entry)} }

// Apply takes a delta that was current at a time, and returns the entries that are news; one that does not fit changes nothing.
func (m *Mirror) Apply(d Delta, proven boottime.Instant) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Revision < m.revision || (!d.Full && !m.loaded) {
		return nil
	}
	if d.Full {
		d.Entries = append(d.Entries, m.deletionsFor(d.Entries, d.Revision)...)
		if !m.loaded {
			m.logStart = d.Revision
		}
	}
	var news []Entry
	for _, e := range d.Entries {
		old, known := m.entries[e.Key]
		if (known && e.Revision <= old.Revision) || (!known && e.Deleted) {
			continue
		}
		if e.Deleted {
			delete(m.entries, e.Key)
		} else {
			m.entries[e.Key] = e
		}
		news = append(news, e)
	}
	m.appendLog(news)
	m.loaded = true
	m.revision = d.Revision
	m.confirmedAt = max(m.confirmedAt, proven)
	return news
}

// Confirm notes that nothing newer than a revision was in the store at a time; it is ignored where this replica lags that revision.
func (m *Mirror) Confirm(revision ident.Revision, proven boottime.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && m.revision >= revision {
		m.confirmedAt = max(m.confirmedAt, proven)
	}
}

// State returns the revision, the time at which it was last proven current, and whether anything was read yet.
func (m *Mirror) State() (ident.Revision, boottime.Instant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.confirmedAt, m.loaded
}

// Since returns what a replica at a revision lacks: the last change of each key.
func (m *Mirror) Since(revision ident.Revision) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.logStart || revision == 0 {
		all := make([]Entry, 0, len(m.entries))
		for _, e := range m.entries {
			all = append(all, e)
		}
		return Delta{Full: true, Entries: all, Revision: m.revision}
	}
	var news []Entry
	seen := make(map[string]bool)
	for i := len(m.log) - 1; i >= 0 && m.log[i].Revision > revision; i-- {
		if e := m.log[i]; !seen[e.Key] {
			seen[e.Key] = true
			news = append(news, e)
		}
	}
	slices.Reverse(news)
	return Delta{Entries: news, Revision: m.revision}
}

// Get returns the entry of a key.
func (m *Mirror) Get(key string) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	return e, ok
}

// List returns the entries below a prefix in the order of their keys.
func (m *Mirror) List(prefix string) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Entry
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// deletionsFor returns deletions for all keys that a full read no longer has.
func (m *Mirror) deletionsFor(full []Entry, revision ident.Revision) []Entry {
	present := make(map[string]bool, len(full))
	for _, e := range full {
		present[e.Key] = true
	}
	var gone []Entry
	for key, e := range m.entries {
		if !present[key] && e.Revision <= revision {
			gone = append(gone, Entry{Key: key, Revision: revision, Deleted: true})
		}
	}
	return gone
}

// appendLog appends to the log in the order of revisions, and forgets the oldest changes.
func (m *Mirror) appendLog(news []Entry) {
	for _, e := range news {
		if !e.Deleted {
			m.dropLoggedValues(e.Key)
		}
		m.log = append(m.log, e)
	}
	slices.SortStableFunc(m.log, func(a, b Entry) int { return int(a.Revision - b.Revision) })
	if over := len(m.log) - maxLogEntries; over > 0 {
		m.logStart = m.log[over-1].Revision
		m.log = slices.Clone(m.log[over:])
	}
}

// dropLoggedValues forgets the value of an earlier change of a key, which nobody will ask for again.
func (m *Mirror) dropLoggedValues(key string) {
	for i := range m.log {
		if m.log[i].Key == key {
			m.log[i].Value = nil
		}
	}
}
