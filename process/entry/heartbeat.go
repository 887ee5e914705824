package entry

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/beat"
	"github.com/vanillaroute/vanillaroute/process/boottime"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/process/members"
	"github.com/vanillaroute/vanillaroute/process/pause"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"go.uber.org/zap"
)

const (
	// beatPeriod is the pause between two rounds of heartbeats.
	beatPeriod = 250 * time.Millisecond
	// beatFanOut is how many instances are asked in a round.
	beatFanOut = 2
	// announceFanOut is how many instances are asked at once where something changed.
	announceFanOut = 16
	// announcePause is the least time between two such rounds; changes in between wait for the next heartbeats.
	announcePause = 100 * time.Millisecond
	// holdersPerBeat, in questions, and rumoursPerBeat, in answers, keep beats within the control budget.
	holdersPerBeat = 16
	rumoursPerBeat = 8
	// holderSpan is how far back the holders of a beat reach; in that time it meets nearly all instances of a small fleet.
	holderSpan = 1200 * time.Millisecond
	// statedPerBeat is how many engines' loads travel in a beat, the highest first, and statedSpan how far back they reach.
	statedPerBeat = 8
	statedSpan    = 600 * time.Millisecond
	// heldPerBeat is how many unreachable engines travel in a beat.
	heldPerBeat = 8
	// suspectsPerBeat is how many requests that crashed engines travel in a beat.
	suspectsPerBeat = 4
	// maxHolders bounds what a starting instance fetches, to about 32 KB.
	maxHolders = 2048
	// inlineChanges is how many changes may travel in a beat.
	inlineChanges = 6
)

// beatAll sends heartbeats to some instances in each round.
func (n *Node) beatAll(ctx context.Context) error {
	for _, seed := range n.settings.Load().Instance.Seeds {
		n.knowSeed(seed.Addr().String())
	}
	alive := make(map[string]bool)
	for pause.For(ctx, beatPeriod) {
		alive = n.logLost(alive)
		for _, m := range n.pick(beatFanOut) {
			n.send(m.Peer, n.ask(), budget.Membership)
		}
	}
	return ctx.Err()
}

