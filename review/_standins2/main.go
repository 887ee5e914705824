// Command review-2 holds the stand-ins and drivers of the scripts of the second review.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// caseRun is one run of a case.
type caseRun struct {
	root, dir, temp, prefix string
	trouble                 bool
	routerCount             int
	record                  *record
	store                   *store
	routers                 []*router
	engines                 []*engineProcess
}

var cases = map[string]func(*caseRun) (int, error){}

func main() {
	if len(os.Args) >= 5 && os.Args[1] == "engine" {
		slots, _ := strconv.Atoi(os.Args[4])
		if err := serveEngine(os.Args[2], os.Args[3], slots, os.Args[5:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE ROOT DIRECTORY")
		os.Exit(unable)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, root, dir string) int {
	c := &caseRun{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if c.record, err = newRecord(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer c.record.close()
	if c.temp, err = os.MkdirTemp("", "review-2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(c.temp) }()
	}
	if c.prefix, err = claimNetwork(); err == nil {
		c.store, err = newStore(c.prefix + "100")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer c.close()
	// The run ends itself in any case.
	time.AfterFunc(115*time.Second, func() {
		c.close()
		os.Exit(unable)
	})
	code, err := cases[name](c)
	if err != nil {
		c.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	c.record.line("exit %d (trouble %t)", code, c.trouble)
	fmt.Printf("case %s, trouble %t: exit %d\n", filepath.Base(dir), c.trouble, code)
	return code
}

func (c *caseRun) close() {
	for _, r := range c.routers {
		if r.cmd != nil && r.cmd.Process != nil {
			_ = r.cmd.Process.Signal(syscall.SIGCONT)
			_ = r.cmd.Process.Kill()
			select {
			case <-r.exited:
			case <-time.After(2 * time.Second):
			}
		}
	}
	for _, e := range c.engines {
		e.end()
	}
}

// startRouters starts the routers and waits until all are ready.
func (c *caseRun) startRouters(count int) error {
	c.routerCount = count
	for i := 1; i <= count; i++ {
		r, err := newRouter(c, i)
		if err != nil {
			return err
		}
		c.routers = append(c.routers, r)
		if err := r.start(c.root); err != nil {
			return err
		}
	}
	for _, r := range c.routers {
		if err := waitFor(10*time.Second, r.isReady); err != nil {
			return fmt.Errorf("%s is not ready: %w", r.name, err)
		}
	}
	return nil
}

// addEngine starts an engine of a service.
func (c *caseRun) addEngine(id, service, zone string, slots int, extra ...string) (*engineProcess, error) {
	e := c.newEngine(id, service, zone, slots, extra...)
	return e, e.start()
}

// newEngine returns an engine that does not run yet.
func (c *caseRun) newEngine(id, service, zone string, slots int, extra ...string) *engineProcess {
	e := &engineProcess{
		id: id, service: service, zone: zone, address: fmt.Sprintf("%s%d:8120", c.prefix, 151+len(c.engines)), slots: slots, store: c.store, record: c.record, extra: extra,
	}
	c.engines = append(c.engines, e)
	return e
}

// route is a route in the operator's format.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	SloMs       int    `json:"sloMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	Attempts    int    `json:"attempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	TargetGapMs int    `json:"targetGapMs,omitempty"`
}

// streamRoute is the route of the kiosk's streams, as the sheet of the museum has it.
func streamRoute(service string) route {
	return route{Name: "r-kiosk", Host: host, PathPrefix: "/stream/", Kind: "stream", TimeoutMs: 15000, SloMs: 1500, Service: service, Attempts: 2, Sticky: true, Resumable: true, TargetGapMs: 400}
}

const (
	key = "n2ctnfzs989anu6wsjnb"
	// settleTime is the time from the readiness of all routers to the first request.
	settleTime = 2 * time.Second
)

var zones = []string{"finistere-a", "finistere-b", "finistere-c"}

// configure writes a version of the configuration. The store's answer is its acknowledgement.
func (c *caseRun) configure(version int, routes []route, keys ...string) {
	if len(keys) == 0 {
		keys = []string{key}
	}
	names := make(map[string]bool)
	var services []map[string]any
	for _, r := range routes {
		if !names[r.Service] {
			names[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "healthPath": "/health", "maxConns": 500, "protocol": "h1", "tls": false})
		}
	}
	c.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": keys, "priority": 1}},
	})
	c.record.line("configuration %d is acknowledged", version)
}

func waitFor(limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("not within %s", limit)
}
