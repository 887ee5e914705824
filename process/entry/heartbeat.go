package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/members"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"go.uber.org/zap"
)

const (
	// heartbeatPeriod is the pause between two rounds of heartbeats.
	heartbeatPeriod = 250 * time.Millisecond
	// heartbeatFanOut is how many instances are asked in a round.
	heartbeatFanOut = 2
	// announceFanOut is how many instances are asked at once where something changed.
	announceFanOut = 16
	// announcePause is the least time between two such rounds; changes in between wait for the next heartbeats.
	announcePause = 100 * time.Millisecond
	// holdersPerMessage, in questions, and rumoursPerMessage, in answers, keep heartbeats within the control budget. With eight answers a
	// second, each of 89 instances is heard of three times a second.
	holdersPerMessage      = 16
	observationsPerMessage = 32
	// holderSpan is how far back the holders of a heartbeat reach; in that time it meets nearly all instances of a small fleet.
	holderSpan = 1200 * time.Millisecond
	// reportedLoadsPerMessage is how many engines' loads travel in a heartbeat, the highest first, and statedSpan how far back they reach.
	reportedLoadsPerMessage = 8
	reportedLoadSpan        = 600 * time.Millisecond
	// backoffsPerMessage is how many unreachable engines travel in a heartbeat.
	backoffsPerMessage = 8
	// suspectsPerMessage is how many requests that crashed engines travel in a heartbeat.
	suspectsPerMessage = 4
	// maxHolders bounds what a starting instance fetches, to about 32 KB.
	maxHolders = 2048
	// maxInlineChanges is how many changes may travel in a heartbeat.
	maxInlineChanges = 6
)

// sendHeartbeats sends heartbeats to some instances in each round.
func (n *Instance) sendHeartbeats(ctx context.Context) error {
	for _, seed := range n.settings.Load().Instance.Seeds {
		n.addSeed(seed.Addr())
	}
	alive := make(map[string]bool)
	for pause.For(ctx, heartbeatPeriod) {
		alive = n.logPeerChanges(alive)
		for _, m := range n.randomMembers(heartbeatFanOut) {
			n.send(m.Peer, n.newPing(), budget.Membership)
		}
	}
	return ctx.Err()
}

// logPeerChanges logs the instances that are no longer heard of, and those heard of again, and returns those that are.
func (n *Instance) logPeerChanges(before map[string]bool) map[string]bool {
	now := boottime.Now()
	alive := make(map[string]bool)
	for _, m := range n.members.Alive(now) {
		alive[m.Peer] = true
		if !before[m.Peer] {
			n.log.Info("peer heard", zap.String("peer", m.Peer), zap.Stringer("state", m.State))
		}
	}
	for peer := range before {
		if !alive[peer] {
			n.log.Warn("peer lost", zap.String("peer", peer), zap.Duration("silenceMs", members.DeadAfter(n.members.Count())))
		}
	}
	return alive
}

// addSeed adds the instance at an IP number; all instances use the same port for peers.
func (n *Instance) addSeed(ip netip.Addr) {
	if peer := n.peerAddress(ip); peer != n.self {
		n.members.Add(peer, boottime.Now())
	}
}

// peerAddress returns the address for peers of the instance at an IP number.
func (n *Instance) peerAddress(ip netip.Addr) string {
	return netip.AddrPortFrom(ip, n.settings.Load().Instance.Peers.Port()).String()
}

// announce tells as many instances as one round allows that this one's state or replica has changed; they ask for what they lack.
func (n *Instance) announce(now boottime.Instant) {
	last := boottime.Instant(n.announced.Load())
	if now.Sub(last) < announcePause || !n.announced.CompareAndSwap(int64(last), int64(now)) {
		return
	}
	for _, m := range n.randomMembers(announceFanOut) {
		n.send(m.Peer, n.baseMessage(), budget.Urgent)
	}
}

