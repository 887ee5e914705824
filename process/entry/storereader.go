package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/process/readers"
	"github.com/vanillaroute/vanillaroute/version/members"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"go.uber.org/zap"
)

const (
	// watchPause is the pause between two watches, so that a burst of changes does not cost one call each.
	watchPause = 60 * time.Millisecond
	// callTimeout bounds a call to the store, in addition to the requested wait of a watch. Reads of entries get twice as long.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the pause after a failed call; it doubles up to maxRetryDelay.
	retryDelay    = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// checkPeriod is how often an instance that does not read the store checks whether it should.
	checkPeriod = 100 * time.Millisecond
	// pagesTTL is the maximum age of the first page of a full read when a further page is read; after that, the read starts again. It is half
	// of the time for which a store keeps its history, from which the changes since the first page are read later.
	pagesTTL = 10 * time.Second
	// extraNotifiedReaders is how many instances beyond the next readers are notified that this one cannot reach the store, since the next
	// readers may not reach it either.
	extraNotifiedReaders = 3
	// silentPeerDelay is how long a peer may be silent before the changes are fetched from another one too.
	silentPeerDelay = 150 * time.Millisecond
	// startupFanOut is how many instances a starting one pings at once. Most of these are alive, unless the whole fleet has just started.
	startupFanOut = 4
	// registrationTTL is how long an instance stays registered after its end, and renewPeriod how often it renews its registration.
	registrationTTL = 30 * time.Second
	renewPeriod     = 10 * time.Second
)

// readState is the progress of a full read of the store, and what decides whether this instance reads.
type readState struct {
	// began is when this instance started to read.
	began boottime.Instant
	// peers are the other registered instances, once listed is set.
	peers  []string
	listed bool
	// entries are the pages read so far. confirmedAt and revision are those of the first page; later changes come from watches.
	entries     []mirror.Entry
	confirmedAt boottime.Instant
	revision    ident.Revision
	// watchedUntil is the revision up to which this instance has watched the store. That of the replica is lower if only streams began since.
	watchedUntil ident.Revision
	// needsFullRead says that a full read is needed in spite of a replica, since the store has dropped the changes after its revision, or
	// these are too large for one reply. A full read brings each value once, whereas a watch brings each version of it.
	needsFullRead bool
	// failures is how many reads have failed since the last one that succeeded.
	failures int
	// calledAt is when this instance last called the store.
	calledAt boottime.Instant
	// isReader says that this instance is one of the readers, according to the instances that it knows to be alive.
	isReader bool
}

// readStore reads the store while shouldRead returns true, until ctx ends.
func (n *Instance) readStore(ctx context.Context) error {
	r := &readState{began: boottime.Now()}
	for ctx.Err() == nil {
		if !n.shouldRead(r) {
			pause.For(ctx, checkPeriod)
			continue
		}
		if err := n.readOnce(ctx, r); err != nil {
			if r.failures == 0 && ctx.Err() == nil {
				n.log.Warn("store lost", zap.Error(err))
			}
			r.failures++
			n.metrics.Add("storeReadsFailed", 1)
			if ctx.Err() == nil && !n.storeUnreachable.Swap(true) {
				n.notifyNextReaders()
			}
			pause.For(ctx, min(retryDelay<<min(r.failures-1, 3), maxRetryDelay))
			continue
		}
		if r.failures > 0 {
			n.log.Info("store regained", zap.Int("failures", r.failures))
		}
		r.failures = 0
		n.storeUnreachable.Store(false)
		if _, _, loaded := n.mirror.State(); loaded {
			pause.For(ctx, watchPause)
		}
	}
	return ctx.Err()
}

// shouldRead reports whether this instance reads the store now: at its start, as one of the readers, as a helper if the replica was not
// confirmed for too long, or to check whether the store is reachable again.
func (n *Instance) shouldRead(r *readState) bool {
	now := boottime.Now()
	age := n.replicaAge(now)
	alive := n.members.Alive(now)
	if age == heartbeat.Unconfirmed {
		return !r.listed || readers.ReadsAtStart(n.self, r.peers, now.Sub(r.began), checkPeriod, r.failures, len(alive)+1, rand.Float64())
	}
	if n.stop.Load().Closing {
		return false
	}
	all := n.candidates(alive)
	position := readers.Position(n.self, all)
	if isReader := position < readers.Count; isReader != r.isReader {
		r.isReader = isReader
		// Logged when this instance becomes a reader or stops being one.
		n.log.Info("store reader", zap.Bool("chosen", isReader), zap.Int("candidates", len(all)))
	}
	random := rand.Float64()
	if n.storeUnreachable.Load() {
		position = readers.Position(n.self, append(all, n.asReader()))
		if readers.ShouldRetry(position, now.Sub(r.calledAt), checkPeriod, len(alive)+1, random) {
			return true
		}
	}
	return r.isReader || n.settings.Load().schedule().ShouldHelp(position, age, checkPeriod, len(alive)+1, random)
}

