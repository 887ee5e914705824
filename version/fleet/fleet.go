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
	// ShrunkListDelay is how long the platform's list must lack most of the known instances before it is accepted.
	ShrunkListDelay = 30 * time.Second

	// minShrinkCheckSize is the size below which a shrunk list is accepted at once.
	minShrinkCheckSize = 4
	// minEngineBackoff is the first back-off of an unreachable engine; it doubles up to maxEngineBackoff.
	minEngineBackoff = 500 * time.Millisecond
	maxEngineBackoff = 8 * time.Second
	// markTTL is how long a leaving mark, or the last back-off of an engine, is kept.
	markTTL = time.Minute
	// maxIncarnationRaise bounds the difference of two incarnations of the same process. An incarnation starts as the start time in
	// nanoseconds, and each refutation raises it by one.
	maxIncarnationRaise = ident.Incarnation(time.Millisecond)
	// updatesPerMessage bounds the router updates in one gossip message.
	updatesPerMessage = 16
)

type (
	// Fleet joins the platform's list with the routers' heartbeats and the engine states that home routers report.
	Fleet struct {
		self        ident.Router
		mu          sync.Mutex
		incarnation ident.Incarnation
		leaving     bool
		// listed is the last accepted list, by ID, and listedIDs its sorted IDs.
		listed    map[string]Instance
		listedIDs []string
		// shrunkSince is when the list first lacked most of the listed instances, or zero.
		shrunkSince time.Time
		members     memberTable
		// marks are the leaving marks of engines, and down the engines that could not be reached.
		marks map[ident.Engine]leavingMark
		down  map[ident.Engine]downState
		view  atomic.Pointer[View]
	}

	// leavingMark says whether an engine was leaving at a time, as its home router reported.
	leavingMark struct {
		leaving bool
		at      time.Time
	}

	// downState is the back-off of an engine that could not be reached.
	downState struct {
		until   time.Time
		backoff time.Duration
	}
)

// New returns a fleet that knows only the router itself.
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
	f.members.recordMessage(f.self, incarnation, false, now)
	f.rebuild(now)
	return f
}

// View returns the current view.
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
	f.members.recordMessage(f.self, f.incarnation, true, now)
	f.rebuild(now)
}

// ApplyList applies a new list of instances, and reports whether it was accepted. A list that lacks most of the known instances is
// accepted only after ShrunkListDelay.
func (f *Fleet) ApplyList(list []Instance, now time.Time) (accepted bool) {
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

// RecordHeartbeat records a message from another router.
func (f *Fleet) RecordHeartbeat(id ident.Router, inc ident.Incarnation, leaving bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.recordMessage(id, inc, leaving, now) {
		f.rebuild(now)
	}
}

// Suspect records that neither this router nor others it asked could reach a router.
func (f *Fleet) Suspect(id ident.Router, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.suspect(id, now) {
		f.rebuild(now)
	}
}

// Merge applies the updates of another router, and refutes wrong ones about this router.
func (f *Fleet) Merge(updates []wire.Member, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, u := range updates {
		if u.Router == f.self {
			f.refute(u, now)
			continue
		}
		changed = f.members.merge(u, now) || changed
	}
	if changed {
		f.rebuild(now)
	}
}

// Tick ends suspicions, flap suppressions, leaving marks and back-offs whose time is over. It must be called periodically.
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

// PendingUpdates returns the router updates to send with the next gossip message, and the leaving marks of all engines.
func (f *Fleet) PendingUpdates(now time.Time) ([]wire.Member, []wire.EngineState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	marks := make([]wire.EngineState, 0, len(f.marks))
	for e, m := range f.marks {
		marks = append(marks, wire.EngineState{Engine: e, Leaving: m.leaving, Age: now.Sub(m.at)})
	}
	return f.members.pendingUpdates(updatesPerMessage), marks
}

// MarkEngine records whether an engine was leaving at a time, as its home router reported.
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

// EngineDown records that an engine could not be reached. Each failure after a back-off doubles the next one.
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

// EngineUp ends the back-off of an engine that answered.
func (f *Fleet) EngineUp(e ident.Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.down, e)
}

// IsDown reports whether an engine is in back-off.
func (f *Fleet) IsDown(e ident.Engine, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.down[e].until)
}

// Address returns the peer address of a router, and false if the list has no such router.
func (f *Fleet) Address(id ident.Router) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.listed[string(id)]
	return i.PeerAddress, ok && i.Role == RoleRouter
}

// Listed returns the names of all other routers in the list, sorted, alive or not.
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

// IsSameIncarnation reports whether a router is not dead and has not restarted since its incarnation was start. Refutations do not count as
// restarts.
func (f *Fleet) IsSameIncarnation(id ident.Router, start ident.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	return ok && m.reachable() && m.incarnation-start < maxIncarnationRaise
}

// refute overrides a wrong update about this router with a higher incarnation.
func (f *Fleet) refute(u wire.Member, now time.Time) {
	if u.Incarnation < f.incarnation || u.State == Alive || (f.leaving && u.State == Leaving) {
		return
	}
	f.incarnation = u.Incarnation + 1
	f.members.recordMessage(f.self, f.incarnation, f.leaving, now)
}

// shrankTooMuch reports whether a list lacks more than half of the listed instances and has done so for less than ShrunkListDelay.
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

// rebuild replaces the view after a change. It keeps only live routers, and applies the leaving marks.
func (f *Fleet) rebuild(now time.Time) {
	var routers, placeable, engines []Instance
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
			placeable = append(placeable, i)
		}
	}
	f.view.Store(newView(f.view.Load(), routers, placeable, engines))
}

func sameInstance(a, b Instance) bool {
	return a.ID == b.ID && a.Role == b.Role && a.Address == b.Address && a.PeerAddress == b.PeerAddress &&
		a.FailureDomain == b.FailureDomain && a.State == b.State && a.Service == b.Service && a.Slots == b.Slots && a.MaxModels == b.MaxModels && a.ChecksOrders == b.ChecksOrders &&
		slices.Equal(a.Models, b.Models)
}
