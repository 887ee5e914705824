package budget

import (
	"sync"
	"time"
)

const (
	// Rate is the control traffic that a router may send, in bytes per second.
	Rate = 4 << 10
	// Burst is the capacity of the token bucket, in bytes.
	Burst = 32 << 10
)

// Kinds of control traffic. Urgent traffic may use the whole burst; reserves says how much the others leave.
const (
	// Urgent traffic is answers with changes, and announcements of an instance that stops or cannot reach the store.
	Urgent Kind = iota
	// Announcements are of changes in the store, which may come many times a second. Heartbeats bring what is not announced, a second later.
	Announcements
	// News is of engines that have ended and of prompts that crash them, which many instances may find at once.
	News
	// Streams is at which versions streams began. A take-up waits for it, and heartbeats leave little of the burst in a large fleet.
	Streams
	// Membership traffic is heartbeats and probes.
	Membership
	// Suspects is evidence on requests that may crash engines. A crash may bring much of it.
	Suspects
	// Demands is the routes and organisations of services that have too many requests.
	Demands
	// ModelLoads is the loads of engines in heartbeats.
	ModelLoads
	// Holders is the part of heartbeats that is left out first: which engines hold which parts of prompts, and evidence on crashes.
	Holders
	// AllowanceShares is requests for shares of an allowance and notices of overflowed chats.
	AllowanceShares
	// RequestLoads is the loads of models that requests and answers between routers carry. Heartbeats carry them too, and must find a part of
	// the burst, since requests come many times as often.
	RequestLoads
	kindCount
)

type (
	// Kind is a kind of control traffic.
	Kind int

	// Budget is a token bucket for all control traffic. Less important kinds leave a reserve for the others.
	Budget struct {
		mu sync.Mutex
		// tokens is the content of the bucket at updatedAt, in bytes, and shareTokens that of the bucket of each kind with a share.
		tokens      float64
		shareTokens [kindCount]float64
		updatedAt   time.Time
		usage       Usage
	}

	// Usage counts the bytes of each kind since the start.
	Usage struct {
		Sent [kindCount]int64
		// Refused are the bytes that were not sent because the budget did not cover them.
		Refused [kindCount]int64
	}
)

// reserves holds the share of the burst that each kind must leave to the other kinds.
var reserves = [kindCount]float64{Membership: 0.1, Suspects: 0.2, Demands: 0.2, ModelLoads: 0.25, Holders: 0.3, AllowanceShares: 0.2, RequestLoads: 0.5}

// shares holds the share of Rate and of Burst that a kind may use. Kinds without one may use all but their reserve.
var shares = [kindCount]float64{Announcements: 0.25, News: 0.25, Streams: 0.5}

// New returns a budget with full buckets.
func New(now time.Time) *Budget {
	b := &Budget{tokens: Burst, updatedAt: now}
	for k, share := range shares {
		b.shareTokens[k] = share * Burst
	}
	return b
}

// Spend takes bytes from the budget. It takes none and returns false if that would leave less than the reserve of the kind, or if the kind has used up its
// share.
func (b *Budget) Spend(k Kind, bytes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens-float64(bytes) < reserves[k]*Burst || (shares[k] > 0 && b.shareTokens[k] < float64(bytes)) {
		b.usage.Refused[k] += int64(bytes)
		return false
	}
	b.tokens -= float64(bytes)
	b.shareTokens[k] -= float64(bytes)
	b.usage.Sent[k] += int64(bytes)
	return true
}

// UntilShared returns the time until the share of a kind covers bytes.
func (b *Budget) UntilShared(k Kind, bytes int, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if shares[k] <= 0 {
		return 0
	}
	return time.Duration(max(float64(bytes)-b.shareTokens[k], 0) / (shares[k] * Rate) * float64(time.Second))
}

func (b *Budget) refill(now time.Time) {
	earned := Rate * max(now.Sub(b.updatedAt).Seconds(), 0)
	b.updatedAt = now
	b.tokens = min(Burst, b.tokens+earned)
	for k, share := range shares {
		b.shareTokens[k] = min(share*Burst, b.shareTokens[k]+share*earned)
	}
}

// Usage returns the bytes sent and refused since the start.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

// Total returns the bytes sent of all kinds.
func (u Usage) Total() int64 { return sum(u.Sent) }

// TotalRefused returns the bytes refused of all kinds.
func (u Usage) TotalRefused() int64 { return sum(u.Refused) }

func sum(bytes [kindCount]int64) int64 {
	total := int64(0)
	for _, n := range bytes {
		total += n
	}
	return total
}
