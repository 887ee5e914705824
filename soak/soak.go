package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/forward"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/logs"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/platform"
	"github.com/vanillaroute/vanillaroute/platform/standin"
	"github.com/vanillaroute/vanillaroute/standin/loopback"
	"github.com/vanillaroute/vanillaroute/standin/memstore"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"golang.org/x/sync/errgroup"
)

const (
	// RunEnv is the environment variable that makes a test binary run the command line.
	RunEnv = "VANILLAROUTE_TEST_RUN"

	keyRevocationLimit = 3 * time.Second
	shutdownTimeout    = 6 * time.Second
	retryRatio         = 0.2
	retrySlack         = 58
	retryWindow        = 10 * time.Second
	// recoveryTimeout is how soon all instances must be ready again after the last fault or a restart.
	recoveryTimeout = 12 * time.Second
	// minCallerCount is the number of callers, unless there are more instances.
	minCallerCount = 12
	engineCount    = 4
	// meanFaultInterval is the mean time between the starts of two faults, and meanFaultDuration the mean duration of one.
	meanFaultInterval = 400 * time.Millisecond
	meanFaultDuration = time.Second
	startTimeout      = 10 * time.Second
	// maxExits bounds the reported ends of processes; the first one fails the run.
	maxExits = 1000
	// restartGroups is the number of groups of the rolling restart.
	restartGroups = 3
	// settleTime lets requests from before the recovery finish. Requests sent within observationTime after it must succeed.
	settleTime      = time.Second
	observationTime = 2 * time.Second
)

type (
	// Options configures a soak run.
	Options struct {
		Seed      uint64
		Duration  time.Duration
		Instances int
		// Binary is the path of the program that runs the instances.
		Binary string
		// Dir is the directory for settings and logs.
		Dir string
		Out io.Writer
	}

	// ViolationError is the first violation of a guarantee in a run.
	ViolationError struct {
		Guarantee string
		Request   ident.Request
		Detail    string
		Seed      uint64
		Timeline  []string
	}

	// run is the state of one soak run.
	run struct {
		Options
		rng          *rand.Rand
		network      *loopback.Network
		store        *memstore.Store
		executions   *executionLog
		instances    []*instance
		engines      []*engine
		lastEngineID int
		callers      *callers
		// exits receives the ends of processes that the soak has not ended.
		exits     chan string
		revokedAt time.Time
		// mostAtCold is the highest number of requests in a second at a cold engine.
		mostAtCold int
		// mu guards the fields below and writes to engines, which concurrent faults use.
		mu      sync.Mutex
		version routing.Version
		keys    []string
		faults  []string
	}
)

// Error returns guarantee, request, detail, the command that repeats the run, and the timeline of the request.
func (e *ViolationError) Error() string {
	text := fmt.Sprintf("guarantee violated: %s: request %s: %s; repeat with: vanillaroute soak --seed %d", e.Guarantee, e.Request, e.Detail, e.Seed)
	for _, line := range e.Timeline {
		text += "\n  " + line
	}
	return text
}

// Run runs one soak and returns a *ViolationError for the first violation of a guarantee.
func Run(ctx context.Context, o Options) error {
	r := &run{Options: o, rng: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: memstore.New(), executions: newExecutionLog(), exits: make(chan string, maxExits)}
	defer r.close()
	if err := r.start(); err != nil {
		return err
	}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.callers.run(callCtx, max(minCallerCount, o.Instances))
	}()
	faultCtx, endTargets := context.WithCancel(callCtx)
	defer endTargets()
	var crashing, targets sync.WaitGroup
	delays := rand.New(rand.NewPCG(r.Seed, r.Seed+2))
	partDelay := randomAround(delays, meanCrashingDelay)
	crashing.Go(func() { r.callers.runCrashing(callCtx, crashingPart, partDelay) })
	for _, cause := range []string{crashingTarget, crashingBody} {
		delay := randomAround(delays, meanCrashingDelay)
		targets.Go(func() { r.callers.runCrashing(faultCtx, cause, delay) })
	}
	var series sync.WaitGroup
	series.Go(func() { r.injectSeries(ctx) })
	series.Go(func() { r.injectNotices(ctx) })
	series.Go(func() { r.injectEvacuations(ctx) })
	series.Go(func() { r.sendUncontrolled(ctx) })
	r.injectFaults(ctx)
	series.Wait()
	r.endFaults()
	// The engine that is evacuated is another one than the one that refuses requests.
	series.Go(func() { r.evacuateLast(ctx) })
	r.noticeInTouch(ctx)
	series.Wait()
	// Instances that are restarted later may let a few more of these requests through, and the crashes would break off others.
	endTargets()
	targets.Wait()
	r.endNotices()
	err := r.checkRecovery(ctx)
	if err == nil {
		err = r.checkRollingRestart(ctx)
	}
	stopCalls()
	<-ended
	crashing.Wait()
	// Another broken guarantee may be why the instances have not recovered, so it is reported first.
	if checkErr := r.check(); checkErr != nil {
		return checkErr
	}
	if err != nil {
		return err
	}
	if err := r.checkPanics(); err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "seed %d: %d calls, %d requests at engines, %d faults, %d crashes on requests, %d limits, %d evacuations, at most %d requests in a second at %d cold engines, no guarantee violated\n", o.Seed, len(r.callers.calls), len(r.executions.visits), len(r.faults), len(slices.Concat(slices.Collect(maps.Values(r.executions.crashTimes()))...)), len(r.executions.limits), len(r.executions.evacuations), r.mostAtCold, len(r.executions.coldStarts)-engineCount)
	return nil
}

