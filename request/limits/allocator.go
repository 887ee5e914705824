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
	// Validity is how long an allocated share is valid, and so how long the share of a failed router stays unavailable to others.
	Validity = 5 * time.Second

	// minShare is the smallest share of a limit that a router gets, even if the others hold all of it.
	minShare = 0.05

	// freeShare is the share of the unallocated part of a limit that a router gets whatever its demand is. The rest stays for routers that take over the
	// callers of a failed one, whose share stays unavailable for Validity.
	freeShare = 0.5

	// demandHeadroom is the multiple of its demand that a router gets at most, above freeShare. Measured rates are smoothed by half, and a router that uses
	// up half of a limit gets all of it at its next renewal.
	demandHeadroom = 4
)

type (
	// Allocator allocates shares of the limits of the organisations whose home this router is. It is safe for concurrent use.
	Allocator struct {
		mu          sync.Mutex
		allocations map[ident.Organisation]map[ident.Router]allocation
	}

	// allocation is the share of one router with the request it was computed from.
	allocation struct {
		request   wire.ShareRequest
		grant     wire.ShareGrant
		expiresAt time.Time
	}
)

// NewAllocator returns an allocator without allocations.
func NewAllocator() *Allocator {
	return &Allocator{allocations: make(map[ident.Organisation]map[ident.Router]allocation)}
}

// Allocate returns a router's share of an allowance in proportion to its demand, limited to what is not allocated to others. While the demand is far below
// the limit, a part of it stays unallocated.
func (al *Allocator) Allocate(request wire.ShareRequest, a lists.Allowance, now time.Time) wire.ShareGrant {
	al.mu.Lock()
	defer al.mu.Unlock()
	allocations, ok := al.allocations[request.Organisation]
	if !ok {
		allocations = make(map[ident.Router]allocation)
		al.allocations[request.Organisation] = allocations
	}
	var others, demand wire.ShareGrant
	for router, other := range allocations {
		switch {
		case !now.Before(other.expiresAt):
			delete(allocations, router)
		case router != request.Router:
			others.Requests += other.grant.Requests
			others.Tokens += other.grant.Tokens
			others.Concurrency += other.grant.Concurrency
			demand.Requests += other.request.Requests
			demand.Tokens += other.request.Tokens
			demand.Concurrency += other.request.Running
		}
	}
	grant := wire.ShareGrant{
		Requests:    share(a.RequestsPerSecond, others.Requests, request.Requests, demand.Requests),
		Tokens:      share(a.TokensPerSecond, others.Tokens, request.Tokens, demand.Tokens),
		Concurrency: int(math.Ceil(share(float64(a.Concurrency), float64(others.Concurrency), float64(request.Running), float64(demand.Concurrency)))),
		Valid:       Validity,
	}
	if grant.Concurrency+others.Concurrency > a.Concurrency && grant.Concurrency > 1 {
		grant.Concurrency--
	}
	allocations[request.Router] = allocation{request: request, grant: grant, expiresAt: now.Add(Validity)}
	return grant
}

// Sweep removes expired allocations.
func (al *Allocator) Sweep(now time.Time) {
	al.mu.Lock()
	defer al.mu.Unlock()
	for org, allocations := range al.allocations {
		for router, allocated := range allocations {
			if !now.Before(allocated.expiresAt) {
				delete(allocations, router)
			}
		}
		if len(allocations) == 0 {
			delete(al.allocations, org)
		}
	}
}

// share returns the share of a limit for a router's own demand and the demand of the others, with at least minShare of the limit so that
// a new router gets a share while the others hold all of it. A demand that is small for the limit brings no more than freeShare of what is not
// allocated.
func share(limit, allocated, own, others float64) float64 {
	if limit == 0 {
		return 0
	}
	target := limit
	if others > 0 {
		target = limit * max(own, minShare*others) / (max(own, minShare*others) + others)
	}
	free := limit - allocated
	target = max(min(target, demandHeadroom*own), freeShare*free)
	return max(min(target, free), minShare*limit)
}
