package main

import (
	"fmt"
	"time"
)

func init() { cases["leaving"] = runLeaving }

// notice is the time from the notice of an engine that is taken away to its end (scale_in, how spot).
const notice = 2 * time.Second

// runLeaving takes one of seven engines away with a notice, while bookings are answered without a length.
func runLeaving(c *caseRun) (int, error) {
	c.configure(7, []route{{Name: "r-booking", Host: host, PathPrefix: "/plain/booking/", Kind: "non_idempotent", TimeoutMs: 6000, SloMs: 800, Service: "desk", Attempts: 1}})
	for i := range 7 {
		if _, err := c.addEngine(fmt.Sprintf("i-%d", i+1), "desk", zones[i%len(zones)], 6); err != nil {
			return 0, err
		}
	}
	if err := c.startRouters(3); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	results := sendAll(c, 21, func(i int) call {
		// The first half of the answer comes at once, the second one after three seconds.
		return call{method: "POST", target: fmt.Sprintf("/plain/booking/%d?unframed=1&bytes=%d&pause=3000", i, bookingBytes), key: key, deadline: 6 * time.Second}
	})
	if c.trouble {
		time.Sleep(500 * time.Millisecond)
		leaving := c.engines[0]
		leaving.setState("draining")
		c.record.line("engine %s reports that it is draining, and is gone %s later", leaving.id, notice)
		time.Sleep(notice)
		leaving.kill()
	}
	return countCut(c, <-results, isWholeBooking), nil
}
