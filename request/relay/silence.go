package relay

import (
	"net/http"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/wire"
)

// mayLeaveSilent reports whether a silent engine is given up: another one may be tried, or the silence has lasted for too long. It takes a retry from the
// budget if the answer has not begun.
func (c *chat) mayLeaveSilent(engine ident.Engine, now time.Time) bool {
	if c.silentSince.IsZero() {
		c.silentSince = now
	}
	if now.Sub(c.silentSince) >= c.maxSilence() {
		return true
	}
	return c.failures < maxFailures && c.hasOther(engine) && (c.delivered > 0 || c.Retries.Take())
}

// maxSilence returns the silence after which an engine is given up although no other one can go on.
func (c *chat) maxSilence() time.Duration {
	return maxFailures * max(c.Policy.FirstTokenTimeout.Std(), c.Policy.StallTimeout.Std())
}

// hasOther reports whether another engine holds the model and has not crashed on the request.
func (c *chat) hasOther(engine ident.Engine) bool {
	return slices.ContainsFunc(c.View().EnginesOfModel(c.submit.Model), func(e fleet.Instance) bool {
		return ident.Engine(e.ID) != engine && !slices.Contains(c.submit.Crashed, ident.Engine(e.ID))
	})
}

// leaveSilent gives up a silent engine. The others have as long to accept the request as at its arrival, and it may return to the silent one.
func (c *chat) leaveSilent(engine ident.Engine) (wire.End, step, error) {
	refusal := wire.Refuse(http.StatusBadGateway, wire.CodeEngine, "engine %s stopped answering", engine)
	refusal.Outcome = wire.OutcomeFailed
	c.mayHaveRun = true
	c.failures++
	if time.Since(c.silentSince) >= c.maxSilence() {
		return wire.End{Refusal: refusal}, stepFinish, nil
	}
	c.resetDeadline(time.Now())
	return wire.End{Refusal: refusal}, c.skip(engine), nil
}
