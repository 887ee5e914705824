package retries

import (
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	// bucketCount is the number of buckets in a window. The oldest one is dropped when a new one starts.
	bucketCount = 10
	// reservedShare is the share of the fleet's slack that stays unused, because a restarted instance does not know its earlier retries.
	reservedShare = 0.5
	// earlyShare is the share of the budget that is available for early retries. The rest is kept for requests on which no engine is
	// working any more.
	earlyShare = 0.5
	// minInstances is the number of instances assumed to share the slack while the others are not known yet.
	minInstances = 3
)

type (
	// Policy is the retry budget of the whole fleet for each service.
	Policy struct {
		// Ratio is the number of retries allowed for each request.
		Ratio float64
		// Slack is the number of retries allowed in each window in addition to Ratio.
		Slack float64
		// Window is the length of the sliding window.
		Window time.Duration
	}

	// Budget counts the requests and retries of one instance by service. It is safe for concurrent use.
	Budget struct {
		policy    Policy
		startedAt time.Time
		mu        sync.Mutex
		services  map[ident.Service]*counts
	}

	// counts holds the buckets of one service as a ring.
	counts struct {
		requests, retries [bucketCount]int
		// bucket is the number of the current bucket since the start of the budget, by the monotonic clock.
		bucket int64
	}
)

// New returns an unused budget that starts at now.
func New(p Policy, now time.Time) *Budget {
	return &Budget{policy: p, startedAt: now, services: make(map[ident.Service]*counts)}
}

// SetPolicy replaces the policy. If the window changes, the retries in the old window count as made now and its requests are dropped.
func (b *Budget) SetPolicy(p Policy, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := p.Window != b.policy.Window
	b.policy = p
	if !changed {
		return
	}
	old := b.services
	b.services = make(map[ident.Service]*counts)
	for s, c := range old {
		fresh := b.advance(s, now)
		fresh.retries[fresh.bucket%bucketCount] = sum(c.retries)
	}
}

// CountRequest counts the first attempt of a request to a service.
func (b *Budget) CountRequest(s ident.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(s, now)
	c.requests[c.bucket%bucketCount]++
}

// Take counts a retry and returns true if it is within this instance's share of the budget; otherwise it returns false.
func (b *Budget) Take(s ident.Service, instances int, now time.Time) bool {
	return b.take(s, 1, instances, now)
}

// TakeEarly is Take for an early retry: the engine of the request may still answer, but the caller does not wait for it.
func (b *Budget) TakeEarly(s ident.Service, instances int, now time.Time) bool {
	return b.take(s, earlyShare, instances, now)
}

// take counts a retry if all counted ones, including this one, stay within the given share of this instance's budget.
func (b *Budget) take(s ident.Service, share float64, instances int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(s, now)
	slack := b.policy.Slack * reservedShare / float64(max(instances, minInstances))
	if float64(sum(c.retries)+1) > share*(b.policy.Ratio*float64(sum(c.requests))+slack) {
		return false
	}
	c.retries[c.bucket%bucketCount]++
	return true
}

// advance returns the counts of a service after moving them to the bucket of now and clearing the buckets in between.
func (b *Budget) advance(s ident.Service, now time.Time) *counts {
	bucket := int64(now.Sub(b.startedAt) / (b.policy.Window / bucketCount))
	c, ok := b.services[s]
	if !ok {
		c = &counts{bucket: bucket}
		b.services[s] = c
	}
	for steps := 0; c.bucket < bucket && steps < bucketCount; steps++ {
		c.bucket++
		c.requests[c.bucket%bucketCount], c.retries[c.bucket%bucketCount] = 0, 0
	}
	c.bucket = max(c.bucket, bucket)
	return c
}

func sum(list [bucketCount]int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
