package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// router is a process of the project.
type router struct {
	name, ip, zone string
	settings       string
	cmd            *exec.Cmd
	record         *record
	exited         chan error
	log            *os.File
}

const (
	callersPort   = 8227
	readyPort     = 8220
	directoryPort = 8224
	controlPort   = 8229
	peersPort     = 7340
	metricsPort   = 9464
)

// bounds are those of the small sites.
const settingsFormat = `[instance]
name = "%[1]s"
failureDomain = "%[2]s"
callers = "%[3]s:8227"
ready = "%[3]s:8220"
directory = "%[3]s:8224"
peers = "%[3]s:7340"
metrics = "%[3]s:9464"
seeds = [%[4]s]
memory = "284MB"
firstStart = true

[store]
address = "%[5]s"
minLease = "1000ms"

[bounds]
keyRevocation = "5000ms"
contact = "3000ms"
inForce = "2000ms"
drain = "2000ms"
shutdown = "8s"
maxAddressValidity = "5s"
loadFactor = 2
maxStretch = "5000ms"

[retries]
ratio = 0.2
slack = 58
window = "10s"

[overload]
order = false
admission = false
memory = false
`

// claimNetwork returns the first three parts of loopback addresses at which the fixed ports are free.
func claimNetwork() (string, error) {
	for i := range 200 {
		n := (os.Getpid() + i*37) % 30000
		prefix := fmt.Sprintf("127.%d.%d.", 60+n/250, 1+n%250)
		free := true
		for _, port := range []int{callersPort, readyPort, directoryPort, peersPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func newRouter(c *caseRun, number int) (*router, error) {
	r := &router{
		name: fmt.Sprintf("front-%d", number), ip: fmt.Sprintf("%s%d", c.prefix, number), zone: zones[(number-1)%len(zones)], record: c.record,
	}
	var seeds []string
	for i := 1; i <= min(c.routerCount, 3); i++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:%d", c.prefix, i, controlPort)))
	}
	r.settings = filepath.Join(c.temp, r.name+".toml")
	text := fmt.Sprintf(settingsFormat, r.name, r.zone, r.ip, strings.Join(seeds, ","), c.store.address)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	r.log, err = os.OpenFile(filepath.Join(c.temp, r.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return r, err
}

// start starts the process with the command of the deploy file.
func (r *router) start(root string) error {
	cmd := exec.Command(filepath.Join(root, "target", "vanillaroute"), "entry")
	cmd.Dir = root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VANILLAROUTE_NODE_FILE=" + r.settings}
	cmd.Stdout, cmd.Stderr = r.log, r.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd, r.exited = cmd, make(chan error, 1)
	exited := r.exited
	go func() { exited <- cmd.Wait() }()
	r.record.line("%s runs at %s as process %d", r.name, r.ip, cmd.Process.Pid)
	return nil
}

func (r *router) signal(s syscall.Signal) {
	r.record.line("%s gets signal %s", r.name, s)
	_ = r.cmd.Process.Signal(s)
}

func (r *router) callers() string { return fmt.Sprintf("%s:%d", r.ip, callersPort) }

func (r *router) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/ready", r.ip, readyPort), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
