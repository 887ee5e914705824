package suspects

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// maxCrashesKept is the number of crashes that are kept for a subject, and maxSentCrashes that in a message, the latest ones.
	maxCrashesKept = 32
	maxSentCrashes = 8
	// minSharedCrashes is the number of crashes from which the evidence against a subject is sent to all instances.
	minSharedCrashes = 2
	maxSubjects      = 4096
	maxAnswered      = 8192
)

type (
	// ID identifies a subject of evidence by a hash: a request, or a part of prompts whatever the model is.
	ID uint64

	// Crash is the crash of an engine that ran a request with a subject.
	Crash struct {
		Engine engines.Key
		At     time.Time
	}

	// Evidence is the evidence for and against a subject.
	Evidence struct {
		ID ID
		// Crashes holds up to maxSentCrashes of the latest crashes, oldest first.
		Crashes []Crash
		// AnsweredAt is the latest time at which an engine completed an answer on the subject, or zero.
		AnsweredAt time.Time
	}

	// Tracker tracks the subjects of one kind on which engines crashed, from the evidence of all instances. It is safe for concurrent use.
	Tracker struct {
		policy   Policy
		mu       sync.Mutex
		suspects *simplelru.LRU[ID, *state]
		// answered holds when an engine of this instance last completed an answer on a subject.
		answered *simplelru.LRU[ID, time.Time]
		unsent   []ID
		changed  chan struct{}
		// found are the culprits that follow from the evidence, and explained the engines that they crashed. They are determined again when outdated
		// is set.
		found     []foundCulprit
		explained map[engines.Key]bool
		outdated  bool
		// stored are the culprits in the platform's store, by their texts.
		stored map[string]storedCulprit
		// trials are the trials of culprits, by the texts of these.
		trials map[string]trials
	}

	state struct {
		crashes    []knownCrash
		answeredAt time.Time
		changedAt  time.Time
		// refusedAt is when this instance last refused a request for the subject, or zero.
		refusedAt time.Time
	}

	knownCrash struct {
		Crash
		// knownAt is when this instance learned of the crash.
		knownAt time.Time
	}
)

// NewTracker returns an empty Tracker.
func NewTracker(p Policy) *Tracker { return newTracker(p, make(chan struct{}, 1)) }

// newTracker returns a Tracker that sends on changed when TakeChanged has something to return.
func newTracker(p Policy, changed chan struct{}) *Tracker {
	return &Tracker{
		policy: p, suspects: newLRU[*state](maxSubjects), answered: newLRU[time.Time](maxAnswered), changed: changed, stored: make(map[string]storedCulprit), trials: make(map[string]trials),
	}
}

// String returns the ID as it stands in logs and in the keys of culprits.
func (id ID) String() string { return strconv.FormatUint(uint64(id), idBase) }

// NewPart returns the ID of the part with the given name.
func NewPart(name string) ID { return ID(xxhash.Sum64String(name)) }

// RecordCrash records that an engine crashed while it ran a request with these subjects.
func (t *Tracker) RecordCrash(ids []ID, c Crash, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if s := t.suspect(id); s.add(c, now) {
			t.markChanged(id, s, now)
		}
	}
}

// RecordAnswer records that an engine has completed an answer to a request with these subjects.
func (t *Tracker) RecordAnswer(ids []ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.answered.Add(id, now)
		s, ok := t.suspects.Peek(id)
		if !ok {
			continue
		}
		wasShared := len(s.sinceAnswer()) >= minSharedCrashes
		s.answeredAt = now
		if wasShared {
			t.markChanged(id, s, now)
		}
	}
}

// Merge adds the evidence that another instance has sent. It is sent on if it brings a subject closer to being a culprit, or farther from it, and
// answered if this instance knows of a later answer.
func (t *Tracker) Merge(list []Evidence, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range list {
		s := t.suspect(e.ID)
		before := len(s.sinceAnswer())
		added := false
		for _, c := range e.Crashes {
			added = s.add(c, now) || added
		}
		answered := s.mergeAnswer(e)
		if (answered && before >= minSharedCrashes) || (added && len(s.sinceAnswer()) >= minSharedCrashes) || s.refutes(e) {
			t.markChanged(e.ID, s, now)
		}
		t.outdated = t.outdated || added || answered
	}
}

// TakeChanged returns the evidence that has changed since the last call: what all instances need, and what only concerns those that collect
// the first evidence on a subject.
func (t *Tracker) TakeChanged() (shared, first []Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.Sort(t.unsent)
	for _, id := range slices.Compact(t.unsent) {
		s, ok := t.suspects.Peek(id)
		if !ok {
			continue
		}
		if len(s.crashes) >= minSharedCrashes {
			shared = append(shared, s.evidence(id))
		} else {
			first = append(first, s.evidence(id))
		}
	}
	t.unsent = nil
	return shared, first
}

