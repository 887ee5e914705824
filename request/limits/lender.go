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

	floorShare = 0.05
)

type (
	// Lender lends shares of the limits of the organisations whose home this router is.
	Lender struct {
		mu   sync.Mutex
		lent map[ident.Organisation]map[ident.Router]loan
	}

	loan struct {
		ask     wire.ShareAsk
		grant   wire.ShareGrant
		expires time.Time
	}
)

// NewLender returns a lender that has lent nothing.
func NewLender() *Lender {
	return &Lender{lent: make(map[ident.Organisation]map[ident.Router]loan)}
}

// Lend grants a router its share by demand, within what the others have not been lent.
func (l *Lender) Lend(ask wire.ShareAsk, a lists.Allowance, now time.Time) wire.ShareGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	loans, ok := l.lent[ask.Organisation]
	if !ok {
		loans = make(map[ident.Router]loan)
		l.lent[ask.Organisation] = loans
	}
	var others, demand wire.ShareGrant
	for router, o := range loans {
		switch {
		case !now.Before(o.expires):
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
	loans[ask.Router] = loan{ask: ask, grant: grant, expires: now.Add(Validity)}
	return grant
}

// Sweep forgets loans that expired.
func (l *Lender) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for org, loans := range l.lent {
		for router, o := range loans {
			if !now.Before(o.expires) {
				delete(loans, router)
			}
		}
		if len(loans) == 0 {
			delete(l.lent, org)
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
		target = limit * max(own, floorShare*others) / (max(own, floorShare*others) + others)
	}
	return max(min(target, limit-lent), floorShare*limit)
}
