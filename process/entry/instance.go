package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/connection/forward"
	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/connection/idle"
	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/metrics"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/retries"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/members"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeout bounds how long a caller may take to send a request's head.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's head, at four times what configurations allow callers.
	maxHeaderBytes = 64 << 10
	// sweepPeriod is the pause between two sweeps of idle connections and forgotten engines.
	sweepPeriod = time.Second
	// lingerValidities is how many validities of the address answer callers may go on using it.
	lingerValidities = 3
	// maxHints bounds how many instances ahead of this one wait to be asked.
	maxHints = 16
	// addressValidity is how long callers keep the address answer.
	addressValidity = time.Second
)

type (
	// Store is the platform's store.
	Store interface {
		// Read returns a page of the entries below a prefix, those with keys after one.
		Read(ctx context.Context, prefix, after string) (Page, error)
		// Watch returns the changes after a revision as soon as there are any, or none after a wait; it fails with *CompactedError where they are not kept any more.
		Watch(ctx context.Context, prefix string, after ident.Revision, wait time.Duration) ([]mirror.Entry, ident.Revision, error)
		// PutWithLease stores a value that disappears unless it is renewed within the time, and returns the lease.
		PutWithLease(ctx context.Context, key string, value []byte, life time.Duration) (string, error)
		// RenewLease keeps a lease for another such time.
		RenewLease(ctx context.Context, lease string) error
	}

	// Page is a part of what lies below a prefix, in the order of keys.
	Page struct {
		Entries []mirror.Entry
		// Revision is one at which no entry of the page was missing.
		Revision ident.Revision
		// More says that further entries follow.
		More bool
	}

	// Decoder reads the entries of the store.
	Decoder interface {
		// Configuration reads the operators' configuration.
		Configuration(value []byte) (*routing.Configuration, error)
		// Engine reads what an engine registered.
		Engine(key string, value []byte) (engines.Engine, error)
	}

	// Keys say where entries lie in the store.
	Keys struct {
		Configuration string
		Engines       string
		Instances     string
	}

	// Platform is what the entry instance needs of the platform.
	Platform struct {
		Store   Store
		Decoder Decoder
		Keys    Keys
		Names   forward.HeaderNames
		// ListCached asks the engine at an address which parts of prompts it holds.
		ListCached func(ctx context.Context, address string) ([]placing.Part, error)
		// ReadyPath and DirectoryPath are where the platform and callers ask.
		ReadyPath, DirectoryPath string
		// WriteDirectory writes the answer to callers that ask for addresses.
		WriteDirectory func(w http.ResponseWriter, addresses []string, validity time.Duration)
	}

	// CompactedError says that the store has dropped the history after a revision.
	CompactedError struct{ After ident.Revision }

	// Instance is one instance.
	Instance struct {
		settings      atomic.Pointer[Settings]
		platform      Platform
		log           *zap.Logger
		self          string
		incarnation   ident.Incarnation
		mirror        *mirror.Mirror
		members       *members.Table
		table         *placing.Table
		retryBudget   *retries.Budget
		client        *upstream.Client
		heartbeats    *heartbeat.Conn
		controlBudget *budget.Budget
		metrics       *metrics.Registry
		suspects      *suspects.Table
		stopping      atomic.Bool
		storeLost     atomic.Bool
		aheadPeers    chan peerRevision
		warm          atomic.Bool
		// announced is when this instance last told others of a change.
		announced atomic.Int64

		snapshot   atomic.Pointer[snapshot]
		snapshotMu sync.Mutex
		// decodedEngines are the registered engines that can be read, by key; guarded by worldMu.
		decodedEngines map[string]engines.Engine
	}

	// peerRevision names an instance whose replica is ahead of this one's.
	peerRevision struct {
		peer     string
		revision ident.Revision
	}

	// snapshot is what the entries of the store say.
	snapshot struct {
		configuration *routing.Configuration
		engines       *engines.List
	}
)

// Error names the revision.
func (e *CompactedError) Error() string { return "the history is no longer kept" }

// New returns an instance, not yet running; it fails where its peer address is taken.
func New(s Settings, p Platform, log *zap.Logger, now time.Time) (*Instance, error) {
	heartbeats, err := heartbeat.Listen(s.Instance.Peers.String())
	if err != nil {
		return nil, err
	}
	n := &Instance{
		platform: p, log: log, self: s.Instance.Peers.String(), incarnation: ident.Incarnation(now.UnixNano()),
		mirror: mirror.New(), members: members.New(), retryBudget: retries.New(s.retryPolicy(), now),
		table:  placing.New(s.placingPolicy()),
		client: upstream.New(), heartbeats: heartbeats, controlBudget: budget.New(now), metrics: metrics.NewRegistry(), suspects: suspects.New(), aheadPeers: make(chan peerRevision, maxHints), decodedEngines: make(map[string]engines.Engine),
	}
	n.settings.Store(&s)
	n.snapshot.Store(&snapshot{engines: engines.NewList(nil)})
	return n, nil
}

