package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"github.com/vanillaroute/vanillaroute/version/rank"
	"go.uber.org/zap"
)

const (
	// newsFanOut is the number of instances to which news on crashes is sent at once. The first evidence on a subject goes to those of highest rank
	// for it, which collect it; later evidence and the ends of engines go to random live instances, which send them on.
	newsFanOut = 4
	// newsPause is the minimum time between two such messages, so that the requests of one crash share a message, and newsRetryPause that after the
	// control budget did not cover one.
	newsPause      = 20 * time.Millisecond
	newsRetryPause = 250 * time.Millisecond
	// newsMessageBytes is what a message with a few news takes.
	newsMessageBytes = 200
	// newsBytes bounds what a message of news holds, so that it fits in a packet. More news follows in further messages. endBytes, evidenceBytes and
	// crashBytes are the most that the end of an engine, evidence and each crash in it take.
	newsBytes     = 1000
	endBytes      = 10
	evidenceBytes = 20
	crashBytes    = 10
	// pressingPerMessage bounds the evidence of each kind in a heartbeat, and endsPerMessage the ends of engines.
	pressingPerMessage = 2
	endsPerMessage     = 4
	// culpritTTL is how long the store keeps a culprit after the last request with it, and culpritMaxAge when it is stored again.
	culpritTTL    = 10 * time.Minute
	culpritMaxAge = 5 * time.Minute
	// culpritCheckPeriod is how often an instance checks whether culprits are to be stored. Each instance waits culpritTurn longer than the
	// one ranked before it.
	culpritCheckPeriod = 100 * time.Millisecond
	culpritTurn        = 200 * time.Millisecond
)

const (
	// requestCulprits follows the prefix of culprits in the keys of those that are whole requests.
	requestCulprits = "request/"
	// Values of the store's entries of culprits.
	valueRefused = "refused"
	valueCleared = "cleared"
)

// news is what other instances have to know of crashes.
type news struct {
	requests, parts []suspects.Evidence
	ends            []suspects.EngineEnd
}

// sendNews sends new evidence and the ends of engines to other instances, until ctx ends.
func (n *Instance) sendNews(ctx context.Context) error {
	for wait := newsPause; pause.For(ctx, wait); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.crashes.Changed():
		}
		// While much of the share is used, more news shares a message.
		if !pause.For(ctx, n.controlBudget.UntilShared(budget.News, newsFanOut*newsMessageBytes, time.Now())) {
			break
		}
		wait = newsPause
		shared := news{ends: n.crashes.TakeEnds()}
		var firstRequests, firstParts []suspects.Evidence
		shared.requests, firstRequests = n.crashes.Requests.TakeChanged()
		shared.parts, firstParts = n.crashes.Parts.TakeChanged()
		for !shared.isEmpty() {
			some := shared.takeSome()
			for _, peer := range n.randomLive(newsFanOut) {
				wait = max(wait, n.sendNewsTo(peer, some))
			}
		}
		byCollector := make(map[string]*news)
		for _, e := range firstRequests {
			n.addForCollectors(byCollector, e, func(l *news) *[]suspects.Evidence { return &l.requests })
		}
		for _, e := range firstParts {
			n.addForCollectors(byCollector, e, func(l *news) *[]suspects.Evidence { return &l.parts })
		}
		for peer, list := range byCollector {
			for !list.isEmpty() {
				wait = max(wait, n.sendNewsTo(peer, list.takeSome()))
			}
		}
	}
	return ctx.Err()
}

// sendNewsTo sends news to an instance and returns the time until more can be sent. Evidence on requests, of which a crash may bring much, leaves budget
// for heartbeats, and is sent later if there is none.
func (n *Instance) sendNewsTo(peer string, l news) time.Duration {
	requests := l.requests
	l.requests = nil
	if !l.isEmpty() {
		n.sendWhole(peer, heartbeat.Encode(n.newsMessage(l)), budget.News)
	}
	l = news{requests: requests}
	if !l.isEmpty() && !n.sendWhole(peer, heartbeat.Encode(n.newsMessage(l)), budget.Suspects) {
		n.crashes.Requests.PutBack(requests)
		return newsRetryPause
	}
	return newsPause
}

