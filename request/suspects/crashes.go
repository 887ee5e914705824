package suspects

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// crashWindow is the longest time between a lost answer and the end of its engine for which the request is suspected.
	crashWindow = time.Second
	// endSpan is how long heartbeats repeat the end of an engine, which matters for crashWindow only.
	endSpan = 2 * time.Second
)

type (
	// Subjects are what the evidence on a request is kept for.
	Subjects struct {
		Request ID
		// Parts are the parts of the prompt that other prompts may share.
		Parts []ID
	}

	// EngineEnd says that the process of an engine was found to have ended at a time.
	EngineEnd struct {
		Engine engines.Key
		At     time.Time
	}

	// Crashes holds the evidence on the requests and parts of prompts on which engines crashed. A request is suspected only if its engine's process
	// ends shortly after its answer was lost: answers are lost for other reasons too. It is safe for concurrent use.
	Crashes struct {
		Requests, Parts *Tracker

		mu sync.Mutex
		// lost are the recent lost answers of each engine, and ended when engines were found to have ended.
		lost  map[engines.Key][]lostAnswer
		ended map[engines.Key]time.Time
		// unsentEnds are the ends that other instances have to know.
		unsentEnds []EngineEnd
		changed    chan struct{}
	}

	lostAnswer struct {
		subjects Subjects
		at       time.Time
	}
)

// NewCrashes returns a Crashes without evidence.
func NewCrashes() *Crashes {
	changed := make(chan struct{}, 1)
	return &Crashes{
		Requests: newTracker(RequestPolicy(), changed), Parts: newTracker(PartPolicy(), changed),
		lost: make(map[engines.Key][]lostAnswer), ended: make(map[engines.Key]time.Time), changed: changed,
	}
}

// NewRequest returns the ID of a request, which is the same whenever its caller sends it, at any instance. A request need not have a body.
func NewRequest(org ident.Organisation, method, host, target string, body []byte) ID {
	d := xxhash.New()
	for _, field := range []string{string(org), method, host, target} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return ID(d.Sum64())
}

// RecordLost records that an engine accepted a request and that no complete answer arrived, or that none is waited for any more.
func (c *Crashes) RecordLost(e engines.Key, s Subjects, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := lostAnswer{subjects: s, at: now}
	if endedAt, ended := c.ended[e]; ended && now.Sub(endedAt) < crashWindow {
		c.suspect(e, l, now)
		return
	}
	c.lost[e] = append(c.recentLost(e, now), l)
}

// RecordEnd records that the process of an engine was found to have ended, by this instance or another. The requests whose answers it lost within the
// last crashWindow are suspected. It returns their number.
func (c *Crashes) RecordEnd(end EngineEnd, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.ended[end.Engine]; !known {
		c.ended[end.Engine] = end.At
		c.unsentEnds = append(c.unsentEnds, end)
		notify(c.changed)
	}
	recent := c.recentLost(end.Engine, end.At)
	delete(c.lost, end.Engine)
	for _, l := range recent {
		c.suspect(end.Engine, l, now)
	}
	return len(recent)
}

func (c *Crashes) suspect(e engines.Key, l lostAnswer, now time.Time) {
	crash := Crash{Engine: e, At: l.at}
	c.Requests.RecordCrash([]ID{l.subjects.Request}, crash, now)
	c.Parts.RecordCrash(l.subjects.Parts, crash, now)
}

// RecordAnswer records that an engine has completed an answer to a request without a crash, and to its parts if complete is set: a refusal of the
// engine need not have read them.
func (c *Crashes) RecordAnswer(s Subjects, complete bool, now time.Time) {
	c.Requests.RecordAnswer([]ID{s.Request}, now)
	if complete {
		c.Parts.RecordAnswer(s.Parts, now)
	}
}

// Changed returns a channel that receives a value when there is news for other instances: ends of engines, or evidence of either kind.
func (c *Crashes) Changed() <-chan struct{} { return c.changed }

// TakeEnds returns the ends of engines that have become known since the last call.
func (c *Crashes) TakeEnds() []EngineEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := c.unsentEnds
	c.unsentEnds = nil
	return ends
}

// RecentEnds returns up to limit of the ends that became known within endSpan, at random.
func (c *Crashes) RecentEnds(limit int, now time.Time) []EngineEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ends []EngineEnd
	for e, at := range c.ended {
		if now.Sub(at) < endSpan {
			ends = append(ends, EngineEnd{Engine: e, At: at})
		}
	}
	rand.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
	return ends[:min(limit, len(ends))]
}

// Sweep removes the evidence after Retention, and lost answers and ends when they no longer matter.
func (c *Crashes) Sweep(now time.Time) {
	c.Requests.Sweep(now)
	c.Parts.Sweep(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := range c.lost {
		if c.lost[e] = c.recentLost(e, now); len(c.lost[e]) == 0 {
			delete(c.lost, e)
		}
	}
	for e, at := range c.ended {
		if now.Sub(at) >= shareWindow {
			delete(c.ended, e)
		}
	}
}

// recentLost returns the answers that an engine has lost within crashWindow before a time, or later.
func (c *Crashes) recentLost(e engines.Key, at time.Time) []lostAnswer {
	return slices.DeleteFunc(slices.Clone(c.lost[e]), func(l lostAnswer) bool { return at.Sub(l.at) >= crashWindow })
}