// Run serves until ctx ends, then finishes what is in progress and returns.
func (n *Instance) Run(ctx context.Context) error {
	began := time.Now()
	s := n.settings.Load()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(work)
	conns := idle.New(n.idleLimit)
	callers := &http.Server{
		Handler: n.handler(s), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(n.log)}
	ready := &http.Server{Handler: n.readyHandler(), ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(n.log)}
	directory := &http.Server{Handler: n.directoryHandler(), ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(n.log)}
	serve := []struct {
		serve   func(net.Listener) error
		address string
	}{
		{func(l net.Listener) error { return conns.Serve(callers, l) }, s.Instance.Callers.String()},
		{ready.Serve, s.Instance.Ready.String()},
		{directory.Serve, s.Instance.Directory.String()},
	}
	for _, each := range serve {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		group.Go(func() error { return ignoreClosed(each.serve(listener)) })
	}
	group.Go(func() error { return n.heartbeats.Run(groupCtx, n.handleHeartbeat, n.serveFetch, n.logMessageError) })
	group.Go(func() error { return n.sendHeartbeats(groupCtx) })
	group.Go(func() error { return n.followPeers(groupCtx) })
	group.Go(func() error { return n.readStore(groupCtx) })
	group.Go(func() error { return n.register(groupCtx) })
	group.Go(func() error { return n.sweep(groupCtx) })
	group.Go(func() error { return n.warmUp(groupCtx) })
	if address := s.Instance.Metrics; address.IsValid() {
		if err := n.serveMetrics(groupCtx, group, address.String()); err != nil {
			return err
		}
	}
	n.log.Info("started", zap.String("peer", n.self), zap.String("failureDomain", string(s.Instance.FailureDomain)), zap.Bool("firstStart", s.Instance.FirstStart))
	select {
	case <-ctx.Done():
		n.shutDown(work, conns)
	case <-groupCtx.Done():
	}
	stop()
	_ = callers.Close()
	_ = ready.Close()
	_ = directory.Close()
	err := group.Wait()
	n.log.Info("stopped", zap.Int64("controlBytes", n.controlBudget.Usage().Total()), zap.Duration("ranMs", time.Since(began)))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Reload takes changed settings; addresses stay as they are.
func (n *Instance) Reload(s Settings) {
	n.settings.Store(&s)
	n.retryBudget.SetPolicy(s.retryPolicy(), time.Now())
	n.table.SetPolicy(s.placingPolicy())
	n.log.Info("settings reloaded")
}

func (n *Instance) handler(s *Settings) http.Handler {
	limits := func() forward.AgeLimits {
		s := n.settings.Load()
		return forward.AgeLimits{MaxKeyAge: s.maxKeyAge(), MaxDenyAge: s.maxDenyAge()}
	}
	return forward.New(forward.Dependencies{
		Names: n.platform.Names, Limits: limits, Domain: s.Instance.FailureDomain,
		Snapshot: n.currentSnapshot, Table: n.table, Budget: n.retryBudget, Client: n.client, Suspects: n.suspects, Metrics: n.metrics, Log: n.log, Closing: n.stopping.Load,
	})
}

// idleLimit returns how long a caller's connection may be idle by the configuration in force.
func (n *Instance) idleLimit() time.Duration {
	if c := n.snapshot.Load().configuration; c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

// shutDown leaves the address answers, serves on while callers may still come, and finishes what is in progress.
func (n *Instance) shutDown(ctx context.Context, conns *idle.Conns) {
	s := n.settings.Load()
	n.log.Info("stopping")
	n.stopping.Store(true)
	n.announce(boottime.Now())
	ctx, cancel := context.WithTimeout(ctx, s.Bounds.Shutdown.Std()-shutdownMargin)
	defer cancel()
	pause.For(ctx, lingerValidities*min(addressValidity, s.Bounds.MaxAddressValidity.Std()))
	if err := conns.Stop(ctx); err != nil {
		n.log.Warn("requests were cut at shutdown", zap.Error(err))
	}
}

// sweep forgets what is gone.
func (n *Instance) sweep(ctx context.Context) error {
	for pause.For(ctx, sweepPeriod) {
		now := time.Now()
		n.suspects.Sweep(now)
		addresses := make(map[string]bool)
		list := n.snapshot.Load().engines
		for _, e := range list.All() {
			addresses[e.Address] = true
		}
		n.client.CloseIdle(func(a string) bool { return addresses[a] }, now)
		n.table.Prune(func(k engines.Key) bool {
			_, ok := list.Get(k)
			return ok
		}, now)
	}
	return ctx.Err()
}

func (n *Instance) replicaAge(now boottime.Instant) time.Duration {
	_, proven, loaded := n.mirror.State()
	if !loaded {
		return heartbeat.Unconfirmed
	}
	return now.Sub(proven)
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}
