package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/forward"
	"github.com/vanillaroute/vanillaroute/pause"
)

const (
	// contact is the bound for contact between instances in their settings.
	contact = 2 * time.Second
	// Parts of prompts: all have sharedPart, and engines crash on crashingPart.
	sharedPart   = "shared"
	soundPart    = "sound"
	crashingPart = "crashing"
	// Engines also crash on the paths that end in crashingTarget, of requests without a body, and in crashingBody. These come again unchanged.
	crashingTarget = "crash"
	crashingBody   = "crash-body"
	// Requests with a cause of crashes reach engines at most maxCrashingSends times later than contact after crash maxPartCrashes or
	// maxTargetCrashes.
	maxPartCrashes   = 5
	maxTargetCrashes = 3
	maxCrashingSends = 3
	// crashingInterval is the time between two requests with the same cause, and meanCrashingDelay the mean time until the first one.
	crashingInterval  = 60 * time.Millisecond
	meanCrashingDelay = 3 * time.Second
)

// crashCauses are the causes of crashes, and the numbers of crashes after which requests with them must stop.
var crashCauses = map[string]int{crashingPart: maxPartCrashes, crashingTarget: maxTargetCrashes, crashingBody: maxTargetCrashes}

// disturbances records the times at which something was not in touch. It is safe for concurrent use.
type disturbances struct {
	mu    sync.Mutex
	spans [][2]time.Time
}

func (d *disturbances) add(from, to time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans = append(d.spans, [2]time.Time{from, to})
}

// inTouch reports whether there was no disturbance from contact before the first time to the second one.
func (d *disturbances) inTouch(from, to time.Time) bool { return !d.between(from.Add(-contact), to) }

// between reports whether there was a disturbance between two times.
func (d *disturbances) between(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.spans, func(s [2]time.Time) bool { return s[1].After(from) && s[0].Before(to) })
}

// crashCause returns the cause for which engines crash on a request, or "".
func crashCause(r *http.Request, names forward.HeaderNames) string {
	if strings.Contains(r.Header.Get(names.PromptParts), crashingPart) {
		return crashingPart
	}
	for _, target := range []string{crashingTarget, crashingBody} {
		if strings.HasSuffix(r.URL.Path, "/"+target) {
			return target
		}
	}
	return ""
}

// runCrashing sends requests that crash engines for a cause to random instances until ctx ends, after a delay. Those for a part of the prompt
// use all paths, and those for a target always the same one.
func (c *callers) runCrashing(ctx context.Context, cause string, delay time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	var all sync.WaitGroup
	defer all.Wait()
	paths := map[string][]string{crashingPart: {pathRepeatable, pathStream, pathOnce}, crashingTarget: {pathRepeatable}, crashingBody: {pathOnce}}[cause]
	for n, ok := 0, pause.For(ctx, delay); ok; n, ok = n+1, pause.For(ctx, crashingInterval) {
		address := fmt.Sprintf("%s:%d", c.instances[rand.IntN(len(c.instances))].ip, callersPort)
		all.Go(func() { c.record(c.send(client, address, paths[n%len(paths)], validKey, cause)) })
	}
}

// checkCrashes checks that requests with a cause of crashes do not reach engines after enough crashes, from instances in touch.
func (r *run) checkCrashes() error {
	calls := r.callers.byID()
	for cause, allowed := range crashCauses {
		crashes := r.executions.crashes[cause]
		if len(crashes) < allowed {
			continue
		}
		from, sent := crashes[allowed-1].Add(contact), 0
		for _, a := range r.executions.crashArrivals[cause] {
			c, ok := calls[a.id]
			if !ok || !a.at.After(from) || !r.instanceAt(c.instance).disturbed.inTouch(c.sentAt, a.at) {
				continue
			}
			if sent++; sent > maxCrashingSends {
				return r.violation("requests that crash engines", c, fmt.Sprintf("request %d with %q that reaches an engine later than %s after crash %d, %d crashes in all",
					sent, cause, contact, allowed, len(crashes)))
			}
		}
	}
	return nil
}
