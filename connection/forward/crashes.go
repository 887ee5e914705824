package forward

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/suspects"
)

// maxClearedRequests bounds how many requests are remembered as answered well.
const maxClearedRequests = 4096

// crashWindow is how soon after a lost answer an engine must be found unreachable for the request to be suspected.
const crashWindow = time.Second

type (
	// crashTracker tells requests that crash engines from answers that are lost otherwise: the engine is gone afterwards.
	crashTracker struct {
		suspects    *suspects.Table
		mu          sync.Mutex
		lostAnswers map[ident.Engine][]lostAnswer
		// cleared are requests that an engine has answered well, so that they crash none.
		cleared *simplelru.LRU[uint64, struct{}]
	}

	lostAnswer struct {
		fingerprint uint64
		at          time.Time
	}
)

func newCrashTracker(t *suspects.Table) *crashTracker {
	good, err := simplelru.NewLRU[uint64, struct{}](maxClearedRequests, nil)
	if err != nil {
		panic(err)
	}
	return &crashTracker{suspects: t, lostAnswers: make(map[ident.Engine][]lostAnswer), cleared: good}
}

// markCleared notes that a request does not crash engines.
func (c *crashTracker) markCleared(fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleared.Add(fingerprint, struct{}{})
	c.suspects.Clear(fingerprint)
}

// crashedEngines returns the engines that a request is suspected to have crashed; one that was answered well is not.
func (c *crashTracker) crashedEngines(fingerprint uint64) []ident.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fingerprint == 0 || c.cleared.Contains(fingerprint) {
		return nil
	}
	return c.suspects.CrashedEngines(fingerprint)
}

// recordLostAnswer notes that an engine broke off a request; 0 is the fingerprint of requests that are never suspected.
func (c *crashTracker) recordLostAnswer(e ident.Engine, fingerprint uint64, now time.Time) {
	if fingerprint == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAnswers[e] = append(c.recentLostAnswers(e, now), lostAnswer{fingerprint, now})
}

// recordUnreachable notes that an engine is gone, and returns how many requests are suspected for it.
func (c *crashTracker) recordUnreachable(e ident.Engine, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := c.recentLostAnswers(e, now)
	delete(c.lostAnswers, e)
	for _, l := range recent {
		if !c.cleared.Contains(l.fingerprint) {
			c.suspects.RecordCrash(l.fingerprint, e, now)
		}
	}
	return len(recent)
}

func (c *crashTracker) recentLostAnswers(e ident.Engine, now time.Time) []lostAnswer {
	var recent []lostAnswer
	for _, l := range c.lostAnswers[e] {
		if now.Sub(l.at) < crashWindow {
			recent = append(recent, l)
		}
	}
	return recent
}

// fingerprint identifies requests of the same caller, path and body; without a body it is 0.
func fingerprint(org ident.Organisation, target string, body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	return suspects.Fingerprint(org, append([]byte(target+"\x00"), body...))
}
