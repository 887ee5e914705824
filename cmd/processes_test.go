package cmd

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/caller"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/standin/check"
	"github.com/vanillaroute/vanillaroute/standin/site"
	"github.com/vanillaroute/vanillaroute/tomlfile"
)

const (
	processTimeout = 2 * time.Minute
	noteTokens     = 120
	callsPerLoad   = 200
	callsPerRound  = 20
)

// processes are routers that run as separate processes with the stand-ins of the test.
type processes struct {
	t       *testing.T
	site    *site.Site
	routers []settings.Settings
	dir     string
	mu      sync.Mutex
	running map[ident.Router]*exec.Cmd
}

func startProcesses(t *testing.T, n int) *processes {
	t.Helper()
	s, err := site.Start(site.DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	p := &processes{t: t, site: s, dir: t.TempDir(), running: make(map[ident.Router]*exec.Cmd)}
	if p.routers, err = routerSettings(s, n, site.NewAPIKey()); err != nil {
		t.Fatal(err)
	}
	for i := range p.routers {
		p.routers[i].Log.Level = "error"
		p.routers[i].Routing.AddressValidity = tomlfile.NewDuration(time.Second)
	}
	if _, err := s.WriteSettings(p.dir, p.routers); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.killAll)
	for _, r := range p.routers {
		p.start(r.Router.ID)
	}
	for _, r := range p.routers {
		p.awaitReady(r)
	}
	return p
}

func (p *processes) start(id ident.Router) {
	cmd := exec.Command(os.Args[0], "serve", "--config", filepath.Join(p.dir, string(id)+".toml"))
	cmd.Env = append(os.Environ(), runEnv+"=1")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[id] = cmd
}

// signal sends a signal to a router. It does nothing if wait or killAll has been called for the router.
func (p *processes) signal(id ident.Router, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd, ok := p.running[id]
	if !ok {
		return
	}
	if err := cmd.Process.Signal(s); err != nil {
		p.t.Errorf("signal %s to %s: %v", s, id, err)
	}
}

// signalAfter sends a signal to a router after a delay, unless the test ends earlier. It closes the returned channel after
// the signal.
func (p *processes) signalAfter(delay time.Duration, id ident.Router, s syscall.Signal) <-chan struct{} {
	sent := make(chan struct{})
	timer := time.AfterFunc(delay, func() {
		defer close(sent)
		p.signal(id, s)
	})
	p.t.Cleanup(func() { timer.Stop() })
	return sent
}

func (p *processes) wait(id ident.Router) error {
	p.mu.Lock()
	cmd := p.running[id]
	delete(p.running, id)
	p.mu.Unlock()
	return cmd.Wait()
}

func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, cmd := range p.running {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(p.running, id)
	}
}

func (p *processes) awaitReady(s settings.Settings) {
	const timeout = 20 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + s.Router.Callers.String() + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("router %s was not ready in %s", s.Router.ID, timeout)
}

// newCaller returns a client that knows all routers. The first one depends on i.
func (p *processes) newCaller(i int) *caller.Client {
	var seeds []string
	for j := range p.routers {
		seeds = append(seeds, "http://"+p.routers[(i+j)%len(p.routers)].Router.Callers.String())
	}
	c := caller.New(seeds, p.site.Organisations[i%3].Key)
	p.t.Cleanup(c.Close)
	return c
}

// streamNote streams one long answer and checks that it is complete.
func (p *processes) streamNote(ctx context.Context, c *caller.Client, i int) error {
	messages := []caller.Message{{Role: "user", Content: fmt.Sprintf("Write the provenance of bell %d", i)}}
	s, err := c.Stream(ctx, caller.Chat{
		Model: p.site.Config.Model, Chat: ident.Chat(fmt.Sprintf("note-%d", i)), Class: "long", Messages: messages, MaxTokens: noteTokens,
	})
	if err != nil {
		return err
	}
	text, err := s.ReadAll()
	if err != nil {
		return err
	}
	if text != check.ExpectedAnswer(messages, noteTokens) {
		return errors.Errorf("note %d is incomplete: %d bytes", i, len(text))
	}
	return nil
}

