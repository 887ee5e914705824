package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// entryExpiry is three intervals of heartbeats, after which the entry of a silent engine is removed.
const entryExpiry = 3600 * time.Millisecond

type fields map[string]any

var (
	lookupRoute = fields{
		"name": "lookup", "host": host, "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutMs": 1000, "sloMs": 150, "priority": 2, "service": "desk", "attempts": 2,
		"public": false, "sticky": false, "resumable": false,
	}
	bookingRoute = fields{
		"name": "booking", "host": host, "pathPrefix": "/booking/", "kind": "non_idempotent", "timeoutMs": 1000, "sloMs": 150, "priority": 2, "service": "desk", "attempts": 1,
		"public": false, "sticky": false, "resumable": false,
	}
	kioskRoute = fields{
		"name": "kiosk", "host": host, "pathPrefix": "/chat/", "kind": "stream", "timeoutMs": 15000, "sloMs": 1500, "priority": 2, "service": "llm", "attempts": 2,
		"public": false, "sticky": true, "resumable": true, "targetGapMs": 400,
	}
)

func tenant(keys ...string) []any {
	if keys == nil {
		keys = []string{}
	}
	return []any{fields{"name": "museum", "apiKeys": keys, "priority": 1}}
}

func withTimeout(route fields, ms int) fields {
	changed := fields{}
	for k, v := range route {
		changed[k] = v
	}
	changed["timeoutMs"] = ms
	return changed
}

// revokedKeys takes the key of the only tenant away, and sends requests with that key and with one that no configuration ever held. Only those with
// the revoked key decide.
func revokedKeys(rec *record, trouble bool) (bool, error) {
	const key, foreign = "n2ctnfzs989anu6wsjnb", "neverheldbyanyone000"
	d, err := newDeployment(rec, 3, 7, []any{lookupRoute, bookingRoute}, tenant(key))
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := d.startEngine(fmt.Sprintf("i-desk%d", i+1), "desk", fmt.Sprintf("zone-%d", i), 6); err != nil {
			return false, err
		}
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	number := 0
	round := func(phase string) error {
		for _, n := range d.instances {
			for _, path := range []string{"/booking/", "/lookup/"} {
				for _, k := range []string{key, foreign} {
					number++
					c, err := dialClient(n.callers)
					if err != nil {
						return err
					}
					method := http.MethodPost
					if path == "/lookup/" {
						method = http.MethodGet
					}
					id := fmt.Sprintf("%s-%s-%d", phase, map[string]string{key: "known", foreign: "foreign"}[k], number)
					rec.add("sent %s to %s%s with key %s", id, n.name, path, k)
					a := c.do(request{method: method, host: host, path: path, id: id, key: k, deadline: time.Second}, 3*time.Second)
					rec.add("answered %s status=%d err=%v", id, a.status, a.err)
					c.close()
				}
			}
		}
		return nil
	}
	if err := round("before"); err != nil {
		return false, err
	}
	if trouble {
		if err := d.configure(8, tenant()); err != nil {
			return false, err
		}
	}
	time.Sleep(revokeBound + time.Second)
	for range 3 {
		if err := round("after"); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
	}
	served := len(rec.find("engine: runs", "before-known"))
	revoked, never := len(rec.find("engine: runs", "after-known")), len(rec.find("engine: runs", "-foreign-"))
	if !trouble {
		revoked = 0
	}
	rec.add("before the revocation %d requests with the key ran; %d that were sent over %s after its acknowledgement ran; with a key that no configuration ever held, %d ran", served, revoked, revokeBound, never)
	if served == 0 {
		return false, fmt.Errorf("no request with the valid key ran")
	}
	return revoked > 0, nil
}

// crashedEngine lets an engine crash while it is at work on streams.
func crashedEngine(rec *record, trouble bool) (bool, error) {
	return cutStreams(rec, 240, trouble, false)
}

// leavingEngine takes an engine away while it is at work on streams: it says that it is draining, and is gone two seconds later.
func leavingEngine(rec *record, trouble bool) (bool, error) { return cutStreams(rec, 8, trouble, true) }

