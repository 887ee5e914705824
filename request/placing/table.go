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
	// firstRate is the reading rate of prompts, in tokens a millisecond, until one was measured.
	firstRate = 20
	// holderLife is how long an engine is taken to hold what it has read.
	holderLife = 60 * time.Second
	// sameWord is how far apart two words of one reading may seem to be, by the time that they were on their way.
	sameWord = 20 * time.Millisecond
	// remoteLife is how long the count of another instance is believed.
	remoteLife = 2 * time.Second
	// reportLife is how long the load that an engine stated is believed; requests last about as long.
	reportLife = 1500 * time.Millisecond
	// loadFade is the time in which the weight of a stated load falls to a third; about half of the requests then are others.
	loadFade = 500 * time.Millisecond
	// slownessLife is how long the slowness that an engine stated is believed, which changes many times a second.
	slownessLife = 400 * time.Millisecond
	// failureHalfLife is the time in which the memory of a failure halves.
	failureHalfLife = 3 * time.Second
	holdFirst       = 300 * time.Millisecond
	holdMost        = 3 * time.Second
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

	// Held is an engine that is left alone until a time, because it could not be reached.
	Held struct {
		Engine engines.Key
		Until  time.Time
	}

	// Table is what one instance knows of the engines.
	Table struct {
		mu      sync.Mutex
		policy  Policy
		engines map[engines.Key]*state
		remote  map[string]remote
		parts   *simplelru.LRU[PartID, *knownPart]
		// asked is how often parts were asked for, by this instance and by those that told it.
		asked heat
		// recent are the holders that this instance has noted itself, oldest first.
		recent []Holder
		// rate is how many tokens of a prompt engines read in a millisecond, learnt from first answers.
		rate float64
	}

	// Policy bounds what a choice may do.
	Policy struct {
		// LoadBound is the multiple of the mean load up to which an engine is chosen for what it holds.
		LoadBound float64
	}

	state struct {
		running int
		// reading is how many tokens of prompts this instance has sent to be read, without a first answer yet.
		reading    int
		report     Report
		reportedAt time.Time
		// stated is the load by the latest report of any instance, and begun what this instance has sent since.
		stated    int
		statedAt  time.Time
		begun     int
		failing   float64
		failedAt  time.Time
		hold      time.Duration
		heldUntil time.Time
		// heldHere says that this instance itself could not reach the engine.
		heldHere bool
		answered time.Time
	}

	// knownPart is what is known of a part of prompts.
	knownPart struct {
		// holders are the engines that were last told to have read it, latest first.
		holders []Holder
		asked   heat
	}

	remote struct {
		loads map[engines.Key]int
		at    time.Time
	}
)

// New returns a table that knows of nothing.
func New(p Policy) *Table {
	parts, err := simplelru.NewLRU[PartID, *knownPart](maxParts, nil)
	if err != nil {
		panic(err)
	}
	return &Table{policy: p, engines: make(map[engines.Key]*state), remote: make(map[string]remote), parts: parts, rate: firstRate}
}

// SetPolicy takes other bounds for the choices to come.
func (t *Table) SetPolicy(p Policy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy = p
}

// PartOf returns a part of a prompt of a model by the part's name.
func PartOf(name string, tokens int, model ident.Model) Part {
	return Part{ID: PartID(xxhash.Sum64String(string(model) + "\x00" + name)), Tokens: tokens}
}

// Parts returns the parts of a prompt in order.
func Parts(names []string, tokens []int, model ident.Model) []Part {
	parts := make([]Part, len(names))
	for i, name := range names {
		parts[i] = PartOf(name, tokens[i], model)
	}
	return parts
}

// Loads returns how many requests of this instance run at each engine that states no load itself.
func (t *Table) Loads(now time.Time) map[engines.Key]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[engines.Key]int)
	for k, s := range t.engines {
		if s.running > 0 && now.Sub(s.statedAt) > reportLife {
			loads[k] = s.running
		}
	}
	return loads
}

// NoteLoads takes the counts of another instance.
func (t *Table) NoteLoads(instance string, loads map[engines.Key]int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remote[instance] = remote{loads: loads, at: now}
}

// NoteHolders takes what other instances know of engines that hold parts.
func (t *Table) NoteHolders(list []Holder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range list {
		if t.noteHolder(h) {
			t.noteAsked(h)
		}
	}
}

