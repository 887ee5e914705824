package forward

import (
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/process/suspects"
)

// crashWindow is how soon after a lost answer an engine must be found unreachable for the request to be suspected.
const crashWindow = time.Second

type (
	// crashes tells requests that crash engines from answers that are lost otherwise: the engine is gone afterwards.
	crashes struct {
		suspects *suspects.Table
		mu       sync.Mutex
		lost     map[ident.Engine][]lostAnswer
	}

	lostAnswer struct {
		fingerprint uint64
		at          time.Time
	}
)

func newCrashes(t *suspects.Table) *crashes {
	return &crashes{suspects: t, lost: make(map[ident.Engine][]lostAnswer)}
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
		c.suspects.Crashed(l.fingerprint, e, now)
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
