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
	"github.com/vanillaroute/vanillaroute/request/decay"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// maxParts is the number of parts of prompts that a table remembers.
	maxParts = 8192
	// holdersPerPart is the number of engines that a table remembers for each part.
	holdersPerPart = 4
	// maxRecent is the number of holders that are kept for sending to other instances.
	maxRecent = 64
	// initialRate is the assumed prefill rate in tokens per millisecond, until it has been measured.
	initialRate = 20
	// holderTTL is how long an engine is assumed to hold a part after it has read the part.
	holderTTL = 60 * time.Second
	// duplicateWindow is the time difference up to which two messages about an engine and a part mean the same read. Messages carry the
	// age of a read, so their transmission time shifts the time that the receiver computes from it.
	duplicateWindow = 20 * time.Millisecond
	// remoteLoadTTL is how long the counts of another instance are valid.
	remoteLoadTTL = 2 * time.Second
	// reportTTL is how long a reported load is valid; requests take about as long.
	reportTTL = 1500 * time.Millisecond
	// loadDecayTime is the time constant of the weight of a reported load (factor 1/e). About half of the requests have changed after it.
	loadDecayTime = 500 * time.Millisecond
	// slownessTTL is how long a reported slowness is valid; it changes many times a second.
	slownessTTL = 400 * time.Millisecond
	// failureHalfLife is the time in which the share of failures of an engine halves.
	failureHalfLife = 3 * time.Second
	minBackoff      = 300 * time.Millisecond
	maxBackoff      = 3 * time.Second
)

type (
	// PartID identifies a part of prompts. An engine that holds a part also holds the parts before it.
	PartID uint32

	// Part is a section of a prompt that engines cache as a unit.
	Part struct {
		ID     PartID
		Tokens int
	}

	// Holder records that an engine read a part at a time.
	Holder struct {
		Part   PartID
		Engine engines.Key
		At     time.Time
	}

	// Report is the load that an engine reports with an answer.
	Report struct {
		Running, Waiting int
		// Slowness is the current duration of work relative to the usual one, or 0 if it is not reported.
		Slowness float64
	}

	// Load is the load that an engine reported at a time.
	Load struct {
		Engine   engines.Key
		Requests int
		At       time.Time
	}

	// Backoff is an engine that is avoided until a time because it could not be reached.
	Backoff struct {
		Engine engines.Key
		Until  time.Time
	}

	// Table holds what one instance knows about the engines. It is safe for concurrent use.
	Table struct {
		mu      sync.Mutex
		policy  Policy
		engines map[engines.Key]*engineState
		remote  map[string]remoteLoads
		// services holds the requests in progress at each service.
		services map[ident.ServiceID]*serviceRunning
		parts    *simplelru.LRU[PartID, *partState]
		// requests counts the requests for parts, by this instance and by those that have sent theirs.
		requests decay.Count
		// recent are the holders that this instance has recorded from its own requests, oldest first.
		recent []Holder
		// newSurges are the subjects whose surges have started and were not sent to other instances yet.
		newSurges    []PartID
		surgeStarted chan struct{}
		fleet        fleet
		cold         coldTable
		// prefillRate is the measured prefill rate in tokens per millisecond.
		prefillRate float64
		// meanShared is the mean of the shared tokens of recent prompts.
		meanShared float64
	}

	// Policy holds the settings of the choice.
	Policy struct {
		// LoadBound is the multiple of the mean load up to which an engine is chosen for the parts that it holds.
		LoadBound float64
		// MoveSmallFirst lets small prompts leave an engine near its bound before large ones.
		MoveSmallFirst bool
		Cold           ColdPolicy
	}

	engineState struct {
		running int
		// prefillTokens is the number of prompt tokens that this instance has sent and that have not been read yet.
		prefillTokens int
		report        Report
		reportedAt    time.Time
		// latestLoad is the latest load that the engine reported to any instance, and sentSinceLatest the number of requests that this
		// instance has sent since.
		latestLoad      int
		latestLoadAt    time.Time
		sentSinceLatest int
		// reports are the loads that the engine reported to any instance.
		reports        reportedLoads
		failureShare   float64
		failureShareAt time.Time
		backoff        time.Duration
		backoffUntil   time.Time
		// backoffLocal reports that this instance itself could not reach the engine.
		backoffLocal bool
		answeredAt   time.Time
		limit        engineLimit
		cold         coldState
		// leavingAt is when the engine last said that it is leaving, or zero, and pausedUntil the time until which it takes no requests from this
		// instance.
		leavingAt, pausedUntil time.Time
	}

	// partState is what a table knows about a part of prompts.
	partState struct {
		// holders are the engines that last read it, in the order in which this became known, latest first.
		holders  []Holder
		requests decay.Count
		surge    surge
	}

	remoteLoads struct {
		loads map[engines.Key]int
		at    time.Time
	}
)

// New returns an empty table.
func New(p Policy) *Table {
	parts, err := simplelru.NewLRU[PartID, *partState](maxParts, nil)
	if err != nil {
		panic(err)
	}
	return &Table{policy: p, engines: make(map[engines.Key]*engineState), remote: make(map[string]remoteLoads), services: make(map[ident.ServiceID]*serviceRunning), parts: parts, surgeStarted: make(chan struct{}, 1), prefillRate: initialRate}
}

// SetPolicy replaces the policy for later choices.
func (t *Table) SetPolicy(p Policy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy = p
}

// NewPart returns the part with the given name and number of tokens for a model.
func NewPart(name string, tokens int, model ident.Model) Part {
	return Part{ID: PartID(xxhash.Sum64String(string(model) + "\x00" + name)), Tokens: tokens}
}