func (r *run) start() error {
	var err error
	if r.network, err = loopback.ClaimNear(r.Seed); err != nil {
		return err
	}
	if err := r.configure([]string{validKey, revokedKey}); err != nil {
		return err
	}
	for range engineCount {
		if err := r.addEngine(time.Now().Add(-time.Hour)); err != nil {
			return err
		}
	}
	for i := range r.Instances {
		n, err := newInstance(r.Binary, r.Dir, r.network, i, r.store, r.exits)
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		r.instances = append(r.instances, n)
	}
	r.callers = &callers{instances: r.instances, names: platform.New("").Names}
	return r.allReady(startTimeout)
}

// configure writes a configuration with these keys, and a version that is higher by 1 to 5.
func (r *run) configure(keys []string) error {
	return r.writeConfiguration(keys, routing.Version(1+r.rng.IntN(5)))
}

// writeConfiguration writes a configuration with these keys, or with the current ones if keys is nil.
func (r *run) writeConfiguration(keys []string, step routing.Version) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if keys == nil {
		keys = r.keys
	}
	r.version, r.keys = r.version+step, keys
	route := func(path, kind string, attempts int, resumable bool) standin.Route {
		return standin.Route{
			Name: path, Host: host, PathPrefix: path, Kind: kind, TimeoutMs: int(callTimeout.Milliseconds()), TargetMs: 500, GapMs: 200,
			Service: service, Attempts: attempts, Resumable: resumable, Warmup: standin.Warmup{ColdS: coldSpan.Seconds(), WarmupPerS: warmupRate},
		}
	}
	routes := []standin.Route{
		route(pathOnce, standin.KindNonIdempotent, 1, false), route(pathRepeatable, standin.KindIdempotent, 2, false), route(pathStream, standin.KindStream, 2, true),
	}
	return standin.WriteConfiguration(r.store, r.version, routes, []standin.Organisation{{Name: organisation, Keys: keys}})
}

func (r *run) addEngine(startedAt time.Time) error {
	r.lastEngineID++
	e, err := startEngine(ident.Engine(fmt.Sprintf("e%d", r.lastEngineID)), platform.New("").Names, r.executions, r.store, startedAt)
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.engines = append(r.engines, e)
	}
	return err
}

// injectFaults starts random faults one after the other for Options.Duration. Faults may overlap.
func (r *run) injectFaults(ctx context.Context) {
	end := time.Now().Add(r.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.injectFault(r.rng.IntN(14), r.instances[r.rng.IntN(len(r.instances))], r.rng.IntN(len(r.engines)), r.randomDuration(meanFaultDuration))
		time.Sleep(r.randomDuration(meanFaultInterval))
	}
	time.Sleep(2 * meanFaultDuration)
	if r.revokedAt.IsZero() {
		r.revokeDuringStoreOutage()
	}
}

