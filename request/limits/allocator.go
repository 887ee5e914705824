package limits

import (
	"math"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/lists"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// Validity is how long a share is lent, and so how long a dead router keeps it.
	Validity = 5 * time.Second

	minShare = 0.05
)

type (
	// Allocator lends shares of the limits of the organisations whose home this router is.
	Allocator struct {
		mu          sync.Mutex
		allocations map[ident.Organisation]map[ident.Router]allocation
	}

	allocation struct {
		ask       wire.ShareRequest
		grant     wire.ShareGrant
		expiresAt time.Time
	}
)

// NewAllocator returns a lender that has lent nothing.
func NewAllocator() *Allocator {
	return &Allocator{allocations: make(map[ident.Organisation]map[ident.Router]allocation)}
}

// Allocate grants a router its share by demand, within what the others have not been lent.
func (l *Allocator) Allocate(ask wire.ShareRequest, a lists.Allowance, now time.Time) wire.ShareGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	loans, ok := l.allocations[ask.Organisation]
	if !ok {
		loans = make(map[ident.Router]allocation)
		l.allocations[ask.Organisation] = loans
	}
	var others, demand wire.ShareGrant
	for router, o := range loans {
		switch {
		case !now.Before(o.expiresAt):
			delete(loans, router)
		case router != ask.Router:
			others.Requests += o.grant.Requests
			others.Tokens += o.grant.Tokens
			others.Concurrency += o.grant.Concurrency
			demand.Requests += o.ask.Requests
			demand.Tokens += o.ask.Tokens
			demand.Concurrency += o.ask.Running
		}
	}
	grant := wire.ShareGrant{
		Requests:    share(a.RequestsPerSecond, others.Requests, ask.Requests, demand.Requests),
		Tokens:      share(a.TokensPerSecond, others.Tokens, ask.Tokens, demand.Tokens),
		Concurrency: int(math.Ceil(share(float64(a.Concurrency), float64(others.Concurrency), float64(ask.Running), float64(demand.Concurrency)))),
		Valid:       Validity,
	}
	if grant.Concurrency+others.Concurrency > a.Concurrency && grant.Concurrency > 1 {
		grant.Concurrency--
	}
	loans[ask.Router] = allocation{ask: ask, grant: grant, expiresAt: now.Add(Validity)}
	return grant
}

// Sweep forgets loans that expired.
func (l *Allocator) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for org, loans := range l.allocations {
		for router, o := range loans {
			if !now.Before(o.expiresAt) {
				delete(loans, router)
			}
		}
		if len(loans) == 0 {
			delete(l.allocations, org)
		}
	}
}

// share returns the part of a limit for a demand; a newcomer gets at least a floor while the others hold all.
func share(limit, lent, own, others float64) float64 {
	if limit == 0 {
		return 0
	}
	target := limit
	if others > 0 {
		target = limit * max(own, minShare*others) / (max(own, minShare*others) + others)
	}
	return max(min(target, limit-lent), minShare*limit)
}
