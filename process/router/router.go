package router

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/callers"
	"github.com/vanillaroute/vanillaroute/connection/gateway"
	"github.com/vanillaroute/vanillaroute/connection/idle"
	"github.com/vanillaroute/vanillaroute/connection/instances"
	"github.com/vanillaroute/vanillaroute/connection/peer"
	"github.com/vanillaroute/vanillaroute/connection/service"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/metrics"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/process/home"
	"github.com/vanillaroute/vanillaroute/process/orders"
	"github.com/vanillaroute/vanillaroute/request/ledger"
	"github.com/vanillaroute/vanillaroute/request/limits"
	"github.com/vanillaroute/vanillaroute/request/relay"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/store"
	"github.com/vanillaroute/vanillaroute/version/config"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/modelload"
	"github.com/vanillaroute/vanillaroute/wire"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

type (
	// Options are the dependencies of a router that do not come from its settings.
	Options struct {
		Log *zap.Logger
		// FaultPoint is called at each step of a request, so that tests can inject faults there; nil does nothing.
		FaultPoint home.FaultPoint
		// WrapPeer wraps each connection to a peer, so that tests can cut the link.
		WrapPeer func(peer ident.Router, c net.Conn) net.Conn
	}

	// Router is one router process.
	Router struct {
		settings    settings.Settings
		log         *zap.Logger
		self        ident.Router
		incarnation ident.Incarnation
		fleet       *fleet.Fleet
		config      *config.State
		loads       *modelload.Table
		suspects    *suspects.Table
		budget      *budget.Budget
		metrics     *metrics.Metrics
		homes       *home.Set
		ledger      *ledger.Ledger
		allocator   *limits.Allocator
		shares      *limits.Shares
		relay       *relay.Relay
		pool        *peer.Pool
		store       store.Store
		instances   *instances.Client
		orders      *orders.Holder
		services    *service.Client
		identity    peer.Identity
		// memory bounds the bytes of callers, and is nil without a bound.
		memory         *sizelimit.Budget
		callerListener net.Listener
		peerListener   net.Listener
		workCtx        context.Context
		cancelWork     context.CancelFunc
		leaving        atomic.Bool
		instancesRead  atomic.Bool
		mismatch       configMismatch
		probeQueue     chan ident.Router
	}
)

// New returns a router that listens on its addresses but does not serve yet. It returns an error if an address is in use
// or a certificate is invalid.
func New(s settings.Settings, o Options, now time.Time) (*Router, error) {
	r := &Router{
		settings: s, log: o.Log, self: s.Router.ID, incarnation: ident.Incarnation(now.UnixNano()),
		config: config.New(), loads: modelload.New(), suspects: suspects.New(), budget: budget.New(now), metrics: metrics.New(),
		allocator: limits.NewAllocator(), store: gateway.New(s.Platform.Store.String()),
		instances: instances.New(s.Platform.Instances.String()), services: service.New(),
		probeQueue: make(chan ident.Router, 64),
	}
	if memory := s.Limits.Memory.Int64(); memory > 0 {
		r.memory = sizelimit.NewBudget(sizelimit.PeerBytes(memory))
	}
	tlsConfig, err := peerTLS(s.Peers)
	if err != nil {
		return nil, err
	}
	r.identity = peer.Identity{Router: r.self, Incarnation: r.incarnation, TLS: tlsConfig, Wrap: o.WrapPeer, Limits: r.peerLimits()}
	if err := r.listen(); err != nil {
		return nil, err
	}
	self := fleet.Instance{
		ID: string(r.self), Role: fleet.RoleRouter, Address: r.callerListener.Addr().String(), PeerAddress: r.peerListener.Addr().String(),
		FailureDomain: s.Router.FailureDomain, State: fleet.StateLive,
	}
	r.fleet = fleet.New(self, r.incarnation, now)
	r.workCtx, r.cancelWork = context.WithCancel(context.Background())
	r.initComponents(o, now)
	return r, nil
}

