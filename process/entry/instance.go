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
	"github.com/vanillaroute/vanillaroute/request/admission"
	"github.com/vanillaroute/vanillaroute/request/cost"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/retries"
	"github.com/vanillaroute/vanillaroute/request/streams"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/evacuation"
	"github.com/vanillaroute/vanillaroute/version/members"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// sweepPeriod is the pause between two removals of idle connections and of the state of unregistered engines.
	sweepPeriod = time.Second
	// lingerValidities is for how many validity periods of the address list a stopping instance still accepts requests, since callers may
	// use the list for longer than its validity.
	lingerValidities = 3
	// maxHints bounds the queue of peers whose replicas are ahead of this one.
	maxHints = 16
	// addressValidity is how long callers may use an address list.
	addressValidity = time.Second
)

// AnyRevision lets a value replace whatever the key holds.
const AnyRevision ident.Revision = -1

type (
	// Store is the platform's store.
	Store interface {
		// Read returns a page of the entries whose keys start with prefix and are greater than after.
		Read(ctx context.Context, prefix, after string) (Page, error)
		// Watch returns the changes after a revision as soon as there are any, or none after wait, and the revision reached. It fails with
		// *CompactedError if the store no longer keeps these changes, and with *IncompleteReplyError if they are too many to arrive in time.
		Watch(ctx context.Context, prefix string, after ident.Revision, wait time.Duration) ([]mirror.Entry, ident.Revision, error)
		// PutWithLease stores a value under a new lease and returns the lease. The store deletes the value when the lease expires. It fails if the last change
		// of the key is another one than that of revision after, also if the store executes the call late: 0 means that the key does not exist, and
		// AnyRevision that the change does not matter.
		PutWithLease(ctx context.Context, key string, value []byte, after ident.Revision, ttl time.Duration) (Lease, error)
		// PutUnderLease stores a value under a lease that PutWithLease has returned. It fails if the lease has ended.
		PutUnderLease(ctx context.Context, key string, value []byte, lease string) error
		// RenewLease extends a lease by its time to live.
		RenewLease(ctx context.Context, lease string) error
	}

	// Lease is a lease under which a value was stored by the change of a revision.
	Lease struct {
		ID       string
		Revision ident.Revision
	}

	// Page is a part of the entries whose keys start with a prefix, ordered by key.
	Page struct {
		Entries []mirror.Entry
		// Revision is a revision up to which the page misses no change.
		Revision ident.Revision
		// More says that more pages follow.
		More bool
	}

	// Decoder decodes the entries of the store. It fails if an entry is invalid.
	Decoder interface {
		// Configuration decodes the operators' configuration.
		Configuration(value []byte) (*routing.Configuration, error)
		// Engine decodes the registration of an engine.
		Engine(key string, value []byte) (engines.Engine, error)
		// Evacuation decodes the failure domain that operators have evacuated. It returns the domain beside the error if only the value is invalid.
		Evacuation(key string, value []byte) (ident.Domain, error)
	}

	// Keys are the keys of the entries in the store.
	Keys struct {
		Configuration string
		// Engines and Instances are prefixes.
		Engines   string
		Instances string
		// Evacuations is the prefix of the evacuated failure domains; the rest of a key is the domain. It is empty if the platform has none.
		Evacuations string
		// Culprits is the prefix of the requests and parts of prompts on which engines crash.
		Culprits string
		// Versions is the prefix of the services that have engines of several versions, and Streams that of the streams which began there.
		Versions, Streams string
	}

	// Platform holds what differs between platforms: the store, its keys and format, and the HTTP conventions.
	Platform struct {
		Store   Store
		Decoder Decoder
		Keys    Keys
		Names   forward.HeaderNames
		// ListCached asks the engine at an address for the parts of prompts that it has cached.
		ListCached func(ctx context.Context, address string) ([]placing.Part, error)
		// ReadyPath is the path of the platform's readiness check, and DirectoryPath the path of the address list for callers.
		ReadyPath, DirectoryPath string
		// WriteDirectory writes the address list, which callers may use for validity.
		WriteDirectory func(w http.ResponseWriter, addresses []string, validity time.Duration)
	}

	// IncompleteReplyError reports that a reply of the store has begun but did not arrive in time, or is too large.
	IncompleteReplyError struct{ Cause error }

	// CompactedError reports that the store no longer keeps all changes after the revision After.
	CompactedError struct{ After ident.Revision }

	// Instance is one instance of the fleet.
	Instance struct {
		settings atomic.Pointer[Settings]
		platform Platform
		log      *zap.Logger
		// self is the peer address of this instance.
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
		crashes       *suspects.Crashes
		admission     *admission.Controller
		costs         *cost.Estimator
		// streams holds the beginnings of streams, and versions those of the engines of services.
		streams  *streams.Memory
		versions streams.Versions
		// unstored are the beginnings that this instance collects and has not stored yet.
		unstored streams.Queue
		// streamsRead is closed once this instance has read the streams in the store.
		streamsRead chan struct{}
		// peerBytes bounds the bytes of callers and engines that are kept.
		peerBytes *sizelimit.Budget
		// connections bounds the connections of each listener.
		connections atomic.Pointer[connections]
		closed      closedConnections
		// refusedMembers counts the members refused since the last log line.
		refusedMembers atomic.Int64
		stop           atomic.Pointer[forward.Stop]
		// ending ends when requests in progress have to end.
		ending context.Context
		end    context.CancelFunc
		// storeUnreachable says that the last read of the store failed.
		storeUnreachable atomic.Bool
		// aheadPeers queues peers whose replicas are ahead of this one.
		aheadPeers chan peerRevision
		// behindSince is the boottime.Instant at which this instance learned that the replica of a peer is ahead of its own, or 0.
		behindSince atomic.Int64
		// warm says that this instance knows which parts of prompts the engines have cached.
		warm atomic.Bool
		// announced is the boottime.Instant of the last announcement.
		announced atomic.Int64
		// evacuationsKnown says that knowsEvacuations has returned true. newestRevision is the highest revision heard of, and loadedAt the
		// boottime.Instant at which the first replica was applied.
		evacuationsKnown         atomic.Bool
		newestRevision, loadedAt atomic.Int64

		// snapshot is replaced as a whole after each change.
		snapshot atomic.Pointer[snapshot]
		// snapshotMu is held while a change is applied.
		snapshotMu sync.Mutex
		// registry holds the registrations of engines, and storeAwayUntil is when the replica was first confirmed after a time in which entries may have
		// lapsed; guarded by snapshotMu.
		registry       *engines.Registry
		storeAwayUntil boottime.Instant
		// arrivedEngines are those whose entries have arrived since the table was last told, and registered are the peer addresses of the other
		// registered instances, by store key; guarded by snapshotMu.
		arrivedEngines map[ident.Engine]bool
		registered     map[string]string
		// roster is used by the sender of heartbeats only, and rosterSize is its length once it has been updated.
		roster     *members.Roster
		rosterSize atomic.Int64
	}

	// peerRevision is a peer and the revision of its replica.
	peerRevision struct {
		peer     string
		revision ident.Revision
	}

	// snapshot is the decoded content of the store. It is immutable.
	snapshot struct {
		configuration *routing.Configuration
		engines       *engines.List
		evacuated     *evacuation.Set
	}
)

