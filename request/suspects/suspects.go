package suspects

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// MaxEngines is how many engines one request may crash before it is refused.
	MaxEngines = 2
	// Retention is how long a suspect is remembered after the last crash.
	Retention = time.Hour

	maxSuspects  = 10_000
	spreadWindow = 10 * time.Second
)

type (
	// Table holds the suspects by fingerprint.
	Table struct {
		mu   sync.Mutex
		seen map[uint64]*suspect
	}

	suspect struct {
		engines []ident.Engine
		at      time.Time
	}
)

// New returns an empty table.
func New() *Table { return &Table{seen: make(map[uint64]*suspect)} }

// Fingerprint identifies the body of an organisation's request, whatever router it came through.
func Fingerprint(org ident.Organisation, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(org))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Crashed notes that an engine crashed while it ran the request.
func (t *Table) Crashed(fingerprint uint64, e ident.Engine, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(fingerprint, e, now)
}

// Engines returns the engines that the request crashed.
func (t *Table) Engines(fingerprint uint64) []ident.Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.seen[fingerprint]
	if !ok {
		return nil
	}
	return slices.Clone(s.engines)
}

// Cleared forgets a suspect whose request ended well.
func (t *Table) Cleared(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.seen[fingerprint]; ok && len(s.engines) < MaxEngines {
		delete(t.seen, fingerprint)
	}
}

// Merge adds what another router knows.
func (t *Table) Merge(list []wire.Suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range list {
		for _, e := range s.Engines {
			t.add(s.Fingerprint, e, now)
		}
	}
}

// Rumours returns the suspects of the last seconds, newest knowledge included, at most limit.
func (t *Table) Rumours(limit int, now time.Time) []wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.Suspect
	for fp, s := range t.seen {
		if now.Sub(s.at) < spreadWindow && len(out) < limit {
			out = append(out, wire.Suspect{Fingerprint: fp, Engines: slices.Clone(s.engines)})
		}
	}
	return out
}

// Sweep forgets suspects past retention.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fp, s := range t.seen {
		if now.Sub(s.at) >= Retention {
			delete(t.seen, fp)
		}
	}
}

func (t *Table) add(fingerprint uint64, e ident.Engine, now time.Time) {
	s, ok := t.seen[fingerprint]
	if !ok {
		if len(t.seen) >= maxSuspects {
			return
		}
		s = &suspect{}
		t.seen[fingerprint] = s
	}
	if slices.Contains(s.engines, e) {
		return
	}
	s.engines = append(s.engines, e)
	s.at = now
}
