package readers

import (
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/rank"
)

const (
	// Count is the number of readers, that is, instances that watch the store. With two, the loss of one delays no change.
	Count = 2
	// maxWatch bounds how long a watch waits, so that replicas of a store without changes are confirmed often.
	maxWatch = time.Second
	// watchesPerAge is how many watches fit into the age up to which a configuration may be used.
	watchesPerAge = 3
	// watchesPerSpread is how many watches fit into the time within which a change must reach all instances: two until readers without
	// an answer from the store count as lost, and four for other instances to help and to spread what they read.
	watchesPerSpread = 6
	// helpDelay is the time in which a confirmation reaches the other instances, in two rounds of heartbeats.
	helpDelay = 600 * time.Millisecond
	// latestHelp is the share of the age up to which keys may be accepted after which instances help at the latest, so that they read before
	// they have to refuse all requests. It is more than the two thirds that two watches take. With 5/6 of the age up to which unknown keys
	// are rejected, 12 instances under a revocation bound of 2 s made twice as many calls to the store.
	latestHelp = 0.7
	// rankedHelpers is the number of instances that help in a fixed order, one every helpStagger or sooner. After them, instances help at random.
	rankedHelpers = 8
	helpStagger   = 50 * time.Millisecond
	// readerRetryInterval is the time after which an instance that would be a reader tries a store again that it could not reach.
	readerRetryInterval = time.Second
	// helpInterval is the mean time between reads over all instances that help at random.
	helpInterval = 400 * time.Millisecond

	// maxInitialReaders bounds how many starting instances read the whole store at once. 10,000 engines take 3.3 MB, so 64 reads take
	// 1.7 s of a store's 1,000 Mbit/s.
	maxInitialReaders = 64
	// maxHalvings bounds how often failures halve these readers, to four in a large fleet, since some of them may not reach the store at all.
	maxHalvings = 4
	// initialReadDelay is how long the other starting instances wait for a replica from one of these before they read too, one by one.
	// In that time a replica spreads over five rounds of heartbeats.
	initialReadDelay = 1500 * time.Millisecond

	// rankKey is the key for which the instances are ranked by package rank to choose the readers.
	rankKey = "readers"
)

type (
	// Schedule says how long readers watch and when other instances help.
	Schedule struct {
		// WatchTimeout is how long a watch of the store waits for a change.
		WatchTimeout time.Duration
		// HelpAfter is the age of a replica's last confirmation from which an instance that is not a reader helps, that is, reads the store
		// too.
		HelpAfter time.Duration
		// stagger is the time between the turns of two ranked helpers.
		stagger time.Duration
	}

	// Instance is one candidate for reading the store, with its peer address and failure domain.
	Instance struct {
		Peer   string
		Domain ident.Domain
	}
)

// NewSchedule returns the schedule for configurations that may be used up to maxAge, and up to maxKeyAge, which is no less, to accept keys, and
// for changes that must reach all instances within spreadWithin. The confirmation that a watch brings is as old as the watch.
func NewSchedule(maxAge, maxKeyAge, spreadWithin time.Duration) Schedule {
	watchTimeout := min(maxWatch, maxAge/watchesPerAge, spreadWithin/watchesPerSpread)
	helpAfter := min(2*watchTimeout+helpDelay, time.Duration(latestHelp*float64(maxKeyAge)))
	// The time of two more turns than there are ranked helpers lets the last one check and read.
	stagger := min(helpStagger, (maxKeyAge-helpAfter)/(rankedHelpers+2))
	return Schedule{WatchTimeout: watchTimeout, HelpAfter: helpAfter, stagger: stagger}
}

// Position returns the position of the instance with the peer address self in the order in which instances read the store. The first Count
// are the readers, and the next ones help first. All later instances have the same position.
func Position(self string, all []Instance) int {
	top := Top(all, Count+rankedHelpers)
	if i := slices.Index(top, self); i >= 0 {
		return i
	}
	return Count + rankedHelpers
}

// Top returns at most count instances, ranked by a hash that is the same on all instances. The first Count are the readers; they are in
// different failure domains if there are enough domains.
func Top(all []Instance, count int) []string {
	candidates := rank.EqualWeights(all, func(c Instance) string { return c.Peer })
	order := rank.Order(rankKey, candidates, len(candidates))
	usedDomains := make(map[ident.Domain]bool)
	var top []string
	for _, distinctDomains := range []bool{true, false} {
		for _, i := range order {
			c := all[i]
			if len(top) >= count || (distinctDomains && (usedDomains[c.Domain] || len(top) >= Count)) || slices.Contains(top, c.Peer) {
				continue
			}
			usedDomains[c.Domain] = true
			top = append(top, c.Peer)
		}
	}
	return top
}

// ReadsAtStart reports whether a starting instance reads the whole store itself instead of waiting for a replica from another instance.
// listed are the registered instances, waited is how long this one has waited, failures is how many of its reads have failed since the last one
// that succeeded, alive is how many are alive, and random is from 0 to 1. The caller asks once every step. Each failure halves the readers, so
// that a slow store serves some of them in time instead of none.
func ReadsAtStart(self string, listed []string, waited, step time.Duration, failures, alive int, random float64) bool {
	all := append([]string{self}, slices.DeleteFunc(slices.Clone(listed), func(peer string) bool { return peer == self })...)
	count := max(min(len(all), maxInitialReaders)>>min(failures, maxHalvings), 1)
	if count == len(all) {
		return true
	}
	candidates := rank.EqualWeights(all, func(peer string) string { return peer })
	return slices.Contains(rank.Order(rankKey, candidates, count), 0) || (waited >= initialReadDelay && random < readProbability(step, alive))
}

// ShouldHelp reports whether an instance that is not a reader reads the store now because the last confirmation is too old. The first helpers
// read in the order of their positions, so that one reads soon even if some of them are cut off too. The caller asks once every step, with
// a random number from 0 to 1.
func (s Schedule) ShouldHelp(position int, confirmedAge, step time.Duration, instances int, random float64) bool {
	overdue, helper := confirmedAge-s.HelpAfter, position-Count
	if turn := time.Duration(helper) * s.stagger; helper >= 0 && helper < rankedHelpers && overdue >= turn && overdue < turn+2*step {
		return true
	}
	return overdue >= 0 && random < readProbability(step, instances)
}

// ShouldRetry reports whether an instance that could not reach the store tries it again now. Its position is the one that it has if it
// can reach the store. The caller asks once every step, with a random number from 0 to 1. Instances that would be readers retry soon, since
// the others may take them for readers until they hear from them.
func ShouldRetry(position int, sinceLast, step time.Duration, instances int, random float64) bool {
	return (position < Count && sinceLast >= readerRetryInterval) || random < readProbability(step, instances)
}

// readProbability returns the probability with which each instance reads in a step, so that on average one of them reads in each
// helpInterval.
func readProbability(step time.Duration, instances int) float64 {
	return float64(step) / float64(helpInterval*time.Duration(max(instances, 1)))
}

// WorkSharers returns the instances that divide the work of a common start so that each piece is done by one: the live instances, or all
// known ones if fewer than half are alive. With fewer, the views of the instances would differ, and several would do the same piece.
func WorkSharers(alive, known []string) []string {
	if 2*len(alive) < len(known) {
		return known
	}
	return alive
}
