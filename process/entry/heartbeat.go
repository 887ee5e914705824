package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/members"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"go.uber.org/zap"
)

const (
	// heartbeatPeriod is the pause between two rounds of pings.
	heartbeatPeriod = 250 * time.Millisecond
	// heartbeatFanOut is the number of instances pinged in a round.
	heartbeatFanOut = 2
	// announceFanOut is the number of instances to which a change is announced at once. Each announces it again, so that all but a few know it after a
	// few steps, and these learn of it from heartbeats. Changes in quick succession must leave the control budget to heartbeats.
	announceFanOut = 6
	// announcePause is the minimum time between two announcements; changes in between go out with the next pings.
	announcePause = 100 * time.Millisecond
	// surgeFanOut is the number of instances to which a surge is sent at once. Each receiver sends it on, once.
	surgeFanOut = 3
	// surgesPerMessage bounds the number of surges in a heartbeat.
	surgesPerMessage = 32
	// holdersPerMessage bounds the holders in a ping, and observationsPerMessage the observations in an ack, to keep heartbeats within the
	// control budget. A holder is an engine that has cached a part of a prompt. An observation says when another instance was last seen. With
	// eight acks a second, an instance receives an observation of each of 89 instances three times a second.
	holdersPerMessage      = 16
	observationsPerMessage = 32
	// holderSpan is the maximum age of the holders in a ping. In that time the pings reach nearly all instances of a small fleet.
	holderSpan = 1200 * time.Millisecond
	// reportedLoadsPerMessage bounds the number of reported loads in a heartbeat, of which the highest are sent, and reportedLoadSpan their
	// age. A reported load is one that the engine itself reported.
	reportedLoadsPerMessage = 8
	reportedLoadSpan        = 600 * time.Millisecond
	// limitsPerMessage bounds the number of limits of engines in a ping.
	limitsPerMessage = 6
	// backoffsPerMessage bounds the number of back-offs of unreachable engines in a heartbeat.
	backoffsPerMessage = 8
	// maxHolders bounds the holders that a starting instance fetches, to about 32 KB.
	maxHolders = 2048
	// maxInlineChanges bounds the number of store changes in an ack; the peer fetches more than these over TCP.
	maxInlineChanges = 6
)

// sendHeartbeats pings a few random instances in each round, until ctx ends.
func (n *Instance) sendHeartbeats(ctx context.Context) error {
	for _, seed := range n.settings.Load().Instance.Seeds {
		n.addSeed(seed.Addr())
	}
	alive := make(map[string]bool)
	colds := make(map[engines.Key]placing.ColdReason)
	for pause.For(ctx, heartbeatPeriod) {
		alive = n.logPeerChanges(alive)
		colds = n.logColds(colds)
		n.shareLimits()
		n.shareWarmups()
		n.acceptHeldEngines(boottime.Now())
		for _, m := range n.randomMembers(heartbeatFanOut) {
			n.send(m.Peer, n.newPing(), budget.Membership)
		}
	}
	return ctx.Err()
}

// shareLimits tells the table which instances share the limits of engines: all known ones, so that the shares stay the same while some restart or
// are cut off.
func (n *Instance) shareLimits() {
	names := []string{n.self}
	for _, m := range n.members.All(boottime.Now()) {
		names = append(names, m.Peer)
	}
	n.table.SetFleet(n.self, names)
}

// logPeerChanges logs the instances that became alive ("peer heard") or dead ("peer lost") since the last call, and returns the live ones.
func (n *Instance) logPeerChanges(wasAlive map[string]bool) map[string]bool {
	now := boottime.Now()
	alive := make(map[string]bool)
	for _, m := range n.members.Alive(now) {
		alive[m.Peer] = true
		if !wasAlive[m.Peer] {
			n.log.Info("peer heard", zap.String("peer", m.Peer), zap.Stringer("state", m.State))
		}
	}
	for peer := range wasAlive {
		if !alive[peer] {
			n.log.Warn("peer lost", zap.String("peer", peer), zap.Duration("silenceMs", members.DeadAfter(n.members.Count())))
		}
	}
	return alive
}

// addSeed adds the instance at an IP address; all instances use the same peer port.
func (n *Instance) addSeed(ip netip.Addr) {
	if peer := n.peerAddress(ip); peer != n.self {
		n.members.Add(peer, boottime.Now())
	}
}

// peerAddress returns the peer address of the instance at an IP address.
func (n *Instance) peerAddress(ip netip.Addr) string {
	return netip.AddrPortFrom(ip, n.settings.Load().Instance.Peers.Port()).String()
}

