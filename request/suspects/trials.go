package suspects

import (
	"maps"
	"slices"
	"time"
)

// trialGrowth bounds the engines that trials of a culprit crash. maxTrialWait bounds the time between two trials.
const (
	trialGrowth  = 4
	maxTrialWait = time.Hour
)

type (
	// trials are the requests for a culprit that this instance has tried.
	trials struct {
		count int
		// lastAt is when the last one began.
		lastAt time.Time
	}

	// refusal is a culprit for which a request is refused, and the time since when.
	refusal struct {
		culprit Culprit
		since   time.Time
	}
)

// TakeTrial reports whether a request that is refused for its subjects is tried in spite of that. isTester reports whether this instance is the one of the
// fleet that tries requests for a culprit. An answer then clears the culprit everywhere, and a crash makes the wait for the next trial longer.
func (c *Crashes) TakeTrial(s Subjects, isTester func(Culprit) bool, now time.Time) bool {
	// Only one of several requests at the same time may be tried.
	c.mu.Lock()
	defer c.mu.Unlock()
	request := []ID{s.Request}
	if !c.Parts.mayTry(s.Parts, isTester, now) || !c.Requests.mayTry(request, isTester, now) {
		return false
	}
	c.Parts.countTrial(s.Parts, now)
	c.Requests.countTrial(request, now)
	return true
}

// ReturnTrial takes back the last trial of a request that reached no engine.
func (c *Crashes) ReturnTrial(s Subjects, now time.Time) {
	c.Parts.returnTrial(s.Parts, now)
	c.Requests.returnTrial([]ID{s.Request}, now)
}

// mayTry reports whether a trial is due for each culprit for which a request with these subjects is refused.
func (t *Tracker) mayTry(ids []ID, isTester func(Culprit) bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.refusals(ids, now) {
		if t.policy.TrialWait <= 0 || !isTester(r.culprit) || now.Before(t.nextTrial(r)) {
			return false
		}
	}
	return true
}

func (t *Tracker) countTrial(ids []ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.refusals(ids, now) {
		name := r.culprit.String()
		t.trials[name] = trials{count: t.trials[name].count + 1, lastAt: now}
	}
}

func (t *Tracker) returnTrial(ids []ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.refusals(ids, now) {
		name := r.culprit.String()
		if last := t.trials[name]; last.count > 0 {
			t.trials[name] = trials{count: last.count - 1}
		}
	}
}

// refusals returns the culprits for which a request with these subjects is refused.
func (t *Tracker) refusals(ids []ID, now time.Time) []refusal {
	var list []refusal
	if slices.ContainsFunc(ids, t.isCandidate) {
		t.determine()
		for _, f := range t.found {
			if !now.Before(f.refusedFrom) && f.ids.within(ids) {
				list = append(list, refusal{f.ids, f.refusedFrom})
			}
		}
	}
	for _, s := range t.stored {
		if s.ids.within(ids) && !t.isRefuted(s) {
			list = append(list, refusal{s.ids, s.since})
		}
	}
	return list
}

// nextTrial returns the time from which a request for a culprit may be tried. Crashes that became known since it is refused are those of trials, by this
// instance or by an earlier tester.
func (t *Tracker) nextTrial(r refusal) time.Time {
	own := t.trials[r.culprit.String()]
	last, crashes := r.since, 0
	for _, id := range r.culprit {
		s, ok := t.suspects.Peek(id)
		if !ok {
			continue
		}
		later := slices.DeleteFunc(slices.Clone(s.sinceAnswer()), func(c knownCrash) bool { return !c.knownAt.After(r.since) })
		crashes = max(crashes, len(later))
		for _, c := range later {
			last = latest(last, c.knownAt)
		}
	}
	wait := t.policy.TrialWait
	for range max(crashes, own.count) {
		wait = min(trialGrowth*wait, maxTrialWait)
	}
	return latest(last, own.lastAt).Add(wait)
}

// pruneTrials forgets the trials of culprits that are neither found nor stored.
func (t *Tracker) pruneTrials() {
	t.determine()
	current := make(map[string]bool)
	for _, f := range t.found {
		current[f.ids.String()] = true
	}
	for name := range t.stored {
		current[name] = true
	}
	maps.DeleteFunc(t.trials, func(name string, _ trials) bool { return !current[name] })
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
