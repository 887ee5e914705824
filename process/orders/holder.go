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
	// Key is the store key of the lease.
	Key = "/vanillaroute/orders/holder"
	// TTL is how long the lease lasts without renewal.
	TTL = 6 * time.Second
	// Margin is how long the lease must still be valid when an order is sent, and the time-out of sending it.
	Margin = 2 * time.Second
	// Period is how often the holder renews its lease and compares the models that engines hold with the wanted models.
	Period = time.Second
)

type (
	// Dependencies are the dependencies of a Holder.
	Dependencies struct {
		Self  ident.Router
		Store store.Store
		Log   *zap.Logger
		// Engines returns the engines in the platform's list.
		Engines func() []fleet.Instance
		// Wanted returns the models that some engine must hold.
		Wanted func() []ident.Model
		// ShouldHold reports whether this router should try to hold the lease.
		ShouldHold func() bool
		// LoadLimiter limits the rate of model loads to what the weight store can serve.
		LoadLimiter *rate.Limiter
		// FaultPoint is called at points where tests inject faults.
		FaultPoint func(step string, id ident.Request)
	}

	// Holder sends orders to engines while it holds the lease.
	Holder struct {
		Dependencies
		transport http.RoundTripper
	}
)

// New returns a holder without a lease.
func New(d Dependencies) *Holder { return &Holder{Dependencies: d, transport: engine.NewTransport()} }

// Run tries to acquire the lease once each Period while ShouldHold returns true, and sends orders while it holds the lease, until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	for pause.For(ctx, Period) {
		if !h.ShouldHold() {
			continue
		}
		held, err := lease.Acquire(ctx, h.Store, Key, h.Self, TTL, time.Now())
		if err != nil {
			continue
		}
		h.Log.Info("acquired the lease for orders", zap.Int64("fence", int64(held.Fence)))
		h.holdLease(ctx, held)
	}
	return ctx.Err()
}

// holdLease renews the lease and sends orders until the lease is lost or this router should not hold it. If any engine does not check fencing
// numbers, it first waits until an order of the previous holder can no longer arrive.
func (h *Holder) holdLease(ctx context.Context, held *lease.Lease) {
	acquired := time.Now()
	for pause.For(ctx, Period) {
		if err := held.Renew(ctx, time.Now()); err != nil && !held.ValidFor(time.Now(), Margin) {
			h.Log.Warn("lost the lease for orders", zap.Error(err))
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

// reconcile sends the orders after which some engine holds each wanted model. It skips an order if the engines report other models than the
// list.
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

// send sends an order before the deadline. The deadline was set when the lease was checked, so that nothing is sent after a pause of the
// process.
func (h *Holder) send(ctx context.Context, fence ident.Revision, o Order, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := engine.New(o.Engine.Address, h.transport).Order(ctx, fence, o.Models)
	h.Log.Info("sent an order", zap.String("engine", o.Engine.ID), zap.Any("models", o.Models), zap.Error(err))
}

// confirms reports whether the engine of an order holds the listed models and, if it gives up a model, whether another engine holds that
// model. It asks the engines, since the list lags.
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

// modelsOf returns the models that an engine reports, or those in the list if it reports none. It returns nil if the engine does not answer or
// is leaving.
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

// anyIgnoresFence reports whether any engine does not check fencing numbers.
func (h *Holder) anyIgnoresFence() bool {
	return slices.ContainsFunc(h.Engines(), func(e fleet.Instance) bool { return !e.ChecksOrders })
}