// PutBack makes TakeChanged return the evidence on these subjects again.
func (t *Tracker) PutBack(list []Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range list {
		t.unsent = append(t.unsent, e.ID)
	}
	notify(t.changed)
}

// Sweep removes the evidence on subjects after Retention.
func (t *Tracker) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.suspects.Keys() {
		if s, ok := t.suspects.Peek(id); ok && now.Sub(s.changedAt) >= Retention {
			t.suspects.Remove(id)
			t.outdated = true
		}
	}
	t.pruneTrials()
}

// suspect returns the state of a subject, which it creates with the last answer of this instance.
func (t *Tracker) suspect(id ID) *state {
	s, ok := t.suspects.Get(id)
	if !ok {
		s = &state{}
		t.suspects.Add(id, s)
	}
	if at, ok := t.answered.Peek(id); ok && at.After(s.answeredAt) {
		s.answeredAt = at
	}
	return s
}

func (t *Tracker) markChanged(id ID, s *state, now time.Time) {
	s.changedAt, t.outdated = now, true
	t.unsent = append(t.unsent, id)
	notify(t.changed)
}

func notify(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

// mergeAnswer adopts the answer in the evidence of another instance if it came after crashes that count as unanswered here, or if none is known here.
// It reports whether it did. Times of different instances are not compared, since messages carry ages and take time: an answer is placed after the
// crashes that its instance knows to precede it.
func (s *state) mergeAnswer(e Evidence) bool {
	if e.AnsweredAt.IsZero() {
		return false
	}
	at := s.answeredAt
	for _, c := range s.crashes {
		if theirs, known := e.crash(c.Engine); known && !theirs.At.After(e.AnsweredAt) && c.At.After(at) {
			at = c.At
		}
	}
	if at.IsZero() {
		at = e.AnsweredAt
		for _, c := range s.crashes {
			if theirs, known := e.crash(c.Engine); known && theirs.At.After(e.AnsweredAt) && !c.At.After(at) {
				at = c.At.Add(-1)
			}
		}
	}
	changed := !at.Equal(s.answeredAt)
	s.answeredAt = at
	return changed
}

// refutes reports whether an answer that is known here came after crashes that the evidence of another instance takes for unanswered.
func (s *state) refutes(e Evidence) bool {
	return slices.ContainsFunc(s.crashes, func(c knownCrash) bool {
		theirs, known := e.crash(c.Engine)
		return known && theirs.At.After(e.AnsweredAt) && !c.At.After(s.answeredAt)
	})
}

// crash returns the crash of an engine, or false if the evidence does not contain it.
func (e Evidence) crash(k engines.Key) (Crash, bool) {
	i := slices.IndexFunc(e.Crashes, func(c Crash) bool { return c.Engine == k })
	if i < 0 {
		return Crash{}, false
	}
	return e.Crashes[i], true
}

// add adds a crash and reports whether it was not known.
func (s *state) add(c Crash, now time.Time) bool {
	known := func(k knownCrash) bool { return k.Engine == c.Engine }
	if slices.ContainsFunc(s.crashes, known) || (len(s.crashes) == maxCrashesKept && c.At.Before(s.crashes[0].At)) {
		return false
	}
	s.crashes = append(s.crashes, knownCrash{Crash: c, knownAt: now})
	slices.SortStableFunc(s.crashes, func(a, b knownCrash) int { return a.At.Compare(b.At) })
	s.crashes = s.crashes[max(len(s.crashes)-maxCrashesKept, 0):]
	s.changedAt = now
	return true
}

// sinceAnswer returns the crashes after the last answer on the subject.
func (s *state) sinceAnswer() []knownCrash {
	for i, c := range s.crashes {
		if c.At.After(s.answeredAt) {
			return s.crashes[i:]
		}
	}
	return nil
}

func (s *state) evidence(id ID) Evidence {
	e := Evidence{ID: id, AnsweredAt: s.answeredAt}
	for _, c := range s.crashes[max(len(s.crashes)-maxSentCrashes, 0):] {
		e.Crashes = append(e.Crashes, c.Crash)
	}
	return e
}

func newLRU[V any](size int) *simplelru.LRU[ID, V] {
	lru, err := simplelru.NewLRU[ID, V](size, nil)
	if err != nil {
		panic(err)
	}
	return lru
}
