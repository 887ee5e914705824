package forward

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

// abandonTimer cancels an attempt whose engine is late, once another engine can take the request and the retry budget allows it. Until then the attempt goes
// on, because a slow engine may still answer. It runs only while the attempt waits for the engine.
type abandonTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	// dueAt is when the engine is late, or zero while the attempt does not wait for it. A call of expire that stop or start has overtaken finds it changed.
	dueAt time.Time
	// abandon cancels the attempt and reports whether it could.
	abandon func(now time.Time) bool
}

// newAbandonTimer returns a timer for an attempt at an engine that does not run yet.
func (x *exchange) newAbandonTimer(ctx context.Context, cancel context.CancelFunc, e ident.Engine) *abandonTimer {
	instances := x.snapshot.Instances
	t := &abandonTimer{abandon: func(now time.Time) bool {
		if ctx.Err() != nil {
			return true
		}
		if !x.hasAlternative(e, now) || !x.Budget.TakeEarly(x.service, instances, now) {
			return false
		}
		x.retryReserved.Store(true)
		cancel()
		return true
	}}
	t.timer = time.AfterFunc(math.MaxInt64, func() { t.expire(time.Now()) })
	return t
}

// start lets the timer expire after d, whether or not it was running.
func (t *abandonTimer) start(d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dueAt = now.Add(d)
	t.timer.Reset(d)
}

func (t *abandonTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dueAt = time.Time{}
	t.timer.Stop()
}

// expire abandons the attempt if the engine is late, or tries it again later.
func (t *abandonTimer) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dueAt.IsZero() || now.Before(t.dueAt) || t.abandon(now) {
		return
	}
	t.dueAt = now.Add(abandonRetryInterval)
	t.timer.Reset(abandonRetryInterval)
}
