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
	// peersWait bounds how long a starting instance waits to hear of all known peers, and peersCheck how often it looks.
	peersWait  = 400 * time.Millisecond
	peersCheck = 40 * time.Millisecond
	// listTimeout bounds asking one engine what it holds.
	listTimeout = time.Second
	// shareDelay is how long the others may take to ask their engines.
	shareDelay = 300 * time.Millisecond
	// shareFanOut is how many other instances are asked for what they learnt.
	shareFanOut = 16
)

// warmUp learns what engines hold of prompts: from a peer that knows, or, where the whole fleet has restarted, from the engines, each asked by one instance.
func (n *Instance) warmUp(ctx context.Context) error {
	if n.settings.Load().Instance.FirstStart {
		n.warm.Store(true)
		return nil
	}
	for n.snapshot.Load().configuration == nil || n.snapshot.Load().engines.ReadyCount() == 0 {
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
	n.log.Info("prompts known from engines")
	return nil
}

func (n *Instance) fetchHolders(ctx context.Context, peer string) bool {
	f, err := heartbeat.Fetch(ctx, peer, heartbeat.FetchRequest{Holders: true})
	if err != nil {
		n.log.Info("prompts not fetched", zap.String("peer", peer), zap.Error(err))
		return false
	}
	n.recordHolders(f.Holders, time.Now())
	return true
}

// listAssignedEngines asks those engines for which this instance is the first of those that divide them.
func (n *Instance) listAssignedEngines(ctx context.Context) {
	now := boottime.Now()
	heard, known := []string{n.self}, []string{n.self}
	for _, m := range n.members.Alive(now) {
		heard = append(heard, m.Peer)
	}
	for _, m := range n.members.All(now) {
		known = append(known, m.Peer)
	}
	sharers := rank.EqualWeights(readers.WorkSharers(heard, known), func(peer string) string { return peer })
	w := n.snapshot.Load()
	for _, s := range w.configuration.PromptServices() {
		for _, e := range w.engines.OfService(s) {
			if rank.Best(string(e.ID), sharers) == 0 {
				n.listCachedParts(ctx, e)
			}
		}
	}
}

func (n *Instance) listCachedParts(ctx context.Context, e engines.Engine) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	parts, err := n.platform.ListCached(ctx, e.Address)
	if err != nil {
		n.log.Info("engine not listed", zap.String("engine", string(e.ID)), zap.Error(err))
		return
	}
	now := time.Now()
	holders := make([]placing.Holder, len(parts))
	for i, p := range parts {
		holders[i] = placing.Holder{Part: p.ID, Engine: e.Key, At: now}
	}
	n.table.MergeHolders(holders)
	n.log.Info("engine listed", zap.String("engine", string(e.ID)), zap.Int("parts", len(parts)))
}
