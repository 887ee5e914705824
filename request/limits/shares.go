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
	// RenewPeriod is how often a share in use is renewed.
	RenewPeriod = 2 * time.Second
	// EarlyRenewPeriod is the minimum time between two renewals of a share that is used up.
	EarlyRenewPeriod = 250 * time.Millisecond

	requestTimeout  = 100 * time.Millisecond
	idleTimeout     = 5 * time.Second
	fallbackTTL     = Validity
	demandSmoothing = 0.5
	minBurst        = 1
	minRetryAfter   = 100 * time.Millisecond
)

type (
	// RequestShare requests a share from the home router of an organisation.
	RequestShare func(ctx context.Context, request wire.ShareRequest) (wire.ShareGrant, error)

	// Shares are the shares that are allocated to this router. They are safe for concurrent use.
	Shares struct {
		self         ident.Router
		requestShare RequestShare
		peers        func() int
		mu           sync.Mutex
		shares       map[ident.Organisation]*localShare
	}

	// localShare is the share of one organisation with its use since the last renewal. The rates are per second.
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
		requestedAt  time.Time
		// refused counts the requests that were refused since the share was last requested.
		refused int
	}
)

// NewShares returns empty shares. peers returns the number of routers that divide a limit equally while its home cannot be reached.
func NewShares(self ident.Router, requestShare RequestShare, peers func() int) *Shares {
	return &Shares{self: self, requestShare: requestShare, peers: peers, shares: make(map[ident.Organisation]*localShare)}
}

// Take counts a request of an organisation and the tokens of its prompt, and returns nil, or returns a refusal. The caller must call Done
// after each accepted request.
func (s *Shares) Take(ctx context.Context, org ident.Organisation, a lists.Allowance, prompt int, now time.Time) *wire.Refusal {
	s.mu.Lock()
	share, ok := s.shares[org]
	if !ok {
		share = &localShare{measuredAt: now}
		s.shares[org] = share
	}
	share.allowance = a
	share.usedAt = now
	valid := now.Before(share.expiresAt)
	s.mu.Unlock()
	if !valid {
		s.renew(ctx, org, now)
	}
	refusal, early := s.take(share, prompt, now)
	if early {
		s.renew(ctx, org, now)
		refusal, _ = s.take(share, prompt, now)
	}
	return refusal
}

// take counts a request, or returns a refusal and whether the share may be renewed early to get a larger one.
func (s *Shares) take(share *localShare, prompt int, now time.Time) (refusal *wire.Refusal, early bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal = share.take(prompt, now)
	if refusal == nil {
		return nil, false
	}
	share.refused++
	return refusal, now.Sub(share.requestedAt) >= EarlyRenewPeriod
}

// Done records the end of a request and counts the tokens of its answer.
func (s *Shares) Done(org ident.Organisation, answer int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share, ok := s.shares[org]
	if !ok {
		return
	}
	share.running--
	share.chargeTokens(answer, now)
}

// Renew renews every share in use and removes idle ones.
func (s *Shares) Renew(ctx context.Context, now time.Time) {
	s.mu.Lock()
	var due []ident.Organisation
	for org, share := range s.shares {
		if share.running == 0 && now.Sub(share.usedAt) >= idleTimeout {
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
	share, ok := s.shares[org]
	if !ok {
		s.mu.Unlock()
		return
	}
	share.measureDemand(now)
	share.requestedAt = now
	request := wire.ShareRequest{Router: s.self, Organisation: org, Requests: share.requestRate, Tokens: share.tokenRate, Running: share.running + share.refused}
	share.refused = 0
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	grant, err := s.requestShare(ctx, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if !now.Before(share.expiresAt) {
			share.fallBack(max(s.peers(), 1), now)
		}
		return
	}
	share.apply(grant, now)
}

// fallBack sets the share to an equal part of the limits, for use while the home cannot be reached.
func (share *localShare) fallBack(routers int, now time.Time) {
	grant := wire.ShareGrant{
		Requests:    share.allowance.RequestsPerSecond / float64(routers),
		Tokens:      share.allowance.TokensPerSecond / float64(routers),
		Concurrency: (share.allowance.Concurrency + routers - 1) / routers,
		Valid:       fallbackTTL,
	}
	share.apply(grant, now)
}

func (share *localShare) apply(g wire.ShareGrant, now time.Time) {
	share.requests = adjustLimiter(share.requests, g.Requests, now)
	share.tokens = adjustLimiter(share.tokens, g.Tokens, now)
	share.concurrency = g.Concurrency
	share.expiresAt = now.Add(g.Valid)
}

func (share *localShare) take(prompt int, now time.Time) *wire.Refusal {
	if share.allowance.Concurrency > 0 && share.running >= share.concurrency {
		return limitRefusal("concurrency", minRetryAfter)
	}
	if share.tokens != nil && share.tokens.TokensAt(now) <= 0 {
		return limitRefusal("tokens", minRetryAfter)
	}
	if share.requests != nil && !share.requests.AllowN(now, 1) {
		return limitRefusal("requests", time.Duration(float64(time.Second)/float64(share.requests.Limit())))
	}
	share.running++
	share.requestCount++
	share.chargeTokens(prompt, now)
	return nil
}

// chargeTokens takes tokens from the bucket after they were used, so that its level may become negative.
func (share *localShare) chargeTokens(tokens int, now time.Time) {
	share.tokenCount += tokens
	for share.tokens != nil && tokens > 0 {
		part := min(tokens, share.tokens.Burst())
		share.tokens.ReserveN(now, part)
		tokens -= part
	}
}

// measureDemand updates the smoothed rates from the counts since the last measurement and resets the counts. It does nothing if the last
// measurement is more recent than half of EarlyRenewPeriod.
func (share *localShare) measureDemand(now time.Time) {
	elapsed := now.Sub(share.measuredAt).Seconds()
	if elapsed < EarlyRenewPeriod.Seconds()/2 {
		return
	}
	share.requestRate += demandSmoothing * (float64(share.requestCount)/elapsed - share.requestRate)
	share.tokenRate += demandSmoothing * (float64(share.tokenCount)/elapsed - share.tokenRate)
	share.requestCount, share.tokenCount, share.measuredAt = 0, 0, now
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
