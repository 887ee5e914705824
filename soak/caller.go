package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/forward"
	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	pathOnce       = "/once/"
	pathRepeatable = "/many/"
	pathStream     = "/stream/"
	host           = "soak.example"
	validKey       = "kept-key"
	revokedKey     = "revoked-key"
	callTimeout    = 3 * time.Second
	callInterval   = 30 * time.Millisecond
	// callsPerInstance is the mean number of calls after which a caller chooses an instance again, so that restarted ones get calls too.
	callsPerInstance = 40
)

type (
	// call is one request and its result at the caller.
	call struct {
		id       ident.Request
		path     string
		key      string
		instance string
		// crashes is the cause for which engines crash on the request, or "".
		crashes string
		sentAt  time.Time
		endedAt time.Time
		// engine is the engine whose answer the caller got, as its seal says, and leaving says that the engine is leaving.
		engine  ident.Engine
		leaving bool
		// status is 0 if the connection broke before or during the answer.
		status int
		body   string
		err    error
	}

	// callers send requests and record the results.
	callers struct {
		instances []*instance
		names     forward.HeaderNames
		mu        sync.Mutex
		calls     []call
	}
)

// run sends requests from count concurrent callers until ctx ends. Each caller uses one instance, also after that has left the list of
// addresses, until a connection fails or, seldom, at random.
func (c *callers) run(ctx context.Context, count int) {
	var all sync.WaitGroup
	for number := range count {
		all.Go(func() { c.runCaller(ctx, number) })
	}
	all.Wait()
}

func (c *callers) runCaller(ctx context.Context, number int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	paths := []string{pathOnce, pathRepeatable, pathStream}
	keys := []string{validKey, validKey, revokedKey}
	var addresses []string
	var resolvedAt time.Time
	address := ""
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(resolvedAt) > time.Second {
			if resolved := c.resolve(); len(resolved) > 0 {
				addresses = resolved
			}
			resolvedAt = time.Now()
		}
		if address == "" && len(addresses) > 0 {
			address = addresses[rand.IntN(len(addresses))]
		}
		if address != "" {
			sent := c.send(client, address, paths[(n+number)%len(paths)], keys[n%len(keys)], "")
			if sent.status == 0 || rand.IntN(callsPerInstance) == 0 {
				address = ""
			}
			c.record(sent)
		}
		time.Sleep(callInterval)
	}
	client.CloseIdleConnections()
}

// resolve asks up to three random instances for the addresses to use. It returns nil if none answers.
func (c *callers) resolve() []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		n := c.instances[rand.IntN(len(c.instances))]
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/resolve?name=%s", n.ip, directoryPort, host))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// send sends a request, which crashes engines for a cause unless that is "".
func (c *callers) send(client *http.Client, address, path, key, crashes string) call {
	r := call{id: ident.NewRequest(), path: path, key: key, instance: address, crashes: crashes, sentAt: time.Now()}
	method, target, body, parts := http.MethodPost, "x", string(r.id), fmt.Sprintf("%s:100,%s:100,%s:10", sharedPart, soundPart, r.id)
	switch crashes {
	case crashingPart:
		parts = strings.Replace(parts, soundPart, crashingPart, 1)
	case crashingTarget:
		method, target, body, parts = http.MethodGet, crashes, "", ""
	case crashingBody:
		target, body, parts = crashes, crashes, ""
	}
	req, err := http.NewRequest(method, "http://"+address+path+target, strings.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	// Without GetBody the HTTP client never retries a request on its own.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(c.names.RequestID, string(r.id))
	if parts != "" {
		req.Header.Set(c.names.PromptParts, parts)
	}
	req.Header.Set(c.names.Deadline, fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := client.Do(req)
	if err == nil {
		var answer []byte
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.body, r.engine, r.leaving = string(answer), ident.Engine(resp.Header.Get(c.names.ResponseSeal)), resp.Header.Get(c.names.Leaving) != ""
		if err == nil {
			r.status = resp.StatusCode
		}
	}
	r.err, r.endedAt = err, time.Now()
	return r
}

func (c *callers) record(r call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, r)
}

// byID returns the calls by their ids.
func (c *callers) byID() map[ident.Request]call {
	calls := make(map[ident.Request]call)
	for _, r := range c.calls {
		calls[r.id] = r
	}
	return calls
}

// soundAfter returns the calls that were sent after t and do not crash engines.
func (c *callers) soundAfter(t time.Time) []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []call
	for _, r := range c.calls {
		if r.sentAt.After(t) && r.crashes == "" {
			list = append(list, r)
		}
	}
	return list
}

// bodyProblem describes what is wrong with the body of a success or of an interrupted stream, or returns "".
func (r call) bodyProblem() string {
	if r.path != pathStream {
		if r.status == http.StatusOK && r.body != "answer for "+string(r.id) {
			return fmt.Sprintf("the body is %q", r.body)
		}
		return ""
	}
	if r.status != http.StatusOK && r.status != 0 {
		return ""
	}
	events := strings.Split(strings.TrimSuffix(r.body, "\n\n"), "\n\n")
	for i, e := range events {
		if want := fmt.Sprintf("id: %d\ndata: %s/%d", i+1, r.id, i+1); e != want && (r.status == http.StatusOK || i < len(events)-1) {
			return fmt.Sprintf("event %d is %q", i+1, e)
		}
	}
	if r.status == http.StatusOK && len(events) != eventsPerStream {
		return fmt.Sprintf("the stream ended without an error after %d events", len(events))
	}
	return ""
}
