package forward

import (
	"context"
	"time"

	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/request/placing"
)

// minColdWait is the shortest time after which a stream asks again for an engine.
const minColdWait = 20 * time.Millisecond

// awaitColdEngine waits until a cold engine takes a stream whose answer has begun, which a refusal would cut. It returns false for other requests, and if
// the engine would take the stream only after its deadline.
func (x *exchange) awaitColdEngine(ctx context.Context, wait time.Duration, now time.Time) bool {
	if x.stream == nil || x.leftOut.Cold == 0 || wait >= x.deadline.Sub(now) {
		return false
	}
	x.verdict, x.leftOut = "", placing.LeftOut{}
	x.Metrics.Add("coldAwaited", 1)
	return pause.For(ctx, max(wait, minColdWait))
}

// refuseLimited counts a request that no engine takes within its limit or its warm-up rate, and sets verdict.
func (x *exchange) refuseLimited() {
	if x.leftOut.Cold > 0 {
		x.verdict = "the engines are cold and get no more requests for now"
		x.Metrics.Add("coldRefused", 1)
		return
	}
	x.verdict = "the engines are at their limits or take no requests for now"
	x.Metrics.Add("limitsRefused", 1)
}