// announce sends this instance's state and revision to announceFanOut instances after a change, as traffic of a kind. They fetch the changes that they lack.
func (n *Instance) announce(kind budget.Kind, now boottime.Instant) {
	last := boottime.Instant(n.announced.Load())
	if now.Sub(last) < announcePause || !n.announced.CompareAndSwap(int64(last), int64(now)) {
		return
	}
	for _, m := range n.randomMembers(announceFanOut) {
		n.send(m.Peer, n.baseMessage(), kind)
	}
}

// sendSurges sends subjects whose surges have started to a few instances, until ctx ends.
func (n *Instance) sendSurges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.table.SurgeStarted():
			m := n.baseMessage()
			surges := n.table.TakeNewSurges()
			m.Surges = surges[:min(len(surges), surgesPerMessage)]
			n.metrics.Add("surges", int64(len(m.Surges)))
			for _, peer := range n.randomMembers(surgeFanOut) {
				n.send(peer.Peer, m, budget.Membership)
			}
		}
	}
}

// randomMembers returns at most count instances in random order.
func (n *Instance) randomMembers(count int) []members.Member {
	all := n.members.All(boottime.Now())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// handleHeartbeat merges the content of a heartbeat, acknowledges a ping, and queues a fetch if the sender's replica is ahead.
func (n *Instance) handleHeartbeat(b heartbeat.Message) {
	if b.PeerAddress == n.self {
		return
	}
	now := boottime.Now()
	changed, member := n.members.Update(members.Member{
		Peer: b.PeerAddress, CallerAddress: b.CallerAddress, Domain: b.Domain, State: b.State, Incarnation: b.Incarnation, StoreUnreachable: b.StoreUnreachable, Warm: b.Warm, LastSeen: now,
	})
	if !member {
		n.recordRefusedMembers(1)
		return
	}
	if changed {
		// The state or the incarnation of the peer has changed.
		n.log.Info("peer", zap.String("peer", b.PeerAddress), zap.Stringer("state", b.State), zap.Int64("revision", int64(b.Revision)))
	}
	n.recordRefusedMembers(n.members.MergeObservations(n.decodeObservations(b.Observations), now))
	wall := time.Now()
	if b.LocalLoads != nil {
		n.table.SetRemoteLoads(b.PeerAddress, b.LocalLoads, wall)
	}
	if len(b.Running) > 0 {
		running := make(map[ident.ServiceID]int, len(b.Running))
		for _, l := range b.Running {
			running[l.Service] = l.Requests
		}
		n.table.MergeRunning(running, wall)
	}
	loads := make([]placing.Load, len(b.ReportedLoads))
	for i, l := range b.ReportedLoads {
		loads[i] = placing.Load{Engine: l.Engine, Requests: l.Requests, At: wall.Add(-l.Age.Duration())}
	}
	n.table.MergeReportedLoads(loads)
	backoffs := make([]placing.Backoff, len(b.Backoffs))
	for i, h := range b.Backoffs {
		backoffs[i] = placing.Backoff{Engine: h.Engine, Until: wall.Add(h.Remaining.Duration())}
	}
	n.table.MergeBackoffs(backoffs, wall)
	limits := make([]placing.Limit, len(b.Limits))
	for i, l := range b.Limits {
		limits[i] = placing.Limit{Engine: l.Engine, Rate: l.Rate, At: wall.Add(-l.Age.Duration())}
	}
	n.table.MergeLimits(limits)
	n.mergeColds(b, wall)
	n.table.MergeSurges(b.Surges, wall)
	n.mergeNews(b, wall)
	n.recordHolders(b.Holders, wall)
	if b.EchoedSentAt > 0 {
		n.applyAck(b)
	}
	if b.SentAt > 0 {
		n.admission.Merge(heartbeat.DecodeDemands(b.Demands), wall)
		if n.overload().Admission {
			n.admission.MergeWork(b.PeerAddress, heartbeat.DecodeDemands(b.Works), wall)
		}
		n.sendAck(b)
	}
	n.hearRevision(b.Revision)
	if revision, _, loaded := n.mirror.State(); b.Revision > revision || !loaded {
		n.behindSince.CompareAndSwap(0, int64(now))
		select {
		case n.aheadPeers <- peerRevision{peer: b.PeerAddress, revision: b.Revision}:
		default:
		}
	}
}

// recordRefusedMembers counts unknown instances for which the list of instances has no room.
func (n *Instance) recordRefusedMembers(count int) {
	if count > 0 {
		n.metrics.Add("membersRefused", int64(count))
		n.refusedMembers.Add(int64(count))
	}
}

// logRefusedMembers logs the instances refused since the last call, in one line.
func (n *Instance) logRefusedMembers() {
	if count := n.refusedMembers.Swap(0); count > 0 {
		n.log.Warn("members refused", zap.Int64("count", count), zap.Int("unnamed", n.members.Unnamed()))
	}
}

// nameMembers tells the list of instances which ones the store and the settings name. The caller holds snapshotMu.
func (n *Instance) nameMembers() {
	named := slices.Collect(maps.Values(n.registered))
	for _, seed := range n.settings.Load().Instance.Seeds {
		named = append(named, n.peerAddress(seed.Addr()))
	}
	n.members.SetNamed(named)
}

// logMessageError logs and counts a heartbeat or fetch that could not be received, decoded or answered.
func (n *Instance) logMessageError(err error) {
	n.metrics.Add("peerMessagesFailed", 1)
	n.log.Warn("peer message failed", zap.Error(err))
}

// applyAck applies the changes in an ack and confirms the replica. The peer answered after this instance had sent the ping, so its replica
// was confirmed at EchoedSentAt minus ConfirmedAge or later.
func (n *Instance) applyAck(b heartbeat.Message) {
	if b.ConfirmedAge < 0 {
		return
	}
	confirmedAt := b.EchoedSentAt.Add(-b.ConfirmedAge)
	if b.HasChanges {
		n.apply(mirror.Delta{Entries: b.Changes, Revision: b.Revision}, confirmedAt)
	}
	n.confirm(b.Revision, confirmedAt)
}

// sendAck answers a ping with this instance's state and, if the sender's replica lags by at most maxInlineChanges, with the changes that it
// lacks. The peer fetches changes with gaps over TCP.
func (n *Instance) sendAck(b heartbeat.Message) {
	ack := n.newAck(b.SentAt)
	kind := budget.Membership
	if b.Revision > 0 && b.Revision < ack.Revision {
		if d := n.mirror.Since(b.Revision); !d.Full && len(d.Gaps) == 0 && len(d.Entries) <= maxInlineChanges {
			ack.Changes, ack.HasChanges, ack.Revision = d.Entries, true, d.Revision
			kind = budget.Urgent
		}
	}
	n.send(b.PeerAddress, ack, kind)
}

// newPing returns a ping with the loads, back-offs, recent holders, evidence on crashes and demands that this instance knows.
func (n *Instance) newPing() heartbeat.Message {
	b := n.withEvidence(n.withLoads(n.baseMessage()))
	wall := time.Now()
	b.Holders = encodeHolders(n.table.RecentHolders(wall.Add(-holderSpan), holdersPerMessage), wall)
	for _, l := range n.table.RecentLimits(limitsPerMessage, wall) {
		b.Limits = append(b.Limits, heartbeat.Limit{Engine: l.Engine, Rate: l.Rate, Age: heartbeat.MillisOf(wall.Sub(l.At))})
	}
	b.Demands = heartbeat.EncodeDemands(n.admission.Demands(wall))
	if n.overload().Admission {
		b.Works = heartbeat.EncodeDemands(n.admission.WorkDemands(wall))
	}
	b.Sharers = n.table.SharerCount()
	b.SentAt = boottime.Now()
	return b
}

// newAck returns the ack of a ping, with the observations of other instances, the loads, back-offs and evidence on crashes.
func (n *Instance) newAck(sentAt boottime.Instant) heartbeat.Message {
	b := n.withEvidence(n.withLoads(n.baseMessage()))
	now := boottime.Now()
	var observations []heartbeat.Observation
	for _, m := range n.members.Latest(observationsPerMessage, now) {
		if at, err := netip.ParseAddrPort(m.Peer); err == nil {
			observations = append(observations, heartbeat.Observation{IP: at.Addr(), Age: now.Sub(m.LastSeen)})
		}
	}
	b.Observations = heartbeat.PackObservations(observations)
	b.EchoedSentAt = sentAt
	return b
}

// baseMessage returns a message with this instance's state and the revision and age of its replica.
func (n *Instance) baseMessage() heartbeat.Message {
	s := n.settings.Load()
	revision, age := n.replica(boottime.Now())
	return heartbeat.Message{
		PeerAddress: n.self, CallerAddress: s.Instance.Callers.String(), Domain: s.Instance.FailureDomain, State: n.state(), Incarnation: n.incarnation,
		StoreUnreachable: n.storeUnreachable.Load(), Warm: n.warm.Load(), Revision: revision, ConfirmedAge: age,
	}
}

// withLoads adds the loads and the back-offs of engines that this instance knows to a message.
func (n *Instance) withLoads(b heartbeat.Message) heartbeat.Message {
	wall := time.Now()
	for service, requests := range n.table.Running(wall) {
		b.Running = append(b.Running, heartbeat.ServiceLoad{Service: service, Requests: requests})
	}
	b.LocalLoads = n.table.LocalLoads(wall)
	for _, l := range n.table.ReportedLoads(wall.Add(-reportedLoadSpan), reportedLoadsPerMessage) {
		b.ReportedLoads = append(b.ReportedLoads, heartbeat.Load{Engine: l.Engine, Requests: l.Requests, Age: heartbeat.MillisOf(wall.Sub(l.At))})
	}
	for _, h := range n.table.LocalBackoffs(backoffsPerMessage, wall) {
		b.Backoffs = append(b.Backoffs, heartbeat.Backoff{Engine: h.Engine, Remaining: heartbeat.MillisOf(h.Until.Sub(wall))})
	}
	b.Colds = n.localColds(wall)
	return b
}

// decodeObservations decodes a peer's observations, which hold IP addresses only, and adds the peer port.
func (n *Instance) decodeObservations(packed []byte) []members.Observation {
	list, err := heartbeat.UnpackObservations(packed)
	if err != nil {
		n.logMessageError(err)
		return nil
	}
	observations := make([]members.Observation, 0, len(list))
	for _, o := range list {
		if peer := n.peerAddress(o.IP); peer != n.self {
			observations = append(observations, members.Observation{Peer: peer, Age: o.Age})
		}
	}
	return observations
}

// send sends a heartbeat if the control budget covers it.
func (n *Instance) send(to string, b heartbeat.Message, kind budget.Kind) {
	if body, ok := fitBudget(n.controlBudget, b, kind, time.Now()); ok {
		n.transmit(to, body)
	}
}

// fitBudget encodes a heartbeat, and returns false if the budget does not cover it. If the budget covers only a part, it leaves out the holders and evidence on
// crashes, then the loads of engines, and then the routes and organisations of demands.
func fitBudget(control *budget.Budget, b heartbeat.Message, kind budget.Kind, now time.Time) ([]byte, bool) {
	smallest := b
	smallest.LocalLoads, smallest.ReportedLoads, smallest.Holders, smallest.Requests, smallest.Parts, smallest.Ends = nil, nil, nil, nil, nil, nil
	smallest.Demands, smallest.Works = heartbeat.WithoutClasses(b.Demands), heartbeat.WithoutClasses(b.Works)
	body := heartbeat.Encode(smallest)
	if !control.Spend(kind, len(body), now) {
		return nil, false
	}
	additions := []struct {
		kind budget.Kind
		add  func(m *heartbeat.Message)
	}{
		{budget.Demands, func(m *heartbeat.Message) { m.Demands, m.Works = b.Demands, b.Works }},
		{budget.ModelLoads, func(m *heartbeat.Message) { m.LocalLoads, m.ReportedLoads = b.LocalLoads, b.ReportedLoads }},
		{budget.Holders, func(m *heartbeat.Message) {
			m.Holders, m.Requests, m.Parts, m.Ends = b.Holders, b.Requests, b.Parts, b.Ends
		}},
	}
	for _, a := range additions {
		larger := smallest
		a.add(&larger)
		if whole := heartbeat.Encode(larger); control.Spend(a.kind, len(whole)-len(body), now) {
			smallest, body = larger, whole
		}
	}
	return body, true
}

// sendWhole sends an encoded heartbeat if the control budget covers all of it, and reports whether it does.
func (n *Instance) sendWhole(to string, body []byte, kind budget.Kind) bool {
	if !n.controlBudget.Spend(kind, len(body), time.Now()) {
		return false
	}
	n.transmit(to, body)
	return true
}

func (n *Instance) transmit(to string, body []byte) {
	if err := n.heartbeats.Send(to, body); err != nil {
		n.log.Debug("heartbeat not sent", zap.String("peer", to), zap.Error(err))
	}
}

// serveFetch answers the fetch of another instance with the changes of the store that it lacks, or with the holders of parts of prompts.
func (n *Instance) serveFetch(request heartbeat.FetchRequest) heartbeat.FetchReply {
	if request.Holders {
		return heartbeat.FetchReply{ConfirmedAge: heartbeat.Unconfirmed, Holders: encodeHolders(n.table.Holders(maxHolders), time.Now())}
	}
	age := n.replicaAge(boottime.Now())
	return heartbeat.FetchReply{Delta: n.mirror.Since(request.Since), ConfirmedAge: age}
}

// recordHolders merges the holders that another instance sent. Their ages count back from now.
func (n *Instance) recordHolders(list []heartbeat.PartHolder, now time.Time) {
	holders := make([]placing.Holder, len(list))
	for i, h := range list {
		holders[i] = placing.Holder{Part: h.Part, Engine: h.Engine, At: now.Add(-h.Age.Duration())}
	}
	n.table.MergeHolders(holders)
}

// encodeHolders converts holders for a message, with their ages at now.
func encodeHolders(list []placing.Holder, now time.Time) []heartbeat.PartHolder {
	holders := make([]heartbeat.PartHolder, len(list))
	for i, h := range list {
		holders[i] = heartbeat.PartHolder{Part: h.Part, Engine: h.Engine, Age: heartbeat.MillisOf(now.Sub(h.At))}
	}
	return holders
}