// Recent returns what this instance has noted since a time, newest first, at most limit of them; of an engine that has read a part
// several times, the last time.
func (t *Table) Recent(since time.Time, limit int) []Holder {
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

// NoteReport takes the load that an engine stated with an answer.
func (t *Table) NoteReport(e engines.Engine, r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e.Key)
	s.report, s.reportedAt = r, now
	s.state(r.Running+r.Waiting, now)
}

// NoteStated takes loads that engines stated to other instances.
func (t *Table) NoteStated(list []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range list {
		if s := t.state(l.Engine); l.At.After(s.statedAt) {
			s.state(l.Requests, l.At)
		}
	}
}

// Stated returns the highest loads that engines stated to this instance since a time, at most limit of them.
func (t *Table) Stated(since time.Time, limit int) []Load {
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

// Failed notes that an engine failed a request; one that could not be reached is left alone for a while, longer each time, which is returned.
func (t *Table) Failed(e engines.Engine, unreachable bool, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e.Key)
	s.failing = s.failure(now) + (1-s.failure(now))*failureStep
	s.failedAt = now
	if unreachable && now.After(s.heldUntil) {
		s.hold = min(max(2*s.hold, holdFirst), holdMost)
		s.heldUntil, s.heldHere = now.Add(s.hold), true
		return s.hold
	}
	return 0
}

// HeldHere returns the engines that this instance could not reach and leaves alone, at most limit of them.
func (t *Table) HeldHere(limit int, now time.Time) []Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Held
	for k, s := range t.engines {
		if s.heldHere && s.heldUntil.After(now) && len(list) < limit {
			list = append(list, Held{Engine: k, Until: s.heldUntil})
		}
	}
	return list
}

// NoteHeld leaves engines alone that another instance could not reach, unless they have just answered this one.
func (t *Table) NoteHeld(list []Held, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range list {
		s := t.state(h.Engine)
		if now.Sub(s.answered) > holdFirst && h.Until.After(s.heldUntil) {
			s.heldUntil, s.heldHere = h.Until, false
		}
	}
}

// Answered notes a good answer of an engine.
func (t *Table) Answered(e engines.Engine, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e.Key)
	s.failing = s.failure(now) * (1 - failureStep)
	s.failedAt = now
	s.hold = 0
	s.heldUntil, s.heldHere = time.Time{}, false
	s.answered = now
}

// Forget drops what is known of engines and instances that are gone.
func (t *Table) Forget(known func(engines.Key) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.engines {
		if !known(k) && s.running == 0 {
			delete(t.engines, k)
		}
	}
	for id, r := range t.remote {
		if now.Sub(r.at) > remoteLife {
			delete(t.remote, id)
		}
	}
}

func (t *Table) state(k engines.Key) *state {
	s, ok := t.engines[k]
	if !ok {
		s = &state{}
		t.engines[k] = s
	}
	return s
}

// noteHolder notes that an engine has read a part, and reports whether that is news.
func (t *Table) noteHolder(h Holder) bool {
	known, ok := t.parts.Get(h.Part)
	if !ok {
		known = &knownPart{}
		t.parts.Add(h.Part, known)
	}
	kept := make([]Holder, 0, holdersPerPart)
	kept = append(kept, h)
	news := true
	for _, old := range known.holders {
		if old.Engine == h.Engine {
			news = h.At.Sub(old.At) > sameWord
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

// noteAsked counts that a part of a prompt was asked for.
func (t *Table) noteAsked(h Holder) {
	t.asked.add(h.At)
	if known, ok := t.parts.Peek(h.Part); ok {
		known.asked.add(h.At)
	}
}

func (s *state) state(requests int, at time.Time) {
	s.stated, s.statedAt, s.begun = requests, at, 0
}

// statedWeight returns how much the stated load still tells, from 1 down to 0 where it is too old.
func (s *state) statedWeight(now time.Time) float64 {
	age := now.Sub(s.statedAt)
	if age >= reportLife {
		return 0
	}
	return math.Exp(-max(age, 0).Seconds() / loadFade.Seconds())
}

// failure returns the share of late requests that the engine failed, fading with time.
func (s *state) failure(now time.Time) float64 {
	return s.failing * math.Exp2(-now.Sub(s.failedAt).Seconds()/failureHalfLife.Seconds())
}
