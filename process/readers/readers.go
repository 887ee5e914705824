package readers

import (
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/rank"
)

const (
	// Count is how many instances watch the store: one may be lost without anybody noticing.
	Count = 2
	// maxWatch bounds how long a watch waits, so that the proof of a quiet store is never old.
	maxWatch = time.Second
	// watchesPerAge is how many watches fit into the age at which a configuration no longer decides.
	watchesPerAge = 3
	// watchesPerSpread is how many fit into the time within which a change must reach all instances: two until readers that get no
	// answer are known to be lost, and two for others to help and to spread what they read.
	watchesPerSpread = 4
	// helpDelay is the time that a proof takes to the other instances, over two rounds of heartbeats.
	helpDelay = 600 * time.Millisecond
	// helpInterval is the mean pause between two reads of all helping instances together.
	helpInterval = 400 * time.Millisecond

	// maxInitialReaders is how many instances may read everything at once at their start: 64 times 3.3 MB, which 10,000 engines
	// take, are 1.7 s of a store's 1,000 Mbit/s.
	maxInitialReaders = 64
	// initialReadDelay is how long the other ones wait for a replica from one of those before they read too, one by one; in
	// that time a replica spreads over five rounds of heartbeats.
	initialReadDelay = 1500 * time.Millisecond

	// rankKey is the key by which instances are ranked as readers.
	rankKey = "readers"
)

type (
	// Schedule says how long readers wait and when others help.
	Schedule struct {
		// WatchTimeout is how long a watch of the store waits for a change.
		WatchTimeout time.Duration
		// HelpAfter is the age of the last proof from which other instances read too.
		HelpAfter time.Duration
	}

	// Instance is one candidate.
	Instance struct {
		Peer   string
		Domain ident.Domain
	}
)

// NewSchedule returns the schedule for a configuration that decides up to an age, and for changes that are to reach all instances within
// a time; a proof is as old as the watch that brought it.
func NewSchedule(decides, spread time.Duration) Schedule {
	watch := min(maxWatch, decides/watchesPerAge, spread/watchesPerSpread)
	return Schedule{WatchTimeout: watch, HelpAfter: 2*watch + helpDelay}
}

// IsReader reports whether an instance is one of the readers.
func IsReader(self string, all []Instance) bool { return slices.Contains(Top(all, Count), self) }

// Top returns the first instances by a hash, of which the first Count are the readers; each of these is of a failure domain of its own
// while there are enough.
func Top(all []Instance, count int) []string {
	candidates := rank.EqualWeights(all, func(c Instance) string { return c.Peer })
	order := rank.Order(rankKey, candidates, len(candidates))
	taken := make(map[ident.Domain]bool)
	var first []string
	for _, pass := range []bool{true, false} {
		for _, i := range order {
			c := all[i]
			if len(first) >= count || (pass && (taken[c.Domain] || len(first) >= Count)) || slices.Contains(first, c.Peer) {
				continue
			}
			taken[c.Domain] = true
			first = append(first, c.Peer)
		}
	}
	return first
}

// ReadsAtStart reports whether a starting instance reads everything itself, rather than wait for a replica from another; listed
// are the other instances that may start too, waited is how long this one has, and alive how many it hears of.
func ReadsAtStart(self string, listed []string, waited, step time.Duration, alive int, draw float64) bool {
	all := append([]string{self}, slices.DeleteFunc(slices.Clone(listed), func(peer string) bool { return peer == self })...)
	if len(all) <= maxInitialReaders {
		return true
	}
	candidates := rank.EqualWeights(all, func(peer string) string { return peer })
	return slices.Contains(rank.Order(rankKey, candidates, maxInitialReaders), 0) || (waited >= initialReadDelay && draw < readProbability(step, alive))
}

// ShouldHelp reports whether an instance that is no reader is to read the store itself, since the last proof is too old; it is asked every step, with a random number from 0 to 1.
func (s Schedule) ShouldHelp(proofAge, step time.Duration, instances int, draw float64) bool {
	return proofAge >= s.HelpAfter && ShouldRetry(step, instances, draw)
}

// ShouldRetry reports whether an instance that has lost the store is to try it again; it is asked like Helps.
func ShouldRetry(step time.Duration, instances int, draw float64) bool {
	return draw < readProbability(step, instances)
}

// readProbability is the chance with which one of some instances reads within a step, so that one of all does in each helpEvery.
func readProbability(step time.Duration, instances int) float64 {
	return float64(step) / float64(helpInterval*time.Duration(max(instances, 1)))
}

// WorkSharers returns the instances among which work of a common start is divided, so that each piece is done by one: those heard
// of, or all known ones while fewer than half of them were heard of, since views that small would overlap.
func WorkSharers(heard, known []string) []string {
	if 2*len(heard) < len(known) {
		return known
	}
	return heard
}
