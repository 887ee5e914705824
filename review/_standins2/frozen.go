package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["frozen"] = runFrozen }

const (
	// freezeTime is how long the machine stands still, and downtime how long the engine is away meanwhile.
	freezeTime = 4 * time.Second
	downtime   = 1500 * time.Millisecond
	// draftEvents are the events of a whole stream.
	draftEvents = 40
)

// runFrozen freezes one machine while one of six engines crashes and starts again under its id. The engines answer without a length or chunks.
func runFrozen(c *caseRun) (int, error) {
	c.configure(7, []route{
		{Name: "r-draft", Host: host, PathPrefix: "/stream/", Kind: "stream", TimeoutMs: 15000, SloMs: 1500, Service: "llm", Attempts: 1, Sticky: true, TargetGapMs: 400},
		{Name: "r-booking", Host: host, PathPrefix: "/plain/booking/", Kind: "non_idempotent", TimeoutMs: 15000, SloMs: 1500, Service: "llm", Attempts: 1},
	})
	for i := range 6 {
		if _, err := c.addEngine(fmt.Sprintf("i-%d", i+1), "llm", zones[i%len(zones)], 96); err != nil {
			return 0, err
		}
	}
	if err := c.startRouters(3); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	results := sendAll(c, 72, func(i int) call {
		if i%2 == 0 {
			return call{method: "POST", target: fmt.Sprintf("/plain/booking/%d?unframed=1&bytes=%d&pause=8000", i, bookingBytes), key: key, deadline: 15 * time.Second}
		}
		return call{method: "POST", target: fmt.Sprintf("/stream/%d?unframed=1&events=%d&gap=200", i, draftEvents), key: key, deadline: 15 * time.Second, parts: fmt.Sprintf("a%d:300,b%d:200", i%12, i)}
	})
	time.Sleep(1050 * time.Millisecond)
	frozen, crashing := c.routers[0], c.engines[0]
	if c.trouble {
		frozen.signal(syscall.SIGSTOP)
		wake := time.After(freezeTime)
		time.Sleep(500 * time.Millisecond)
		crashing.kill()
		time.Sleep(downtime)
		if err := crashing.start(); err != nil {
			return 0, err
		}
		<-wake
		frozen.signal(syscall.SIGCONT)
	}
	return countCut(c, <-results, func(a answer) bool {
		return isWholeBooking(a) || a.body == streamBody(a.id, draftEvents)
	}), nil
}
