package entry

import (
	"context"
	"math/rand/v2"
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
	// watchPause keeps a reader from calling the store for each single change in quick succession.
	watchPause = 60 * time.Millisecond
	// callTimeout bounds a call to the store beyond the wait that it was asked for.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the pause after a failed call, doubled up to failPauseMost.
	retryDelay    = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// checkPeriod is how often an instance that does not read checks whether it is to.
	checkPeriod = 100 * time.Millisecond
	// pagesTTL is how long the pages of a read of everything are kept for its next one: half of the history that a store keeps.
	pagesTTL = 10 * time.Second
	// notifiedSuccessors is how many instances after the next readers hear that one has lost the store, since the next may have lost it too.
	notifiedSuccessors = 3
	// startupFanOut is how many instances a starting one asks at once, of which most are alive unless all have just started.
	startupFanOut = 4
	// registrationTTL is how long an instance stays registered after its end, and renewPeriod how often it renews.
	registrationTTL = 30 * time.Second
	renewPeriod     = 10 * time.Second
)

// readState is what an instance has of a read of everything that is not finished, and what it knows of others that read too.
type readState struct {
	began boottime.Instant
	// peers are the registered instances, once listed.
	peers  []string
	listed bool
	// entries are the pages read so far, the first at a time and revision from which changes are followed then.
	entries     []mirror.Entry
	confirmedAt boottime.Instant
	revision    ident.Revision
	// compacted says that everything is to be read though there is a replica, since the store dropped its history.
	compacted bool
	// isReader says that this instance is one of the readers, as far as it knows.
	isReader bool
}

// readStore reads the store while this instance is to do so for all.
func (n *Instance) readStore(ctx context.Context) error {
	r := &readState{began: boottime.Now()}
	failures := 0
	for ctx.Err() == nil {
		if !n.shouldRead(r) {
			pause.For(ctx, checkPeriod)
			continue
		}
		if err := n.readOnce(ctx, r); err != nil {
			if failures == 0 && ctx.Err() == nil {
				n.log.Warn("store lost", zap.Error(err))
			}
			failures++
			n.metrics.Add("storeReadsFailed", 1)
			if ctx.Err() == nil && !n.storeLost.Swap(true) {
				n.notifyNextReaders()
			}
			pause.For(ctx, min(retryDelay<<min(failures-1, 3), maxRetryDelay))
			continue
		}
		if failures > 0 {
			n.log.Info("store regained", zap.Int("failures", failures))
		}
		failures = 0
		n.storeLost.Store(false)
		if _, _, loaded := n.mirror.State(); loaded {
			pause.For(ctx, watchPause)
		}
	}
	return ctx.Err()
}

// shouldRead reports whether this instance reads the store now.
func (n *Instance) shouldRead(r *readState) bool {
	now := boottime.Now()
	age := n.replicaAge(now)
	alive := n.members.Alive(now)
	if age == heartbeat.Unconfirmed {
		return !r.listed || readers.ReadsAtStart(n.self, r.peers, now.Sub(r.began), checkPeriod, len(alive)+1, rand.Float64())
	}
	if n.stopping.Load() {
		return false
	}
	all := n.candidates(alive)
	if chosen := readers.IsReader(n.self, all); chosen != r.isReader {
		r.isReader = chosen
		n.log.Info("store reader", zap.Bool("chosen", chosen), zap.Int("candidates", len(all)))
	}
	draw := rand.Float64()
	return r.isReader || n.settings.Load().schedule().ShouldHelp(age, checkPeriod, len(alive)+1, draw) || (n.storeLost.Load() && readers.ShouldRetry(checkPeriod, len(alive)+1, draw))
}

// candidates returns the instances that could read the store, as far as this one knows.
func (n *Instance) candidates(alive []members.Member) []readers.Instance {
	var all []readers.Instance
	if !n.storeLost.Load() {
		all = append(all, readers.Instance{Peer: n.self, Domain: n.settings.Load().Instance.FailureDomain})
	}
	for _, m := range alive {
		if m.State != members.Stopping && !m.StoreLost {
			all = append(all, readers.Instance{Peer: m.Peer, Domain: m.Domain})
		}
	}
	return all
}