// revokeDuringStoreOutage revokes a key while no instance reaches the store. The outage lasts longer than keyRevocationLimit,
// so the instances must stop accepting the key without having read its revocation.
func (r *run) revokeDuringStoreOutage() {
	for _, n := range r.instances {
		n.disturbed.add(time.Now(), time.Now().Add(2*keyRevocationLimit))
		n.proxy.setMode(silent)
	}
	if err := r.configure([]string{validKey}); err != nil {
		r.recordFault(err.Error())
		return
	}
	r.revokedAt = time.Now()
	r.recordFault("key revoked while no instance reaches the store")
	time.Sleep(2 * keyRevocationLimit)
}

func (r *run) randomDuration(mean time.Duration) time.Duration { return randomAround(r.rng, mean) }

// injectFault injects a fault of one of 14 kinds, most of which end after the duration. Kinds 0 to 3 concern the connection of
// instance n to the store, 4 to 9 an engine, 10 pauses instance n, 11 is one of the faults of injectMiscFault, and for 12 and 13 one of the first
// half of the engines names a limit.
func (r *run) injectFault(kind int, n *instance, engineIndex int, duration time.Duration) {
	e := r.engines[engineIndex]
	name := ""
	switch kind {
	case 0, 1, 2, 3:
		m := mode(kind) + slow
		name = fmt.Sprintf("proxy from %s to the store in mode %d", n.ip, m)
		n.proxy.setMode(m)
		n.disturbed.add(time.Now(), time.Now().Add(duration))
		time.AfterFunc(duration, func() { n.proxy.setMode(pass) })
	case 4, 5, 6:
		m := mode(kind-4) + slow
		name = fmt.Sprintf("proxy to engine %s in mode %d", e.currentID(), m)
		e.proxy.setMode(m)
		e.disturbed.add(time.Now(), time.Now().Add(duration))
		time.AfterFunc(duration, func() { e.proxy.setMode(pass) })
	case 7:
		name = "connections to engine " + string(e.currentID()) + " reset"
		e.disturbed.add(time.Now(), time.Now())
		e.proxy.reset()
	case 8:
		name = "engine " + string(e.currentID()) + " loses answers"
		e.losesAnswers.Store(true)
		time.AfterFunc(duration, func() { e.losesAnswers.Store(false) })
	case 9:
		name = "engine " + string(e.currentID()) + " crashes and a new engine starts"
		e.crash()
		r.mu.Lock()
		r.engines = slices.Delete(r.engines, engineIndex, engineIndex+1)
		r.mu.Unlock()
		if err := r.addEngine(time.Now()); err != nil {
			name = err.Error()
		}
	case 10:
		name = "instance " + n.ip + " paused"
		n.halt(time.Now(), time.Now().Add(duration))
		n.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		n.signal(syscall.SIGCONT)
	case 11:
		name = r.injectMiscFault(n)
	case 12, 13:
		e = r.engines[engineIndex%(engineCount/2)]
		limit := float64(minLimit + r.rng.IntN(limitRange))
		name, duration = fmt.Sprintf("engine %s names a limit of %g", e.currentID(), limit), limitDuration
		e.startLimit(limit)
	}
	r.recordFault(fmt.Sprintf("%s for %s", name, duration))
}

func (r *run) recordFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, time.Now().Format(time.StampMilli)+" "+name)
}

// injectMiscFault randomly restarts a killed instance, compacts the store's history or revokes a key. It returns a
// description of the fault.
func (r *run) injectMiscFault(n *instance) string {
	switch r.rng.IntN(3) {
	case 0:
		if err := n.restart(syscall.SIGKILL, 0); err != nil {
			return err.Error()
		}
		return "instance " + n.ip + " killed"
	case 1:
		r.store.Compact()
		return "store compacts its history"
	}
	if !r.revokedAt.IsZero() {
		return "no fault"
	}
	if err := r.configure([]string{validKey}); err != nil {
		return err.Error()
	}
	r.revokedAt = time.Now()
	return "key revoked"
}

func (r *run) endFaults() {
	for _, n := range r.instances {
		n.proxy.setMode(pass)
		n.signal(syscall.SIGCONT)
	}
	for _, e := range r.engines {
		e.proxy.setMode(pass)
		e.losesAnswers.Store(false)
		e.mu.Lock()
		e.endLimit()
		e.mu.Unlock()
	}
}