// Error implements error.
func (e *CompactedError) Error() string { return "the history was compacted" }

// Error implements error.
func (e *IncompleteReplyError) Error() string { return "incomplete reply: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *IncompleteReplyError) Unwrap() error { return e.Cause }

// New returns an instance that does not run yet. It fails if it cannot listen on its peer address.
func New(s Settings, p Platform, log *zap.Logger, now time.Time) (*Instance, error) {
	peerBytes, err := s.peerBytes()
	if err != nil {
		return nil, err
	}
	bounds, err := s.connections()
	if err != nil {
		return nil, err
	}
	heartbeats, err := heartbeat.Listen(s.Instance.Peers.String())
	if err != nil {
		return nil, err
	}
	n := &Instance{
		platform: p, log: log, self: s.Instance.Peers.String(), incarnation: ident.Incarnation(now.UnixNano()),
		mirror: mirror.New(), members: members.New(), retryBudget: retries.New(s.retryPolicy(), now),
		table:  placing.New(s.placingPolicy()),
		client: upstream.New(), heartbeats: heartbeats, controlBudget: budget.New(now), metrics: metrics.NewRegistry(), crashes: suspects.NewCrashes(), admission: admission.New(), costs: cost.New(), streams: streams.NewMemory(), streamsRead: make(chan struct{}), aheadPeers: make(chan peerRevision, maxHints), registry: engines.NewRegistry(),
		peerBytes:      sizelimit.NewBudget(peerBytes),
		arrivedEngines: make(map[ident.Engine]bool), registered: make(map[string]string), roster: members.NewRoster(s.Instance.Peers.String()),
	}
	heartbeats.SetLimits(heartbeat.Limits{Fetches: bounds.fetches, Memory: n.peerBytes, OnRefuse: func(r heartbeat.Reason) { n.recordClosed(idle.Reason(r)) }})
	heartbeats.OnStreams(n.handleStreams)
	n.settings.Store(&s)
	n.connections.Store(&bounds)
	n.stop.Store(&forward.Stop{})
	n.ending, n.end = context.WithCancel(context.Background())
	n.snapshot.Store(&snapshot{engines: engines.NewList(nil)})
	return n, nil
}

// Run serves until ctx ends, then finishes the requests in progress and returns. It fails if it cannot listen or if a server fails.
func (n *Instance) Run(ctx context.Context) error {
	began := time.Now()
	s := n.settings.Load()
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer n.end()
	group, groupCtx := errgroup.WithContext(serveCtx)
	conns := n.newConns(func(c connections) int { return c.callers })
	callers, ready, directory := n.newServer(n.handler(s)), n.newServer(n.readyHandler()), n.newServer(n.directoryHandler())
	servers := []struct {
		serve   func(net.Listener) error
		address string
	}{
		{func(l net.Listener) error { return conns.Serve(callers, l) }, s.Instance.Callers.String()},
		{func(l net.Listener) error { return n.serveOther(ready, l) }, s.Instance.Ready.String()},
		{func(l net.Listener) error { return n.serveOther(directory, l) }, s.Instance.Directory.String()},
	}
	for _, each := range servers {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		group.Go(func() error { return each.serve(listener) })
	}
	group.Go(func() error { return n.heartbeats.Run(groupCtx, n.handleHeartbeat, n.serveFetch, n.logMessageError) })
	group.Go(func() error { return n.sendHeartbeats(groupCtx) })
	group.Go(func() error { return n.sendSurges(groupCtx) })
	group.Go(func() error { return n.sendNews(groupCtx) })
	group.Go(func() error { return n.storeCulprits(groupCtx) })
	group.Go(func() error { return n.storeVersions(groupCtx) })
	group.Go(func() error { return n.storeStreams(groupCtx) })
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
		n.shutDown(serveCtx, conns)
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

// Reload applies changed settings. The addresses that this instance listens on stay as they were at the start.
func (n *Instance) Reload(s Settings) {
	n.settings.Store(&s)
	n.retryBudget.SetPolicy(s.retryPolicy(), time.Now())
	n.table.SetPolicy(s.placingPolicy())
	if peerBytes, err := s.peerBytes(); err != nil {
		n.log.Warn("memory settings not reloaded", zap.Error(err))
	} else {
		n.peerBytes.SetMax(peerBytes)
	}
	if bounds, err := s.connections(); err != nil {
		n.log.Warn("bounds on connections not reloaded", zap.Error(err))
	} else {
		n.connections.Store(&bounds)
	}
	n.log.Info("settings reloaded")
}

// handler returns the handler of callers' requests.
func (n *Instance) handler(s *Settings) http.Handler {
	limits := func() forward.AgeLimits {
		s := n.settings.Load()
		return forward.AgeLimits{MaxKeyAge: s.maxKeyAge(), MaxDenyAge: s.maxDenyAge()}
	}
	return forward.New(forward.Dependencies{
		Names: n.platform.Names, Limits: limits, Domain: s.Instance.FailureDomain,
		Snapshot: n.currentSnapshot, Table: n.table, Budget: n.retryBudget, Client: n.client, Crashes: n.crashes, IsTester: n.isTester, Admission: n.admission, Costs: n.costs, Holds: placing.NewHolds(), Overload: n.overload, Streams: n, Memory: n.peerBytes, Metrics: n.metrics, Log: n.log, Stop: func() forward.Stop { return *n.stop.Load() }, Ending: n.ending,
	})
}

// overload returns the switches of the settings in force.
func (n *Instance) overload() forward.Overload {
	return forward.Overload(n.settings.Load().Overload)
}

// shutDown announces the stop, which removes this instance from the address lists. It keeps serving while callers may still use an old
// list, and then finishes the requests in progress. A request that arrives later is served if it can be finished in time.
func (n *Instance) shutDown(ctx context.Context, conns *idle.Conns) {
	s := n.settings.Load()
	n.log.Info("stopping")
	n.stop.Store(&forward.Stop{Closing: true})
	n.announce(budget.Urgent, boottime.Now())
	cutAfter := s.Bounds.Shutdown.Std() - shutdownMargin
	ctx, cancel := context.WithTimeout(ctx, cutAfter)
	defer cancel()
	lastAnswerAt := time.Now().Add(cutAfter - lastAnswerMargin)
	defer time.AfterFunc(time.Until(lastAnswerAt), n.end).Stop()
	pause.For(ctx, lingerValidities*min(addressValidity, s.Bounds.MaxAddressValidity.Std()))
	n.stop.Store(&forward.Stop{Closing: true, LastAnswerAt: lastAnswerAt})
	if err := conns.Stop(ctx); err != nil {
		n.log.Warn("requests in progress were cut off at shutdown", zap.Error(err))
	}
}

// sweep removes expired evidence on crashes and counts of requests, idle connections, and the state of unregistered engines, until ctx ends.
func (n *Instance) sweep(ctx context.Context) error {
	for pause.For(ctx, sweepPeriod) {
		now := time.Now()
		n.logClosed()
		n.logRefusedMembers()
		n.crashes.Sweep(now)
		n.admission.Prune(now)
		current := n.currentSnapshot()
		list := current.Engines
		bounds := make(map[string]int)
		for _, e := range list.All() {
			bounds[e.Address] = current.MaxConns(e.Service)
		}
		n.client.CloseIdle(func(a string) (bound int, known bool) { bound, known = bounds[a]; return bound, known }, now)
		known := func(k engines.Key) bool {
			_, ok := list.Get(k)
			return ok
		}
		n.table.Prune(known, now)
		n.costs.Prune(known, now)
	}
	return ctx.Err()
}

// replicaAge returns the time since the replica was last confirmed current, or heartbeat.Unconfirmed if it is empty.
func (n *Instance) replicaAge(now boottime.Instant) time.Duration {
	_, age := n.replica(now)
	return age
}

// replica returns the revision of the replica and the time since that revision was last confirmed current, or heartbeat.Unconfirmed.
func (n *Instance) replica(now boottime.Instant) (ident.Revision, time.Duration) {
	revision, confirmedAt, loaded := n.mirror.State()
	if !loaded {
		return revision, heartbeat.Unconfirmed
	}
	return revision, now.Sub(confirmedAt)
}
