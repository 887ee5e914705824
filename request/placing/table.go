package placing

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// maxParts bounds how many parts of prompts are remembered.
	maxParts = 8192
	// holdersPerPart is how many engines are remembered for a part.
	holdersPerPart = 4
	// maxRecent bounds the holders that wait to be told to other instances.
	maxRecent = 64
	// initialRate is the reading rate of prompts, in tokens a millisecond, until one was measured.
	initialRate = 20
	// holderTTL is how long an engine is taken to hold what it has read.
	holderTTL = 60 * time.Second
	// duplicateWindow is how far apart two words of one reading may seem to be, by the time that they were on their way.
	duplicateWindow = 20 * time.Millisecond
	// remoteLoadTTL is how long the count of another instance is believed.
	remoteLoadTTL = 2 * time.Second
	// reportTTL is how long the load that an engine stated is believed; requests last about as long.
	reportTTL = 1500 * time.Millisecond
	// loadDecayTime is the time in which the weight of a stated load falls to a third; about half of the requests then are others.
	loadDecayTime = 500 * time.Millisecond
	// slownessTTL is how long the slowness that an engine stated is believed, which changes many times a second.
	slownessTTL = 400 * time.Millisecond
	// failureHalfLife is the time in which the memory of a failure halves.
	failureHalfLife = 3 * time.Second
	minBackoff      = 300 * time.Millisecond
	maxBackoff      = 3 * time.Second
)

type (
	// PartID identifies a part of prompts; engines that hold it hold the parts before it.
	PartID uint32

	// Part is one part of a prompt.
	Part struct {
		ID     PartID
		Tokens int
	}

	// Holder is an engine that has read a part.
	Holder struct {
		Part   PartID
		Engine engines.Key
		At     time.Time
	}

	// Report is what an engine says of its load.
	Report struct {
		Running, Waiting int
		// Slowness is how long work takes at this moment, 1 being as usual, or 0 where it is not told.
		Slowness float64
	}

	// Load is the load of an engine at a time, by its own report.
	Load struct {
		Engine   engines.Key
		Requests int
		At       time.Time
	}

	// Backoff is an engine that is left alone until a time, because it could not be reached.
	Backoff struct {
		Engine engines.Key
		Until  time.Time
	}

	// Table is what one instance knows of the engines.
	Table struct {
		mu      sync.Mutex
		policy  Policy
		engines map[engines.Key]*engineState
		remote  map[string]remoteLoads
		parts   *simplelru.LRU[PartID, *partState]
		// requests is how often parts were asked for, by this instance and by those that told it.
		requests decayingCount
		// recent are the holders that this instance has noted itself, oldest first.
		recent []Holder
		// prefillRate is how many tokens of a prompt engines read in a millisecond, learnt from first answers.
		prefillRate float64
	}

	// Policy bounds what a choice may do.
	Policy struct {
		// LoadBound is the multiple of the mean load up to which an engine is chosen for what it holds.
		LoadBound float64
	}

	engineState struct {
		running int
		// prefillTokens is how many tokens of prompts this instance has sent to be read, without a first answer yet.
		prefillTokens int
		report        Report
		reportedAt    time.Time
		// latestLoad is the load by the latest report of any instance, and begun what this instance has sent since.
		latestLoad      int
		latestLoadAt    time.Time
		sentSinceLatest int
		failureShare    float64
		failureShareAt  time.Time
		backoff         time.Duration
		backoffUntil    time.Time
		// backoffLocal says that this instance itself could not reach the engine.
		backoffLocal bool
		answeredAt   time.Time
	}

	// partState is what is known of a part of prompts.
	partState struct {
		// holders are the engines that were last told to have read it, latest first.
		holders  []Holder
		requests decayingCount
	}

	remoteLoads struct {
		loads map[engines.Key]int
		at    time.Time
	}
)

