package suspects

import (
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/version/engines"
)

// trialWait is longer than an engine that has crashed takes to be back.
const trialWait = 3 * time.Second

// incidentSpan is the time within which crashes are one incident: all engines may crash at once, with all the requests that they run.
const incidentSpan = 300 * time.Millisecond

type (
	// Proof is the evidence from which a subject is a culprit. Crashes that another culprit explains do not count.
	Proof struct {
		Crashes int
		// Incidents is the number of incidents to which these crashes must belong.
		Incidents int
	}

	// Policy says which evidence makes the subjects of one kind culprits.
	Policy struct {
		// Unanswered is the proof against a subject that no engine has ever answered, and Answered that against one that engines have answered
		// before, from the crashes since the last answer. Against a subject that is not Joint, one more crash is proof whatever explains the others.
		Unanswered, Answered Proof
		// ObjectionTime is how long a culprit is not refused after enough crashes became known, so that instances that have answers on it can say so.
		ObjectionTime time.Duration
		// Joint says that subjects with the same crashes are one culprit, which a request must have as a whole: requests have several subjects, and
		// the evidence does not tell which of them is the cause.
		Joint bool
		// StoresOnlyRefused says that a culprit is not stored before a request was refused for it.
		StoresOnlyRefused bool
		// TrialWait is the time after which one request for a culprit is tried, or 0 if none is: nothing else shows that the culprit is sound, since what
		// is refused is never answered. The time is trialGrowth times as long after each trial without an answer.
		TrialWait time.Duration
	}
)

// RequestPolicy returns the policy for whole requests, which crash at most two engines unless several run them at the same time. Most of them never
// come again.
func RequestPolicy() Policy {
	return Policy{Unanswered: Proof{Crashes: MaxEngines, Incidents: 1}, Answered: Proof{Crashes: 4, Incidents: 2}, StoresOnlyRefused: true, TrialWait: trialWait}
}

// PartPolicy returns the policy for parts of prompts. Many sound requests share them.
func PartPolicy() Policy {
	return Policy{Unanswered: Proof{Crashes: 3, Incidents: 2}, Answered: Proof{Crashes: 5, Incidents: 3}, ObjectionTime: 300 * time.Millisecond, Joint: true, TrialWait: trialWait}
}

// proof returns the proof that is needed against a subject, by whether engines have answered it before.
func (p Policy) proof(answered bool) Proof {
	if answered {
		return p.Answered
	}
	return p.Unanswered
}

// proofAgainst returns the proof that is needed against all subjects of a candidate. One more crash tells most sound requests from a culprit that was at the
// same engines.
func (p Policy) proofAgainst(c candidate) Proof {
	proof := p.proof(c.answered)
	if len(c.ids) > 1 && !p.Joint {
		proof.Crashes++
	}
	return proof
}

// culprits returns the culprits that follow from subjects with the same crashes.
func (p Policy) culprits(ids []ID, refusedFrom time.Time) []foundCulprit {
	each := 1
	if p.Joint {
		ids = ids[:min(len(ids), maxIDsPerCulprit)]
		each = len(ids)
	}
	var list []foundCulprit
	for part := range slices.Chunk(ids, each) {
		list = append(list, foundCulprit{ids: slices.Sorted(slices.Values(part)), refusedFrom: refusedFrom})
	}
	return list
}

// provenAt returns when this instance knew enough of the crashes, or false.
func (p Proof) provenAt(crashes []knownCrash) (time.Time, bool) {
	if len(crashes) < p.Crashes {
		return time.Time{}, false
	}
	crashes = slices.SortedFunc(slices.Values(crashes), func(a, b knownCrash) int { return a.knownAt.Compare(b.knownAt) })
	for n := p.Crashes; n <= len(crashes); n++ {
		if countIncidents(crashes[:n]) >= p.Incidents {
			return crashes[n-1].knownAt, true
		}
	}
	return time.Time{}, false
}

// countIncidents returns the number of incidents to which crashes belong.
func countIncidents(crashes []knownCrash) int {
	count := 0
	var first time.Time
	for _, c := range slices.SortedFunc(slices.Values(crashes), func(a, b knownCrash) int { return a.At.Compare(b.At) }) {
		if count == 0 || c.At.Sub(first) >= incidentSpan {
			count, first = count+1, c.At
		}
	}
	return count
}

// worst returns the subjects with the most unexplained crashes, all the same ones, and these crashes. Subjects that no engine has answered come
// first.
func (p Policy) worst(candidates []candidate, explained map[engines.Key]bool) (candidate, []knownCrash) {
	var best candidate
	var most []knownCrash
	for _, c := range candidates {
		crashes := slices.DeleteFunc(slices.Clone(c.crashes), func(k knownCrash) bool { return explained[k.Engine] })
		_, proven := p.proof(c.answered).provenAt(crashes)
		switch {
		case !proven:
		case len(best.ids) == 0 || (best.answered && !c.answered) || (best.answered == c.answered && len(crashes) > len(most)):
			best, most = candidate{ids: slices.Clone(c.ids), answered: c.answered}, crashes
		case best.answered == c.answered && sameEngines(crashes, most):
			best.ids = append(best.ids, c.ids...)
		}
	}
	return best, most
}

// sameEngines reports whether two lists hold crashes of the same engines.
func sameEngines(a, b []knownCrash) bool {
	if len(a) != len(b) {
		return false
	}
	for _, c := range a {
		if !slices.ContainsFunc(b, func(other knownCrash) bool { return other.Engine == c.Engine }) {
			return false
		}
	}
	return true
}