// initComponents creates the components that depend on each other.
func (r *Router) initComponents(o Options, now time.Time) {
	point := o.FaultPoint
	if point == nil {
		point = func(string, ident.Request) {}
	}
	r.pool = peer.NewPool(r.identity, r.fleet.Address)
	r.homes = home.NewSet(r.workCtx, home.Dependencies{
		Self: r.self, Incarnation: r.incarnation, StartedAt: now, Policy: r.settings.Routing, Fleet: r.fleet, ModelLoads: r.loads, Suspects: r.suspects, Metrics: r.metrics, FaultPoint: point,
	})
	r.ledger = ledger.New(r.workCtx, ledger.Dependencies{
		Self: r.self, Incarnation: r.incarnation, Store: r.store, Send: r.sendToInstance, Forward: r.forwardToOwner, Alive: r.ownerAlive, FaultPoint: point,
	})
	r.orders = orders.New(orders.Dependencies{
		Self: r.self, Store: r.store, Log: r.log, Engines: r.liveEngines, Wanted: r.config.Models, ShouldHold: r.isOrderingRouter,
		LoadLimiter: rate.NewLimiter(rate.Limit(r.settings.Platform.ModelLoadsPerMinute/60), 1), FaultPoint: point,
	})
	r.shares = limits.NewShares(r.self, r.requestShare, func() int { return len(r.fleet.View().Placeable()) })
	r.relay = &relay.Relay{
		Policy: r.settings.Routing, View: r.fleet.View, Open: r.submitTo, OnHomeLost: r.requestProbe, OnOverflow: r.notifyOverflow, FaultPoint: point, Suspects: r.suspects,
		OnLoads: func(loads []wire.RouterLoad) { r.homes.RecordLoads(loads, time.Now()) },
		Hedges:  relay.NewHedges(r.settings.Routing.HedgeShare), Retries: relay.NewRetries(),
	}
}

