package entry

import (
	"context"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/process/readers"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/rank"
	"go.uber.org/zap"
)

const (
	// peersWait bounds how long a starting instance waits until all known peers are alive or one of them is warm. It checks every peersCheck.
	peersWait  = 400 * time.Millisecond
	peersCheck = 40 * time.Millisecond
	// listTimeout bounds the request that asks one engine for its cached parts.
	listTimeout = time.Second
	// shareDelay is how long the other instances have to ask the engines assigned to them, before their results are fetched.
	shareDelay = 300 * time.Millisecond
	// shareFanOut is the number of instances from which these results are fetched.
	shareFanOut = 16
)

// warmUp learns which engines have which parts of prompts cached: from a warm peer or, if the whole fleet has restarted, from the engines.
// In that case the instances divide the engines, so that each engine is asked once.
func (n *Instance) warmUp(ctx context.Context) error {
	if n.settings.Load().Instance.FirstStart {
		n.warm.Store(true)
		return nil
	}
	for n.snapshot.Load().configuration == nil || n.snapshot.Load().engines.ReadyCount() == 0 || !n.knowsEvacuations(boottime.Now()) {
		if !pause.For(ctx, checkPeriod) {
			return ctx.Err()
		}
	}
	for waited := time.Duration(0); waited < peersWait && pause.For(ctx, peersCheck); waited += peersCheck {
		now := boottime.Now()
		alive := n.members.Alive(now)
		for _, m := range alive {
			if m.Warm && n.fetchHolders(ctx, m.Peer) {
				n.warm.Store(true)
				// The parts of prompts that the engines have cached were fetched from a warm peer.
				n.log.Info("prompts known", zap.String("from", m.Peer))
				return nil
			}
		}
		if len(alive) > 0 && len(alive) == len(n.members.All(now)) {
			break
		}
	}
	n.listAssignedEngines(ctx)
	pause.For(ctx, shareDelay)
	for _, m := range n.randomMembers(shareFanOut) {
		n.fetchHolders(ctx, m.Peer)
	}
	n.warm.Store(true)
	n.log.Info("cached parts listed by engines")
	return nil
}

// fetchHolders fetches the holders of parts from a peer, and reports whether it answered.
func (n *Instance) fetchHolders(ctx context.Context, peer string) bool {
	f, err := n.heartbeats.Fetch(ctx, peer, heartbeat.FetchRequest{Holders: true}, nil)
	if err != nil {
		n.log.Info("cached parts not fetched from peer", zap.String("peer", peer), zap.Error(err))
		return false
	}
	n.recordHolders(f.Holders, time.Now())
	return true
}

// listAssignedEngines asks each engine for which this instance ranks first among the instances that divide the engines, and which is not evacuated.
func (n *Instance) listAssignedEngines(ctx context.Context) {
	now := boottime.Now()
	alive, known := []string{n.self}, []string{n.self}
	for _, m := range n.members.Alive(now) {
		alive = append(alive, m.Peer)
	}
	for _, m := range n.members.All(now) {
		known = append(known, m.Peer)
	}
	sharers := rank.EqualWeights(readers.WorkSharers(alive, known), func(peer string) string { return peer })
	snapshot := n.snapshot.Load()
	for _, s := range snapshot.configuration.PromptServices() {
		for _, e := range snapshot.engines.OfService(s) {
			// Earlier questions may have taken seconds.
			if rank.Best(string(e.ID), sharers) == 0 && !n.isEvacuated(e) {
				n.listCachedParts(ctx, e)
			}
		}
	}
}

// listCachedParts asks an engine for its cached parts and records it as their holder.
func (n *Instance) listCachedParts(ctx context.Context, e engines.Engine) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	parts, err := n.platform.ListCached(ctx, e.Address)
	if err != nil {
		n.log.Info("engine did not list its cached parts", zap.String("engine", string(e.ID)), zap.Error(err))
		return
	}
	now := time.Now()
	holders := make([]placing.Holder, len(parts))
	for i, p := range parts {
		holders[i] = placing.Holder{Part: p.ID, Engine: e.Key, At: now}
	}
	n.table.MergeHolders(holders)
	// The engine has listed the parts of prompts that it has cached.
	n.log.Info("engine listed", zap.String("engine", string(e.ID)), zap.Int("parts", len(parts)))
}
