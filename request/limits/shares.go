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
	// EarlyPeriod is how soon a share that has run out may be asked for again.
	EarlyPeriod = 250 * time.Millisecond

	askTimeout    = 100 * time.Millisecond
	idleAfter     = 5 * time.Second
	fallbackLife  = Validity
	demandSmooth  = 0.5
	minBurst      = 1
	retryAfterMin = 100 * time.Millisecond
)

type (
	// Ask obtains a share from an organisation's home router.
	Ask func(ctx context.Context, ask wire.ShareAsk) (wire.ShareGrant, error)

	// Shares are the shares that this router has been lent.
	Shares struct {
		self   ident.Router
		ask    Ask
		peers  func() int
		mu     sync.Mutex
		shares map[ident.Organisation]*lentShare
	}

	lentShare struct {
		allowance lists.Allowance
		requests  *rate.Limiter
		tokens    *rate.Limiter
		slots     int
		running   int
		expires   time.Time
		used      time.Time
		counted   int
		spent     int
		rate      float64
		tokenRate float64
		renewed   time.Time
		asked     time.Time
		// refused counts the requests that the share was too small for since it was asked for.
		refused int
	}
)

// NewShares returns no shares; peers returns how many routers divide a limit while its home cannot be asked.
func NewShares(self ident.Router, ask Ask, peers func() int) *Shares {
	return &Shares{self: self, ask: ask, peers: peers, shares: make(map[ident.Organisation]*lentShare)}
}

// Take counts a request of an organisation with its prompt's tokens, or refuses it; Done must follow a taken one.
func (s *Shares) Take(ctx context.Context, org ident.Organisation, a lists.Allowance, prompt int, now time.Time) *wire.Refusal {
	s.mu.Lock()
	sh, ok := s.shares[org]
	if !ok {
		sh = &lentShare{renewed: now}
		s.shares[org] = sh
	}
	sh.allowance = a
	sh.used = now
	fresh := now.Before(sh.expires)
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
func (s *Shares) take(sh *lentShare, prompt int, now time.Time) (refusal *wire.Refusal, early bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal = sh.take(prompt, now)
	if refusal == nil {
		return nil, false
	}
	sh.refused++
	return refusal, now.Sub(sh.asked) >= EarlyPeriod
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
	sh.spend(answer, now)
}

// Renew asks again for every share in use, and forgets the idle ones.
func (s *Shares) Renew(ctx context.Context, now time.Time) {
	s.mu.Lock()
	var due []ident.Organisation
	for org, sh := range s.shares {
		if sh.running == 0 && now.Sub(sh.used) >= idleAfter {
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
	sh.measure(now)
	sh.asked = now
	ask := wire.ShareAsk{Router: s.self, Organisation: org, Requests: sh.rate, Tokens: sh.tokenRate, Running: sh.running + sh.refused}
	sh.refused = 0
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	grant, err := s.ask(ctx, ask)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if !now.Before(sh.expires) {
			sh.fallBack(max(s.peers(), 1), now)
		}
		return
	}
	sh.set(grant, now)
}

// fallBack takes an equal part of the limits while the home cannot be asked.
func (sh *lentShare) fallBack(routers int, now time.Time) {
	part := wire.ShareGrant{
		Requests:    sh.allowance.RequestsPerSecond / float64(routers),
		Tokens:      sh.allowance.TokensPerSecond / float64(routers),
		Concurrency: (sh.allowance.Concurrency + routers - 1) / routers,
		Valid:       fallbackLife,
	}
	sh.set(part, now)
}

func (sh *lentShare) set(g wire.ShareGrant, now time.Time) {
	sh.requests = adjust(sh.requests, g.Requests, now)
	sh.tokens = adjust(sh.tokens, g.Tokens, now)
	sh.slots = g.Concurrency
	sh.expires = now.Add(g.Valid)
}

func (sh *lentShare) take(prompt int, now time.Time) *wire.Refusal {
	if sh.allowance.Concurrency > 0 && sh.running >= sh.slots {
		return limited("concurrency", retryAfterMin)
	}
	if sh.tokens != nil && sh.tokens.TokensAt(now) <= 0 {
		return limited("tokens", retryAfterMin)
	}
	if sh.requests != nil && !sh.requests.AllowN(now, 1) {
		return limited("requests", time.Duration(float64(time.Second)/float64(sh.requests.Limit())))
	}
	sh.running++
	sh.counted++
	sh.spend(prompt, now)
	return nil
}

// spend charges tokens after the fact, so that the bucket may go below zero.
func (sh *lentShare) spend(tokens int, now time.Time) {
	sh.spent += tokens
	for sh.tokens != nil && tokens > 0 {
		part := min(tokens, sh.tokens.Burst())
		sh.tokens.ReserveN(now, part)
		tokens -= part
	}
}

// measure turns the counts since the last renewal into the demand.
func (sh *lentShare) measure(now time.Time) {
	elapsed := now.Sub(sh.renewed).Seconds()
	if elapsed < EarlyPeriod.Seconds()/2 {
		return
	}
	sh.rate += demandSmooth * (float64(sh.counted)/elapsed - sh.rate)
	sh.tokenRate += demandSmooth * (float64(sh.spent)/elapsed - sh.tokenRate)
	sh.counted, sh.spent, sh.renewed = 0, 0, now
}

func adjust(l *rate.Limiter, limit float64, now time.Time) *rate.Limiter {
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

func limited(what string, retryAfter time.Duration) *wire.Refusal {
	r := wire.Refuse(http.StatusTooManyRequests, wire.CodeLimit, "the organisation's limit of %s is reached", what)
	r.RetryAfter = max(retryAfter, retryAfterMin)
	return r
}
