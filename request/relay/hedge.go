package relay

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	hedgeQuantile   = 95
	hedgeSamples    = 100
	hedgeWindow     = 1000
	hedgeSuffix     = "-h"
	histogramMax    = int64(time.Minute / time.Microsecond)
	budgetBurst     = 10
	retryShare      = 0.1
	histogramDigits = 2
)

type (
	// Budget allows a share of the requests something extra.
	Budget struct {
		mu     sync.Mutex
		share  float64
		tokens float64
	}

	// Hedges decide when a request is sent to a second engine.
	Hedges struct {
		*Budget
		mu              sync.Mutex
		firstTokenTimes map[ident.Class]*hdrhistogram.Histogram
	}

	// firstResult is the first word of a source.
	firstResult struct {
		source Source
		events [][]byte
		end    *wire.End
		err    error
	}
)

// NewBudget returns a budget for a share of all requests.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: budgetBurst} }

// NewRetries returns the budget for sending a request again after an engine failed.
func NewRetries() *Budget { return NewBudget(retryShare) }

// CountRequest counts a request.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, budgetBurst)
}

// Take spends one from the budget, and reports false where it is used up.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewHedges returns hedges for a share of all requests.
func NewHedges(share float64) *Hedges {
	return &Hedges{Budget: &Budget{share: share}, firstTokenTimes: make(map[ident.Class]*hdrhistogram.Histogram)}
}

// RecordFirstToken notes the time to the first token of a class.
func (h *Hedges) RecordFirstToken(class ident.Class, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hist, ok := h.firstTokenTimes[class]
	if !ok || hist.TotalCount() >= hedgeWindow {
		fresh := hdrhistogram.New(1, histogramMax, histogramDigits)
		if ok {
			_ = fresh.RecordValues(hist.ValueAtQuantile(hedgeQuantile), hedgeSamples)
		}
		hist = fresh
		h.firstTokenTimes[class] = hist
	}
	_ = hist.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// Delay returns after what time without a token a request of the class is hedged, or false while too few are known.
func (h *Hedges) Delay(class ident.Class) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hist, ok := h.firstTokenTimes[class]
	if !ok || hist.TotalCount() < hedgeSamples {
		return 0, false
	}
	return time.Duration(hist.ValueAtQuantile(hedgeQuantile)) * time.Microsecond, true
}

// firstEvents waits for the first word of the source; where it is late, a second engine is asked as well and the faster wins.
func (c *chat) firstEvents(ctx context.Context, source Source, engine ident.Engine) (Source, [][]byte, *wire.End, error) {
	c.Hedges.CountRequest()
	began := time.Now()
	delay, known := c.Hedges.Delay(c.submit.Class)
	second, ok := c.hedgeEngine(engine)
	if !known || !ok {
		events, end, err := source.Next(ctx)
		c.recordFirstToken(end, err, began)
		return source, events, end, err
	}
	ctxFirst, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	arrivals := make(chan firstResult, 2)
	go receiveFirst(ctxFirst, source, arrivals)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-arrivals:
		c.recordFirstToken(a.end, a.err, began)
		return a.source, a.events, a.end, a.err
	case <-timer.C:
	}
	hedge, ok := c.openHedge(ctx, second)
	if !ok {
		a := <-arrivals
		return a.source, a.events, a.end, a.err
	}
	go receiveFirst(ctxFirst, hedge, arrivals)
	winner := <-arrivals
	loser := source
	if winner.source == source {
		loser = hedge
	}
	if winner.failed() {
		winner.source.Close(true)
		winner = <-arrivals
	} else {
		loser.Close(true)
	}
	if winner.source == hedge {
		c.submit.Engine = second
		c.submit.Request += hedgeSuffix
	}
	return winner.source, winner.events, winner.end, winner.err
}

// hedgeEngine returns a second engine for a short request that has no token yet.
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

func (c *chat) recordFirstToken(end *wire.End, err error, began time.Time) {
	if end == nil && err == nil && c.delivered == 0 {
		c.Hedges.RecordFirstToken(c.submit.Class, time.Since(began))
	}
}

func (a firstResult) failed() bool { return a.err != nil || (a.end != nil && a.end.Refusal != nil) }

func receiveFirst(ctx context.Context, s Source, arrivals chan<- firstResult) {
	events, end, err := s.Next(ctx)
	arrivals <- firstResult{source: s, events: events, end: end, err: err}
}
