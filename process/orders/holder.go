package orders

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/process/lease"
	"github.com/vanillaroute/vanillaroute/store"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// Key is the store key that the holder of orders holds.
	Key = "/vanillaroute/orders/holder"
	// TTL is how long the lease lasts without renewal.
	TTL = 6 * time.Second
	// Margin is how long a lease must still last when an order is sent, and the longest that sending takes.
	Margin = 2 * time.Second
	// Period is how often the holder renews its lease and compares what engines hold with what is wanted.
	Period = time.Second
)

type (
	// Dependencies are what the holder of orders needs.
	Dependencies struct {
		Self  ident.Router
		Store store.Store
		Log   *zap.Logger
		// Engines returns the engines as the list shows them.
		Engines func() []fleet.Instance
		// Wanted returns the models that some engine must hold.
		Wanted func() []ident.Model
		// ShouldHold reports whether this router is to hold the lease.
		ShouldHold func() bool
		// LoadLimiter paces the loads to what the weight store gives.
		LoadLimiter *rate.Limiter
		FaultPoint  func(step string, id ident.Request)
	}

	// Holder orders engines while it holds the lease.
	Holder struct {
		Dependencies
		transport http.RoundTripper
	}
)

// New returns a holder without a lease.
func New(p Dependencies) *Holder { return &Holder{Dependencies: p, transport: engine.NewTransport()} }

// Run tries for the lease whenever this router is chosen, until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	for pause.For(ctx, Period) {
		if !h.ShouldHold() {
			continue
		}
		held, err := lease.Acquire(ctx, h.Store, Key, h.Self, TTL, time.Now())
		if err != nil {
			continue
		}
		h.Log.Info("holds the lease of orders", zap.Int64("fence", int64(held.Fence)))
		h.holdLease(ctx, held)
	}
	return ctx.Err()
}

// holdLease orders until the lease is lost; where an engine does not check fences, an earlier holder's last order is waited out.
func (h *Holder) holdLease(ctx context.Context, held *lease.Lease) {
	acquired := time.Now()
	for pause.For(ctx, Period) {
		if err := held.Renew(ctx, time.Now()); err != nil && !held.ValidFor(time.Now(), Margin) {
			h.Log.Warn("lost the lease of orders", zap.Error(err))
			return
		}
		if !h.ShouldHold() {
			return
		}
		if time.Since(acquired) < TTL+Margin && h.anyIgnoresFence() {
			continue
		}
		h.reconcile(ctx, held)
	}
}

// reconcile sends the orders that bring the engines to what is wanted, once the engines confirm what the list shows.
func (h *Holder) reconcile(ctx context.Context, held *lease.Lease) {
	engines := h.Engines()
	for _, o := range Plan(engines, h.Wanted()) {
		if !h.confirms(ctx, o, engines) {
			continue
		}
		if !h.LoadLimiter.Allow() {
			return
		}
		checked := time.Now()
		if !held.ValidFor(checked, Margin) {
			return
		}
		h.FaultPoint("orderChecked", ident.Request(o.Engine.ID))
		h.send(ctx, held.Fence, o, checked.Add(Margin))
	}
}

// send gives up at a deadline that was set when the lease was checked, so that a pause in between sends nothing.
func (h *Holder) send(ctx context.Context, fence ident.Revision, o Order, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := engine.New(o.Engine.Address, h.transport).Order(ctx, fence, o.Models)
	h.Log.Info("ordered", zap.String("engine", o.Engine.ID), zap.Any("models", o.Models), zap.Error(err))
}

// confirms asks the engine of an order, and another holder of the model that it is to give up, since the list lags.
func (h *Holder) confirms(ctx context.Context, o Order, engines []fleet.Instance) bool {
	if !slices.Equal(h.modelsOf(ctx, o.Engine), o.Engine.Models) {
		return false
	}
	if o.Dropped == "" {
		return true
	}
	return slices.ContainsFunc(engines, func(e fleet.Instance) bool {
		return e.ID != o.Engine.ID && slices.Contains(e.Models, o.Dropped) && slices.Contains(h.modelsOf(ctx, e), o.Dropped)
	})
}

// modelsOf returns the models that a live engine says it holds, or those of the list where it does not say.
func (h *Holder) modelsOf(ctx context.Context, e fleet.Instance) []ident.Model {
	report, err := engine.New(e.Address, h.transport).Load(ctx)
	switch {
	case err != nil || report.Leaving:
		return nil
	case report.Models == nil:
		return e.Models
	default:
		return report.Models
	}
}

func (h *Holder) anyIgnoresFence() bool {
	return slices.ContainsFunc(h.Engines(), func(e fleet.Instance) bool { return !e.ChecksOrders })
}
