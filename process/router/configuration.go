package router

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/process/lease"
	"github.com/vanillaroute/vanillaroute/store"
	"github.com/vanillaroute/vanillaroute/version/config"
	"github.com/vanillaroute/vanillaroute/version/lists"
	"github.com/vanillaroute/vanillaroute/wire"
	"go.uber.org/zap"
)

const watcherPrefix = "/vanillaroute/watchers/"

type (
	// configMismatch records since when a peer's configuration differs from this router's.
	configMismatch struct {
		mu             sync.Mutex
		since          time.Time
		pullInProgress bool
	}
)

// syncConfiguration reads the configuration from the store, or from peers while the store is down. It then watches the store
// whenever this router holds a watcher lease.
func (r *Router) syncConfiguration(ctx context.Context) error {
	for !r.config.Ready() {
		if err := r.readFromStore(ctx); err != nil {
			r.log.Warn("cannot read configuration from the store at start; trying peers", zap.Error(err))
			r.readFromPeers(ctx)
		}
		if !r.config.Ready() && !pause.For(ctx, startRetryInterval) {
			return ctx.Err()
		}
	}
	r.log.Info("configuration read", zap.Int64("revision", int64(r.config.Digest().Highest)))
	for {
		if slot, ok := r.watcherSlot(); ok {
			if err := r.watchStore(ctx, slot); err != nil && ctx.Err() == nil {
				r.log.Debug("not watching the store", zap.Error(err))
			}
		}
		if !pause.For(ctx, watcherRenewal) {
			return ctx.Err()
		}
	}
}

func (r *Router) readFromStore(ctx context.Context) error {
	entries, revision, err := r.store.List(ctx, lists.Prefix)
	if err != nil {
		return err
	}
	if added := r.config.ApplyAll(toWire(entries), revision, time.Now()); len(added) > 0 {
		r.log.Debug("configuration entries applied", zap.Int("count", len(added)))
	}
	return nil
}

// readFromPeers reads each bucket of the configuration from bootstrapPeers ready peers, so that a router can start while
// the store is down. The buckets are spread over the peers to limit what each peer sends.
func (r *Router) readFromPeers(ctx context.Context) {
	peers := r.fleet.Listed()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for first := 0; first < config.Buckets; first += bucketsPerCall {
		buckets := make([]uint8, bucketsPerCall)
		for i := range buckets {
			buckets[i] = uint8(first + i)
		}
		answered := 0
		for i := range peers {
			to := peers[(first/bucketsPerCall+i)%len(peers)]
			if answered < bootstrapPeers && r.readBuckets(ctx, to, buckets) {
				answered++
			}
		}
		if answered < bootstrapPeers {
			return
		}
	}
	r.config.SetReady()
}

// readBuckets applies the entries that a peer has in some buckets. It returns false if the peer does not answer or has not
// read the configuration itself.
func (r *Router) readBuckets(ctx context.Context, from ident.Router, buckets []uint8) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := r.pool.Call(ctx, from, wire.Call{Entries: &wire.EntriesRequest{Buckets: buckets, Known: r.config.RevisionsIn(buckets)}})
	if err != nil || reply.Entries == nil || !reply.Entries.Ready {
		return false
	}
	r.config.Apply(reply.Entries.Entries, time.Now())
	return true
}

// watcherSlot returns this router's watcher slot in its failure domain, and false if it is not one of the watchers.
func (r *Router) watcherSlot() (int, bool) {
	slot := 0
	for _, i := range r.fleet.View().RoutersFor("watchers", len(r.fleet.View().Placeable())) {
		if i.FailureDomain != r.settings.Router.FailureDomain {
			continue
		}
		if ident.Router(i.ID) == r.self {
			return slot, slot < watchersPerDomain
		}
		slot++
	}
	return 0, false
}

