package forward

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/suspects"
)

// maxGood bounds how many requests are remembered as answered well.
const maxGood = 4096

// crashWindow is how soon after a lost answer an engine must be found unreachable for the request to be suspected.
const crashWindow = time.Second

type (
	// crashes tells requests that crash engines from answers that are lost otherwise: the engine is gone afterwards.
	crashes struct {
		suspects *suspects.Table
		mu       sync.Mutex
		lost     map[ident.Engine][]lostAnswer
		// good are requests that an engine has answered well, so that they crash none.
		good *simplelru.LRU[uint64, struct{}]
	}

	lostAnswer struct {
		fingerprint uint64
		at          time.Time
	}
)

func newCrashes(t *suspects.Table) *crashes {
	good, err := simplelru.NewLRU[uint64, struct{}](maxGood, nil)
	if err != nil {
		panic(err)
	}
	return &crashes{suspects: t, lost: make(map[ident.Engine][]lostAnswer), good: good}
}

// answeredWell notes that a request does not crash engines.
func (c *crashes) answeredWell(fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.good.Add(fingerprint, struct{}{})
	c.suspects.Cleared(fingerprint)
}

// engines returns the engines that a request is suspected to have crashed; one that was answered well is not.
func (c *crashes) engines(fingerprint uint64) []ident.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fingerprint == 0 || c.good.Contains(fingerprint) {
		return nil
	}
	return c.suspects.Engines(fingerprint)
}

// answerLost notes that an engine broke off a request; 0 is the fingerprint of requests that are never suspected.
func (c *crashes) answerLost(e ident.Engine, fingerprint uint64, now time.Time) {
	if fingerprint == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[e] = append(c.recent(e, now), lostAnswer{fingerprint, now})
}

// unreachable notes that an engine is gone, and returns how many requests are suspected for it.
func (c *crashes) unreachable(e ident.Engine, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := c.recent(e, now)
	delete(c.lost, e)
	for _, l := range recent {
		if !c.good.Contains(l.fingerprint) {
			c.suspects.Crashed(l.fingerprint, e, now)
		}
	}
	return len(recent)
}

func (c *crashes) recent(e ident.Engine, now time.Time) []lostAnswer {
	var recent []lostAnswer
	for _, l := range c.lost[e] {
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