// asReader returns this instance as a candidate for reading the store.
func (n *Instance) asReader() readers.Instance {
	return readers.Instance{Peer: n.self, Domain: n.settings.Load().Instance.FailureDomain}
}

// candidates returns the instances that can be readers: the live ones that are not stopping and can reach the store.
func (n *Instance) candidates(alive []members.Member) []readers.Instance {
	var all []readers.Instance
	if !n.storeUnreachable.Load() {
		all = append(all, n.asReader())
	}
	for _, m := range alive {
		if m.State != members.Stopping && !m.StoreUnreachable {
			all = append(all, readers.Instance{Peer: m.Peer, Domain: m.Domain})
		}
	}
	return all
}

// notifyNextReaders notifies the next readers that this instance cannot reach the store. In a large fleet, the heartbeats to random instances
// would take seconds to reach them.
func (n *Instance) notifyNextReaders() {
	for _, peer := range readers.Top(n.candidates(n.members.Alive(boottime.Now())), readers.Count+extraNotifiedReaders) {
		n.send(peer, n.baseMessage(), budget.Urgent)
	}
}

// readOnce makes one call to the store. With a replica, it watches for changes. Otherwise it first lists the registered instances and then
// reads the store page by page.
func (n *Instance) readOnce(ctx context.Context, r *readState) error {
	n.metrics.Add("storeReads", 1)
	sent := boottime.Now()
	r.calledAt = sent
	revision, _, loaded := n.mirror.State()
	if !loaded && !r.listed {
		return n.listPeers(ctx, r)
	}
	if loaded && !r.needsFullRead {
		r.entries = nil
		wait := n.settings.Load().schedule().WatchTimeout
		if n.replicaAge(sent) > 2*wait {
			// A short wait confirms an outdated replica at once.
			wait = time.Millisecond
		}
		ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
		defer cancel()
		changes, at, err := n.platform.Store.Watch(ctx, "", max(revision, r.watchedUntil), wait)
		if err == nil {
			r.watchedUntil = at
			if others := n.withoutStreams(changes); len(others) > 0 || len(changes) == 0 {
				n.applyAndAnnounce(mirror.Delta{Entries: others, Revision: at}, sent)
			} else {
				n.confirm(revision, sent)
			}
			return nil
		}
		var compacted *CompactedError
		var incomplete *IncompleteReplyError
		switch {
		case errors.As(err, &compacted):
			n.log.Info("store dropped its history", zap.Int64("after", int64(revision)))
		case errors.As(err, &incomplete):
			n.log.Warn("changes in the store did not arrive in time, reading all entries", zap.Int64("after", int64(revision)), zap.Error(err))
		default:
			return err
		}
		r.needsFullRead = true
	}
	return n.readPage(ctx, r)
}

// listPeers lists the registered instances and pings some of them. With the list, ReadsAtStart bounds how many instances read the whole store
// after a common start; without it, all of them would.
func (n *Instance) listPeers(ctx context.Context, r *readState) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	now := boottime.Now()
	var peers []string
	for after, more := "", true; more; {
		page, err := n.platform.Store.Read(ctx, n.platform.Keys.Instances, after)
		if err != nil {
			return err
		}
		for _, e := range page.Entries {
			after = e.Key
			if peer, ok := n.peerIn(e); ok {
				peers = append(peers, peer)
				n.members.Add(peer, now)
			}
		}
		more = page.More
	}
	r.peers, r.listed = peers, true
	for _, m := range n.randomMembers(startupFanOut) {
		n.send(m.Peer, n.newPing(), budget.Urgent)
	}
	return nil
}

// readPage reads one page of a full read, and applies all pages after the last one. If the first page is older than pagesTTL, the read starts
// again.
func (n *Instance) readPage(ctx context.Context, r *readState) error {
	if err := n.readEvacuations(ctx); err != nil {
		return err
	}
	sent := boottime.Now()
	if sent.Sub(r.confirmedAt) > pagesTTL {
		r.entries = nil
	}
	after := ""
	if count := len(r.entries); count > 0 {
		after = r.entries[count-1].Key
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	page, err := n.platform.Store.Read(ctx, "", after)
	if err != nil {
		return err
	}
	if after == "" {
		r.confirmedAt, r.revision = sent, page.Revision
	}
	r.entries = append(r.entries, page.Entries...)
	if page.More {
		return nil
	}
	n.applyAndAnnounce(mirror.Delta{Full: true, Entries: n.withoutStreams(r.entries), Revision: r.revision}, r.confirmedAt)
	r.entries, r.needsFullRead = nil, false
	return nil
}

// applyAndAnnounce applies a delta and announces it to other instances if it changed anything.
func (n *Instance) applyAndAnnounce(d mirror.Delta, confirmedAt boottime.Instant) {
	if n.apply(d, confirmedAt) {
		n.announce(budget.Announcements, boottime.Now())
	}
}

// followPeers fetches changes from peers whose replicas are ahead of this one, until ctx ends. The peer heard from last comes first, since it is
// the most likely to answer: a peer that was cut off after its message delays only those heard from before it.
func (n *Instance) followPeers(ctx context.Context) error {
	var waiting []peerRevision
	for ctx.Err() == nil {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case ahead := <-n.aheadPeers:
				waiting = addHint(waiting, ahead)
			}
		}
		for len(n.aheadPeers) > 0 {
			waiting = addHint(waiting, <-n.aheadPeers)
		}
		last := len(waiting) - 1
		ahead := waiting[last]
		waiting = waiting[:last]
		if revision, _, loaded := n.mirror.State(); ahead.revision > revision || !loaded {
			n.fetchFrom(ctx, ahead.peer)
		}
	}
	return ctx.Err()
}

