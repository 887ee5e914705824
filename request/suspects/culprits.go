package suspects

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// maxIDsPerCulprit keeps the key of a culprit within what stores accept.
	maxIDsPerCulprit = 8
	// recentlyRefused is how long a culprit counts as requested after its last refusal.
	recentlyRefused = time.Minute
	// idBase is the base in which keys write IDs.
	idBase = 36
)

type (
	// Culprit is a set of subjects, in ascending order: requests that have all of them crash engines. It has several subjects as
	// long as these occurred in the same crashed requests only.
	Culprit []ID

	// DueCulprit is a culprit that is to be stored, or to be cleared in the store, and the time since when.
	DueCulprit struct {
		Culprit Culprit
		Cleared bool
		Since   time.Time
	}

	foundCulprit struct {
		ids Culprit
		// refusedFrom is the time from which it is refused.
		refusedFrom time.Time
	}

	storedCulprit struct {
		ids Culprit
		// since is when this instance learned that it is stored, and knownAt when it was last stored again.
		since, knownAt, refusedAt time.Time
	}

	// candidate is the subjects on which the same engines crashed since the last answer, and these crashes.
	candidate struct {
		ids      []ID
		crashes  []knownCrash
		answered bool
	}
)

// String returns the IDs in the form that ParseCulprit reads.
func (c Culprit) String() string {
	names := make([]string, len(c))
	for i, id := range c {
		names[i] = id.String()
	}
	return strings.Join(names, "-")
}

// ParseCulprit parses the result of String. It fails on malformed text.
func ParseCulprit(text string) (Culprit, error) {
	var c Culprit
	for name := range strings.SplitSeq(text, "-") {
		id, err := strconv.ParseUint(name, idBase, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "culprit %q", text)
		}
		c = append(c, ID(id))
	}
	slices.Sort(c)
	return c, nil
}

// Refuses reports whether a request with these subjects would crash its engine, and records that it is refused if so.
func (t *Tracker) Refuses(ids []ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, stored := t.culpritsIn(ids, now)
	for _, c := range found {
		t.markRefused(c, now)
	}
	for _, name := range stored {
		s := t.stored[name]
		s.refusedAt = now
		t.stored[name] = s
	}
	return len(found)+len(stored) > 0
}

// WouldRefuse is Refuses without a record, for a request that is running.
func (t *Tracker) WouldRefuse(ids []ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, stored := t.culpritsIn(ids, now)
	return len(found)+len(stored) > 0
}

// culpritsIn returns the culprits among subjects: those that follow from the evidence, and the names of the stored ones.
func (t *Tracker) culpritsIn(ids []ID, now time.Time) (found []Culprit, stored []string) {
	if slices.ContainsFunc(ids, t.isCandidate) {
		t.determine()
		for _, f := range t.found {
			if !now.Before(f.refusedFrom) && f.ids.within(ids) {
				found = append(found, f.ids)
			}
		}
	}
	for name, s := range t.stored {
		if s.ids.within(ids) && !t.isRefuted(s) {
			stored = append(stored, name)
		}
	}
	return found, stored
}

// isCandidate reports whether there is enough evidence against a subject if no culprit explains it. It is false for nearly all requests, which
// makes them cheap to check.
func (t *Tracker) isCandidate(id ID) bool {
	s, ok := t.suspects.Peek(id)
	return ok && t.isProven(s)
}

// SetStored records that the store holds a culprit.
func (t *Tracker) SetStored(c Culprit, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := c.String()
	since := now
	if known, ok := t.stored[name]; ok {
		since = known.since
	}
	t.stored[name] = storedCulprit{ids: c, since: since, knownAt: now}
}

// RemoveStored records that a culprit has left the store. Its subjects then count as answered now, except those of other stored culprits.
func (t *Tracker) RemoveStored(c Culprit, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.stored, c.String())
	for _, id := range c {
		if !slices.ContainsFunc(slices.Collect(maps.Values(t.stored)), func(s storedCulprit) bool { return slices.Contains(s.ids, id) }) {
			t.suspect(id).answeredAt = now
		}
	}
	t.outdated = true
}

// Due returns the changes that the store lacks: culprits that were found, culprits that it has held for maxAge and that requests still contain,
// and culprits that later evidence has refuted.
func (t *Tracker) Due(maxAge time.Duration, now time.Time) []DueCulprit {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.determine()
	var due []DueCulprit
	for _, f := range t.found {
		if !t.isStored(f) && !now.Before(f.refusedFrom) && (!t.policy.StoresOnlyRefused || t.wasRefused(f.ids)) {
			due = append(due, DueCulprit{Culprit: f.ids, Since: f.refusedFrom})
		}
	}
	for _, s := range t.stored {
		switch {
		case t.isRefuted(s):
			due = append(due, DueCulprit{Culprit: s.ids, Cleared: true, Since: s.knownAt})
		case now.Sub(s.knownAt) >= maxAge && now.Sub(s.refusedAt) < recentlyRefused:
			due = append(due, DueCulprit{Culprit: s.ids, Since: s.knownAt.Add(maxAge)})
		}
	}
	return due
}

