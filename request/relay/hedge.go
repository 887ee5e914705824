package relay

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/run"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// hedgeQuantile is the percentile of the times to the first token after which a request is hedged.
	hedgeQuantile = 95
	// hedgeSamples is the minimum number of samples of a class, and the weight of the old histogram when a new one starts.
	hedgeSamples = 100
	// hedgeWindow is the number of samples after which a new histogram starts.
	hedgeWindow     = 1000
	hedgeSuffix     = "-h"
	histogramMax    = int64(time.Minute / time.Microsecond)
	budgetBurst     = 10
	retryShare      = 0.1
	histogramDigits = 2
)

type (
	// Budget is a token bucket that limits extra attempts to a share of the requests. It is safe for concurrent use.
	Budget struct {
		mu     sync.Mutex
		share  float64
		tokens float64
	}

	// Hedges decide when a request is also sent to a second engine. They are safe for concurrent use.
	Hedges struct {
		*Budget
		mu              sync.Mutex
		firstTokenTimes map[ident.Class]*hdrhistogram.Histogram
	}

	// firstResult is the first result of a source: events, the end or an error.
	firstResult struct {
		source Source
		events [][]byte
		end    *wire.End
		err    error
	}
)

// NewBudget returns a full budget that refills by share for each request.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: budgetBurst} }

// NewRetries returns the budget for retries after a failure of an engine.
func NewRetries() *Budget { return NewBudget(retryShare) }

// CountRequest counts a request, which refills the budget by its share.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, budgetBurst)
}

// Take takes one extra attempt from the budget; it returns false if the budget is used up.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewHedges returns hedges with an empty budget that refills by share for each request.
func NewHedges(share float64) *Hedges {
	return &Hedges{Budget: &Budget{share: share}, firstTokenTimes: make(map[ident.Class]*hdrhistogram.Histogram)}
}

// RecordFirstToken records the time to the first token of a request of a class.
func (h *Hedges) RecordFirstToken(class ident.Class, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram, ok := h.firstTokenTimes[class]
	if !ok || histogram.TotalCount() >= hedgeWindow {
		fresh := hdrhistogram.New(1, histogramMax, histogramDigits)
		if ok {
			_ = fresh.RecordValues(histogram.ValueAtQuantile(hedgeQuantile), hedgeSamples)
		}
		histogram = fresh
		h.firstTokenTimes[class] = histogram
	}
	_ = histogram.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// Delay returns the time without a token after which a request of the class is hedged; it returns false if there are too few samples.
func (h *Hedges) Delay(class ident.Class) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram, ok := h.firstTokenTimes[class]
	if !ok || histogram.TotalCount() < hedgeSamples {
		return 0, false
	}
	return time.Duration(histogram.ValueAtQuantile(hedgeQuantile)) * time.Microsecond, true
}

// firstEvents waits for the first result of the source. If it takes longer than the delay of the class, the request is also sent to a
// second engine if the budget allows it. Then the first successful result is returned with its source, or the second failure if both fail.
func (c *chat) firstEvents(ctx context.Context, source Source, engine ident.Engine) (Source, [][]byte, *wire.End, error) {
	c.Hedges.CountRequest()
	startedAt := time.Now()
	delay, known := c.Hedges.Delay(c.submit.Class)
	second, ok := c.hedgeEngine(engine)
	if !known || !ok {
		events, end, err := source.Next(ctx)
		c.recordFirstToken(end, err, startedAt)
		return source, events, end, err
	}
	ctxFirst, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	results := make(chan firstResult, 2)
	go receiveFirst(ctxFirst, source, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case first := <-results:
		c.recordFirstToken(first.end, first.err, startedAt)
		return first.source, first.events, first.end, first.err
	case <-timer.C:
	}
	hedge, ok := c.openHedge(ctx, second)
	if !ok {
		first := <-results
		return first.source, first.events, first.end, first.err
	}
	go receiveFirst(ctxFirst, hedge, results)
	winner := <-results
	loser := source
	if winner.source == source {
		loser = hedge
	}
	if winner.failed() {
		if other := <-results; other.failed() && errors.Is(winner.err, run.ErrSilent) {
			// The silent engine is the only one that may still answer.
			other.source.Close(true)
		} else {
			winner.source.Close(true)
			winner = other
		}
	} else {
		loser.Close(true)
	}
	if winner.source == hedge {
		c.submit.Engine = second
		c.submit.Request += hedgeSuffix
	}
	return winner.source, winner.events, winner.end, winner.err
}

// hedgeEngine returns a second engine for a request of a short class without a token so far, if it has crashed no engine.
func (c *chat) hedgeEngine(first ident.Engine) (ident.Engine, bool) {
	if c.delivered > 0 || c.Policy.Class(c.submit.Class).Long || len(c.submit.Crashed) > 0 {
		return "", false
	}
	for _, e := range c.candidates {
		if e != first {
			return e, true
		}
	}
	return "", false
}

func (c *chat) openHedge(ctx context.Context, engine ident.Engine) (Source, bool) {
	if !c.Hedges.Take() {
		return nil, false
	}
	submit := c.submit
	submit.Engine = engine
	submit.Request += hedgeSuffix
	submit.OverflowTried = true
	submit.MustQueue = false
	source, err := c.Open(ctx, c.View().HomeOf(engine), submit)
	return source, err == nil
}

func (c *chat) recordFirstToken(end *wire.End, err error, startedAt time.Time) {
	if end == nil && err == nil && c.delivered == 0 {
		c.Hedges.RecordFirstToken(c.submit.Class, time.Since(startedAt))
	}
}

func (r firstResult) failed() bool { return r.err != nil || (r.end != nil && r.end.Refusal != nil) }

func receiveFirst(ctx context.Context, s Source, results chan<- firstResult) {
	events, end, err := s.Next(ctx)
	results <- firstResult{source: s, events: events, end: end, err: err}
}