// watchStore acquires the lease of a watcher slot and watches the store for as long as the lease lasts.
func (r *Router) watchStore(ctx context.Context, slot int) error {
	key := watcherPrefix + string(r.settings.Router.FailureDomain) + "/" + strconv.Itoa(slot)
	held, err := lease.Acquire(ctx, r.store, key, r.self, watcherLease, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.renewWatcher(ctx, cancel, held, slot)
	if err := r.readFromStore(ctx); err != nil {
		return err
	}
	from := r.config.Digest().Highest + 1
	return r.store.Watch(ctx, lists.Prefix, from, r.applyChanges)
}

// renewWatcher renews the lease of a watcher slot. It cancels the watch if a renewal fails or the slot has moved to another
// router.
func (r *Router) renewWatcher(ctx context.Context, cancel context.CancelFunc, held *lease.Lease, slot int) {
	defer cancel()
	for pause.For(ctx, watcherRenewal) {
		current, ok := r.watcherSlot()
		if !ok || current != slot {
			return
		}
		if err := held.Renew(ctx, time.Now()); err != nil {
			return
		}
	}
}

// applyChanges applies changes from the store and gossips the entries that are new to this router.
func (r *Router) applyChanges(changes []store.Change) {
	var entries []wire.Entry
	for _, c := range changes {
		e := wire.Entry{Key: c.Key, Value: c.Value, Revision: c.Revision}
		if c.Deleted {
			e.Value = nil
		}
		entries = append(entries, e)
	}
	if added := r.config.Apply(entries, time.Now()); len(added) > 0 {
		r.gossipEntries(added)
	}
}

// publish sends committed entries to one router in each of up to publishPeers other failure domains and gossips them. It
// returns how many of these routers have them.
func (r *Router) publish(ctx context.Context, entries []wire.Entry) int {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	confirmed := 0
	domains := map[ident.Domain]bool{r.settings.Router.FailureDomain: true}
	for _, i := range r.fleet.View().RoutersFor(string(r.self), len(r.fleet.View().Placeable())) {
		if domains[i.FailureDomain] || confirmed == publishPeers {
			continue
		}
		if _, err := r.callControl(ctx, ident.Router(i.ID), wire.Call{Publish: &wire.PublishRequest{Entries: entries}}); err == nil {
			domains[i.FailureDomain] = true
			confirmed++
		}
	}
	r.gossipEntries(entries)
	return confirmed
}

// compareDigests pulls a peer's newer entries once the two configurations have differed for mismatchDelay.
func (r *Router) compareDigests(from ident.Router, digest wire.Digest, now time.Time) {
	if !r.config.Ready() {
		return
	}
	m := &r.mismatch
	m.mu.Lock()
	defer m.mu.Unlock()
	if digest.Checksum == r.config.Digest().Checksum {
		m.since = time.Time{}
		return
	}
	if m.since.IsZero() {
		m.since = now
	}
	if now.Sub(m.since) < mismatchDelay || m.pullInProgress {
		return
	}
	m.pullInProgress = true
	go r.pullEntries(from)
}

// pullEntries asks a peer for the buckets that differ and applies their newer entries.
func (r *Router) pullEntries(from ident.Router) {
	defer func() {
		r.mismatch.mu.Lock()
		r.mismatch.pullInProgress = false
		r.mismatch.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(r.workCtx, pullTimeout)
	defer cancel()
	reply, err := r.callControl(ctx, from, wire.Call{Entries: &wire.EntriesRequest{}})
	if err != nil || reply.Entries == nil {
		return
	}
	differing := config.DifferingBuckets(reply.Entries.Checksums, r.config.Checksums())
	if len(differing) == 0 {
		return
	}
	reply, err = r.callControl(ctx, from, wire.Call{Entries: &wire.EntriesRequest{Buckets: differing, Known: r.config.RevisionsIn(differing)}})
	if err != nil || reply.Entries == nil {
		return
	}
	r.config.Apply(reply.Entries.Entries, time.Now())
}

func (r *Router) answerEntries(req wire.EntriesRequest) *wire.EntriesReply {
	reply := &wire.EntriesReply{Ready: r.config.Ready()}
	if len(req.Buckets) == 0 {
		reply.Checksums = r.config.Checksums()
		return reply
	}
	reply.Entries = r.config.Newer(req.Buckets, req.Known)
	return reply
}

// pollInstances reads the platform's instance list once per listPeriod until ctx ends.
func (r *Router) pollInstances(ctx context.Context) error {
	for {
		list, err := r.instances.List(ctx)
		if err == nil {
			if !r.fleet.ApplyList(list, time.Now()) {
				r.log.Warn("instance list lost most of its members; keeping the previous list for now")
			}
			r.homes.Update(r.fleet.View(), time.Now())
			r.instancesRead.Store(true)
		}
		if !pause.For(ctx, listPeriod) {
			return ctx.Err()
		}
	}
}

// pollEngines polls the engines that this router is the home of, if the control budget covers it.
func (r *Router) pollEngines(now time.Time) {
	if r.budget.Spend(budget.Membership, r.homes.PollBytes(), now) {
		r.homes.Poll()
	}
}

func toWire(stored []store.Entry) []wire.Entry {
	entries := make([]wire.Entry, len(stored))
	for i, e := range stored {
		entries[i] = wire.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
	}
	return entries
}
