package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/platform/standin"
	"github.com/vanillaroute/vanillaroute/standin/loopback"
	"github.com/vanillaroute/vanillaroute/standin/memstore"
)

const (
	callersPort = 18001 + iota
	readyPort
	directoryPort
	peersPort
)

// stopTimeout is how long a process may take to end after SIGTERM: the time-out in its settings plus one second.
const stopTimeout = shutdownTimeout + time.Second

// instance is one entry process with its own proxy to the store.
type instance struct {
	ip           string
	settingsFile string
	logFile      string
	binary       string
	client       *memstore.Client
	storeServer  *http.Server
	proxy        *proxy
	// process is the running process. Signals are sent to it at any time, whereas a start or an end holds lifecycle.
	process   atomic.Pointer[process]
	lifecycle sync.Mutex
	closed    bool
	// disturbed holds the times at which the instance was paused, restarted or cut off from the store, and halted those of the first two.
	disturbed, halted disturbances
	// exits passes on the ends of processes that the soak has not ended.
	exits chan<- string
}

// process is one process of an instance.
type process struct {
	*os.Process
	// ended is closed when the process has ended, and ending is set before the soak ends it.
	ended  chan struct{}
	ending atomic.Bool
}

// newInstance prepares an instance at its own address. All instances use the same ports, as on the platform.
func newInstance(binary, dir string, network *loopback.Network, number int, store *memstore.Store, exits chan<- string) (*instance, error) {
	n := &instance{exits: exits, ip: network.Address(number, callersPort).Addr().String(), binary: binary, client: store.Client()}
	n.settingsFile = filepath.Join(dir, fmt.Sprintf("entry-%d.toml", number))
	n.logFile = filepath.Join(dir, fmt.Sprintf("entry-%d.log", number))
	storeServer, address, err := serveLocal(standin.Handler(n.client))
	if err != nil {
		return nil, err
	}
	n.storeServer = storeServer
	if n.proxy, err = newProxy(address); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`[instance]
name = "entry-%d"
failureDomain = "d%d"
callers = "%s:%d"
ready = "%s:%d"
directory = "%s:%d"
peers = "%s:%d"
seeds = [%q]
[store]
address = %q
[bounds]
keyRevocation = %q
contact = %q
shutdown = %q
maxAddressValidity = "1s"
evacuate = %q
loadFactor = 2
coldOver = %g
coldSlack = %d
[retries]
ratio = %g
slack = %d
window = %q
`, number, number%3, n.ip, callersPort, n.ip, readyPort, n.ip, directoryPort, n.ip, peersPort, network.Address(0, peersPort), n.proxy.address(),
		keyRevocationLimit, contact, shutdownTimeout, evacuationLimit, coldOver, coldSlack, retryRatio, retrySlack, retryWindow)
	return n, errors.Wrap(os.WriteFile(n.settingsFile, []byte(text), 0o600), "write settings")
}

// start starts the process. A restarted process appends to the same log file.
func (n *instance) start() error {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	return n.launch()
}

// restart ends the process with a signal and starts a new one after a delay.
func (n *instance) restart(s syscall.Signal, delay time.Duration) error {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	from := time.Now()
	defer func() { n.halt(from, time.Now()) }()
	stopErr := n.end(s)
	time.Sleep(delay)
	if err := n.launch(); err != nil {
		return err
	}
	return stopErr
}

func (n *instance) launch() error {
	log, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	command := exec.Command(n.binary, "entry", "--config", n.settingsFile)
	command.Env = append(os.Environ(), RunEnv+"=1")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start instance")
	}
	p := &process{Process: command.Process, ended: make(chan struct{})}
	n.process.Store(p)
	go func() {
		defer close(p.ended)
		err := command.Wait()
		_ = log.Close()
		if !p.ending.Load() {
			go n.replace(p, err)
		}
	}()
	return nil
}

// replace starts a process in place of one that has ended by itself, as the platform does. SIGHUP ends a process in the few milliseconds until it
// handles signals; any other end is reported.
func (n *instance) replace(ended *process, cause error) {
	if !endedBy(cause, syscall.SIGHUP) {
		n.exits <- fmt.Sprintf("instance %s ended by itself: %v", n.ip, cause)
	}
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	if n.closed || n.process.Load() != ended {
		return
	}
	n.halt(time.Now(), time.Now())
	if err := n.launch(); err != nil {
		n.exits <- err.Error()
	}
}

// halt records that the instance was paused or restarted.
func (n *instance) halt(from, to time.Time) {
	n.disturbed.add(from, to)
	n.halted.add(from, to)
}

// endedBy reports whether the error of a process that has ended says that a signal has ended it.
func endedBy(err error, s syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signal() == s
}

func (n *instance) signal(s syscall.Signal) { _ = n.process.Load().Signal(s) }

// end ends the process with a signal. It kills the process and returns an error after stopTimeout.
func (n *instance) end(s syscall.Signal) error {
	p := n.process.Load()
	p.ending.Store(true)
	_ = p.Signal(s)
	select {
	case <-p.ended:
		return nil
	case <-time.After(stopTimeout):
		_ = p.Kill()
		<-p.ended
		return errors.Errorf("instance %s did not stop within %s", n.ip, stopTimeout)
	}
}

// changeSettings writes the settings file again, with a comment that makes it differ.
func (n *instance) changeSettings(comment string) error {
	text, err := os.ReadFile(n.settingsFile)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	text, _, _ = bytes.Cut(text, []byte("\n# "))
	text = append(bytes.TrimRight(text, "\n"), ("\n# " + comment + "\n")...)
	// A rename replaces the file at once, so that the process never reads a part of it.
	if err := os.WriteFile(n.settingsFile+".new", text, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return errors.Wrap(os.Rename(n.settingsFile+".new", n.settingsFile), "replace settings")
}

func (n *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (n *instance) close() {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	n.closed = true
	n.signal(syscall.SIGCONT)
	_ = n.end(syscall.SIGKILL)
	n.proxy.close()
	_ = n.storeServer.Close()
}
