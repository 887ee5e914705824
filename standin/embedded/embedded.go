package embedded

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/process/router"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/standin/site"
	"go.uber.org/zap"
)

const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 5 * time.Millisecond
)

type (
	// SettingsFunc changes the settings of a router before it starts.
	SettingsFunc func(*settings.Settings)

	// Options configure the routers of a deployment.
	Options struct {
		Routers        int
		Log            *zap.Logger
		AdjustSettings SettingsFunc
		// FaultPoint returns the function that a router calls at each fault-injection point that a request passes.
		FaultPoint func(id ident.Router) func(step string, request ident.Request)
		// WrapPeer wraps the connections of a router to its peers, for injecting network faults.
		WrapPeer func(self, peer ident.Router, c net.Conn) net.Conn
	}

	// Deployment is a running site with its routers.
	Deployment struct {
		Site        *site.Site
		OperatorKey string
		mu          sync.Mutex
		nodes       []*Node
		options     Options
	}

	// Node is one router of a deployment.
	Node struct {
		Router   *router.Router
		Settings settings.Settings
		stop     context.CancelFunc
		done     chan error
	}
)

// Start starts a site and its routers and waits until every router is ready and sees the others. It returns an error after
// readyTimeout.
func Start(c site.Config, o Options) (*Deployment, error) {
	s, err := site.Start(c)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	d := &Deployment{Site: s, OperatorKey: site.NewAPIKey(), options: o}
	for i := range o.Routers {
		if _, err := d.AddRouter(ident.Router(fmt.Sprintf("router-%d", i+1)), c.Domains[i%len(c.Domains)]); err != nil {
			return nil, err
		}
	}
	return d, d.AwaitReady()
}

// AddRouter starts another router and adds it to the list of instances.
func (d *Deployment) AddRouter(id ident.Router, domain ident.Domain) (*Node, error) {
	v, err := d.Site.Settings(id, domain, d.Site.NextAddress(), d.Site.NextAddress(), d.OperatorKey)
	if err != nil {
		return nil, err
	}
	if d.options.AdjustSettings != nil {
		d.options.AdjustSettings(&v)
	}
	d.Site.RegisterRouter(v)
	return d.startRouter(v)
}

// Restart starts a new router with the settings and addresses of a stopped one.
func (d *Deployment) Restart(n *Node) (*Node, error) { return d.startRouter(n.Settings) }

// Nodes returns all routers started so far, including stopped ones.
func (d *Deployment) Nodes() []*Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Node(nil), d.nodes...)
}

// Addresses returns the URLs at which the routers serve callers, as "http://IP:port".
func (d *Deployment) Addresses() []string {
	var list []string
	for _, n := range d.Nodes() {
		list = append(list, "http://"+n.Router.CallerAddress())
	}
	return list
}

// AwaitReady waits until every router is ready and sees all others. It returns an error after readyTimeout.
func (d *Deployment) AwaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range d.Nodes() {
		for !n.Router.Ready() || n.Router.RouterCount() < len(d.Nodes()) {
			if time.Now().After(deadline) {
				return errors.Errorf("router %s not ready within %s", n.Settings.Router.ID, readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// Close kills the routers and then stops the site.
func (d *Deployment) Close() {
	for _, n := range d.Nodes() {
		n.Kill()
	}
	for _, n := range d.Nodes() {
		_ = n.Wait()
	}
	d.Site.Close()
}

// Stop starts a graceful shutdown of the router and returns immediately.
func (n *Node) Stop() { n.stop() }

// Kill stops the router immediately, like a crash.
func (n *Node) Kill() { n.Router.Kill() }

// Wait waits until the router has stopped and returns the error of Run.
func (n *Node) Wait() error {
	err := <-n.done
	n.done <- err
	return err
}

func (d *Deployment) startRouter(v settings.Settings) (*Node, error) {
	o := router.Options{Log: d.options.Log.With(zap.String("router", string(v.Router.ID)))}
	if d.options.FaultPoint != nil {
		o.FaultPoint = d.options.FaultPoint(v.Router.ID)
	}
	if d.options.WrapPeer != nil {
		o.WrapPeer = func(peer ident.Router, c net.Conn) net.Conn { return d.options.WrapPeer(v.Router.ID, peer, c) }
	}
	r, err := router.New(v, o, time.Now())
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{Router: r, Settings: v, stop: stop, done: make(chan error, 1)}
	go func() { n.done <- r.Run(ctx) }()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes = append(d.nodes, n)
	return n, nil
}
