package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// ShrunkListDelay is how long a list that lost most of its members must stay so before it is believed.
	ShrunkListDelay = 30 * time.Second

	minShrinkCheckSize = 4
	minEngineBackoff   = 500 * time.Millisecond
	maxEngineBackoff   = 8 * time.Second
	markTTL            = time.Minute
	// maxIncarnationRaise is how far refutations may raise an incarnation, which starts at the time in nanoseconds.
	maxIncarnationRaise = ident.Incarnation(time.Millisecond)
	updatesPerMessage   = 16
)

type (
	// Fleet joins the platform's list with the routers' heartbeats and the homes' sight of their engines.
	Fleet struct {
		self        ident.Router
		mu          sync.Mutex
		incarnation ident.Incarnation
		leaving     bool
		listed      map[string]Instance
		// listedIDs are the listed instances in order.
		listedIDs   []string
		shrunkSince time.Time
		members     memberTable
		marks       map[ident.Engine]leavingMark
		down        map[ident.Engine]downState
		view        atomic.Pointer[View]
	}

	leavingMark struct {
		leaving bool
		at      time.Time
	}

	downState struct {
		until   time.Time
		backoff time.Duration
	}
)

// New returns a fleet that knows of the router itself only.
func New(self Instance, incarnation ident.Incarnation, now time.Time) *Fleet {
	f := &Fleet{
		self:        ident.Router(self.ID),
		incarnation: incarnation,
		listed:      map[string]Instance{self.ID: self},
		members:     memberTable{},
		marks:       make(map[ident.Engine]leavingMark),
		down:        make(map[ident.Engine]downState),
	}
	f.listedIDs = []string{self.ID}
	f.members.heard(f.self, incarnation, false, now)
	f.rebuild(now)
	return f
}

// View returns the present picture.
func (f *Fleet) View() *View { return f.view.Load() }

// Self returns the router's own incarnation and whether it is leaving.
func (f *Fleet) Self() (ident.Incarnation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnation, f.leaving
}

// Leave marks the router itself as leaving.
func (f *Fleet) Leave(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.members.heard(f.self, f.incarnation, true, now)
	f.rebuild(now)
}

// ApplyList takes a new list of instances; a list that lost most of its members must first last for ListDistrust.
func (f *Fleet) ApplyList(list []Instance, now time.Time) (believed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[string]Instance, len(list)+1)
	for _, i := range list {
		next[i.ID] = i
	}
	next[string(f.self)] = f.listed[string(f.self)]
	if f.shrankTooMuch(next, now) {
		return false
	}
	f.shrunkSince = time.Time{}
	if maps.EqualFunc(f.listed, next, sameInstance) {
		return true
	}
	f.listed = next
	f.listedIDs = slices.Sorted(maps.Keys(next))
	f.rebuild(now)
	return true
}

// Heard notes a message from another router.
func (f *Fleet) Heard(id ident.Router, inc ident.Incarnation, leaving bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.heard(id, inc, leaving, now) {
		f.rebuild(now)
	}
}

// Suspect notes that a router could not be reached, by own and others' probes.
func (f *Fleet) Suspect(id ident.Router, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.suspect(id, now) {
		f.rebuild(now)
	}
}

// Merge applies what another router tells of the fleet, and refutes what it wrongly tells of this one.
func (f *Fleet) Merge(news []wire.Member, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, n := range news {
		if n.Router == f.self {
			f.refute(n, now)
			continue
		}
		changed = f.members.merge(n, now) || changed
	}
	if changed {
		f.rebuild(now)
	}
}

// Tick lets suspicions and holds run out.
func (f *Fleet) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.members.tick(now)
	for e, m := range f.marks {
		if now.Sub(m.at) >= markTTL {
			delete(f.marks, e)
			changed = true
		}
	}
	for e, d := range f.down {
		if now.Sub(d.until) >= markTTL {
			delete(f.down, e)
		}
	}
	if changed {
		f.rebuild(now)
	}
}

