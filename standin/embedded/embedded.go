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
	// SettingsFunc adapts the settings of a router before it starts.
	SettingsFunc func(*settings.Settings)

	// Options say how the routers are run.
	Options struct {
		Routers        int
		Log            *zap.Logger
		AdjustSettings SettingsFunc
		// FaultPoint returns the function that a router calls where a request passes a step.
		FaultPoint func(id ident.Router) func(step string, request ident.Request)
		// WrapPeer wraps the connections between two routers.
		WrapPeer func(self, peer ident.Router, c net.Conn) net.Conn
	}

	// Deployment is a site with its routers.
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

// Start runs a site and its routers, and returns once every router is ready and sees the others.
func Start(p site.Config, o Options) (*Deployment, error) {
	s, err := site.Start(p)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	d := &Deployment{Site: s, OperatorKey: site.NewAPIKey(), options: o}
	for i := range o.Routers {
		if _, err := d.AddRouter(ident.Router(fmt.Sprintf("router-%d", i+1)), p.Domains[i%len(p.Domains)]); err != nil {
			return nil, err
		}
	}
	return d, d.AwaitReady()
}

// AddRouter starts one more router and lists it.
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

// Restart starts a router again on the addresses that it had.
func (d *Deployment) Restart(n *Node) (*Node, error) { return d.startRouter(n.Settings) }

// Nodes returns the routers started so far, the stopped ones included.
func (d *Deployment) Nodes() []*Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Node(nil), d.nodes...)
}

// Addresses returns where callers connect to, as "http://IP:port".
func (d *Deployment) Addresses() []string {
	var list []string
	for _, n := range d.Nodes() {
		list = append(list, "http://"+n.Router.CallerAddress())
	}
	return list
}

// AwaitReady waits until every router is ready and sees all others.
func (d *Deployment) AwaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range d.Nodes() {
		for !n.Router.Ready() || n.Router.RouterCount() < len(d.Nodes()) {
			if time.Now().After(deadline) {
				return errors.Errorf("router %s was not ready in %s", n.Settings.Router.ID, readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// Close shuts the routers down at once and then the stand-ins.
func (d *Deployment) Close() {
	for _, n := range d.Nodes() {
		n.Kill()
	}
	for _, n := range d.Nodes() {
		_ = n.Wait()
	}
	d.Site.Close()
}

// Stop asks the router to shut down gracefully.
func (n *Node) Stop() { n.stop() }

// Kill ends the router at once, as a crash would.
func (n *Node) Kill() { n.Router.Kill() }

// Wait returns once the router has ended.
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
