package placing

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/rank"
)

const (
	// limitWindow is the span in which the requests at an engine are bounded: all instances together send at most limitTolerance times what the
	// limit allows in that span, and limitAllowance, although they do not know of each other's requests.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitAllowance = 4
	// windowMargin covers the jitter of the network and of the clock.
	windowMargin = 200 * time.Millisecond
	// minUse is the least fraction of the bound that the shares of all instances add up to.
	minUse = 0.9
	// steadyShare is the fraction of an instance's requests in limitWindow that it may send steadily. The rest may be sent at once.
	steadyShare = 0.9
	// MinLimit is the limit that is used for a lower one: without any request, no instance learns that the limit has ended.
	MinLimit RequestRate = 0.25
	// limitTTL is how long a limit holds that no answer confirms, and limitSpan how long an answer is news for other instances.
	limitTTL  = time.Minute
	limitSpan = 2 * time.Second
)

type (
	// RequestRate is a number of requests a second.
	RequestRate float32

	// Limit is what an engine's answer said about its limit at a time.
	Limit struct {
		Engine engines.Key
		// Rate is what the engine takes from all instances together, at least MinLimit, or 0 if it has no limit.
		Rate RequestRate
		At   time.Time
	}

	// engineLimit is the limit of an engine and this instance's share of it.
	engineLimit struct {
		rate RequestRate
		// at is when the latest answer that is known to this or another instance was given.
		at time.Time
		// named holds tokens for what the engine named, and tolerated those for what all instances together may send at most.
		named, tolerated tokenBucket
		refilledAt       time.Time
		// fleetNumber is the number of the fleet that shares the limit, or 0 if the share is not calculated.
		fleetNumber int
	}

	// tokenBucket holds a token for each request that an instance may send. An empty one belongs to an instance that has no share.
	tokenBucket struct{ perSecond, most, tokens float64 }

	// limitRoom says whether an engine takes a request within its limit.
	limitRoom int

	// fleet is the instances that share limits, this one included.
	fleet struct {
		self  string
		names []string
		// number counts the changes.
		number int
	}
)

const (
	noRoom limitRoom = iota
	// toleratedRoom is beyond the limit, but within what all instances together may send. It is used if the other engines are over the load bound.
	toleratedRoom
	namedRoom
)

// SetFleet sets the names of all instances, this one included, which share the limits of engines.
func (t *Table) SetFleet(self string, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if self != t.fleet.self || !slices.Equal(names, t.fleet.names) {
		t.fleet = fleet{self: self, names: names, number: t.fleet.number + 1}
	}
}

// MergeLimits records limits that engines named to other instances.
func (t *Table) MergeLimits(list []Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range list {
		t.setLimit(l)
	}
}

// RecentLimits returns up to count of the limits that are news for other instances, in random order.
func (t *Table) RecentLimits(count int, now time.Time) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Limit
	for k, s := range t.engines {
		if !s.limit.at.IsZero() && now.Sub(s.limit.at) < limitSpan {
			list = append(list, Limit{Engine: k, Rate: s.limit.rate, At: s.limit.at})
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// setLimit replaces the limit of an engine unless a later answer is known. Engines that never named one have no entry.
func (t *Table) setLimit(l Limit) {
	s := t.engineState(l.Engine)
	if (l.Rate == 0 && s.limit.at.IsZero()) || !l.At.After(s.limit.at) {
		return
	}
	if s.limit.at.IsZero() {
		s.limit.named.tokens, s.limit.tolerated.tokens, s.limit.refilledAt = math.Inf(1), math.Inf(1), l.At
	}
	if l.Rate != s.limit.rate {
		s.limit.fleetNumber = 0
	}
	s.limit.rate, s.limit.at = l.Rate, l.At
}

// roomAt returns whether the engine takes a request from this instance now.
func (t *Table) roomAt(k engines.Key, s *engineState, now time.Time) limitRoom {
	if !t.hasColdRoom(k, s, now) {
		return noRoom
	}
	return t.limitRoomAt(k, s, now)
}

// limitRoomAt returns whether the engine takes a request within the limit that it names.
func (t *Table) limitRoomAt(k engines.Key, s *engineState, now time.Time) limitRoom {
	l := &s.limit
	if !l.inForce(now) {
		return namedRoom
	}
	if l.fleetNumber != t.fleet.number || l.fleetNumber == 0 {
		l.fleetNumber = t.fleet.number
		t.fleet.share(k, l)
	}
	elapsed := max(now.Sub(l.refilledAt), 0)
	l.named.refill(elapsed)
	l.tolerated.refill(elapsed)
	l.refilledAt = now
	switch {
	case l.tolerated.tokens < 1:
		return noRoom
	case l.named.tokens < 1:
		return toleratedRoom
	}
	return namedRoom
}

// meanLoadOf returns the mean load of the engines for which counts returns true, or 0 if it does for none.
func meanLoadOf(states []*engineState, loads []float64, counts func(*engineState) bool) float64 {
	sum, count := 0.0, 0
	for i, s := range states {
		if counts(s) {
			sum += loads[i]
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// inForce reports whether the engine has a limit.
func (l *engineLimit) inForce(now time.Time) bool { return l.rate > 0 && now.Sub(l.at) <= limitTTL }

// take takes the tokens of a request.
func (l *engineLimit) take() {
	l.tolerated.tokens--
	l.named.tokens = max(l.named.tokens-1, 0)
}

func (b *tokenBucket) refill(elapsed time.Duration) {
	b.tokens = min(b.tokens+b.perSecond*elapsed.Seconds(), b.most)
}

// share sets this instance's share of an engine's limit.
func (f fleet) share(k engines.Key, l *engineLimit) {
	size := max(len(f.names), 1)
	named, tolerated, sharing := divideLimit(l.rate, size)
	candidates := rank.EqualWeights(f.names, func(name string) string { return name })
	ranked := rank.Order(strconv.FormatUint(uint64(k), 16), candidates, sharing)
	if sharing < size && !slices.ContainsFunc(ranked, func(i int) bool { return f.names[i] == f.self }) {
		named, tolerated = tokenBucket{}, tokenBucket{}
	}
	named.tokens, tolerated.tokens = l.named.tokens, l.tolerated.tokens
	l.named, l.tolerated = named, tolerated
}

// divideLimit divides a limit among as many of size instances as can share it, and returns the buckets of each and their number. Each sends a
// whole number of requests at most in limitWindow, so these numbers must add up to what all may send together.
func divideLimit(limit RequestRate, size int) (named, tolerated tokenBucket, sharing int) {
	all := math.Floor(limitTolerance*float64(limit)*limitWindow.Seconds()) + limitAllowance
	window := (limitWindow + windowMargin).Seconds()
	for each := max(math.Floor(all/float64(size)), 1); ; each++ {
		count := min(float64(size), math.Floor(all/each))
		perSecond, most := float64(limit)/count, steadyShare*each/window
		if (perSecond > most || count*each < minUse*all) && count > 1 {
			continue
		}
		named = tokenBucket{perSecond: perSecond, most: each + 1 - perSecond*window}
		return named, tokenBucket{perSecond: most, most: each + 1 - most*window}, int(count)
	}
}