// randomMembers returns random instances.
func (n *Instance) randomMembers(count int) []members.Member {
	all := n.members.All(boottime.Now())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// handleHeartbeat takes a heartbeat, answers it, and asks for what this replica lacks.
func (n *Instance) handleHeartbeat(b heartbeat.Message) {
	if b.PeerAddress == n.self {
		return
	}
	now := boottime.Now()
	news := n.members.Update(members.Member{
		Peer: b.PeerAddress, CallerAddress: b.CallerAddress, Domain: b.Domain, State: b.State, Incarnation: b.Incarnation, StoreLost: b.StoreUnreachable, Warm: b.Warm, LastHeard: now,
	})
	if news {
		n.log.Info("peer", zap.String("peer", b.PeerAddress), zap.Stringer("state", b.State), zap.Int64("revision", int64(b.Revision)))
	}
	n.members.MergeObservations(n.decodeObservations(b.Observations), now)
	wall := time.Now()
	n.table.SetRemoteLoads(b.PeerAddress, b.LocalLoads, wall)
	stated := make([]placing.Load, len(b.ReportedLoads))
	for i, l := range b.ReportedLoads {
		stated[i] = placing.Load{Engine: l.Engine, Requests: l.Requests, At: wall.Add(-l.Age.Duration())}
	}
	n.table.MergeReportedLoads(stated)
	held := make([]placing.Backoff, len(b.Backoffs))
	for i, h := range b.Backoffs {
		held[i] = placing.Backoff{Engine: h.Engine, Until: wall.Add(h.Remaining.Duration())}
	}
	n.table.MergeBackoffs(held, wall)
	n.suspects.Merge(b.Suspects, wall)
	n.recordHolders(b.Holders, wall)
	if b.EchoedSentAt > 0 {
		n.applyAck(b)
	}
	if b.SentAt > 0 {
		n.sendAck(b)
	}
	if revision, _, loaded := n.mirror.State(); b.Revision > revision || !loaded {
		select {
		case n.aheadPeers <- peerRevision{peer: b.PeerAddress, revision: b.Revision}:
		default:
		}
	}
}

// logMessageError logs a heartbeat or fetch that could not be taken in or answered.
func (n *Instance) logMessageError(err error) {
	n.metrics.Add("peerMessagesFailed", 1)
	n.log.Warn("peer message failed", zap.Error(err))
}

// applyAck takes what an answer says of the replicas: it was true at or after the moment at which this instance asked.
func (n *Instance) applyAck(b heartbeat.Message) {
	if b.ConfirmedAge < 0 {
		return
	}
	proven := b.EchoedSentAt.Add(-b.ConfirmedAge)
	if b.HasChanges {
		n.apply(mirror.Delta{Entries: b.Changes, Revision: b.Revision}, proven)
	}
	n.mirror.Confirm(b.Revision, proven)
}

// sendAck sends this instance's state to one that asked, with the changes that it lacks if they are few.
func (n *Instance) sendAck(b heartbeat.Message) {
	reply := n.newAck(b.SentAt)
	kind := budget.Membership
	if b.Revision > 0 && b.Revision < reply.Revision {
		if d := n.mirror.Since(b.Revision); !d.Full && len(d.Entries) <= maxInlineChanges {
			reply.Changes, reply.HasChanges, reply.Revision = d.Entries, true, d.Revision
			kind = budget.Urgent
		}
	}
	n.send(b.PeerAddress, reply, kind)
}

// newPing returns a question, with what this instance has learnt of prompts.
func (n *Instance) newPing() heartbeat.Message {
	b := n.withLoads(n.baseMessage())
	wall := time.Now()
	b.Holders = encodeHolders(n.table.RecentHolders(wall.Add(-holderSpan), holdersPerMessage), wall)
	b.SentAt = boottime.Now()
	return b
}

// newAck returns an answer, with what this instance has heard of others.
func (n *Instance) newAck(asked boottime.Instant) heartbeat.Message {
	b := n.withLoads(n.baseMessage())
	now := boottime.Now()
	var rumours []heartbeat.Observation
	for _, m := range n.members.Latest(observationsPerMessage, now) {
		if at, err := netip.ParseAddrPort(m.Peer); err == nil {
			rumours = append(rumours, heartbeat.Observation{IP: at.Addr(), Age: now.Sub(m.LastHeard)})
		}
	}
	b.Observations = heartbeat.PackObservations(rumours)
	b.EchoedSentAt = asked
	b.Suspects = n.suspects.Recent(suspectsPerMessage, time.Now())
	return b
}

func (n *Instance) baseMessage() heartbeat.Message {
	s := n.settings.Load()
	revision, _, _ := n.mirror.State()
	return heartbeat.Message{
		PeerAddress: n.self, CallerAddress: s.Instance.Callers.String(), Domain: s.Instance.FailureDomain, State: n.state(), Incarnation: n.incarnation,
		StoreUnreachable: n.storeLost.Load(), Warm: n.warm.Load(), Revision: revision, ConfirmedAge: n.replicaAge(boottime.Now()),
	}
}

func (n *Instance) withLoads(b heartbeat.Message) heartbeat.Message {
	wall := time.Now()
	b.LocalLoads = n.table.LocalLoads(wall)
	for _, l := range n.table.ReportedLoads(wall.Add(-reportedLoadSpan), reportedLoadsPerMessage) {
		b.ReportedLoads = append(b.ReportedLoads, heartbeat.Load{Engine: l.Engine, Requests: l.Requests, Age: heartbeat.MillisOf(wall.Sub(l.At))})
	}
	for _, h := range n.table.LocalBackoffs(backoffsPerMessage, wall) {
		b.Backoffs = append(b.Backoffs, heartbeat.Backoff{Engine: h.Engine, Remaining: heartbeat.MillisOf(h.Until.Sub(wall))})
	}
	return b
}

// decodeObservations translates what a peer has heard into addresses at this fleet's port for peers.
func (n *Instance) decodeObservations(packed []byte) []members.Observation {
	list, err := heartbeat.UnpackObservations(packed)
	if err != nil {
		n.logMessageError(err)
		return nil
	}
	rumours := make([]members.Observation, 0, len(list))
	for _, r := range list {
		if peer := n.peerAddress(r.IP); peer != n.self {
			rumours = append(rumours, members.Observation{Peer: peer, Age: r.Age})
		}
	}
	return rumours
}

// send sends a heartbeat within the control budget; loads and holders are left out first.
func (n *Instance) send(to string, b heartbeat.Message, kind budget.Kind) {
	body := heartbeat.Encode(b)
	short := body
	if len(b.LocalLoads)+len(b.ReportedLoads)+len(b.Holders) > 0 {
		b.LocalLoads, b.ReportedLoads, b.Holders = nil, nil, nil
		short = heartbeat.Encode(b)
	}
	now := time.Now()
	if !n.controlBudget.Spend(kind, len(short), now) {
		return
	}
	if !n.controlBudget.Spend(budget.ModelLoads, len(body)-len(short), now) {
		body = short
	}
	if err := n.heartbeats.Send(to, body); err != nil {
		n.log.Debug("heartbeat not sent", zap.String("peer", to), zap.Error(err))
	}
}

// serveFetch returns what another instance fetches.
func (n *Instance) serveFetch(ask heartbeat.FetchRequest) heartbeat.FetchReply {
	if ask.Holders {
		return heartbeat.FetchReply{ConfirmedAge: heartbeat.Unconfirmed, Holders: encodeHolders(n.table.Holders(maxHolders), time.Now())}
	}
	age := n.replicaAge(boottime.Now())
	return heartbeat.FetchReply{Delta: n.mirror.Since(ask.Since), ConfirmedAge: age}
}

func (n *Instance) recordHolders(list []heartbeat.PartHolder, now time.Time) {
	holders := make([]placing.Holder, len(list))
	for i, h := range list {
		holders[i] = placing.Holder{Part: h.Part, Engine: h.Engine, At: now.Add(-h.Age.Duration())}
	}
	n.table.MergeHolders(holders)
}

func encodeHolders(list []placing.Holder, now time.Time) []heartbeat.PartHolder {
	holders := make([]heartbeat.PartHolder, len(list))
	for i, h := range list {
		holders[i] = heartbeat.PartHolder{Part: h.Part, Engine: h.Engine, Age: heartbeat.MillisOf(now.Sub(h.At))}
	}
	return holders
}
