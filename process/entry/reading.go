package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/process/members"
	"github.com/vanillaroute/vanillaroute/process/pause"
	"github.com/vanillaroute/vanillaroute/process/readers"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"go.uber.org/zap"
)

const (
	// watchPause keeps a reader from calling the store for each single change in quick succession.
	watchPause = 60 * time.Millisecond
	// callTimeout bounds a call to the store beyond the wait that it was asked for.
	callTimeout = 700 * time.Millisecond
	// failPause is the pause after a failed call, doubled up to failPauseMost.
	failPause     = 200 * time.Millisecond
	failPauseMost = time.Second
	// checkPeriod is how often an instance that does not read checks whether it is to.
	checkPeriod = 100 * time.Millisecond
	// registrationLife is how long an instance stays registered after its end, and renewPeriod how often it renews.
	registrationLife = 30 * time.Second
	renewPeriod      = 10 * time.Second
)

// readStore reads the store while this instance is to do so for all.
func (n *Instance) readStore(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if !n.isToRead() {
			pause.For(ctx, checkPeriod)
			continue
		}
		if err := n.readOnce(ctx); err != nil {
			if failures == 0 && ctx.Err() == nil {
				n.log.Warn("store lost", zap.Error(err))
			}
			failures++
			n.metrics.Add("storeReadsFailed", 1)
			n.storeLost.Store(failures > 1)
			pause.For(ctx, min(failPause<<min(failures-1, 3), failPauseMost))
			continue
		}
		if failures > 0 {
			n.log.Info("store regained", zap.Int("failures", failures))
		}
		failures = 0
		n.storeLost.Store(false)
		pause.For(ctx, watchPause)
	}
	return ctx.Err()
}

// isToRead reports whether this instance reads the store now.
func (n *Instance) isToRead() bool {
	now := boottime.Now()
	age := n.proofAge(now)
	if age == heartbeat.Unproven {
		return true
	}
	if n.stopping.Load() {
		return false
	}
	all := []readers.Instance{}
	if !n.storeLost.Load() {
		all = append(all, readers.Instance{Peer: n.self, Domain: n.settings.Load().Instance.FailureDomain})
	}
	alive := n.members.Alive(now)
	for _, m := range alive {
		if m.State != members.Stopping && !m.StoreLost {
			all = append(all, readers.Instance{Peer: m.Peer, Domain: m.Domain})
		}
	}
	return readers.Chosen(n.self, all) || n.schedule().Helps(age, checkPeriod, len(alive)+1, rand.Float64())
}

// readOnce brings the replica up to date by one call: a watch where there is a replica, and a read of everything otherwise.
func (n *Instance) readOnce(ctx context.Context) error {
	n.metrics.Add("storeReads", 1)
	sent := boottime.Now()
	revision, _, loaded := n.mirror.State()
	if loaded {
		wait := n.schedule().Watch
		if n.proofAge(sent) > 2*wait {
			wait = time.Millisecond
		}
		ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
		defer cancel()
		changes, at, err := n.platform.Store.Watch(ctx, "", revision, wait)
		var compacted *CompactedError
		if err == nil {
			n.news(mirror.Delta{Entries: changes, Revision: at}, sent)
			return nil
		}
		if !errors.As(err, &compacted) {
			return err
		}
		n.log.Info("store dropped its history", zap.Int64("after", int64(revision)))
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	sent = boottime.Now()
	entries, at, err := n.platform.Store.Read(ctx, "")
	if err != nil {
		return err
	}
	n.news(mirror.Delta{Full: true, Entries: entries, Revision: at}, sent)
	return nil
}

func (n *Instance) schedule() readers.Schedule {
	return readers.NewSchedule(n.settings.Load().denyAge())
}

// news applies what was read and lets the other instances know.
func (n *Instance) news(d mirror.Delta, proven boottime.Instant) {
	if n.apply(d, proven) {
		n.announce(boottime.Now())
	}
}

// follow fetches from instances whose replicas are ahead of this one.
func (n *Instance) follow(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ahead := <-n.hint:
			if revision, _, loaded := n.mirror.State(); ahead.revision > revision || !loaded {
				n.fetch(ctx, ahead.peer)
			}
		}
	}
}

func (n *Instance) fetch(ctx context.Context, peer string) {
	revision, _, _ := n.mirror.State()
	asked := boottime.Now()
	f, err := heartbeat.Fetch(ctx, peer, heartbeat.Ask{Since: revision})
	if err != nil {
		n.log.Debug("replica not fetched", zap.String("peer", peer), zap.Error(err))
		return
	}
	if f.ProofAge >= 0 && f.Delta.Revision >= revision {
		n.news(f.Delta, asked.Add(-f.ProofAge))
	}
}

// register keeps this instance's peer address in the store, for instances that start later.
func (n *Instance) register(ctx context.Context) error {
	name := n.settings.Load().Instance.Name
	lease := ""
	for ctx.Err() == nil {
		err := n.renew(ctx, &lease, name)
		wait := renewPeriod
		if err != nil {
			n.log.Debug("not registered", zap.Error(err))
			wait = failPauseMost
		}
		if !pause.For(ctx, wait) || n.stopping.Load() {
			break
		}
	}
	return ctx.Err()
}

func (n *Instance) renew(ctx context.Context, lease *string, name string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if *lease == "" {
		id, err := n.platform.Store.Lend(ctx, n.platform.Keys.Instances+name, []byte(n.self), max(registrationLife, n.settings.Load().Store.MinLease.Std()))
		*lease = id
		return err
	}
	err := n.platform.Store.Renew(ctx, *lease)
	if err != nil {
		*lease = ""
	}
	return err
}