// New returns a table that knows of nothing.
func New(p Policy) *Table {
	parts, err := simplelru.NewLRU[PartID, *partState](maxParts, nil)
	if err != nil {
		panic(err)
	}
	return &Table{policy: p, engines: make(map[engines.Key]*engineState), remote: make(map[string]remoteLoads), parts: parts, prefillRate: initialRate}
}

// SetPolicy takes other bounds for the choices to come.
func (t *Table) SetPolicy(p Policy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy = p
}

// NewPart returns a part of a prompt of a model by the part's name.
func NewPart(name string, tokens int, model ident.Model) Part {
	return Part{ID: PartID(xxhash.Sum64String(string(model) + "\x00" + name)), Tokens: tokens}
}

// NewParts returns the parts of a prompt in order.
func NewParts(names []string, tokens []int, model ident.Model) []Part {
	parts := make([]Part, len(names))
	for i, name := range names {
		parts[i] = NewPart(name, tokens[i], model)
	}
	return parts
}

// LocalLoads returns how many requests of this instance run at each engine that states no load itself.
func (t *Table) LocalLoads(now time.Time) map[engines.Key]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[engines.Key]int)
	for k, s := range t.engines {
		if s.running > 0 && now.Sub(s.latestLoadAt) > reportTTL {
			loads[k] = s.running
		}
	}
	return loads
}

// SetRemoteLoads takes the counts of another instance.
func (t *Table) SetRemoteLoads(instance string, loads map[engines.Key]int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remote[instance] = remoteLoads{loads: loads, at: now}
}

// MergeHolders takes what other instances know of engines that hold parts.
func (t *Table) MergeHolders(list []Holder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range list {
		if t.recordHolder(h) {
			t.countRequest(h)
		}
	}
}

// RecentHolders returns what this instance has noted since a time, newest first, at most limit of them; of an engine that has read a part
// several times, the last time.
func (t *Table) RecentHolders(since time.Time, limit int) []Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	type reading struct {
		part   PartID
		engine engines.Key
	}
	told := make(map[reading]bool)
	var list []Holder
	for i := len(t.recent) - 1; i >= 0 && len(list) < limit && t.recent[i].At.After(since); i-- {
		h := t.recent[i]
		if r := (reading{h.Part, h.Engine}); !told[r] {
			told[r] = true
			list = append(list, h)
		}
	}
	return list
}

// Holders returns all that is known of engines that hold parts, the latest last, at most limit of them.
func (t *Table) Holders(limit int) []Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Holder
	for _, part := range t.parts.Keys() {
		known, _ := t.parts.Peek(part)
		list = append(list, known.holders...)
	}
	return list[max(len(list)-limit, 0):]
}

// RecordReport takes the load that an engine stated with an answer.
func (t *Table) RecordReport(e engines.Engine, r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.engineState(e.Key)
	s.report, s.reportedAt = r, now
	s.setLatestLoad(r.Running+r.Waiting, now)
}

// MergeReportedLoads takes loads that engines stated to other instances.
func (t *Table) MergeReportedLoads(list []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range list {
		if s := t.engineState(l.Engine); l.At.After(s.latestLoadAt) {
			s.setLatestLoad(l.Requests, l.At)
		}
	}
}

// ReportedLoads returns the highest loads that engines stated to this instance since a time, at most limit of them.
func (t *Table) ReportedLoads(since time.Time, limit int) []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Load
	for k, s := range t.engines {
		if s.reportedAt.After(since) {
			list = append(list, Load{Engine: k, Requests: s.report.Running + s.report.Waiting, At: s.reportedAt})
		}
	}
	slices.SortFunc(list, func(a, b Load) int { return cmp.Compare(b.Requests, a.Requests) })
	return list[:min(limit, len(list))]
}

