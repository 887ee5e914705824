package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	process      *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// newInstance prepares an instance at its own address. All instances use the same ports, as on the platform.
func newInstance(binary, dir string, network *loopback.Network, number int, store *memstore.Store) (*instance, error) {
	n := &instance{ip: network.Address(number, callersPort).Addr().String(), binary: binary, client: store.Client()}
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
contact = "2s"
shutdown = %q
maxAddressValidity = "1s"
loadFactor = 2
[retries]
ratio = %g
slack = %d
window = %q
`, number, number%3, n.ip, callersPort, n.ip, readyPort, n.ip, directoryPort, n.ip, peersPort, network.Address(0, peersPort), n.proxy.address(),
		keyRevocationLimit, shutdownTimeout, retryRatio, retrySlack, retryWindow)
	return n, errors.Wrap(os.WriteFile(n.settingsFile, []byte(text), 0o600), "write settings")
}

// start starts the process. A restarted process appends to the same log file.
func (n *instance) start() error {
	log, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	n.process = exec.Command(n.binary, "entry", "--config", n.settingsFile)
	n.process.Env = append(os.Environ(), RunEnv+"=1")
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return errors.Wrap(err, "start instance")
	}
	process, ended := n.process, make(chan struct{})
	n.ended = ended
	go func() {
		defer close(ended)
		_ = process.Wait()
		_ = log.Close()
	}()
	return nil
}

func (n *instance) signal(s syscall.Signal) {
	_ = n.process.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (n *instance) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// stop stops the process gracefully. It kills the process and returns an error after stopTimeout.
func (n *instance) stop() error {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended:
		return nil
	case <-time.After(stopTimeout):
		n.kill()
		return errors.Errorf("instance %s did not stop within %s", n.ip, stopTimeout)
	}
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
	n.signal(syscall.SIGCONT)
	n.kill()
	n.proxy.close()
	_ = n.storeServer.Close()
}