// PendingUpdates returns what is worth repeating of routers and engines.
func (f *Fleet) PendingUpdates(now time.Time) ([]wire.Member, []wire.EngineState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	marks := make([]wire.EngineState, 0, len(f.marks))
	for e, m := range f.marks {
		marks = append(marks, wire.EngineState{Engine: e, Leaving: m.leaving, Age: now.Sub(m.at)})
	}
	return f.members.pendingUpdates(updatesPerMessage), marks
}

// MarkEngine notes whether an engine is leaving, as its home saw it at that time.
func (f *Fleet) MarkEngine(e ident.Engine, leaving bool, at, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, known := f.marks[e]
	if known && (!at.After(old.at) || old.leaving == leaving) {
		return
	}
	if !known && !leaving {
		return
	}
	f.marks[e] = leavingMark{leaving: leaving, at: at}
	f.rebuild(now)
}

// EngineDown notes that an engine could not be reached; the hold doubles while that repeats.
func (f *Fleet) EngineDown(e ident.Engine, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.down[e]
	if now.Before(d.until) {
		return
	}
	d.backoff = min(max(2*d.backoff, minEngineBackoff), maxEngineBackoff)
	d.until = now.Add(d.backoff)
	f.down[e] = d
}

// EngineUp forgets that an engine could not be reached.
func (f *Fleet) EngineUp(e ident.Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.down, e)
}

// IsDown reports whether an engine is held back after it could not be reached.
func (f *Fleet) IsDown(e ident.Engine, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.down[e].until)
}

// Address returns where a router accepts its peers.
func (f *Fleet) Address(id ident.Router) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.listed[string(id)]
	return i.PeerAddress, ok && i.Role == RoleRouter
}

// Listed returns the names of all other routers in the list, live or not.
func (f *Fleet) Listed() []ident.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []ident.Router
	for id, i := range f.listed {
		if i.Role == RoleRouter && id != string(f.self) {
			ids = append(ids, ident.Router(id))
		}
	}
	slices.Sort(ids)
	return ids
}

// IsAlive reports whether a router is known and not dead.
func (f *Fleet) IsAlive(id ident.Router) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	return ok && m.reachable()
}

// IsSameIncarnation reports whether a router is not dead and has not been restarted since an incarnation began.
func (f *Fleet) IsSameIncarnation(id ident.Router, start ident.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	return ok && m.reachable() && m.incarnation-start < maxIncarnationRaise
}

// refute answers a wrong word about this router with a higher incarnation.
func (f *Fleet) refute(n wire.Member, now time.Time) {
	if n.Incarnation < f.incarnation || n.State == Alive || (f.leaving && n.State == Leaving) {
		return
	}
	f.incarnation = n.Incarnation + 1
	f.members.heard(f.self, f.incarnation, f.leaving, now)
}

func (f *Fleet) shrankTooMuch(next map[string]Instance, now time.Time) bool {
	kept := 0
	for id := range f.listed {
		if _, ok := next[id]; ok {
			kept++
		}
	}
	if len(f.listed) < minShrinkCheckSize || 2*kept >= len(f.listed) {
		return false
	}
	if f.shrunkSince.IsZero() {
		f.shrunkSince = now
	}
	return now.Sub(f.shrunkSince) < ShrunkListDelay
}

func (f *Fleet) rebuild(now time.Time) {
	var routers, placed, engines []Instance
	for _, id := range f.listedIDs {
		i := f.listed[id]
		if i.Role != RoleRouter {
			if f.marks[ident.Engine(id)].leaving {
				i.State = StateLeaving
			}
			engines = append(engines, i)
			continue
		}
		m, ok := f.members[ident.Router(id)]
		if !ok || !m.reachable() {
			continue
		}
		routers = append(routers, i)
		if m.placeable(now) {
			placed = append(placed, i)
		}
	}
	f.view.Store(newView(f.view.Load(), routers, placed, engines))
}

func sameInstance(a, b Instance) bool {
	return a.ID == b.ID && a.Role == b.Role && a.Address == b.Address && a.PeerAddress == b.PeerAddress &&
		a.FailureDomain == b.FailureDomain && a.State == b.State && a.Service == b.Service && a.Slots == b.Slots && a.MaxModels == b.MaxModels && a.ChecksOrders == b.ChecksOrders &&
		slices.Equal(a.Models, b.Models)
}
