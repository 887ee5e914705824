package retries

import (
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	// bucketCount divide the window; the oldest is dropped as a new one begins.
	bucketCount = 10
	// reservedShare is the part of the shared slack that instances leave unused, since a restarted one has forgotten what it used.
	reservedShare = 0.5
	// earlyShare is the part of the budget up to which repeats are made that could be done without: the rest is for requests that
	// have no engine at work on them.
	earlyShare = 0.5
	// minInstances is how many instances share the slack while others are not known yet.
	minInstances = 3
)

type (
	// Policy is the budget of the whole fleet for each service.
	Policy struct {
		// Ratio is how many repeats are allowed for each request.
		Ratio float64
		// Slack is how many repeats are allowed beside, in each window.
		Slack  float64
		Window time.Duration
	}

	// Budget counts the requests and repeats of one instance by service.
	Budget struct {
		policy    Policy
		startedAt time.Time
		mu        sync.Mutex
		services  map[ident.Service]*counts
	}

	counts struct {
		requests, retries [bucketCount]int
		// bucket is the number of the present bucket since the budget began, by the steady clock.
		bucket int64
	}
)

// New returns an unused budget.
func New(p Policy, now time.Time) *Budget {
	return &Budget{policy: p, startedAt: now, services: make(map[ident.Service]*counts)}
}

// SetPolicy takes another budget. Where the window changes, the repeats of the old one count as made now, and its requests no more.
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

// CountRequest notes a first send for a service.
func (b *Budget) CountRequest(s ident.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(s, now)
	c.requests[c.bucket%bucketCount]++
}

// Take reports whether one more send is within this instance's part of the budget, and counts it where it is.
func (b *Budget) Take(s ident.Service, instances int, now time.Time) bool {
	return b.take(s, 1, instances, now)
}

// TakeEarly is Take for a request whose engine may still answer, and which only does not want to wait for it.
func (b *Budget) TakeEarly(s ident.Service, instances int, now time.Time) bool {
	return b.take(s, earlyShare, instances, now)
}

// take counts one more send if all of them then fill no more than a share of this instance's part.
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

func (b *Budget) advance(s ident.Service, now time.Time) *counts {
	turn := int64(now.Sub(b.startedAt) / (b.policy.Window / bucketCount))
	c, ok := b.services[s]
	if !ok {
		c = &counts{bucket: turn}
		b.services[s] = c
	}
	for steps := 0; c.bucket < turn && steps < bucketCount; steps++ {
		c.bucket++
		c.requests[c.bucket%bucketCount], c.retries[c.bucket%bucketCount] = 0, 0
	}
	c.bucket = max(c.bucket, turn)
	return c
}

func sum(list [bucketCount]int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
