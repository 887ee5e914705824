package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["twice"] = runTwice }

const (
	// slowTime is how long an engine works slowFactor times as long (srv_slow).
	slowTime = 6 * time.Second
	// overlap is how long an engine may still work on a request that goes on at another one.
	overlap = 400 * time.Millisecond
	// replyEvents are the events of a whole stream.
	replyEvents = 12
)

// spell is the time in which an engine works on a request.
type spell struct {
	engine   string
	from, to time.Time
}

// keeping is the number of engines, of seven, that work on when the connection of a request is closed.
const keeping = 3

// runTwice slows one of seven engines. It is one of those that work on when the connection of a request is closed.
func runTwice(c *caseRun) (int, error) {
	c.configure(7, []route{streamRoute("llm")})
	var mu sync.Mutex
	spells := make(map[string][]*spell)
	for i := range 7 {
		var flags []string
		if i < keeping {
			flags = []string{"keeps"}
		}
		e := c.newEngine(fmt.Sprintf("i-%d", i+1), "llm", zones[i%len(zones)], 96, flags...)
		e.onReport = func(r report) {
			mu.Lock()
			defer mu.Unlock()
			if r.What == "runs" {
				spells[r.ID] = append(spells[r.ID], &spell{engine: r.Engine, from: time.Now()})
				return
			}
			for _, s := range spells[r.ID] {
				if s.engine == r.Engine && s.to.IsZero() {
					s.to = time.Now()
				}
			}
		}
		if err := e.start(); err != nil {
			return 0, err
		}
	}
	if err := c.startRouters(3); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	results := sendAll(c, 42, func(i int) call {
		return call{method: "POST", target: fmt.Sprintf("/stream/%d?events=%d&gap=250", i, replyEvents), key: key, deadline: 15 * time.Second, parts: fmt.Sprintf("a%d:300,b%d:200", i%14, i)}
	})
	time.Sleep(time.Second)
	mu.Lock()
	slow := busiest(c.engines[:keeping], spells)
	mu.Unlock()
	if c.trouble {
		c.record.line("engine %s works %d times as long for %s", slow.id, slowFactor, slowTime)
		_ = slow.cmd.Process.Signal(syscall.SIGUSR1)
		time.Sleep(slowTime)
		c.record.line("engine %s works as usual again", slow.id)
		_ = slow.cmd.Process.Signal(syscall.SIGUSR2)
	}
	whole := 0
	for _, a := range <-results {
		if a.status == 200 && a.complete && a.body == streamBody(a.id, replyEvents) {
			whole++
		}
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, list := range spells {
		for i := 1; i < len(list); i++ {
			before, next := list[i-1], list[i]
			if still := before.to.Sub(next.from); still > overlap {
				twice++
				c.record.line("broken: %s went on at %s while %s worked on it for %s more", id, next.engine, before.engine, still.Round(time.Millisecond))
			}
		}
	}
	c.record.line("%d of %d streams whole, %d of them were at work at two engines for more than %s", whole, len(spells), twice, overlap)
	switch {
	case twice > 0:
		return broken, nil
	case len(spells) == 0:
		return unable, nil
	}
	return held, nil
}

// busiest returns the one of some engines that works on the most requests.
func busiest(list []*engineProcess, spells map[string][]*spell) *engineProcess {
	counts := make(map[string]int)
	for _, each := range spells {
		for _, s := range each {
			counts[s.engine]++
		}
	}
	best := list[0]
	for _, e := range list {
		if counts[e.id] > counts[best.id] {
			best = e
		}
	}
	return best
}
