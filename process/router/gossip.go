package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/peer"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/wire"
)

var (
	errNoShare    = errors.New("home router of the organisation granted no share")
	errOverBudget = errors.New("control traffic budget exhausted")
	errNoReply    = errors.New("peer sent an unexpected reply")
)

// gossip exchanges heartbeats with gossipFanOut peers per period until ctx ends. It takes them from a shuffled list, so
// that each listed peer is reached once per round.
func (r *Router) gossip(ctx context.Context) error {
	var round []ident.Router
	for pause.For(ctx, gossipPeriod) {
		for range gossipFanOut {
			if len(round) == 0 {
				round = r.fleet.Listed()
				rand.Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
			}
			if len(round) == 0 {
				break
			}
			to := round[0]
			round = round[1:]
			go r.gossipWith(ctx, to)
		}
	}
	return ctx.Err()
}

// gossipWith exchanges one heartbeat with a peer. If the peer does not answer, other routers probe it before it is
// suspected.
func (r *Router) gossipWith(ctx context.Context, to ident.Router) {
	if r.ping(ctx, to) || ctx.Err() != nil {
		return
	}
	if !r.fleet.IsAlive(to) || r.pingIndirectly(ctx, to) {
		return
	}
	r.fleet.Suspect(to, time.Now())
}

// ping exchanges a heartbeat with a peer and reports whether it answered. It also returns true if the budget allows no
// heartbeat, since the peer has then not failed.
func (r *Router) ping(ctx context.Context, to ident.Router) bool {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	message, ok := r.buildHeartbeat(nil, time.Now())
	if !ok {
		return true
	}
	return r.exchangeHeartbeat(ctx, to, message) == nil
}

func (r *Router) exchangeHeartbeat(ctx context.Context, to ident.Router, message []byte) error {
	conn, err := r.pool.Conn(ctx, to)
	if err != nil {
		return err
	}
	askedAt := time.Now()
	s, err := conn.Open(ctx, wire.KindGossip, message)
	if err != nil {
		return err
	}
	defer s.Close()
	f, err := s.Receive(ctx)
	if err != nil {
		return err
	}
	if f.Kind != wire.KindGossipReply {
		return errNoReply
	}
	return r.applyHeartbeat(f.Body, askedAt)
}

func (r *Router) serveGossip(ctx context.Context, s *peer.Stream, body []byte) {
	if r.applyHeartbeat(body, time.Time{}) != nil {
		return
	}
	if message, ok := r.buildHeartbeat(nil, time.Now()); ok {
		_ = s.Send(ctx, wire.KindGossipReply, message)
	}
}

// buildHeartbeat encodes a heartbeat with the entries and the pending updates. Suspects and loads are omitted if the
// budget does not cover them; it returns false if the budget covers no heartbeat at all.
func (r *Router) buildHeartbeat(entries []wire.Entry, now time.Time) ([]byte, bool) {
	incarnation, leaving := r.fleet.Self()
	g := wire.Gossip{From: r.self, Incarnation: incarnation, Leaving: leaving, Digest: r.config.Digest(), Entries: entries}
	g.Members, g.EngineStates = r.fleet.PendingUpdates(now)
	kind := budget.Membership
	if leaving || len(entries) > 0 || len(g.EngineStates) > 0 {
		kind = budget.Urgent
	}
	core := wire.Encode(g)
	if !r.budget.Spend(kind, len(core)+wire.HeaderBytes, now) {
		return nil, false
	}
	g.Suspects = r.suspects.Recent(maxSuspects, now)
	g.Loads = r.homes.LocalLoads(now)
	full := wire.Encode(g)
	if !r.budget.Spend(budget.ModelLoads, len(full)-len(core), now) {
		return core, true
	}
	return full, true
}

// applyHeartbeat merges a peer's heartbeat into the local state and forwards entries that are new to this router. For a reply, askedAt is when
// the request was sent; otherwise it is zero.
func (r *Router) applyHeartbeat(body []byte, askedAt time.Time) error {
	g, err := wire.Decode[wire.Gossip](body)
	if err != nil {
		return err
	}
	now := time.Now()
	r.fleet.RecordHeartbeat(g.From, g.Incarnation, g.Leaving, now)
	r.fleet.Merge(g.Members, now)
	for _, m := range g.EngineStates {
		r.fleet.MarkEngine(m.Engine, m.Leaving, now.Add(-m.Age), now)
	}
	r.loads.Update(g.From, g.Loads, askedAt, now)
	r.suspects.Merge(g.Suspects, now)
	if added := r.config.Apply(g.Entries, now); len(added) > 0 {
		r.gossipEntries(added)
	}
	r.compareDigests(g.From, g.Digest, now)
	return nil
}

// gossipEntries sends new entries to a few random peers without waiting for the next period.
func (r *Router) gossipEntries(entries []wire.Entry) {
	for _, to := range r.randomPeers(entriesFanOut) {
		go func() {
			ctx, cancel := context.WithTimeout(r.workCtx, gossipTimeout)
			defer cancel()
			if message, ok := r.buildHeartbeat(entries, time.Now()); ok {
				_ = r.exchangeHeartbeat(ctx, to, message)
			}
		}()
	}
}

// gossipToAll sends a heartbeat to every live peer, for example to announce that this router leaves.
func (r *Router) gossipToAll(ctx context.Context) {
	for _, to := range r.randomPeers(len(r.fleet.View().Routers())) {
		go func() { r.ping(ctx, to) }()
	}
}

func (r *Router) randomPeers(limit int) []ident.Router {
	var ids []ident.Router
	for _, i := range r.fleet.View().Routers() {
		if id := ident.Router(i.ID); id != r.self {
			ids = append(ids, id)
		}
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(limit, len(ids))]
}

func (r *Router) pingIndirectly(ctx context.Context, target ident.Router) bool {
	asked := 0
	for _, helper := range r.randomPeers(len(r.fleet.View().Routers())) {
		if helper == target || asked == indirectProbePeers {
			continue
		}
		asked++
		callCtx, cancel := context.WithTimeout(ctx, 2*gossipTimeout)
		reply, err := r.callControl(callCtx, helper, wire.Call{Probe: &wire.ProbeRequest{Target: target}})
		cancel()
		if err == nil && reply.Probe != nil && reply.Probe.Reached {
			return true
		}
	}
	return false
}

// requestProbe queues a probe of a router whose connection a request has lost; it drops the probe if the queue is full.
func (r *Router) requestProbe(id ident.Router) {
	if id == r.self || id == "" {
		return
	}
	select {
	case r.probeQueue <- id:
	default:
	}
}

// runProbes runs the queued probes until ctx ends.
func (r *Router) runProbes(ctx context.Context) error {
	for {
		select {
		case id := <-r.probeQueue:
			r.gossipWith(ctx, id)
			r.drainProbeQueue()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// drainProbeQueue drops the probes that were queued during the last probe.
func (r *Router) drainProbeQueue() {
	for {
		select {
		case <-r.probeQueue:
		default:
			return
		}
	}
}
