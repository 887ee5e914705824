package measure

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/caller"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/standin/check"
	"github.com/vanillaroute/vanillaroute/standin/embedded"
	"github.com/vanillaroute/vanillaroute/standin/site"
)

const (
	idleTime       = 5 * time.Second
	settleTime     = 2 * time.Second
	changeInterval = 500 * time.Millisecond
)

// Control measures the control traffic and the CPU time of a router without load by the number of routers and engines, the traffic
// for each configuration change, the memory for each stream, and the store transactions for each booking.
func Control() ([]Slope, error) {
	var slopes []Slope
	for _, m := range []struct {
		slope Slope
		sizes []int
		cost  Cost
	}{
		{Slope{Name: "restBytes", Unit: Bytes, Per: "router in the fleet, sent each second by one"}, []int{3, 9, 18, 36}, restBytes},
		{Slope{Name: "restCPU", Unit: CPUMicros, Per: "router in the fleet, each second at one"}, []int{3, 9, 18, 36}, restCPU},
		{Slope{Name: "pollBytes", Unit: Bytes, Per: "engine at its home, each second"}, []int{3, 12, 30}, pollBytes},
		{Slope{Name: "changeBytes", Unit: Bytes, Per: "configuration change, sent by one of nine routers"}, []int{8, 16, 32}, changeBytes},
		{Slope{Name: "streamMemory", Unit: Bytes, Per: "stream in progress, with caller and engine stand-in"}, []int{100, 300, 900}, streamMemory},
		{Slope{Name: "storeWrites", Unit: Count, Per: "booking a second, store transactions a second"}, []int{1, 100, 500}, storeWrites},
	} {
		m.slope.Command = "go run . measure control"
		s, err := fitSlope(m.slope, m.sizes, 1, m.cost)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// startIdleDeployment starts routers and engines without load and waits for settleTime.
func startIdleDeployment(routers, engines int) (*embedded.Deployment, error) {
	config := site.DefaultConfig()
	config.Engines = engines
	d, err := embedded.Start(config, embedded.Options{Routers: routers})
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return d, nil
}

func meanControlBytes(d *embedded.Deployment) float64 {
	sum := int64(0)
	for _, n := range d.Nodes() {
		sum += n.Router.ControlBytes()
	}
	return float64(sum) / float64(len(d.Nodes()))
}

func restBytes(routers int) (float64, error) { return idleBytesPerSecond(routers, 3) }

func pollBytes(engines int) (float64, error) { return idleBytesPerSecond(1, engines) }

func idleBytesPerSecond(routers, engines int) (float64, error) {
	d, err := startIdleDeployment(routers, engines)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	before := meanControlBytes(d)
	time.Sleep(idleTime)
	return (meanControlBytes(d) - before) / idleTime.Seconds(), nil
}

func restCPU(routers int) (float64, error) {
	d, err := startIdleDeployment(routers, 3)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	before := processCPU()
	time.Sleep(idleTime)
	return float64((processCPU() - before).Microseconds()) / idleTime.Seconds() / float64(routers), nil
}

// changeBytes returns the bytes that one of nine routers sends for configuration changes, in addition to its traffic without
// changes.
func changeBytes(changes int) (float64, error) {
	const routers = 9
	d, err := startIdleDeployment(routers, 3)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	before := meanControlBytes(d)
	period := time.Duration(changes)*changeInterval + time.Second
	time.Sleep(period)
	idle := meanControlBytes(d) - before
	before = meanControlBytes(d)
	start := time.Now()
	for i, e := range organisationEntries(changes) {
		d.Site.Store.Put(e.Key, e.Value)
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * changeInterval)))
	}
	time.Sleep(time.Until(start.Add(period)))
	return meanControlBytes(d) - before - idle, nil
}

// streamMemory returns the memory of streams that stay in progress, because the engines take an hour for each token. It includes
// the memory of the callers and of the simulated engines.
func streamMemory(streams int) (float64, error) {
	config := site.DefaultConfig()
	config.Engine.Slots = 512
	config.Engine.DecodePerToken = time.Hour
	config.Unlimited = true
	d, err := embedded.Start(config, embedded.Options{Routers: 3})
	if err != nil {
		return 0, err
	}
	defer d.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := liveMemory()
	var group sync.WaitGroup
	c := caller.New(d.Addresses(), d.Site.Organisations[0].Key)
	for i := range streams {
		group.Go(func() {
			s, err := c.Stream(ctx, caller.Chat{
				Model: config.Model, Chat: ident.Chat(fmt.Sprint("chat-", i)), Messages: []caller.Message{{Role: "user", Content: "bell"}}, MaxTokens: 2,
			})
			if err == nil {
				_, _ = s.ReadAll()
			}
		})
	}
	time.Sleep(settleTime)
	after := liveMemory()
	runtime.KeepAlive(d)
	cancel()
	group.Wait()
	return after - before, nil
}

// storeWrites returns the number of store transactions per second at a rate of bookings per second.
func storeWrites(rate int) (float64, error) {
	config := site.DefaultConfig()
	config.Engines, config.Unlimited = 1, true
	d, err := embedded.Start(config, embedded.Options{Routers: 3})
	if err != nil {
		return 0, err
	}
	defer d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), trafficTimeout)
	defer cancel()
	c := caller.New(d.Addresses(), d.Site.Organisations[0].Key)
	before := d.Site.Store.Stats().Writes
	n := int(bookingDuration.Seconds()) * rate
	var group sync.WaitGroup
	start := time.Now()
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		group.Go(func() {
			_, _ = c.Do(ctx, caller.Call{Service: site.BookingService, Method: http.MethodPost, Path: "/bookings", Key: fmt.Sprintf("k-%d-%d", rate, i), Body: []byte(`{}`)})
		})
	}
	group.Wait()
	elapsed := time.Since(start).Seconds()
	if ran := len(check.Executions(d.Site.Services)); ran != n {
		return 0, errors.Errorf("%d of %d bookings ran", ran, n)
	}
	return float64(d.Site.Store.Stats().Writes-before) / elapsed, nil
}
