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
	Sums
	Shares
	kinds
)

type (
	// Kind orders control traffic by importance.
	Kind int

	// Budget is a token bucket over all control bytes sent; a less important kind leaves a reserve to the others.
	Budget struct {
		mu    sync.Mutex
		saved float64
		at    time.Time
		usage Usage
	}

	// Usage counts bytes since the start.
	Usage struct {
		Sent    [kinds]int64
		Refused [kinds]int64
	}
)

// reserves are the shares of the burst that each kind leaves untouched.
var reserves = [kinds]float64{0, 0.1, 0.2, 0.3, 0.2}

// New returns a full budget.
func New(now time.Time) *Budget { return &Budget{saved: Burst, at: now} }

// Spend takes bytes from the budget, and reports false where the kind may not send them now.
func (b *Budget) Spend(k Kind, bytes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(Burst, b.saved+Rate*max(now.Sub(b.at).Seconds(), 0))
	b.at = now
	if b.saved-float64(bytes) < reserves[k]*Burst {
		b.usage.Refused[k] += int64(bytes)
		return false
	}
	b.saved -= float64(bytes)
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
