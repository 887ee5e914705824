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
	// announcementShare is the share of Rate and of Burst that announcements may use. Heartbeats bring what is not announced, a second later.
	announcementShare = 0.25
)

// Kinds of control traffic. Urgent traffic may use the whole burst; reserves says how much the others leave.
const (
	// Urgent traffic is answers with changes, and announcements of an instance that stops or cannot reach the store.
	Urgent Kind = iota
	// Announcements are of changes in the store, which may come many times a second.
	Announcements
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
	kindCount
)

type (
	// Kind is a kind of control traffic.
	Kind int

	// Budget is a token bucket for all control traffic. Less important kinds leave a reserve for the others.
	Budget struct {
		mu sync.Mutex
		// tokens is the content of the bucket at updatedAt, in bytes, and announcementTokens that of the bucket of announcements.
		tokens, announcementTokens float64
		updatedAt                  time.Time
		usage                      Usage
	}

	// Usage counts the bytes of each kind since the start.
	Usage struct {
		Sent [kindCount]int64
		// Refused are the bytes that were not sent because the budget did not cover them.
		Refused [kindCount]int64
	}
)

// reserves holds the share of the burst that each kind must leave to the other kinds.
var reserves = [kindCount]float64{Membership: 0.1, Suspects: 0.2, Demands: 0.2, ModelLoads: 0.25, Holders: 0.3, AllowanceShares: 0.2}

// New returns a budget with a full bucket.
func New(now time.Time) *Budget {
	return &Budget{tokens: Burst, announcementTokens: announcementShare * Burst, updatedAt: now}
}

// Spend takes bytes from the budget. It takes none and returns false if that would leave less than the reserve of the kind, or if announcements have used up
// their share.
func (b *Budget) Spend(k Kind, bytes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	earned := Rate * max(now.Sub(b.updatedAt).Seconds(), 0)
	b.tokens = min(Burst, b.tokens+earned)
	b.announcementTokens = min(announcementShare*Burst, b.announcementTokens+announcementShare*earned)
	b.updatedAt = now
	if b.tokens-float64(bytes) < reserves[k]*Burst || (k == Announcements && b.announcementTokens < float64(bytes)) {
		b.usage.Refused[k] += int64(bytes)
		return false
	}
	b.tokens -= float64(bytes)
	if k == Announcements {
		b.announcementTokens -= float64(bytes)
	}
	b.usage.Sent[k] += int64(bytes)
	return true
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