func (p *processes) book(ctx context.Context, c *caller.Client, key string) error {
	_, err := c.Do(ctx, caller.Call{Service: site.BookingService, Method: http.MethodPost, Path: "/bookings", Key: key, Body: []byte(`{}`)})
	return err
}

// runLoad runs size notes and size bookings concurrently, numbered from first, and returns the error of each booking by key.
func (p *processes) runLoad(ctx context.Context, first, size int) map[string]error {
	var group sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]error)
	for i := first; i < first+size; i++ {
		c := p.newCaller(i)
		group.Go(func() {
			if err := p.streamNote(ctx, c, i); err != nil {
				p.t.Errorf("note %d: %v", i, err)
			}
		})
		group.Go(func() {
			time.Sleep(time.Duration(i-first) * 5 * time.Millisecond)
			key := fmt.Sprintf("key-%d", i)
			err := p.book(ctx, c, key)
			mu.Lock()
			defer mu.Unlock()
			results[key] = err
		})
	}
	group.Wait()
	return results
}

// runLoadUntil runs at least one round of load and further rounds until done is closed.
func (p *processes) runLoadUntil(ctx context.Context, done <-chan struct{}, size int) map[string]error {
	results := make(map[string]error)
	for round := 0; ; round++ {
		maps.Copy(results, p.runLoad(ctx, round*size, size))
		select {
		case <-done:
			return results
		default:
		}
	}
}

// checkOutcomes compares the results of the bookings with the executions that the services logged.
func (p *processes) checkOutcomes(results map[string]error, unknownAllowed bool) {
	runs := check.Executions(p.site.Services)
	for _, d := range check.DuplicateExecutions(p.site.Services) {
		p.t.Error(d)
	}
	unknown := 0
	for key, err := range results {
		var refusal *caller.Error
		switch {
		case err == nil && runs[key] != 1:
			p.t.Errorf("%s was answered but ran %d times", key, runs[key])
		case err == nil:
		case !errors.As(err, &refusal):
			p.t.Errorf("%s: error without an outcome: %v", key, err)
		case refusal.Outcome == "notRun" && runs[key] != 0:
			p.t.Errorf("%s was refused as not run but ran", key)
		case refusal.Outcome == "outcomeUnknown":
			unknown++
		default:
			p.t.Errorf("%s: %v", key, err)
		}
	}
	if unknown > 0 && !unknownAllowed {
		p.t.Errorf("%d bookings have an unknown outcome", unknown)
	}
	p.t.Logf("%d bookings: %d outcomes unknown", len(results), unknown)
}

func processContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	t.Cleanup(cancel)
	return ctx
}

func TestKillOfEachRouterUnderLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("starts router processes")
	}
	for victim := range 3 {
		t.Run(fmt.Sprintf("router-%d", victim+1), func(t *testing.T) {
			p := startProcesses(t, 3)
			id := p.routers[victim].Router.ID
			p.signalAfter(400*time.Millisecond, id, syscall.SIGKILL)
			p.checkOutcomes(p.runLoad(processContext(t), 0, callsPerLoad), true)
		})
	}
}

func TestPauseOfRouterUnderLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("starts router processes")
	}
	p := startProcesses(t, 3)
	id := p.routers[1].Router.ID
	p.signalAfter(400*time.Millisecond, id, syscall.SIGSTOP)
	resumed := p.signalAfter(5*time.Second, id, syscall.SIGCONT)
	p.checkOutcomes(p.runLoadUntil(processContext(t), resumed, callsPerLoad/2), true)
}

func TestRollingRestartOfNineRouters(t *testing.T) {
	if testing.Short() {
		t.Skip("starts router processes")
	}
	p := startProcesses(t, 9)
	ctx := processContext(t)
	rolled := make(chan struct{})
	go func() {
		defer close(rolled)
		for _, r := range p.routers {
			p.signal(r.Router.ID, syscall.SIGTERM)
			if err := p.wait(r.Router.ID); err != nil {
				t.Errorf("router %s: %v", r.Router.ID, err)
			}
			p.start(r.Router.ID)
			p.awaitReady(r)
		}
	}()
	p.checkOutcomes(p.runLoadUntil(ctx, rolled, callsPerRound), false)
}
