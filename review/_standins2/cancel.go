package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["cancel"] = runCancel }

const (
	// leavers is the number of requests of which a part is given up, and leaveShare the divisor of that part.
	leavers    = 40
	leaveShare = 5
	// leaveAfter is when a client gives up: half of the objective.
	leaveAfter = 750 * time.Millisecond
)

// runCancel lets a part of the clients give up their requests: they close their side of the connection and read on.
func runCancel(c *caseRun) (int, error) {
	c.configure(7, []route{
		streamRoute("llm"),
		{Name: "r-read", Host: host, PathPrefix: "/plain/", Kind: "idempotent", TimeoutMs: 3000, SloMs: 1500, Service: "llm", Attempts: 2},
	})
	for i := range 3 {
		if _, err := c.addEngine(fmt.Sprintf("i-%d", i+1), "llm", zones[i], 96); err != nil {
			return 0, err
		}
	}
	if err := c.startRouters(3); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	var mu sync.Mutex
	var wg sync.WaitGroup
	broke, whole, ended := 0, 0, 0
	for i := range leavers {
		wg.Go(func() {
			cl, err := dialRouter(c.routers[i%len(c.routers)], c.record)
			if err != nil {
				return
			}
			k := kioskCall("events=8&gap=200")
			if i%2 == 1 {
				k = call{method: "GET", target: "/plain/read?first=1200", key: key, deadline: 3 * time.Second}
			}
			if c.trouble && i%leaveShare == 0 {
				time.AfterFunc(leaveAfter, func() {
					c.record.line("a client of %s gives up and closes its side", cl.address)
					if tcp, ok := cl.conn.(*net.TCPConn); ok {
						_ = tcp.CloseWrite()
					}
				})
			}
			a := cl.send(k)
			mu.Lock()
			defer mu.Unlock()
			isStream := strings.HasPrefix(k.target, "/stream/")
			switch {
			case a.status < 200 || a.status > 299 || !a.complete:
				ended++
			case a.sealed && ((isStream && a.body == streamBody(a.id, 8)) || (!isStream && isWholeBooking(a))):
				whole++
			default:
				broke++
				c.record.line("broken: %s was answered %d, sealed %t, with %d bytes and %d events, as if complete", a.id, a.status, a.sealed, len(a.body), a.events)
			}
		})
	}
	wg.Wait()
	c.record.line("%d answers whole, %d look complete and are not, %d others", whole, broke, ended)
	if broke > 0 {
		return broken, nil
	}
	return held, nil
}