// cutStreams kills the engine with the most streams, after a notice if wanted. The answers have neither a length nor chunks.
func cutStreams(rec *record, streams int, trouble, notice bool) (bool, error) {
	const key, pieces = "n2ctnfzs989anu6wsjnb", 70
	d, err := newDeployment(rec, 2, 7, []any{kioskRoute}, tenant(key))
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	var engines []*engineProcess
	for i := range 3 {
		e, err := d.startEngine(fmt.Sprintf("i-llm%d", i+1), "llm", fmt.Sprintf("zone-%d", i), 96, "-events", fmt.Sprint(pieces), "-every", "100ms", "-unframed")
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	broken, whole := 0, 0
	for i := range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("stream-%d", i+1)
			n := d.instances[i%len(d.instances)]
			c, err := dialClient(n.callers)
			if err != nil {
				rec.add("no connection for %s: %v", id, err)
				return
			}
			defer c.close()
			prefix := fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,e4402b%02x:250", i, i)
			rec.add("sent %s to %s", id, n.name)
			a := c.do(request{method: http.MethodPost, host: host, path: "/chat/", id: id, key: key, deadline: 15 * time.Second, prefix: prefix, body: "prompt"}, 20*time.Second)
			got := events(a.body)
			inOrder := true
			for k, event := range got {
				inOrder = inOrder && event == k+1
			}
			rec.add("answered %s status=%d complete=%t pieces=%d of %d inOrder=%t seal=%s err=%v", id, a.status, a.err == nil, len(got), pieces, inOrder, a.header.Get("Vanillaroute-Response-Seal"), a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK && a.err == nil {
				if len(got) == pieces && inOrder {
					whole++
				} else {
					broken++
				}
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		// The engine with the most streams leaves.
		leaving := engines[0]
		for _, e := range engines {
			if len(rec.find("engine: runs", "engine="+e.id)) > len(rec.find("engine: runs", "engine="+leaving.id)) {
				leaving = e
			}
		}
		if notice {
			if err := d.register(leaving, "draining"); err != nil {
				return false, err
			}
			time.Sleep(drainBound)
		}
		d.signal(leaving, syscall.SIGKILL)
		time.AfterFunc(entryExpiry, func() { d.store.remove("servers/" + leaving.id) })
	}
	wait.Wait()
	rec.add("%d streams were whole, %d ended as complete before their last piece", whole, broken)
	if whole+broken == 0 {
		return false, fmt.Errorf("no stream was answered")
	}
	return broken > 0, nil
}

// unanswered takes the only engine of a service away while requests wait in its queue. The engine rejects them when the time that the route allows has passed.
func unanswered(rec *record, trouble bool) (bool, error) {
	const key, waiting, timeoutMs = "n2ctnfzs989anu6wsjnb", 8, 2000
	d, err := newDeployment(rec, 2, 7, []any{withTimeout(kioskRoute, timeoutMs)}, tenant(key))
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	// One engine with one slot; a stream takes 1.8 s.
	e, err := d.startEngine("i-llm1", "llm", "zone-0", 2, "-events", "6", "-every", "300ms")
	if err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	ask := func(c *client, id string) answer {
		rec.add("sent %s", id)
		a := c.do(request{method: http.MethodPost, host: host, path: "/chat/", id: id, key: key, deadline: 6 * time.Second, prefix: "5c1e07a2:800,91bd3f06:410,e4402b7d:250", body: "prompt"}, 8*time.Second)
		rec.add("answered %s status=%d err=%v after %d ms", id, a.status, a.err, a.took.Milliseconds())
		return a
	}
	// Each client has served one request on its connection before: it is kept.
	clients := make([]*client, waiting)
	for i := range clients {
		if clients[i], err = dialClient(d.instances[i%len(d.instances)].callers); err != nil {
			return false, err
		}
		defer clients[i].close()
	}
	var wait sync.WaitGroup
	for i, c := range clients {
		if i%2 == 0 {
			wait.Wait()
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			ask(c, fmt.Sprintf("first-%d", i+1))
		}()
	}
	wait.Wait()
	var mu sync.Mutex
	closed, answered := 0, 0
	for i, c := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("second-%d", i+1)
			a := ask(c, id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.err == nil:
				answered++
			case len(rec.find("engine: reaches", id+" ")) > 0 && a.status == 0:
				closed++
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := d.register(e, "draining"); err != nil {
			return false, err
		}
	}
	wait.Wait()
	rec.add("of %d requests on kept connections that waited at a sound engine, %d were answered, and %d ended with their connection closed without an answer; lines of the instances' logs with a panic: %d", waiting, answered, closed, d.grep("panic serving"))
	if answered+closed == 0 {
		return false, fmt.Errorf("no request was answered or closed")
	}
	return closed > 3, nil
}

// falseCulprit kills all entry instances, as a final fault does, and lets the model engine crash three times soon after they are back, before it has ended
// a stream. It is back two seconds after each crash. All prompts are sound and share their first part.
func falseCulprit(rec *record, trouble bool) (bool, error) {
	const key, pieces, every, down = "n2ctnfzs989anu6wsjnb", 40, 200 * time.Millisecond, 1200 * time.Millisecond
	const recovery, engineDown, engineUp, observed = 12 * time.Second, 2 * time.Second, time.Second, 6 * time.Second
	d, err := newDeployment(rec, 3, 7, []any{kioskRoute}, tenant(key))
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	flags := []string{"-events", fmt.Sprint(pieces), "-every", "100ms"}
	e, err := d.startEngine("i-llm1", "llm", "zone-0", 96, flags...)
	if err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	type result struct {
		sent   time.Duration
		served bool
	}
	var mu sync.Mutex
	var results []result
	var wait sync.WaitGroup
	stop := make(chan struct{})
	wait.Add(1)
	go func() {
		defer wait.Done()
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				id := fmt.Sprintf("kiosk-%03d", n)
				sent := time.Since(rec.began)
				a := answer{err: fmt.Errorf("no connection")}
				for k := range d.instances {
					// A client that gets no connection tries the next address.
					c, err := dialClient(d.instances[(n+k)%len(d.instances)].callers)
					if err != nil {
						continue
					}
					rec.add("sent %s to %s", id, d.instances[(n+k)%len(d.instances)].name)
					prefix := fmt.Sprintf("5c1e07a2:800,91bd%04x:410,e440%04x:250", n, n)
					a = c.do(request{method: http.MethodPost, host: host, path: "/chat/", id: id, key: key, deadline: 15 * time.Second, prefix: prefix, body: "prompt"}, 16*time.Second)
					c.close()
					break
				}
				served := a.status == http.StatusOK && a.err == nil && len(events(a.body)) == pieces
				rec.add("answered %s status=%d pieces=%d served=%t retryAfter=%q err=%v", id, a.status, len(events(a.body)), served, a.header.Get("Retry-After"), a.err)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, result{sent, served})
			}()
		}
	}()
	time.Sleep(10 * time.Second)
	fault := time.Since(rec.began)
	if trouble {
		if err := d.configure(8, tenant(key)); err != nil {
			return false, err
		}
		rec.add("final fault: all entry instances are killed")
		for _, n := range d.instances {
			_ = n.cmd.Process.Kill()
		}
		for _, n := range d.instances {
			_ = n.cmd.Wait()
		}
		time.Sleep(down)
		for _, n := range d.instances {
			if err := d.start(n); err != nil {
				return false, err
			}
		}
		if err := d.waitReady(); err != nil {
			return false, err
		}
	}
	back := time.Since(rec.began)
	// CRASHES=0 leaves the final fault alone.
	for n := 2; trouble && os.Getenv("CRASHES") != "0" && n <= 4; n++ {
		time.Sleep(engineUp)
		d.signal(e, syscall.SIGKILL)
		time.Sleep(engineDown)
		d.store.remove("servers/" + e.id)
		if e, err = d.startEngine(fmt.Sprintf("i-llm%d", n), "llm", "zone-0", 96, flags...); err != nil {
			return false, err
		}
	}
	time.Sleep(back + recovery + observed - time.Since(rec.began))
	close(stop)
	wait.Wait()
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, r := range results {
		switch {
		case r.sent < fault-5*time.Second:
			before++
			if r.served {
				servedBefore++
			}
		case r.sent > back+recovery:
			after++
			if r.served {
				servedAfter++
			}
		}
	}
	rec.add("before the final fault %d of %d requests were served; of those sent later than %s after the instances were back, %d of %d", servedBefore, before, recovery, servedAfter, after)
	if before == 0 || after == 0 || 4*servedBefore < before {
		return false, fmt.Errorf("too few requests were served before the final fault")
	}
	return 4*servedAfter < after, nil
}