// addHint adds a hint as the newest in place of an earlier one of the same peer, and drops the oldest beyond maxHints.
func addHint(hints []peerRevision, hint peerRevision) []peerRevision {
	hints = slices.DeleteFunc(hints, func(h peerRevision) bool { return h.peer == hint.peer })
	hints = append(hints, hint)
	return hints[max(len(hints)-maxHints, 0):]
}

// fetchFrom fetches changes from a peer. It returns when the fetch has ended, or after silentPeerDelay without a reply, so that another peer
// can be asked; the fetch goes on then.
func (n *Instance) fetchFrom(ctx context.Context, peer string) {
	began, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		n.fetchChanges(ctx, peer, func() { close(began) })
	}()
	silence := time.NewTimer(silentPeerDelay)
	defer silence.Stop()
	select {
	case <-ended:
	case <-silence.C:
	case <-began:
		<-ended
	}
}

// fetchChanges fetches from a peer the changes of the store that this replica lacks, and calls began when the reply begins.
func (n *Instance) fetchChanges(ctx context.Context, peer string, began func()) {
	revision, _, _ := n.mirror.State()
	sent := boottime.Now()
	n.metrics.Add("replicaFetches", 1)
	reply, err := n.heartbeats.Fetch(ctx, peer, heartbeat.FetchRequest{Since: revision}, began)
	if err != nil {
		n.metrics.Add("replicaFetchesFailed", 1)
		n.log.Warn("replica not fetched", zap.String("peer", peer), zap.Int64("since", int64(revision)), zap.Duration("tookMs", boottime.Now().Sub(sent)), zap.Error(err))
		return
	}
	if reply.ConfirmedAge >= 0 && reply.Delta.Revision >= revision {
		n.applyAndAnnounce(reply.Delta, sent.Add(-reply.ConfirmedAge))
	}
}

// register keeps this instance's peer address in the store under a lease, so that instances that start later find it.
func (n *Instance) register(ctx context.Context) error {
	var lease Lease
	for ctx.Err() == nil {
		err := n.renewRegistration(ctx, &lease)
		wait := renewPeriod
		if err != nil {
			n.log.Debug("instance not registered in the store", zap.Error(err))
			wait = maxRetryDelay
		}
		if !pause.For(ctx, wait) || n.stop.Load().Closing {
			break
		}
	}
	return ctx.Err()
}

// renewRegistration renews the lease of the registration, or registers anew if there is no lease or another write has taken the place of the registration.
// After a failed renewal it clears the lease.
func (n *Instance) renewRegistration(ctx context.Context, lease *Lease) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := n.platform.Keys.Instances + n.settings.Load().Instance.Name
	if lease.ID == "" || n.isReplaced(key, *lease) {
		var err error
		*lease, err = n.platform.Store.PutWithLease(ctx, key, []byte(n.self), n.lastChange(key), max(registrationTTL, n.settings.Load().Store.MinLease.Std()))
		return err
	}
	err := n.platform.Store.RenewLease(ctx, lease.ID)
	if err != nil {
		*lease = Lease{}
	}
	return err
}

// lastChange returns the revision of the last change of a key that this instance knows, or AnyRevision if it knows none of the store.
func (n *Instance) lastChange(key string) ident.Revision {
	if _, _, loaded := n.mirror.State(); !loaded {
		return AnyRevision
	}
	e, _ := n.mirror.Get(key)
	return e.Revision
}

// isReplaced reports whether the entry of a key is no longer that of a lease: an earlier write of this instance may have been executed late, whose lease
// nobody renews.
func (n *Instance) isReplaced(key string, lease Lease) bool {
	revision, _, loaded := n.mirror.State()
	e, _ := n.mirror.Get(key)
	return loaded && revision >= lease.Revision && e.Revision != lease.Revision
}
