package placing

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/rank"
)

const (
	// coldWindow is the span in which the requests at a cold engine are bounded. coldMargin covers the time from a choice to the arrival of the request:
	// up to 200 ms to dial, and scheduling.
	coldWindow = time.Second
	coldMargin = 500 * time.Millisecond
	// minWarmupUse is the fraction of the bound from which more sharers are preferred to larger shares: the share of a dead instance stays unused.
	minWarmupUse = 0.75
	// settleTime is how long the list of sharers must be unchanged. A restarted fleet would otherwise divide by lists that are still short.
	settleTime = 3 * time.Second
	// heardTTL is how long the length of another instance's list counts.
	heardTTL = 10 * time.Second
	// shareTTL is how long shares last without confirmation by the store: the others remove this instance from their lists RosterRetention after its
	// registration has ended, and then divide without it. The margin is a minute.
	shareTTL = 9 * time.Minute
)

type (
	// ColdPolicy says how many requests all instances together may send to a cold engine in a second.
	ColdPolicy struct {
		// Over is the multiple of the engine's warm-up rate, or 0 for 1.
		Over float64
		// Slack is how many requests beyond it may be sent because the lists of instances differ.
		Slack float64
	}

	// Sharers are the instances that divide the warm-up rates of engines.
	Sharers struct {
		// Self is this instance, and Names are all, this one included.
		Self  string
		Names []string
		// UnchangedFor is the time since Names last changed.
		UnchangedFor time.Duration
	}

	// sharers are the instances that divide the warm-up rates.
	sharers struct {
		fleet
		changedAt time.Time
		// heard is the longest list that other instances have lately named, and heardAt when.
		heard   int
		heardAt time.Time
	}

	// warmupShare is an instance's share of a warm-up rate.
	warmupShare struct {
		// perWindow is the number of requests that the instance sends at most in coldWindow.
		perWindow int
		perSecond float64
		// sharing is the number of instances that have a share.
		sharing int
	}
)

// SetSharers sets the instances that divide the warm-up rates of engines.
func (t *Table) SetSharers(s Sharers, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.cold.sharers
	if s.Self != c.self || !slices.Equal(s.Names, c.names) {
		c.fleet = fleet{self: s.Self, names: s.Names, number: c.number + 1}
	}
	c.changedAt = now.Add(-s.UnchangedFor)
}

// HearSharers records the number of instances on the list of another instance.
func (t *Table) HearSharers(count int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := &t.cold.sharers; count >= c.heard || now.Sub(c.heardAt) > heardTTL {
		c.heard, c.heardAt = count, now
	}
}

// SharerCount returns the number of instances that divide the warm-up rates, or 0 if no engine has one.
func (t *Table) SharerCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.cold.applies {
		return 0
	}
	return len(t.cold.sharers.names)
}

// areSettled reports whether this instance may use its shares.
func (c *sharers) areSettled(confirmedAt time.Time, slack float64, now time.Time) bool {
	if len(c.names) == 0 || now.Sub(c.changedAt) < settleTime || now.Sub(confirmedAt) > shareTTL {
		return false
	}
	return now.Sub(c.heardAt) > heardTTL || float64(c.heard-len(c.names)) <= slack
}

// share returns the token bucket of this instance's share of an engine's warm-up rate, without tokens.
func (c *sharers) share(k engines.Key, rate RequestRate, policy ColdPolicy) tokenBucket {
	s := divideWarmup(rate, policy.Over, len(c.names))
	candidates := rank.EqualWeights(c.names, func(name string) string { return name })
	ranked := rank.Order(strconv.FormatUint(uint64(k), 16), candidates, s.sharing)
	if !slices.ContainsFunc(ranked, func(i int) bool { return c.names[i] == c.self }) {
		return tokenBucket{}
	}
	return s.bucket()
}

// divideWarmup divides a warm-up rate among as many of size instances as can share it. At least one has a share, which may exceed a bound that is below
// one request in coldWindow.
func divideWarmup(rate RequestRate, over float64, size int) warmupShare {
	size = max(size, 1)
	window := (coldWindow + coldMargin).Seconds()
	all := max(math.Floor(float64(rate)*max(over, 1)*coldWindow.Seconds()), 1)
	best, used := warmupShare{}, 0.0
	for each := max(math.Floor(all/float64(size)), 1); each <= all && used < minWarmupUse*all; each++ {
		if sharing := min(float64(size), math.Floor(all/each)); sharing*each > used {
			best, used = warmupShare{perWindow: int(each), perSecond: min(float64(rate)/sharing, each/window), sharing: int(sharing)}, sharing*each
		}
	}
	return best
}

// bucket returns a bucket that lets at most perWindow requests pass in each span that is shorter than coldWindow and coldMargin together.
func (s warmupShare) bucket() tokenBucket {
	window := (coldWindow + coldMargin).Seconds()
	return tokenBucket{perSecond: s.perSecond, most: float64(s.perWindow) + 1 - s.perSecond*window}
}
