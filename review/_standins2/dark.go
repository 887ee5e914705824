package main

import (
	"fmt"
	"time"
)

func init() { cases["dark"] = runDark }

const (
	// darkTime is how long a crashed engine and its machine are silent.
	darkTime = 4 * time.Second
	// labelEvents are the events of a whole stream.
	labelEvents = 20
)

// runDark crashes one of seven engines, whose machine is silent afterwards. The engines answer without a length or chunks.
func runDark(c *caseRun) (int, error) {
	c.configure(7, []route{
		{Name: "r-draft", Host: host, PathPrefix: "/stream/", Kind: "stream", TimeoutMs: 4000, SloMs: 1200, Service: "llm", Attempts: 1, Sticky: true, TargetGapMs: 400},
		{Name: "r-booking", Host: host, PathPrefix: "/plain/booking/", Kind: "non_idempotent", TimeoutMs: 4000, SloMs: 800, Service: "llm", Attempts: 1},
	})
	for i := range 7 {
		e := c.newEngine(fmt.Sprintf("i-%d", i+1), "llm", zones[i%len(zones)], 96)
		if err := e.useProxy(); err != nil {
			return 0, err
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
		if i%2 == 0 {
			return call{method: "POST", target: fmt.Sprintf("/plain/booking/%d?unframed=1&bytes=%d&pause=2000", i, bookingBytes), key: key, deadline: 4 * time.Second}
		}
		return call{method: "POST", target: fmt.Sprintf("/stream/%d?unframed=1&events=%d&gap=150", i, labelEvents), key: key, deadline: 4 * time.Second, parts: fmt.Sprintf("a%d:300,b%d:200", i%14, i)}
	})
	time.Sleep(1050 * time.Millisecond)
	crashing := c.engines[0]
	if c.trouble {
		crashing.proxy.setDark(true)
		crashing.kill()
		time.Sleep(darkTime)
		crashing.proxy.setDark(false)
		if err := crashing.start(); err != nil {
			return 0, err
		}
	}
	return countCut(c, <-results, func(a answer) bool {
		return isWholeBooking(a) || a.body == streamBody(a.id, labelEvents)
	}), nil
}
