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
	// MaxEngines is the number of crashed engines from which a request is refused.
	MaxEngines = 2
	// Retention is how long a suspect is kept after its last crash became known.
	Retention = time.Hour

	maxSuspects = 10_000
	// shareWindow is how long a suspect is sent to other routers after its last crash became known.
	shareWindow = 10 * time.Second
)

type (
	// Table holds suspects, the requests during which engines crashed, by fingerprint. It is safe for concurrent use.
	Table struct {
		mu       sync.Mutex
		suspects map[uint64]*suspect
	}

	suspect struct {
		engines   []ident.Engine
		updatedAt time.Time
	}
)

// New returns an empty table.
func New() *Table { return &Table{suspects: make(map[uint64]*suspect)} }

// Fingerprint returns a hash of the organisation and body of a request, which is the same at every router.
func Fingerprint(org ident.Organisation, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(org))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// RecordCrash records that an engine crashed while it ran the request.
func (t *Table) RecordCrash(fingerprint uint64, e ident.Engine, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(fingerprint, e, now)
}

// CrashedEngines returns the engines that crashed while they ran the request.
func (t *Table) CrashedEngines(fingerprint uint64) []ident.Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.suspects[fingerprint]
	if !ok {
		return nil
	}
	return slices.Clone(s.engines)
}

// Clear removes a suspect whose request has succeeded, unless it has crashed MaxEngines engines.
func (t *Table) Clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.suspects[fingerprint]; ok && len(s.engines) < MaxEngines {
		delete(t.suspects, fingerprint)
	}
}

// Merge adds the suspects that another router has sent.
func (t *Table) Merge(list []wire.Suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range list {
		for _, e := range s.Engines {
			t.add(s.Fingerprint, e, now)
		}
	}
}

// Recent returns up to limit suspects whose last crash became known within shareWindow.
func (t *Table) Recent(limit int, now time.Time) []wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wire.Suspect
	for fp, s := range t.suspects {
		if now.Sub(s.updatedAt) < shareWindow && len(out) < limit {
			out = append(out, wire.Suspect{Fingerprint: fp, Engines: slices.Clone(s.engines)})
		}
	}
	return out
}

// Sweep removes suspects after Retention.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fp, s := range t.suspects {
		if now.Sub(s.updatedAt) >= Retention {
			delete(t.suspects, fp)
		}
	}
}

func (t *Table) add(fingerprint uint64, e ident.Engine, now time.Time) {
	s, ok := t.suspects[fingerprint]
	if !ok {
		if len(t.suspects) >= maxSuspects {
			return
		}
		s = &suspect{}
		t.suspects[fingerprint] = s
	}
	if slices.Contains(s.engines, e) {
		return
	}
	s.engines = append(s.engines, e)
	s.updatedAt = now
}