// randomLive returns the peer addresses of at most count live instances in random order, or of known ones if none is known to be alive.
func (n *Instance) randomLive(count int) []string {
	live := n.members.Alive(boottime.Now())
	if len(live) == 0 {
		live = n.members.All(boottime.Now())
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var peers []string
	for _, m := range live[:min(count, len(live))] {
		peers = append(peers, m.Peer)
	}
	return peers
}

// addForCollectors adds evidence to the news of the instances that collect it.
func (n *Instance) addForCollectors(byCollector map[string]*news, e suspects.Evidence, kind func(*news) *[]suspects.Evidence) {
	peers := n.ranked(suspects.Culprit{e.ID})
	for _, peer := range peers[:min(len(peers), newsFanOut)] {
		if peer == n.self {
			continue
		}
		if byCollector[peer] == nil {
			byCollector[peer] = &news{}
		}
		list := kind(byCollector[peer])
		*list = append(*list, e)
	}
}

func (l *news) isEmpty() bool { return len(l.requests)+len(l.parts)+len(l.ends) == 0 }

// takeSome removes and returns what fits in one message.
func (l *news) takeSome() news {
	left := newsBytes
	evidence := func(e suspects.Evidence) int { return evidenceBytes + crashBytes*len(e.Crashes) }
	return news{ends: takeFitting(&l.ends, &left, func(suspects.EngineEnd) int { return endBytes }), parts: takeFitting(&l.parts, &left, evidence), requests: takeFitting(&l.requests, &left, evidence)}
}

// takeFitting removes and returns the first elements whose sizes together do not exceed left, which it reduces by them.
func takeFitting[T any](list *[]T, left *int, size func(T) int) []T {
	count := 0
	for count < len(*list) && size((*list)[count]) <= *left {
		*left -= size((*list)[count])
		count++
	}
	first := (*list)[:count]
	*list = (*list)[count:]
	return first
}

func (n *Instance) newsMessage(l news) heartbeat.Message {
	m, now := n.baseMessage(), time.Now()
	m.Requests, m.Parts, m.Ends = encodeEvidence(l.requests, now), encodeEvidence(l.parts, now), encodeEnds(l.ends, now)
	return m
}

// mergeNews merges what another instance has sent of crashes.
func (n *Instance) mergeNews(m heartbeat.Message, now time.Time) {
	for _, e := range m.Ends {
		// An engine may refuse connections of some instances only.
		if at := now.Add(-e.Age.Duration()); !n.table.AnsweredAfter(e.Engine, at) {
			n.crashes.RecordEnd(suspects.EngineEnd{Engine: e.Engine, At: at}, now)
		}
	}
	n.crashes.Requests.Merge(decodeEvidence(m.Requests, now), now)
	n.crashes.Parts.Merge(decodeEvidence(m.Parts, now), now)
}

// withEvidence adds evidence and ends of engines that the receiver may lack to a heartbeat.
func (n *Instance) withEvidence(m heartbeat.Message) heartbeat.Message {
	now := time.Now()
	m.Requests = encodeEvidence(n.crashes.Requests.Pressing(pressingPerMessage, now), now)
	m.Parts = encodeEvidence(n.crashes.Parts.Pressing(pressingPerMessage, now), now)
	m.Ends = encodeEnds(n.crashes.RecentEnds(endsPerMessage, now), now)
	return m
}

// ranked returns the peer addresses of the live instances, including this one, in an order for a culprit that all instances agree on.
func (n *Instance) ranked(c suspects.Culprit) []string { return n.rankedFor(c.String()) }

// rankedFor returns the peer addresses of the live instances, including this one, in an order for a key that all instances agree on.
func (n *Instance) rankedFor(key string) []string {
	peers := []string{n.self}
	for _, m := range n.members.Alive(boottime.Now()) {
		peers = append(peers, m.Peer)
	}
	candidates := rank.EqualWeights(peers, func(peer string) string { return peer })
	ordered := make([]string, 0, len(peers))
	for _, i := range rank.Order(key, candidates, len(peers)) {
		ordered = append(ordered, peers[i])
	}
	return ordered
}

// isTester reports whether this instance is the one that tries requests for a culprit, according to the instances that it knows to be alive.
func (n *Instance) isTester(c suspects.Culprit) bool { return n.ranked(c)[0] == n.self }

// storeCulprits writes culprits to the store, so that instances that start later know them, until ctx ends. The instance of highest rank
// writes first; the others follow if the entry does not appear.
func (n *Instance) storeCulprits(ctx context.Context) error {
	var retryAt time.Time
	for pause.For(ctx, culpritCheckPeriod) {
		now := time.Now()
		if now.Before(retryAt) {
			continue
		}
		err := n.storeDue(ctx, n.crashes.Parts, n.platform.Keys.Culprits, now)
		if err == nil {
			err = n.storeDue(ctx, n.crashes.Requests, n.platform.Keys.Culprits+requestCulprits, now)
		}
		if err != nil {
			retryAt = now.Add(maxRetryDelay)
		}
	}
	return ctx.Err()
}

// storeDue writes the culprits of one kind that are due and whose turn has come.
func (n *Instance) storeDue(ctx context.Context, t *suspects.Tracker, prefix string, now time.Time) error {
	for _, due := range t.Due(culpritMaxAge, now) {
		turn := time.Duration(slices.Index(n.ranked(due.Culprit), n.self)) * culpritTurn
		if now.Sub(due.Since) < turn {
			continue
		}
		if err := n.storeCulprit(ctx, prefix, due); err != nil {
			n.log.Warn("culprit not stored", zap.String("key", prefix+due.Culprit.String()), zap.Error(err))
			return err
		}
	}
	return nil
}

func (n *Instance) storeCulprit(ctx context.Context, prefix string, due suspects.DueCulprit) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value := valueRefused
	if due.Cleared {
		value = valueCleared
	}
	key := prefix + due.Culprit.String()
	_, err := n.platform.Store.PutWithLease(ctx, key, []byte(value), n.lastChange(key), culpritTTL)
	return err
}

