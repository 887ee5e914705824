package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/platform/standin"
)

const (
	// evacuationLimit is the bound for evacuations in the settings of the instances.
	evacuationLimit = 2500 * time.Millisecond
	// evacuationDuration is how long an evacuation lasts, so that there is time in which it must hold.
	evacuationDuration = evacuationLimit + time.Second
	// meanEvacuationInterval is the mean time between two evacuations.
	meanEvacuationInterval = time.Second
)

// evacuationSpan is a time in which a failure domain is evacuated.
type evacuationSpan struct {
	domain      ident.Domain
	from, until time.Time
}

// injectEvacuations evacuates the failure domain of one engine after the other for Options.Duration, in addition to the other faults. It has its own random
// numbers, so the other faults of a seed stay the same.
func (r *run) injectEvacuations(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, r.Seed+4))
	for end := time.Now().Add(r.Duration); time.Now().Before(end) && pause.For(ctx, randomAround(rng, meanEvacuationInterval)); {
		r.mu.Lock()
		domain := r.engines[rng.IntN(len(r.engines))].domain
		r.mu.Unlock()
		r.evacuate(ctx, domain)
	}
}

// evacuateLast evacuates the failure domain of the last engine.
func (r *run) evacuateLast(ctx context.Context) { r.evacuate(ctx, r.engines[len(r.engines)-1].domain) }

// evacuate evacuates a failure domain for evacuationDuration.
func (r *run) evacuate(ctx context.Context, domain ident.Domain) {
	standin.Evacuate(r.store, domain)
	span := evacuationSpan{domain: domain, from: time.Now()}
	r.recordFault(fmt.Sprintf("failure domain %s evacuated for %s", domain, evacuationDuration))
	pause.For(ctx, evacuationDuration)
	span.until = time.Now()
	standin.EndEvacuation(r.store, domain)
	r.executions.mu.Lock()
	defer r.executions.mu.Unlock()
	r.executions.evacuations = append(r.executions.evacuations, span)
}

// checkEvacuations checks that the engines of evacuated failure domains get no requests after evacuationLimit from instances that are in touch. A harmed
// connection to an engine may hold a request back.
func (r *run) checkEvacuations() error {
	calls := r.callers.byID()
	for _, s := range r.executions.evacuations {
		for _, v := range r.executions.visits {
			c, ok := calls[v.id]
			if !ok || v.engine.domain != s.domain || !v.at.After(s.from.Add(evacuationLimit)) || v.at.After(s.until) {
				continue
			}
			if v.engine.disturbed.inTouch(v.at, v.at) && r.instanceAt(c.instance).disturbed.inTouch(v.at, v.at) {
				return r.violation("evacuated failure domains", c, fmt.Sprintf("reaches engine %s %s after the evacuation of %s", v.engineID, v.at.Sub(s.from), s.domain))
			}
		}
	}
	return nil
}
