package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// Bounds of the site that the settings follow, cloches-quimperle.
	revokeBound = 5 * time.Second
	applyBound  = 2 * time.Second
	drainBound  = 2 * time.Second
	contact     = 3 * time.Second
	graceBound  = 8 * time.Second

	readyWithin = 20 * time.Second
	host        = "museum.example"
)

// settingsText is deploy/entry.toml.tmpl, filled in with the bounds of the site.
const settingsText = `[instance]
name = %q
failureDomain = %q
callers = "%[3]s:%[4]d"
ready = "%[3]s:%[5]d"
directory = "%[3]s:%[6]d"
peers = "%[3]s:%[7]d"
metrics = "%[3]s:%[8]d"
seeds = [%[9]s]
memory = "284MB"
firstStart = true

[store]
address = %[10]q
minLease = "1000ms"

[bounds]
keyRevocation = "5000ms"
contact = "3000ms"
inForce = "2000ms"
drain = "2000ms"
shutdown = "8s"
maxAddressValidity = "5s"
loadFactor = 2

[retries]
ratio = 0.2
slack = 58
window = "10s"
`

type (
	// record writes what happens to record.txt and keeps the lines.
	record struct {
		mu    sync.Mutex
		file  *os.File
		began time.Time
		lines []string
	}

	// entryInstance is one entry process.
	entryInstance struct {
		name, ip, settings string
		callers, ready     string
		cmd                *exec.Cmd
		log                *os.File
	}

	// engineProcess is an engine stand-in that runs as a process of its own.
	engineProcess struct {
		id, service, zone, address string
		slots                      int
		cmd                        *exec.Cmd
		born                       int64
	}

	// deployment is a small deployment: a store, entry instances and engines.
	deployment struct {
		dir       string
		rec       *record
		store     *store
		storeAddr string
		instances []*entryInstance
		// mu guards engines and closed, and is held while a process is started.
		mu      sync.Mutex
		engines []*engineProcess
		closed  bool
		routes  []any
	}
)

func newRecord(file string) (*record, error) {
	f, err := os.Create(filepath.Clean(file))
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
	_, _ = fmt.Fprintln(r.file, line)
}

// find returns the times of the lines that contain all texts.
func (r *record) find(texts ...string) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var times []time.Duration
	for _, line := range r.lines {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			var seconds float64
			_, _ = fmt.Sscanf(line, "%f", &seconds)
			times = append(times, time.Duration(seconds*float64(time.Second)))
		}
	}
	return times
}

// current is the deployment of the case that is played, or nil.
var current atomic.Pointer[deployment]

// errClosed is returned if a process is to be started after the case was stopped.
var errClosed = errors.New("the case was stopped")

// newDeployment starts a store and entry instances with a first configuration of these routes and tenants, and waits until all instances are ready.
func newDeployment(rec *record, count int, version int, routes []any, tenants any) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, rec: rec, store: newStore(), routes: routes}
	current.Store(d)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return d, err
	}
	d.storeAddr = l.Addr().String()
	go func() { _ = d.store.serve(l) }()
	if err := d.configure(version, tenants); err != nil {
		return d, err
	}
	ips := make([]string, count)
	block := rand.IntN(200) + 20
	for i := range ips {
		ips[i] = fmt.Sprintf("127.%d.%d.%d", block, rand.IntN(250)+1, i+10)
	}
	ports, err := freePorts(ips, 6)
	if err != nil {
		return d, err
	}
	var seeds []string
	for _, ip := range ips[:min(3, count)] {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", ip, ports[5]))
	}
	for i, ip := range ips {
		n := &entryInstance{name: fmt.Sprintf("front-%d", i+1), ip: ip, callers: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
		n.settings = filepath.Join(dir, n.name+".toml")
		text := fmt.Sprintf(settingsText, n.name, fmt.Sprintf("zone-%d", i%3), ip, ports[0], ports[1], ports[2], ports[3], ports[4], strings.Join(seeds, ", "), d.storeAddr)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return d, err
		}
		d.instances = append(d.instances, n)
		if err := d.start(n); err != nil {
			return d, err
		}
		rec.add("started %s at %s", n.name, n.callers)
	}
	return d, nil
}

// configure writes a configuration. When it returns, the store has acknowledged it.
func (d *deployment) configure(version int, tenants any) error {
	type fields map[string]any
	err := d.store.put("op/config", fields{
		"version": version, "routes": d.routes,
		"services": []any{
			fields{"name": "llm", "healthPath": "/health", "maxConns": 500, "protocol": "h1", "tls": false},
			fields{"name": "desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  fields{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
	d.rec.add("configuration %d acknowledged", version)
	return err
}

// freePorts returns ports that are free for TCP and UDP at all addresses.
func freePorts(ips []string, count int) ([]int, error) {
	var ports []int
	for range 200 {
		if len(ports) == count {
			return ports, nil
		}
		port := 20000 + rand.IntN(10000)
		free := true
		for _, ip := range ips {
			at := fmt.Sprintf("%s:%d", ip, port)
			l, err := net.Listen("tcp", at)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp", at)
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			ports = append(ports, port)
		}
	}
	return nil, errors.New("no free ports")
}

// start starts the process of an entry instance with the command of the deploy file.
func (d *deployment) start(n *entryInstance) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errClosed
	}
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.log = log
	n.cmd = exec.Command("target/vanillaroute", "entry")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "VANILLAROUTE_NODE_FILE=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

// waitReady waits until all instances say that they are ready, and for a second more until they know each other.
func (d *deployment) waitReady() error {
	limit := time.Now().Add(readyWithin)
	for _, n := range d.instances {
		for !isReady(n.ready) {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	d.rec.add("all instances are ready")
	return nil
}

func isReady(address string) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startEngine starts an engine as a process and registers it.
func (d *deployment) startEngine(id, service, zone string, slots int, flags ...string) (*engineProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := append([]string{"engine", "-id", id, "-slots", fmt.Sprint(slots)}, flags...)
	e := &engineProcess{id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), cmd: exec.Command(self, args...)}
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := d.launch(e); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("engine %s did not start", id)
	}
	e.address = strings.TrimPrefix(lines.Text(), "listening ")
	go func() {
		for lines.Scan() {
			d.rec.add("engine: %s", lines.Text())
		}
	}()
	d.rec.add("engine %s of %s started at %s", id, service, e.address)
	return e, d.register(e, "ready")
}

// launch starts the process of an engine.
func (d *deployment) launch(e *engineProcess) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errClosed
	}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	d.engines = append(d.engines, e)
	return nil
}

// register writes the entry of an engine. When it returns, the store has acknowledged it.
func (d *deployment) register(e *engineProcess, state string) error {
	err := d.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state, "warmupMs": 0, "sequence": 1, "born": e.born,
	})
	d.rec.add("entry of engine %s acknowledged: %s", e.id, state)
	return err
}

// signal sends a signal to an engine's process.
func (d *deployment) signal(e *engineProcess, s syscall.Signal) {
	d.rec.add("signal %d to engine %s", int(s), e.id)
	_ = e.cmd.Process.Signal(s)
}

// close ends all processes that were started and removes their files. Further calls do nothing.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	for _, n := range d.instances {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
			_ = n.log.Close()
		}
	}
	for _, e := range d.engines {
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
	}
	_ = os.RemoveAll(d.dir)
}

// grep counts the lines of the instances' logs that contain a text.
func (d *deployment) grep(text string) int {
	count := 0
	for _, n := range d.instances {
		data, err := os.ReadFile(filepath.Join(d.dir, n.name+".log"))
		if err == nil {
			count += strings.Count(string(data), text)
		}
	}
	return count
}