// applyCulprit applies a changed entry of a culprit. An invalid entry is skipped.
func (n *Instance) applyCulprit(entry mirror.Entry) {
	name := strings.TrimPrefix(entry.Key, n.platform.Keys.Culprits)
	t := n.crashes.Parts
	if id, isRequest := strings.CutPrefix(name, requestCulprits); isRequest {
		t, name = n.crashes.Requests, id
	}
	c, err := suspects.ParseCulprit(name)
	if err != nil {
		n.logInvalidEntry(entry, err)
		return
	}
	refused := !entry.Deleted && string(entry.Value) == valueRefused
	// Logged when requests with these subjects begin or cease to be refused.
	n.log.Warn("culprit", zap.String("key", entry.Key), zap.Bool("refused", refused), zap.Int64("revision", int64(entry.Revision)))
	if refused {
		t.SetStored(c, time.Now())
		return
	}
	t.RemoveStored(c, time.Now())
}

func encodeEnds(list []suspects.EngineEnd, now time.Time) []heartbeat.EngineEnd {
	var encoded []heartbeat.EngineEnd
	for _, e := range list {
		encoded = append(encoded, heartbeat.EngineEnd{Engine: e.Engine, Age: heartbeat.MillisOf(now.Sub(e.At))})
	}
	return encoded
}

// encodeEvidence converts evidence for a message, with ages at now.
func encodeEvidence(list []suspects.Evidence, now time.Time) []heartbeat.Evidence {
	var encoded []heartbeat.Evidence
	for _, e := range list {
		one := heartbeat.Evidence{ID: e.ID, Answered: heartbeat.NeverAnswered}
		if !e.AnsweredAt.IsZero() {
			one.Answered = heartbeat.MillisOf(now.Sub(e.AnsweredAt))
		}
		for _, c := range e.Crashes {
			one.Crashes = append(one.Crashes, heartbeat.Crash{Engine: c.Engine, Age: heartbeat.MillisOf(now.Sub(c.At))})
		}
		encoded = append(encoded, one)
	}
	return encoded
}

// decodeEvidence converts the evidence of a message, whose ages count back from now.
func decodeEvidence(list []heartbeat.Evidence, now time.Time) []suspects.Evidence {
	decoded := make([]suspects.Evidence, len(list))
	for i, e := range list {
		decoded[i].ID = e.ID
		if e.Answered >= 0 {
			decoded[i].AnsweredAt = now.Add(-e.Answered.Duration())
		}
		for _, c := range e.Crashes {
			decoded[i].Crashes = append(decoded[i].Crashes, suspects.Crash{Engine: c.Engine, At: now.Add(-c.Age.Duration())})
		}
	}
	return decoded
}
