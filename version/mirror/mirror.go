package mirror

import (
	"slices"
	"strings"
	"sync"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/ident"
)

// maxLogEntries bounds the change log that serves lagging replicas; a replica that lags further gets all entries.
const maxLogEntries = 512

type (
	// Entry is one key of the store with its value, or the deletion of a key.
	Entry struct {
		Key      string
		Value    []byte
		Revision ident.Revision
		Deleted  bool
	}

	// Delta brings a replica to Revision; a full delta holds all entries and replaces the content of the replica.
	Delta struct {
		Full     bool
		Entries  []Entry
		Revision ident.Revision
		// Gaps are the gaps of the sender that the receiver inherits. They are not part of an encoded delta, whose fields earlier versions count.
		Gaps []Gap `msgpack:"-"`
	}

	// Gap is a span of revisions whose changes came as a full delta. That lacks the deletion of an entry that was put within the span, so that
	// the changes do not serve a replica whose revision lies between After and Until.
	Gap struct{ After, Until ident.Revision }

	// Mirror is a replica of the store.
	Mirror struct {
		mu       sync.Mutex
		entries  map[string]Entry
		revision ident.Revision
		// confirmedAt is the latest time at which the store is known to have held nothing newer than revision.
		confirmedAt boottime.Instant
		// log holds the latest changes in order of revision.
		log []Entry
		// logStart is the revision after which log is complete.
		logStart ident.Revision
		// gaps are the gaps in the log.
		gaps []Gap
		// loaded says that a full delta was applied.
		loaded bool
	}
)

// New returns an empty mirror that was never confirmed.
func New() *Mirror { return &Mirror{entries: make(map[string]Entry)} }

// Apply applies a delta and returns the entries that changed. It ignores a delta older than the replica, changes before the first full delta, and
// entries that are not newer than those in the replica. Confirm confirms the replica once what depends on the entries is up to date.
func (m *Mirror) Apply(d Delta) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Revision < m.revision || (!d.Full && !m.loaded) {
		return nil
	}
	if d.Full {
		d.Entries = append(d.Entries, m.deletionsFor(d.Entries, d.Revision)...)
		if !m.loaded {
			m.logStart = d.Revision
		} else if d.Revision > m.revision {
			d.Gaps = []Gap{{After: m.revision, Until: d.Revision}}
		}
	}
	if d.Revision > m.revision {
		m.gaps = append(m.gaps, d.Gaps...)
	}
	changed := m.replace(d.Entries)
	m.loaded = true
	m.revision = d.Revision
	return changed
}

// ApplyPrefix applies all entries of the store whose keys start with prefix, as they were at revision, and returns those that changed. It does not change
// the revision of the replica, which may lack earlier changes of other keys. It has no effect on a replica that is newer or not loaded.
func (m *Mirror) ApplyPrefix(prefix string, entries []Entry, revision ident.Revision) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || revision < m.revision {
		return nil
	}
	deletions := slices.DeleteFunc(m.deletionsFor(entries, revision), func(e Entry) bool { return !strings.HasPrefix(e.Key, prefix) })
	return m.replace(append(slices.Clone(entries), deletions...))
}

// replace replaces entries by those that are newer, logs and returns these.
func (m *Mirror) replace(entries []Entry) []Entry {
	var changed []Entry
	for _, e := range entries {
		old, known := m.entries[e.Key]
		// The deletion of an unknown entry is logged, once, for replicas that know the entry.
		if (known && e.Revision <= old.Revision) || (!known && e.Deleted && e.Revision <= m.revision) {
			continue
		}
		if e.Deleted {
			delete(m.entries, e.Key)
		} else {
			m.entries[e.Key] = e
		}
		changed = append(changed, e)
	}
	m.appendLog(changed)
	return changed
}

// Confirm records that the store held nothing newer than revision at confirmedAt. It has no effect if this replica is older than revision.
func (m *Mirror) Confirm(revision ident.Revision, confirmedAt boottime.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && m.revision >= revision {
		m.confirmedAt = max(m.confirmedAt, confirmedAt)
	}
}

// State returns the revision of the replica, the time at which it was last confirmed current, and whether a full delta was applied.
func (m *Mirror) State() (ident.Revision, boottime.Instant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.confirmedAt, m.loaded
}

// Since returns the last change of each key after revision, or a full delta if the log does not hold all of these changes.
func (m *Mirror) Since(revision ident.Revision) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.logStart || revision == 0 || m.isInGap(revision) {
		all := make([]Entry, 0, len(m.entries))
		for _, e := range m.entries {
			all = append(all, e)
		}
		return Delta{Full: true, Entries: all, Revision: m.revision}
	}
	var changes []Entry
	seen := make(map[string]bool)
	for i := len(m.log) - 1; i >= 0 && m.log[i].Revision > revision; i-- {
		if e := m.log[i]; !seen[e.Key] {
			seen[e.Key] = true
			changes = append(changes, e)
		}
	}
	slices.Reverse(changes)
	return Delta{Entries: changes, Revision: m.revision, Gaps: m.gapsAfter(revision)}
}

// isInGap reports whether the log lacks deletions that a replica at revision may need.
func (m *Mirror) isInGap(revision ident.Revision) bool {
	return slices.ContainsFunc(m.gaps, func(g Gap) bool { return g.After < revision && revision < g.Until })
}

// gapsAfter returns the gaps that end after revision.
func (m *Mirror) gapsAfter(revision ident.Revision) []Gap {
	return slices.DeleteFunc(slices.Clone(m.gaps), func(g Gap) bool { return g.Until <= revision })
}

// Get returns the entry of a key, and false if there is none.
func (m *Mirror) Get(key string) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	return e, ok
}

// List returns the entries whose keys start with prefix, ordered by key.
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

// deletionsFor returns deletions for the keys that are missing from a full read at revision.
func (m *Mirror) deletionsFor(full []Entry, revision ident.Revision) []Entry {
	present := make(map[string]bool, len(full))
	for _, e := range full {
		present[e.Key] = true
	}
	var deletions []Entry
	for key, e := range m.entries {
		if !present[key] && e.Revision <= revision {
			deletions = append(deletions, Entry{Key: key, Revision: revision, Deleted: true})
		}
	}
	return deletions
}

// appendLog adds changes to the log, which stays ordered by revision, and drops the oldest beyond maxLogEntries.
func (m *Mirror) appendLog(changes []Entry) {
	for _, e := range changes {
		if !e.Deleted {
			m.dropLoggedValues(e.Key)
		}
		m.log = append(m.log, e)
	}
	slices.SortStableFunc(m.log, func(a, b Entry) int { return int(a.Revision - b.Revision) })
	if excess := len(m.log) - maxLogEntries; excess > 0 {
		m.logStart = m.log[excess-1].Revision
		m.log = slices.Clone(m.log[excess:])
		m.gaps = slices.DeleteFunc(m.gaps, func(g Gap) bool { return g.Until <= m.logStart })
	}
}

// dropLoggedValues drops the values of earlier changes of a key, since Since returns only the last one.
func (m *Mirror) dropLoggedValues(key string) {
	for i := range m.log {
		if m.log[i].Key == key {
			m.log[i].Value = nil
		}
	}
}