// Run serves until ctx ends, then leaves the fleet, finishes the requests in flight and returns the first error of a task.
func (r *Router) Run(ctx context.Context) error {
	server := callers.New(r.callerDependencies()).HTTP()
	server.ErrorLog = zap.NewStdLog(r.log)
	limits, err := r.callerLimits()
	if err != nil {
		return err
	}
	conns := idle.New(idle.Options{Limits: func() idle.Limits { return limits }, Memory: r.memory, OnClose: func(reason idle.Reason) { r.metrics.Add("connectionsClosed_"+string(reason), 1) }})
	group, groupCtx := errgroup.WithContext(r.workCtx)
	group.Go(func() error { return peer.Serve(groupCtx, r.peerListener, r.identity, r.servePeer) })
	group.Go(func() error { return conns.Serve(server, r.callerListener) })
	group.Go(func() error { return r.pollInstances(groupCtx) })
	group.Go(func() error { return r.syncConfiguration(groupCtx) })
	group.Go(func() error { return r.orders.Run(groupCtx) })
	group.Go(func() error { return r.gossip(groupCtx) })
	group.Go(func() error { return r.runProbes(groupCtx) })
	group.Go(func() error { return r.runPeriodicTasks(groupCtx) })
	select {
	case <-ctx.Done():
		r.shutDown(conns)
	case <-groupCtx.Done():
	}
	r.cancelWork()
	_ = r.peerListener.Close()
	_ = server.Close()
	r.pool.Close()
	err = group.Wait()
	r.homes.Wait()
	r.ledger.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// CallerAddress returns the address that callers connect to.
func (r *Router) CallerAddress() string { return r.callerListener.Addr().String() }

// PeerAddress returns the address that peers connect to.
func (r *Router) PeerAddress() string { return r.peerListener.Addr().String() }

// Ready reports whether the router has read the configuration and the instance list and is not leaving.
func (r *Router) Ready() bool {
	return r.config.Ready() && r.instancesRead.Load() && !r.leaving.Load()
}

// Kill stops the router immediately, like a crash.
func (r *Router) Kill() { r.cancelWork() }

func (r *Router) listen() error {
	var err error
	if r.callerListener, err = net.Listen("tcp", r.settings.Router.Callers.String()); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if r.peerListener, err = net.Listen("tcp", r.settings.Router.Peers.String()); err != nil {
		_ = r.callerListener.Close()
		return errors.Wrap(err, "listen for peers")
	}
	return nil
}

func (r *Router) callerDependencies() callers.Dependencies {
	return callers.Dependencies{
		Self: r.self, Settings: r.settings, Log: r.log, Config: r.config, Fleet: r.fleet, Shares: r.shares, Relay: r.relay,
		Metrics: r.metrics, Store: r.store, CallAtMostOnce: r.callAtMostOnce, CallIdempotent: r.callIdempotent, NewIdempotencyKey: r.ledger.IssueKey,
		Publish: r.publish, Status: r.fleetStatus, Ready: r.Ready, Control: func() any { return r.budget.Usage() },
		FaultPoint: r.homes.FaultPoint, Memory: r.memory,
	}
}

// callerLimits returns the limits of callers' connections.
func (r *Router) callerLimits() (idle.Limits, error) {
	s := r.settings.Limits
	limits := idle.Limits{
		MaxHeadBytes: callers.MaxHeaderBytes, FirstByteTimeout: s.HeaderTimeout.Std(), HeadTimeout: s.HeaderTimeout.Std(), BodyTimeout: s.BodyTimeout.Std(), IdleTimeout: s.IdleTimeout.Std(), WriteTimeout: s.IdleTimeout.Std(),
	}
	if s.Memory.Int64() == 0 {
		return limits, nil
	}
	descriptors, err := sizelimit.Descriptors()
	limits.MaxConns = int(max(sizelimit.Connections(s.Memory.Int64(), descriptors), minConnections))
	return limits, err
}

// peerLimits returns the limits of connections to peers.
func (r *Router) peerLimits() peer.Limits {
	return peer.Limits{
		WriteTimeout: r.settings.Limits.IdleTimeout.Std(), Streams: peer.MaxStreams, Refusal: refuseStream,
		OnLimit: func(reason peer.Reason) {
			if reason == peer.ReasonStreams {
				r.metrics.Add("peerStreamsRefused", 1)
				return
			}
			r.metrics.Add("connectionsClosed_"+string(reason), 1)
			// Logged at most once for each connection.
			r.log.Warn("connection to peer closed", zap.String("reason", string(reason)))
		},
	}
}

// shutDown announces to the fleet that this router leaves, keeps serving while callers may still use its address, and
// then waits for the requests in flight.
func (r *Router) shutDown(conns *idle.Conns) {
	r.log.Info("graceful shutdown started")
	r.leaving.Store(true)
	r.fleet.Leave(time.Now())
	r.gossipToAll(r.workCtx)
	ctx, cancel := context.WithTimeout(r.workCtx, r.settings.Routing.GracefulShutdown.Std())
	defer cancel()
	pause.For(ctx, r.settings.Routing.AddressValidity.Std())
	if err := conns.Stop(ctx); err != nil {
		r.log.Warn("graceful shutdown timed out with requests in flight", zap.Error(err))
	}
	for r.homes.Active()+r.ledger.Active() > 0 && ctx.Err() == nil {
		pause.For(ctx, tickPeriod)
	}
	r.homes.FaultPoint("drained", "")
	r.log.Info("graceful shutdown finished", zap.Int("activeRuns", r.homes.Active()), zap.Int("activeCalls", r.ledger.Active()))
}

// isOrderingRouter reports whether this router is the one router of the fleet that orders engines.
func (r *Router) isOrderingRouter() bool {
	first := r.fleet.View().RoutersFor("orders", 1)
	return r.config.Ready() && len(first) == 1 && ident.Router(first[0].ID) == r.self
}

// liveEngines returns the live model engines in the current view.
func (r *Router) liveEngines() []fleet.Instance {
	var engines []fleet.Instance
	for _, i := range r.fleet.View().Engines() {
		if i.Role == fleet.RoleEngine && i.State == fleet.StateLive {
			engines = append(engines, i)
		}
	}
	return engines
}

// runPeriodicTasks runs time-outs, polls, share renewals and sweeps until ctx ends.
func (r *Router) runPeriodicTasks(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	lastPoll, lastRenew := time.Time{}, time.Time{}
	for pause.For(ctx, tickPeriod) {
		now := time.Now()
		r.fleet.Tick(now)
		r.homes.Update(r.fleet.View(), now)
		r.homes.Tick(now)
		if now.Sub(lastPoll) >= pollPeriod {
			lastPoll = now
			r.pollEngines(now)
		}
		if now.Sub(lastRenew) >= limits.RenewPeriod {
			lastRenew = now
			tasks.Go(func() { r.shares.Renew(ctx, now) })
			r.ledger.Sweep(now)
			r.allocator.Sweep(now)
			r.suspects.Sweep(now)
			r.config.Sweep(now)
		}
	}
	return ctx.Err()
}

// RouterCount returns the number of live routers in this router's view, including itself.
func (r *Router) RouterCount() int { return len(r.fleet.View().Routers()) }

// EntryRevision returns the revision of the active list entry with the key, or 0 if there is none.
func (r *Router) EntryRevision(key string) ident.Revision { return r.config.Revision(key) }

// IsHome reports whether this router is the home of engine e.
func (r *Router) IsHome(e ident.Engine) bool { return r.fleet.View().HomeOf(e) == r.self }

// ControlBytes returns the number of bytes of control traffic that this router has sent.
func (r *Router) ControlBytes() int64 { return r.budget.Usage().Total() }
