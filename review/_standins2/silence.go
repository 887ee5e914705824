package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["silence"] = runSilence }

const (
	// kioskEvents are the events of a whole stream.
	kioskEvents = 8
	// silence is how long an engine that was preempted makes no event. Clients wait for 6 s here: four times the objective.
	silence = 1500 * time.Millisecond
)

// runSilence stops a machine with SIGTERM while it relays streams. Two of three engines are full and have said for how long; the third one has preempted
// its streams for a moment.
func runSilence(c *caseRun) (int, error) {
	c.configure(7, []route{streamRoute("llm")})
	for i := range 3 {
		var flags []string
		if i > 0 {
			flags = []string{"full"}
		}
		if _, err := c.addEngine(fmt.Sprintf("i-%d", i+1), "llm", zones[i], 96, flags...); err != nil {
			return 0, err
		}
	}
	if err := c.startRouters(3); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	stopped := c.routers[0]
	const streams = 4
	clients := make([]*client, streams)
	for i := range clients {
		cl, err := dialRouter(stopped, c.record)
		if err != nil {
			return 0, err
		}
		clients[i] = cl
		for n := range 8 {
			if a := cl.send(kioskCall(fmt.Sprintf("events=2&gap=20&n=%d", n))); !a.complete || a.status != 200 {
				return 0, fmt.Errorf("a stream before the planned work got %d, %v", a.status, a.err)
			}
		}
	}
	query := fmt.Sprintf("events=%d&gap=100", kioskEvents)
	if c.trouble {
		query += fmt.Sprintf("&pauseAfter=4&pause=%d", silence.Milliseconds())
	}
	results := make(chan answer, streams)
	for _, cl := range clients {
		go func() { results <- cl.send(kioskCall(query)) }()
	}
	time.Sleep(300 * time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	cut := 0
	for range streams {
		a := <-results
		if a.complete && a.status == 200 && a.body == streamBody(a.id, kioskEvents) {
			continue
		}
		cut++
		c.record.line("broken: the connection of %s ended %s after the request was sent, with status %d and %d of %d events", a.id, a.endedAt.Sub(a.sentAt).Round(time.Millisecond), a.status, a.events, kioskEvents)
	}
	c.record.line("%d of %d streams were cut", cut, streams)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}

func kioskCall(query string) call {
	return call{method: "POST", target: "/stream/kiosk?" + query, key: key, deadline: 15 * time.Second, parts: "a1:300,b2:200,c3:110"}
}
