package limits

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/lists"
	"github.com/vanillaroute/vanillaroute/wire"
	"golang.org/x/time/rate"
)

const (
	// RenewPeriod is how often a share in use is asked for again.
	RenewPeriod = 2 * time.Second
	// EarlyRenewPeriod is how soon a share that has run out may be asked for again.
	EarlyRenewPeriod = 250 * time.Millisecond

	askTimeout      = 100 * time.Millisecond
	idleTimeout     = 5 * time.Second
	fallbackTTL     = Validity
	demandSmoothing = 0.5
	minBurst        = 1
	minRetryAfter   = 100 * time.Millisecond
)

type (
	// Ask obtains a share from an organisation's home router.
	Ask func(ctx context.Context, ask wire.ShareRequest) (wire.ShareGrant, error)

	// Shares are the shares that this router has been lent.
	Shares struct {
		self   ident.Router
		ask    Ask
		peers  func() int
		mu     sync.Mutex
		shares map[ident.Organisation]*localShare
	}

	localShare struct {
		allowance    lists.Allowance
		requests     *rate.Limiter
		tokens       *rate.Limiter
		concurrency  int
		running      int
		expiresAt    time.Time
		usedAt       time.Time
		requestCount int
		tokenCount   int
		requestRate  float64
		tokenRate    float64
		measuredAt   time.Time
		askedAt      time.Time
		// refused counts the requests that the share was too small for since it was asked for.
		refused int
	}
)

// NewShares returns no shares; peers returns how many routers divide a limit while its home cannot be asked.
func NewShares(self ident.Router, ask Ask, peers func() int) *Shares {
	return &Shares{self: self, ask: ask, peers: peers, shares: make(map[ident.Organisation]*localShare)}
}

// Take counts a request of an organisation with its prompt's tokens, or refuses it; Done must follow a taken one.
func (s *Shares) Take(ctx context.Context, org ident.Organisation, a lists.Allowance, prompt int, now time.Time) *wire.Refusal {
	s.mu.Lock()
	sh, ok := s.shares[org]
	if !ok {
		sh = &localShare{measuredAt: now}
		s.shares[org] = sh
	}
	sh.allowance = a
	sh.usedAt = now
	fresh := now.Before(sh.expiresAt)
	s.mu.Unlock()
	if !fresh {
		s.renew(ctx, org, now)
	}
	refusal, early := s.take(sh, prompt, now)
	if early {
		s.renew(ctx, org, now)
		refusal, _ = s.take(sh, prompt, now)
	}
	return refusal
}

// take counts a request, or says whether it is time to ask for a larger share first.
func (s *Shares) take(sh *localShare, prompt int, now time.Time) (refusal *wire.Refusal, early bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal = sh.take(prompt, now)
	if refusal == nil {
		return nil, false
	}
	sh.refused++
	return refusal, now.Sub(sh.askedAt) >= EarlyRenewPeriod
}

// Done counts the end of a request and the tokens of its answer.
func (s *Shares) Done(org ident.Organisation, answer int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh, ok := s.shares[org]
	if !ok {
		return
	}
	sh.running--
	sh.chargeTokens(answer, now)
}

// Renew asks again for every share in use, and forgets the idle ones.
func (s *Shares) Renew(ctx context.Context, now time.Time) {
	s.mu.Lock()
	var due []ident.Organisation
	for org, sh := range s.shares {
		if sh.running == 0 && now.Sub(sh.usedAt) >= idleTimeout {
			delete(s.shares, org)
			continue
		}
		due = append(due, org)
	}
	s.mu.Unlock()
	for _, org := range due {
		s.renew(ctx, org, now)
	}
}

func (s *Shares) renew(ctx context.Context, org ident.Organisation, now time.Time) {
	s.mu.Lock()
	sh, ok := s.shares[org]
	if !ok {
		s.mu.Unlock()
		return
	}
	sh.measureDemand(now)
	sh.askedAt = now
	ask := wire.ShareRequest{Router: s.self, Organisation: org, Requests: sh.requestRate, Tokens: sh.tokenRate, Running: sh.running + sh.refused}
	sh.refused = 0
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	grant, err := s.ask(ctx, ask)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if !now.Before(sh.expiresAt) {
			sh.fallBack(max(s.peers(), 1), now)
		}
		return
	}
	sh.apply(grant, now)
}

// fallBack takes an equal part of the limits while the home cannot be asked.
func (sh *localShare) fallBack(routers int, now time.Time) {
	part := wire.ShareGrant{
		Requests:    sh.allowance.RequestsPerSecond / float64(routers),
		Tokens:      sh.allowance.TokensPerSecond / float64(routers),
		Concurrency: (sh.allowance.Concurrency + routers - 1) / routers,
		Valid:       fallbackTTL,
	}
	sh.apply(part, now)
}

func (sh *localShare) apply(g wire.ShareGrant, now time.Time) {
	sh.requests = adjustLimiter(sh.requests, g.Requests, now)
	sh.tokens = adjustLimiter(sh.tokens, g.Tokens, now)
	sh.concurrency = g.Concurrency
	sh.expiresAt = now.Add(g.Valid)
}

func (sh *localShare) take(prompt int, now time.Time) *wire.Refusal {
	if sh.allowance.Concurrency > 0 && sh.running >= sh.concurrency {
		return limitRefusal("concurrency", minRetryAfter)
	}
	if sh.tokens != nil && sh.tokens.TokensAt(now) <= 0 {
		return limitRefusal("tokens", minRetryAfter)
	}
	if sh.requests != nil && !sh.requests.AllowN(now, 1) {
		return limitRefusal("requests", time.Duration(float64(time.Second)/float64(sh.requests.Limit())))
	}
	sh.running++
	sh.requestCount++
	sh.chargeTokens(prompt, now)
	return nil
}

// chargeTokens charges tokens after the fact, so that the bucket may go below zero.
func (sh *localShare) chargeTokens(tokens int, now time.Time) {
	sh.tokenCount += tokens
	for sh.tokens != nil && tokens > 0 {
		part := min(tokens, sh.tokens.Burst())
		sh.tokens.ReserveN(now, part)
		tokens -= part
	}
}

// measureDemand turns the counts since the last renewal into the demand.
func (sh *localShare) measureDemand(now time.Time) {
	elapsed := now.Sub(sh.measuredAt).Seconds()
	if elapsed < EarlyRenewPeriod.Seconds()/2 {
		return
	}
	sh.requestRate += demandSmoothing * (float64(sh.requestCount)/elapsed - sh.requestRate)
	sh.tokenRate += demandSmoothing * (float64(sh.tokenCount)/elapsed - sh.tokenRate)
	sh.requestCount, sh.tokenCount, sh.measuredAt = 0, 0, now
}

func adjustLimiter(l *rate.Limiter, limit float64, now time.Time) *rate.Limiter {
	if limit == 0 {
		return nil
	}
	burst := max(minBurst, int(limit))
	if l == nil {
		return rate.NewLimiter(rate.Limit(limit), burst)
	}
	l.SetLimitAt(now, rate.Limit(limit))
	l.SetBurstAt(now, burst)
	return l
}

func limitRefusal(what string, retryAfter time.Duration) *wire.Refusal {
	r := wire.Refuse(http.StatusTooManyRequests, wire.CodeLimit, "the organisation's limit of %s is reached", what)
	r.RetryAfter = max(retryAfter, minRetryAfter)
	return r
}
