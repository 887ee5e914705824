package modelload

import (
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	// maxUncertainty is the largest uncertainty of a router's clock with which its reports count.
	maxUncertainty = 200 * time.Millisecond
	// clockDrift is the largest deviation of two clocks in a second, as a share.
	clockDrift = 200e-6
	// clockTTL is the time without a report after which nothing is known of a router's clock.
	clockTTL = 10 * time.Second
	// clockTolerance is how far a report may contradict the clock, since times are read just before or after a message is sent.
	clockTolerance = 5 * time.Millisecond
)

// clock relates the clock of another router, which counts from the start of its process, to this router's. A message can't arrive before it
// is sent, and a reply can't be sent before the request: the zero of the clock lies between earliest and latest.
type clock struct {
	incarnation ident.Incarnation
	earliest    time.Time
	latest      time.Time
	known       bool
	heardAt     time.Time
}

// fromFuture reports whether a message that arrived now seems to have been sent later, by a clock that showed sent.
func (c *clock) fromFuture(sent time.Duration, now time.Time) bool {
	return !c.earliest.IsZero() && now.Add(-sent).Before(c.earliest.Add(-clockTolerance-c.drift(now)))
}

// stoodStill reports whether a reply was sent earlier by the clock than the request, for example because the replying machine was suspended.
func (c *clock) stoodStill(sent time.Duration, askedAt, now time.Time) bool {
	return c.known && !askedAt.IsZero() && askedAt.Add(-sent).After(c.latest.Add(clockTolerance+c.drift(now)))
}

// update takes in a message that arrived now and that its router sent when its clock showed sent. For the reply to a request, askedAt is when the
// request was sent; otherwise it is zero.
func (c *clock) update(sent time.Duration, askedAt, now time.Time) {
	drift := c.drift(now)
	c.heardAt = now
	zero := now.Add(-sent)
	if c.latest = c.latest.Add(drift); !c.known || zero.Before(c.latest) {
		c.latest, c.known = zero, true
	}
	if !c.earliest.IsZero() {
		c.earliest = c.earliest.Add(-drift)
	}
	if asked := askedAt.Add(-sent); !askedAt.IsZero() && asked.After(c.earliest) {
		c.earliest = asked
	}
}

// drift returns how far the clock may have deviated since the last message.
func (c *clock) drift(now time.Time) time.Duration {
	return time.Duration(clockDrift * float64(now.Sub(c.heardAt)))
}

// uncertainty returns the time between the earliest and the latest instant at which the clock may have been zero, and false if it is unknown or
// too long.
func (c *clock) uncertainty() (time.Duration, bool) {
	if c.earliest.IsZero() {
		return 0, false
	}
	u := max(0, c.latest.Sub(c.earliest))
	return u, u <= maxUncertainty
}
