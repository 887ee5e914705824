package decay

import (
	"math"
	"time"
)

// TimeConstant is the time in which the weight of an event falls to 1/e. It covers two rounds of heartbeats from all instances.
const TimeConstant = time.Second

// Count is a sum of the weights of events, which decay with time.
type Count struct {
	value float64
	at    time.Time
}

// Add adds an event of a weight at a time, which may be earlier than that of events already counted.
func (c *Count) Add(weight float64, at time.Time) {
	if c.at.IsZero() || at.After(c.at) {
		c.value, c.at = c.At(at)+weight, at
		return
	}
	c.value += weight * math.Exp(-c.at.Sub(at).Seconds()/TimeConstant.Seconds())
}

// At returns the decayed count at a time.
func (c *Count) At(at time.Time) float64 {
	if c.at.IsZero() {
		return 0
	}
	return c.value * math.Exp(-max(at.Sub(c.at), 0).Seconds()/TimeConstant.Seconds())
}

// Scale multiplies the count by a factor.
func (c *Count) Scale(factor float64) { c.value *= factor }

// Average replaces the count at a time by its mean with another one.
func (c *Count) Average(other float64, at time.Time) {
	c.value, c.at = (c.At(at)+other)/2, at
}