// logLost logs the instances that are no longer heard of, and those heard of again, and returns those that are.
func (n *Node) logLost(before map[string]bool) map[string]bool {
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

// knowSeed adds the instance at an IP number; all instances use the same port for peers.
func (n *Node) knowSeed(ip string) {
	peer := joinPort(ip, n.settings.Load().Instance.Peers.Port())
	if peer != n.self {
		n.members.Known(peer, boottime.Now())
	}
}

// announce tells as many instances as one round allows that this one's state or replica has changed; they ask for what they lack.
func (n *Node) announce(now boottime.Instant) {
	last := boottime.Instant(n.announced.Load())
	if now.Sub(last) < announcePause || !n.announced.CompareAndSwap(int64(last), int64(now)) {
		return
	}
	for _, m := range n.pick(announceFanOut) {
		n.send(m.Peer, n.core(), budget.Urgent)
	}
}

// pick returns random instances.
func (n *Node) pick(count int) []members.Member {
	all := n.members.All(boottime.Now())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// hear takes a heartbeat, answers it, and asks for what this replica lacks.
func (n *Node) hear(b beat.Beat) {
	if b.Peer == n.self {
		return
	}
	now := boottime.Now()
	news := n.members.Hear(members.Member{
		Peer: b.Peer, Callers: b.Callers, Domain: b.Domain, State: b.State, Incarnation: b.Incarnation, StoreLost: b.StoreLost, Warm: b.Warm, Heard: now,
	})
	if news {
		n.log.Info("peer", zap.String("peer", b.Peer), zap.Stringer("state", b.State), zap.Int64("revision", int64(b.Revision)))
	}
	n.members.HeardBy(n.rumours(b.Rumours), now)
	wall := time.Now()
	n.table.NoteLoads(b.Peer, b.Loads, wall)
	stated := make([]placing.Load, len(b.Stated))
	for i, l := range b.Stated {
		stated[i] = placing.Load{Engine: l.Engine, Requests: l.Requests, At: wall.Add(-l.Age.Duration())}
	}
	n.table.NoteStated(stated)
	held := make([]placing.Held, len(b.Held))
	for i, h := range b.Held {
		held[i] = placing.Held{Engine: h.Engine, Until: wall.Add(h.Left.Duration())}
	}
	n.table.NoteHeld(held, wall)
	n.suspects.Merge(b.Suspects, wall)
	n.noteHolders(b.Holders, wall)
	if b.Answer > 0 {
		n.takeProof(b)
	}
	if b.Ask > 0 {
		n.answer(b)
	}
	if revision, _, loaded := n.mirror.State(); b.Revision > revision || !loaded {
		select {
		case n.hint <- ahead{peer: b.Peer, revision: b.Revision}:
		default:
		}
	}
}

// takeProof takes what an answer says of the replicas: it was true at or after the moment at which this instance asked.
func (n *Node) takeProof(b beat.Beat) {
	if b.ProofAge < 0 {
		return
	}
	proven := b.Answer.Add(-b.ProofAge)
	if b.Changed {
		n.take(b, proven)
	}
	n.mirror.Prove(b.Revision, proven)
}

// answer sends this instance's state to one that asked, with the changes that it lacks if they are few.
func (n *Node) answer(b beat.Beat) {
	reply := n.reply(b.Ask)
	kind := budget.Membership
	if b.Revision > 0 && b.Revision < reply.Revision {
		if d := n.mirror.Since(b.Revision); !d.Full && len(d.Entries) <= inlineChanges {
			reply.Changes, reply.Changed, reply.Revision = d.Entries, true, d.Revision
			kind = budget.Urgent
		}
	}
	n.send(b.Peer, reply, kind)
}

// ask returns a question, with what this instance has learnt of prompts.
func (n *Node) ask() beat.Beat {
	b := n.withLoads(n.core())
	wall := time.Now()
	b.Holders = holdersNow(n.table.Recent(wall.Add(-holderSpan), holdersPerBeat), wall)
	b.Ask = boottime.Now()
	return b
}

// reply returns an answer, with what this instance has heard of others.
func (n *Node) reply(asked boottime.Instant) beat.Beat {
	b := n.withLoads(n.core())
	now := boottime.Now()
	for _, m := range n.members.Latest(rumoursPerBeat, now) {
		if at, err := netip.ParseAddrPort(m.Peer); err == nil && at.Addr().Is4() {
			ip := at.Addr().As4()
			b.Rumours = append(b.Rumours, beat.Rumour{IP: binary.BigEndian.Uint32(ip[:]), Age: beat.MillisOf(now.Sub(m.Heard))})
		}
	}
	b.Answer = asked
	b.Suspects = n.suspects.Rumours(suspectsPerBeat, time.Now())
	return b
}

func (n *Node) core() beat.Beat {
	s := n.settings.Load()
	revision, _, _ := n.mirror.State()
	return beat.Beat{
		Peer: n.self, Callers: s.Instance.Callers.String(), Domain: s.Instance.FailureDomain, State: n.state(), Incarnation: n.incarnation,
		StoreLost: n.storeLost.Load(), Warm: n.warm.Load(), Revision: revision, ProofAge: n.proofAge(boottime.Now()),
	}
}

func (n *Node) withLoads(b beat.Beat) beat.Beat {
	wall := time.Now()
	b.Loads = n.table.Loads(wall)
	for _, l := range n.table.Stated(wall.Add(-statedSpan), statedPerBeat) {
		b.Stated = append(b.Stated, beat.Load{Engine: l.Engine, Requests: l.Requests, Age: beat.MillisOf(wall.Sub(l.At))})
	}
	for _, h := range n.table.HeldHere(heldPerBeat, wall) {
		b.Held = append(b.Held, beat.Held{Engine: h.Engine, Left: beat.MillisOf(h.Until.Sub(wall))})
	}
	return b
}

// rumours translates what a peer has heard into addresses at this fleet's port for peers.
func (n *Node) rumours(list []beat.Rumour) []members.Rumour {
	port := n.settings.Load().Instance.Peers.Port()
	rumours := make([]members.Rumour, 0, len(list))
	for _, r := range list {
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], r.IP)
		if peer := netip.AddrPortFrom(netip.AddrFrom4(ip), port).String(); peer != n.self {
			rumours = append(rumours, members.Rumour{Peer: peer, Age: r.Age.Duration()})
		}
	}
	return rumours
}

// send sends a beat within the control budget; loads and holders are left out first.
func (n *Node) send(to string, b beat.Beat, kind budget.Kind) {
	body := beat.Encode(b)
	core := b
	core.Loads, core.Stated, core.Holders = nil, nil, nil
	now := time.Now()
	short := beat.Encode(core)
	if !n.control.Spend(kind, len(short), now) {
		return
	}
	if !n.control.Spend(budget.Sums, len(body)-len(short), now) {
		body = short
	}
	if err := n.beats.Send(to, body); err != nil {
		n.log.Debug("heartbeat not sent", zap.String("peer", to), zap.Error(err))
	}
}

// give returns what another instance fetches.
func (n *Node) give(ask beat.Ask) beat.Fetched {
	if ask.Holders {
		return beat.Fetched{ProofAge: beat.Unproven, Holders: holdersNow(n.table.Holders(maxHolders), time.Now())}
	}
	age := n.proofAge(boottime.Now())
	return beat.Fetched{Delta: n.mirror.Since(ask.Since), ProofAge: age}
}

func (n *Node) noteHolders(list []beat.Holder, now time.Time) {
	holders := make([]placing.Holder, len(list))
	for i, h := range list {
		holders[i] = placing.Holder{Chain: h.Chain, Engine: h.Engine, At: now.Add(-h.Age.Duration())}
	}
	n.table.NoteHolders(holders)
}

func holdersNow(list []placing.Holder, now time.Time) []beat.Holder {
	holders := make([]beat.Holder, len(list))
	for i, h := range list {
		holders[i] = beat.Holder{Chain: h.Chain, Engine: h.Engine, Age: beat.MillisOf(now.Sub(h.At))}
	}
	return holders
}
