package main

import (
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["datagram"] = runDatagram }

// strayDatagram is the beginning of a heartbeat in which one list claims to have the most elements that its format allows, of which none follows.
const strayDatagram = "dc00130000ae3132372e302e302e313a37333430a0a00000c2c20000ddffffffff"

const (
	// rounds is how often each machine gets a stray datagram, and restartDelay the time after which the platform starts a process again.
	rounds       = 3
	restartDelay = 500 * time.Millisecond
)

// runDatagram sends stray datagrams to the machines, while clients send streams. Processes that end are started again, as the platform does.
func runDatagram(c *caseRun) (int, error) {
	data, err := hex.DecodeString(strayDatagram)
	if err != nil {
		return 0, err
	}
	c.configure(7, []route{streamRoute("llm")})
	for i := range 3 {
		if _, err := c.addEngine(fmt.Sprintf("i-%d", i+1), "llm", zones[i], 96); err != nil {
			return 0, err
		}
	}
	if err := c.startRouters(3); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	var stop atomic.Bool
	var whole, lost atomic.Int64
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for !stop.Load() {
				cl, err := dialRouter(c.routers[i%len(c.routers)], c.record)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				a := cl.send(kioskCall("events=8&gap=100"))
				if a.complete && a.body == streamBody(a.id, 8) {
					whole.Add(1)
				} else {
					lost.Add(1)
				}
				_ = cl.conn.Close()
			}
		})
	}
	ends := make(map[string]int)
	for range rounds {
		for _, r := range c.routers {
			if c.trouble {
				if err := sendDatagram(r, data); err != nil {
					return 0, err
				}
			}
			select {
			case err := <-r.exited:
				ends[r.name]++
				c.record.line("%s ended by itself: %v", r.name, err)
				time.Sleep(restartDelay)
				if err := r.start(c.root); err != nil {
					return 0, err
				}
				if err := waitFor(10*time.Second, r.isReady); err != nil {
					return 0, err
				}
			case <-time.After(2 * time.Second):
			}
		}
	}
	stop.Store(true)
	wg.Wait()
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	c.record.line("on %d machines processes ended by themselves three times; %d streams whole, %d lost", machines, whole.Load(), lost.Load())
	if machines >= 2 {
		return broken, nil
	}
	return held, nil
}

// sendDatagram sends a datagram to the address of a machine, at the port for traffic between machines.
func sendDatagram(r *router, data []byte) error {
	conn, err := net.Dial("udp", net.JoinHostPort(r.ip, strconv.Itoa(peersPort)))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	r.record.line("a client sends a datagram of %d bytes to %s, port %d", len(data), r.ip, peersPort)
	_, err = conn.Write(data)
	return err
}