// RecordFailure notes that an engine failed a request; one that could not be reached is left alone for a while, longer each time, which is returned.
func (t *Table) RecordFailure(e engines.Engine, unreachable bool, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.engineState(e.Key)
	s.failureShare = s.decayedFailureShare(now) + (1-s.decayedFailureShare(now))*failureSmoothing
	s.failureShareAt = now
	if unreachable && now.After(s.backoffUntil) {
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.backoffUntil, s.backoffLocal = now.Add(s.backoff), true
		return s.backoff
	}
	return 0
}

// LocalBackoffs returns the engines that this instance could not reach and leaves alone, at most limit of them.
func (t *Table) LocalBackoffs(limit int, now time.Time) []Backoff {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Backoff
	for k, s := range t.engines {
		if s.backoffLocal && s.backoffUntil.After(now) && len(list) < limit {
			list = append(list, Backoff{Engine: k, Until: s.backoffUntil})
		}
	}
	return list
}

// MergeBackoffs leaves engines alone that another instance could not reach, unless they have just answered this one.
func (t *Table) MergeBackoffs(list []Backoff, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range list {
		s := t.engineState(h.Engine)
		if now.Sub(s.answeredAt) > minBackoff && h.Until.After(s.backoffUntil) {
			s.backoffUntil, s.backoffLocal = h.Until, false
		}
	}
}

// RecordSuccess notes a good answer of an engine.
func (t *Table) RecordSuccess(e engines.Engine, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.engineState(e.Key)
	s.failureShare = s.decayedFailureShare(now) * (1 - failureSmoothing)
	s.failureShareAt = now
	s.backoff = 0
	s.backoffUntil, s.backoffLocal = time.Time{}, false
	s.answeredAt = now
}

// Prune drops what is known of engines and instances that are gone.
func (t *Table) Prune(known func(engines.Key) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.engines {
		if !known(k) && s.running == 0 {
			delete(t.engines, k)
		}
	}
	for id, r := range t.remote {
		if now.Sub(r.at) > remoteLoadTTL {
			delete(t.remote, id)
		}
	}
}

func (t *Table) engineState(k engines.Key) *engineState {
	s, ok := t.engines[k]
	if !ok {
		s = &engineState{}
		t.engines[k] = s
	}
	return s
}

// recordHolder notes that an engine has read a part, and reports whether that is news.
func (t *Table) recordHolder(h Holder) bool {
	known, ok := t.parts.Get(h.Part)
	if !ok {
		known = &partState{}
		t.parts.Add(h.Part, known)
	}
	kept := make([]Holder, 0, holdersPerPart)
	kept = append(kept, h)
	news := true
	for _, old := range known.holders {
		if old.Engine == h.Engine {
			news = h.At.Sub(old.At) > duplicateWindow
			if old.At.After(h.At) {
				kept[0].At = old.At
			}
			continue
		}
		if len(kept) < holdersPerPart {
			kept = append(kept, old)
		}
	}
	known.holders = kept
	return news
}

// countRequest counts that a part of a prompt was asked for.
func (t *Table) countRequest(h Holder) {
	t.requests.add(h.At)
	if known, ok := t.parts.Peek(h.Part); ok {
		known.requests.add(h.At)
	}
}

func (s *engineState) setLatestLoad(requests int, at time.Time) {
	s.latestLoad, s.latestLoadAt, s.sentSinceLatest = requests, at, 0
}

// latestLoadWeight returns how much the stated load still tells, from 1 down to 0 where it is too old.
func (s *engineState) latestLoadWeight(now time.Time) float64 {
	age := now.Sub(s.latestLoadAt)
	if age >= reportTTL {
		return 0
	}
	return math.Exp(-max(age, 0).Seconds() / loadDecayTime.Seconds())
}

// decayedFailureShare returns the share of late requests that the engine failed, fading with time.
func (s *engineState) decayedFailureShare(now time.Time) float64 {
	return s.failureShare * math.Exp2(-now.Sub(s.failureShareAt).Seconds()/failureHalfLife.Seconds())
}