// checkRecovery checks that all instances become ready within recoveryTimeout after the faults. Requests with the valid key that
// are sent after settleTime must then succeed. Those with a part that crashes engines still come, and the instances may try a few of them: what may run
// once and was running at the engine is then lost.
func (r *run) checkRecovery(ctx context.Context) error {
	if err := r.allReady(recoveryTimeout); err != nil {
		return &ViolationError{Guarantee: "recovery", Detail: err.Error(), Seed: r.Seed}
	}
	pause.For(ctx, settleTime)
	startedAt := time.Now()
	if !pause.For(ctx, observationTime) {
		return ctx.Err()
	}
	for _, c := range r.callers.soundAfter(startedAt) {
		if c.path == pathOnce && c.status == http.StatusBadGateway && r.executions.wasRunningAtCrash(c) {
			continue
		}
		// Requests may have crashed all engines that were not evacuated, one after the other, and then the warm-up rate requires refusals.
		if c.status == http.StatusServiceUnavailable && r.executions.allColdAt(c.sentAt) {
			continue
		}
		if c.key == validKey && c.status != http.StatusOK && !c.endedAt.IsZero() {
			return r.violation("recovery", c, fmt.Sprintf("status %d, %v, after the end of all faults", c.status, c.err))
		}
	}
	return nil
}

// checkRollingRestart stops the instances gracefully in groups of restartGroups, one after the other, and starts them again, under load and
// while the configuration changes. No request with the valid key may be cut after it has reached an engine and before its deadline.
func (r *run) checkRollingRestart(ctx context.Context) error {
	startedAt := time.Now()
	for group := range slices.Chunk(r.instances, (len(r.instances)+restartGroups-1)/restartGroups) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var restarts errgroup.Group
		for _, n := range group {
			restarts.Go(func() error { return n.restart(syscall.SIGTERM, 0) })
		}
		if err := r.writeConfiguration(nil, 1); err != nil {
			return err
		}
		if err := restarts.Wait(); err != nil {
			return &ViolationError{Guarantee: "graceful stop", Detail: err.Error(), Seed: r.Seed}
		}
		if err := r.allReady(recoveryTimeout); err != nil {
			return &ViolationError{Guarantee: "recovery", Detail: err.Error(), Seed: r.Seed}
		}
	}
	for _, c := range r.callers.soundAfter(startedAt) {
		if c.status == 0 && c.key == validKey && c.endedAt.Before(c.sentAt.Add(callTimeout)) && r.executions.count(c.id) > 0 {
			return r.violation("graceful stop", c, fmt.Sprintf("cut: %v", c.err))
		}
	}
	return nil
}

func (r *run) allReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, n := range r.instances {
		for !n.ready() {
			if time.Now().After(end) {
				return errors.Errorf("instance %s is not ready within %s", n.ip, within)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// checkPanics fails with a *ViolationError if an instance has logged a panic.
func (r *run) checkPanics() error {
	for _, n := range r.instances {
		log, err := os.ReadFile(n.logFile)
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		for line := range bytes.Lines(log) {
			if bytes.Contains(line, []byte(forward.PanicMessage)) {
				return &ViolationError{Guarantee: "no panics", Detail: string(bytes.TrimSpace(line)), Seed: r.Seed}
			}
		}
	}
	return nil
}

// violation returns the error for a violated guarantee, with the timeline of the request from all logs.
func (r *run) violation(guarantee string, c call, detail string) error {
	e := &ViolationError{Guarantee: guarantee, Request: c.id, Detail: fmt.Sprintf("%s at %s, sent %s: %s", c.path, c.instance, c.sentAt.Format(time.StampMilli), detail), Seed: r.Seed}
	timeline := logs.NewTimeline(string(c.id))
	for _, n := range r.instances {
		if err := timeline.ReadFile(n.logFile); err != nil {
			e.Timeline = append(e.Timeline, err.Error())
		}
	}
	if lines, err := timeline.Lines(); err == nil {
		for _, line := range lines {
			e.Timeline = append(e.Timeline, line.String(c.sentAt))
		}
	}
	for _, f := range r.faults {
		e.Timeline = append(e.Timeline, "fault: "+f)
	}
	for cause, times := range r.executions.crashTimes() {
		for _, at := range times {
			e.Timeline = append(e.Timeline, fmt.Sprintf("fault: %s an engine crashes on %q", at.Format(time.StampMilli), cause))
		}
	}
	return e
}

func (r *run) close() {
	for _, n := range r.instances {
		n.close()
	}
	for _, e := range r.engines {
		_ = e.server.Close()
		e.proxy.close()
	}
	if r.network != nil {
		_ = r.network.Close()
	}
}

func serveLocal(h http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}