// NewParts returns the parts of a prompt in order; names and tokens have the same length.
func NewParts(names []string, tokens []int, model ident.Model) []Part {
	parts := make([]Part, len(names))
	for i, name := range names {
		parts[i] = NewPart(name, tokens[i], model)
	}
	return parts
}

// Slots returns the number of requests that the engines of a request's service run at the same time, without those that are evacuated or take none now.
func (t *Table) Slots(all *engines.List, r Request, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := 0
	for _, e := range r.candidates(all) {
		if s := t.engineState(e.Key); s.accepts(now) && !now.Before(s.backoffUntil) {
			slots += e.Slots
		}
	}
	return slots
}

// LocalLoads returns the number of requests of this instance at each engine that has not reported its load lately.
func (t *Table) LocalLoads(now time.Time) map[engines.Key]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[engines.Key]int)
	for k, s := range t.engines {
		if s.running > 0 && now.Sub(s.latestLoadAt) >= reportTTL {
			loads[k] = s.running
		}
	}
	return loads
}

// SetRemoteLoads replaces the counts of another instance.
func (t *Table) SetRemoteLoads(instance string, loads map[engines.Key]int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remote[instance] = remoteLoads{loads: loads, at: now}
}

// MergeHolders merges the holders that another instance has sent.
func (t *Table) MergeHolders(list []Holder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range list {
		if t.recordHolder(h) {
			t.countRequest(h)
		}
	}
}

// RecentHolders returns up to limit holders that this instance has recorded since a time, newest first. Of several reads of a part by an
// engine it returns the last one.
func (t *Table) RecentHolders(since time.Time, limit int) []Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	type read struct {
		part   PartID
		engine engines.Key
	}
	seen := make(map[read]bool)
	var list []Holder
	for i := len(t.recent) - 1; i >= 0 && len(list) < limit && t.recent[i].At.After(since); i-- {
		h := t.recent[i]
		if r := (read{h.Part, h.Engine}); !seen[r] {
			seen[r] = true
			list = append(list, h)
		}
	}
	return list
}

// Holders returns up to limit known holders, those of the most recently used parts last.
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

// MergeReportedLoads merges loads that engines reported to other instances.
func (t *Table) MergeReportedLoads(list []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range list {
		if s := t.engineState(l.Engine); l.At.After(s.latestLoadAt) {
			s.setLatestLoad(l.Requests, l.At)
		}
	}
}

// ReportedLoads returns the highest loads that engines reported to this instance since a time, at most limit of them.
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

// RecordFailure records that an engine failed a request. If the engine could not be reached and is not in back-off, a new back-off starts:
// minBackoff at first, then twice the last one, at most maxBackoff. RecordFailure returns the length of the back-off that it started, or 0.
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

// LocalBackoffs returns up to limit engines that are in back-off because this instance could not reach them.
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

// MergeBackoffs starts the back-off of engines that another instance could not reach, unless they have just answered this one.
func (t *Table) MergeBackoffs(list []Backoff, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range list {
		s := t.engineState(b.Engine)
		if now.Sub(s.answeredAt) > minBackoff && b.Until.After(s.backoffUntil) {
			s.backoffUntil, s.backoffLocal = b.Until, false
		}
	}
}

// RecordSuccess records a successful answer of an engine and ends its back-off.
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

// Prune removes the state of engines that are not known, run no request of this instance and have said nothing that still holds, and the counts of other instances after
// remoteLoadTTL.
func (t *Table) Prune(known func(engines.Key) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.engines {
		if !known(k) && s.running == 0 && !s.mustOutliveEntry(now) {
			delete(t.engines, k)
		}
	}
	for id, r := range t.remote {
		if now.Sub(r.at) > remoteLoadTTL {
			delete(t.remote, id)
		}
	}
	t.pruneServices(now)
}

func (t *Table) engineState(k engines.Key) *engineState {
	s, ok := t.engines[k]
	if !ok {
		s = &engineState{}
		t.engines[k] = s
	}
	return s
}

// recordHolder records that an engine has read a part, and reports whether this read was not known yet.
func (t *Table) recordHolder(h Holder) bool {
	known, ok := t.parts.Get(h.Part)
	if !ok {
		known = &partState{}
		t.parts.Add(h.Part, known)
	}
	kept := make([]Holder, 0, holdersPerPart)
	kept = append(kept, h)
	isNew := true
	for _, old := range known.holders {
		if old.Engine == h.Engine {
			isNew = h.At.Sub(old.At) > duplicateWindow
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
	return isNew
}

// countRequest counts a request for a part.
func (t *Table) countRequest(h Holder) {
	t.requests.Add(1, h.At)
	if known, ok := t.parts.Peek(h.Part); ok {
		known.requests.Add(1, h.At)
	}
}

func (s *engineState) setLatestLoad(requests int, at time.Time) {
	if at.Sub(s.latestLoadAt) > duplicateWindow {
		s.reports.add(requests, at)
	}
	s.latestLoad, s.latestLoadAt, s.sentSinceLatest = requests, at, 0
}

// latestLoadWeight returns the weight of the latest reported load, from 1 for a new one towards 0.
func (s *engineState) latestLoadWeight(now time.Time) float64 {
	age := now.Sub(s.latestLoadAt)
	return math.Exp(-max(age, 0).Seconds() / loadDecayTime.Seconds())
}

// decayedFailureShare returns the share of recent requests that the engine failed, which decays with time.
func (s *engineState) decayedFailureShare(now time.Time) float64 {
	return s.failureShare * math.Exp2(-now.Sub(s.failureShareAt).Seconds()/failureHalfLife.Seconds())
}