// notifyNextReaders tells those that read next that this instance has lost the store: by chance alone word of it takes seconds in a large fleet.
func (n *Instance) notifyNextReaders() {
	for _, peer := range readers.Top(n.candidates(n.members.Alive(boottime.Now())), readers.Count+notifiedSuccessors) {
		n.send(peer, n.baseMessage(), budget.Urgent)
	}
}

// readOnce brings the replica nearer to the store by one call: a watch where there is a replica, and otherwise the list of
// instances, or a part of everything.
func (n *Instance) readOnce(ctx context.Context, r *readState) error {
	n.metrics.Add("storeReads", 1)
	sent := boottime.Now()
	revision, _, loaded := n.mirror.State()
	if !loaded && !r.listed {
		return n.listPeers(ctx, r)
	}
	if loaded && !r.compacted {
		r.entries = nil
		wait := n.settings.Load().schedule().WatchTimeout
		if n.replicaAge(sent) > 2*wait {
			wait = time.Millisecond
		}
		ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
		defer cancel()
		changes, at, err := n.platform.Store.Watch(ctx, "", revision, wait)
		var compacted *CompactedError
		if err == nil {
			n.applyAndAnnounce(mirror.Delta{Entries: changes, Revision: at}, sent)
			return nil
		}
		if !errors.As(err, &compacted) {
			return err
		}
		n.log.Info("store dropped its history", zap.Int64("after", int64(revision)))
		r.compacted = true
	}
	return n.readPage(ctx, r)
}

// listPeers reads which instances are registered: at a common start, all of them would read everything.
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
			if peer := string(e.Value); peer != n.self {
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

// readPage reads a page of everything, and takes all of them after the last one. A read that stops for too long begins anew.
func (n *Instance) readPage(ctx context.Context, r *readState) error {
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
	n.applyAndAnnounce(mirror.Delta{Full: true, Entries: r.entries, Revision: r.revision}, r.confirmedAt)
	r.entries, r.compacted = nil, false
	return nil
}

// applyAndAnnounce applies what was read and lets the other instances know.
func (n *Instance) applyAndAnnounce(d mirror.Delta, proven boottime.Instant) {
	if n.apply(d, proven) {
		n.announce(boottime.Now())
	}
}

// followPeers fetches from instances whose replicas are ahead of this one.
func (n *Instance) followPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ahead := <-n.aheadPeers:
			if revision, _, loaded := n.mirror.State(); ahead.revision > revision || !loaded {
				n.fetchChanges(ctx, ahead.peer)
			}
		}
	}
}

func (n *Instance) fetchChanges(ctx context.Context, peer string) {
	revision, _, _ := n.mirror.State()
	asked := boottime.Now()
	f, err := heartbeat.Fetch(ctx, peer, heartbeat.FetchRequest{Since: revision})
	if err != nil {
		n.log.Debug("replica not fetched", zap.String("peer", peer), zap.Error(err))
		return
	}
	if f.ConfirmedAge >= 0 && f.Delta.Revision >= revision {
		n.applyAndAnnounce(f.Delta, asked.Add(-f.ConfirmedAge))
	}
}

// register keeps this instance's peer address in the store, for instances that start later.
func (n *Instance) register(ctx context.Context) error {
	name := n.settings.Load().Instance.Name
	lease := ""
	for ctx.Err() == nil {
		err := n.renewRegistration(ctx, &lease, name)
		wait := renewPeriod
		if err != nil {
			n.log.Debug("not registered", zap.Error(err))
			wait = maxRetryDelay
		}
		if !pause.For(ctx, wait) || n.stopping.Load() {
			break
		}
	}
	return ctx.Err()
}

func (n *Instance) renewRegistration(ctx context.Context, lease *string, name string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if *lease == "" {
		id, err := n.platform.Store.PutWithLease(ctx, n.platform.Keys.Instances+name, []byte(n.self), max(registrationTTL, n.settings.Load().Store.MinLease.Std()))
		*lease = id
		return err
	}
	err := n.platform.Store.RenewLease(ctx, *lease)
	if err != nil {
		*lease = ""
	}
	return err
}
