package budget

import (
	"sync"
	"time"
)

const (
	// Rate is how many bytes of control traffic a router may send in a second.
	Rate = 4 << 10
	// Burst is how many bytes it may send at once after a pause.
	Burst = 32 << 10
)

// Kinds of control traffic, the most important first.
const (
	Urgent Kind = iota
	Membership
	Suspects
	ModelLoads
	AllowanceShares
	kindCount
)

type (
	// Kind orders control traffic by importance.
	Kind int

	// Budget is a token bucket over all control bytes sent; a less important kind leaves a reserve to the others.
	Budget struct {
		mu        sync.Mutex
		tokens    float64
		updatedAt time.Time
		usage     Usage
	}

	// Usage counts bytes since the start.
	Usage struct {
		Sent    [kindCount]int64
		Refused [kindCount]int64
	}
)

// reserves are the shares of the burst that each kind leaves untouched.
var reserves = [kindCount]float64{0, 0.1, 0.2, 0.3, 0.2}

// New returns a full budget.
func New(now time.Time) *Budget { return &Budget{tokens: Burst, updatedAt: now} }

// Spend takes bytes from the budget, and reports false where the kind may not send them now.
func (b *Budget) Spend(k Kind, bytes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(Burst, b.tokens+Rate*max(now.Sub(b.updatedAt).Seconds(), 0))
	b.updatedAt = now
	if b.tokens-float64(bytes) < reserves[k]*Burst {
		b.usage.Refused[k] += int64(bytes)
		return false
	}
	b.tokens -= float64(bytes)
	b.usage.Sent[k] += int64(bytes)
	return true
}

// Usage returns the counts since the start.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

// Total returns all bytes sent.
func (u Usage) Total() int64 {
	sum := int64(0)
	for _, n := range u.Sent {
		sum += n
	}
	return sum
}