// Pressing returns up to limit pieces of evidence that other instances may still lack, at random: on culprits that are to be stored and are not, and
// on subjects with recent crashes and no answer since.
func (t *Tracker) Pressing(limit int, now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.determine()
	var ids []ID
	for _, f := range t.found {
		if !t.isStored(f) && (!t.policy.StoresOnlyRefused || t.wasRefused(f.ids)) {
			ids = append(ids, f.ids...)
		}
	}
	for _, id := range t.suspects.Keys() {
		s, ok := t.suspects.Peek(id)
		if ok && len(s.sinceAnswer()) >= minSharedCrashes && now.Sub(s.changedAt) < shareWindow && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var list []Evidence
	for _, id := range ids[:min(limit, len(ids))] {
		if s, ok := t.suspects.Peek(id); ok {
			list = append(list, s.evidence(id))
		}
	}
	return list
}

func (t *Tracker) isStored(f foundCulprit) bool {
	_, stored := t.stored[f.ids.String()]
	return stored
}

// wasRefused reports whether this instance has refused a request for the culprit.
func (t *Tracker) wasRefused(c Culprit) bool {
	s, ok := t.suspects.Peek(c[0])
	return ok && !s.refusedAt.IsZero()
}

func (t *Tracker) markRefused(c Culprit, now time.Time) {
	for _, id := range c {
		if s, ok := t.suspects.Peek(id); ok {
			s.refusedAt = now
		}
	}
}

// isRefuted reports whether engines have answered all subjects of a stored culprit since, or, of a joint one, other culprits explain its crashes. The
// evidence of one instance is not enough for that against a whole request, of which it may know a few crashes only.
func (t *Tracker) isRefuted(c storedCulprit) bool {
	answered, explained := true, t.policy.Joint
	for _, id := range c.ids {
		s, ok := t.suspects.Peek(id)
		at, _ := t.answered.Peek(id)
		if ok && s.answeredAt.After(at) {
			at = s.answeredAt
		}
		answered = answered && at.After(c.knownAt)
		explained = explained && ok && t.isProven(s)
	}
	if explained {
		t.determine()
		explained = !slices.ContainsFunc(t.found, func(f foundCulprit) bool { return f.ids.within(c.ids) })
		for _, id := range c.ids {
			s, _ := t.suspects.Peek(id)
			explained = explained && slices.ContainsFunc(s.sinceAnswer(), func(k knownCrash) bool { return t.explained[k.Engine] })
		}
	}
	return answered || explained
}

// determine determines the culprits from the evidence: repeatedly the subjects with the most crashes, without those that a culprit explains.
func (t *Tracker) determine() {
	if !t.outdated {
		return
	}
	t.outdated, t.found, t.explained = false, nil, make(map[engines.Key]bool)
	considered := make(map[engines.Key]bool)
	candidates := t.candidates()
	for {
		best, crashes := t.policy.worst(candidates, considered)
		if len(best.ids) == 0 {
			break
		}
		for _, c := range crashes {
			considered[c.Engine] = true
		}
		knownAt, proven := t.policy.proofAgainst(best).provenAt(crashes)
		if !proven {
			// Some of these subjects are sound. As long as the evidence does not tell which, the crashes do not make others culprits either.
			continue
		}
		t.found = append(t.found, t.policy.culprits(best.ids, knownAt.Add(t.policy.ObjectionTime))...)
		for _, c := range crashes {
			t.explained[c.Engine] = true
		}
	}
	t.addUnexcused(candidates)
}

// addUnexcused adds the whole requests that no other culprit excuses, since they are at one more crashed engine than is proof: several requests may crash
// engines at the same time.
func (t *Tracker) addUnexcused(candidates []candidate) {
	if t.policy.Joint {
		return
	}
	for _, c := range candidates {
		proof := t.policy.proof(c.answered)
		proof.Crashes++
		knownAt, proven := proof.provenAt(c.crashes)
		if !proven {
			continue
		}
		for _, f := range t.policy.culprits(c.ids, knownAt.Add(t.policy.ObjectionTime)) {
			if !slices.ContainsFunc(t.found, func(found foundCulprit) bool { return slices.Equal(found.ids, f.ids) }) {
				t.found = append(t.found, f)
			}
		}
	}
}

// candidates returns the subjects on which enough engines have crashed since the last answer, by these engines.
func (t *Tracker) candidates() []candidate {
	var list []candidate
	indices := make(map[string]int)
	for _, id := range t.suspects.Keys() {
		s, ok := t.suspects.Peek(id)
		if !ok || !t.isProven(s) {
			continue
		}
		c := s.candidate(id)
		key := c.key()
		i, known := indices[key]
		if !known {
			i = len(list)
			indices[key] = i
			list = append(list, c)
			continue
		}
		list[i].ids = append(list[i].ids, id)
	}
	return list
}

func (s *state) candidate(id ID) candidate {
	return candidate{ids: []ID{id}, crashes: s.sinceAnswer(), answered: !s.answeredAt.IsZero()}
}

// key returns a text that is the same for subjects of one candidate.
func (c candidate) key() string {
	keys := make([]engines.Key, len(c.crashes))
	for i, k := range c.crashes {
		keys[i] = k.Engine
	}
	slices.Sort(keys)
	return fmt.Sprint(c.answered, keys)
}

// isProven reports whether the crashes since the last answer are enough for a culprit, if no other one explains them.
func (t *Tracker) isProven(s *state) bool {
	_, proven := t.policy.proof(!s.answeredAt.IsZero()).provenAt(s.sinceAnswer())
	return proven
}

// within reports whether ids contains all subjects of the culprit.
func (c Culprit) within(ids []ID) bool {
	for _, id := range c {
		if !slices.Contains(ids, id) {
			return false
		}
	}
	return true
}
