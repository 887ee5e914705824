package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late"] = runLate }

const (
	drainTime = 2 * time.Second
	// lateBy is how long after its call a write of an engine is executed that got no answer.
	lateBy = 5900 * time.Millisecond
	// contactTime is the time from the end of the store's disruption until machines count as in touch.
	contactTime = 3 * time.Second
	// exitAfter is the time from the report of an engine that leaves to its exit.
	exitAfter = drainTime + 1500*time.Millisecond
)

// runLate lets the store execute a write of an engine late: it says that the engine is ready, and follows the engine's report that it is draining.
func runLate(c *caseRun) (int, error) {
	c.configure(7, []route{{Name: "r-booking", Host: host, PathPrefix: "/plain/booking/", Kind: "non_idempotent", TimeoutMs: 2000, SloMs: 800, Service: "desk", Attempts: 1}})
	var leftAt atomic.Int64
	var mu sync.Mutex
	late := make(map[string]time.Duration)
	for i := range 7 {
		e := c.newEngine(fmt.Sprintf("i-%d", i+1), "desk", zones[i%len(zones)], 40)
		if i == 0 {
			e.onReport = func(r report) {
				if at := leftAt.Load(); at > 0 && r.What == "runs" {
					if after := time.Since(time.Unix(0, at)); after > drainTime {
						mu.Lock()
						late[r.ID] = after
						mu.Unlock()
					}
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
	leaving := c.engines[0]
	end := time.Now().Add(contactTime + 300*time.Millisecond + exitAfter + time.Second)
	var wg sync.WaitGroup
	var answers []answer
	for i := range 30 {
		wg.Go(func() {
			var cl *client
			for time.Now().Before(end) {
				if cl == nil {
					var err error
					if cl, err = dialRouter(c.routers[i%len(c.routers)], c.record); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				a := cl.send(call{method: "POST", target: "/plain/booking/a?first=900", key: key, deadline: 2 * time.Second})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.err != nil {
					_ = cl.conn.Close()
					cl = nil
				}
			}
		})
	}
	if c.trouble {
		entry := leaving.entry()
		c.record.line("the store loses the answer of a write of %s, and executes it %s later: %v", leaving.id, lateBy, entry)
		time.AfterFunc(lateBy, func() {
			c.store.put("servers/"+leaving.id, entry)
			c.record.line("the late write of %s is executed", leaving.id)
		})
	}
	time.Sleep(contactTime + 300*time.Millisecond)
	leaving.setState("draining")
	leftAt.Store(time.Now().UnixNano())
	c.record.line("the store acknowledges that %s is draining", leaving.id)
	// Its heartbeats go on until it exits; each writes its entry again if more than the sequence differs.
	for exit := time.Now().Add(exitAfter); time.Now().Before(exit); {
		time.Sleep(min(heartbeatInterval, time.Until(exit)))
		if time.Now().Before(exit) {
			leaving.register()
		}
	}
	c.store.remove("servers/" + leaving.id)
	leaving.kill()
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, a := range answers {
		after, isLate := late[a.id]
		if !isLate {
			continue
		}
		c.record.line("broken: %s reached %s %s after the acknowledgement; its client got status %d, complete %t", a.id, leaving.id, after.Round(time.Millisecond), a.status, a.complete)
		if a.status != 200 {
			lost++
		}
	}
	c.record.line("%d of %d requests reached %s later than %s after the acknowledgement, %d of them are lost", len(late), len(answers), leaving.id, drainTime, lost)
	switch {
	case len(late) > 0:
		return broken, nil
	case len(answers) == 0:
		return unable, nil
	}
	return held, nil
}
