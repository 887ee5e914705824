package measure

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/metrics"
	"github.com/vanillaroute/vanillaroute/version/config"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/lists"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	stateRepeats   = 3
	targetRouters  = 940
	targetDomains  = 22
	targetModels   = 14
	enginesForView = 1000
)

// State measures the memory of a router for each organisation, engine, router and chat, and the CPU time for a change of its fleet
// view.
func State() ([]Slope, error) {
	measures := []struct {
		slope Slope
		sizes []int
		cost  Cost
	}{
		{Slope{Name: "organisationMemory", Unit: Bytes, Per: "organisation"}, []int{500, 2000, 5200, 10000}, organisationMemory},
		{Slope{Name: "authentication", Unit: CPUMicros, Per: "request"}, []int{100_000, 200_000, 400_000}, authentication},
		{Slope{Name: "engineMemory", Unit: Bytes, Per: "engine"}, []int{1000, 4000, 10_000}, engineMemory},
		{Slope{Name: "engineViewCPU", Unit: CPUMicros, Per: "engine and rebuild"}, []int{1000, 4000, 10_000}, engineViewCPU},
		{Slope{Name: "memberMemory", Unit: Bytes, Per: "router"}, []int{200, 940, 2000}, memberMemory},
		{Slope{Name: "memberViewCPU", Unit: CPUMicros, Per: "router and rebuild"}, []int{200, 940, 2000}, memberViewCPU},
		{Slope{Name: "spilledChatMemory", Unit: Bytes, Per: "spilled chat"}, []int{1000, 4000, 16_000}, spilledChatMemory},
		{Slope{Name: "seriesMemory", Unit: Bytes, Per: "pair of organisation and class"}, []int{16, 64, 250}, seriesMemory},
		{Slope{Name: "pickCPU", Unit: CPUMicros, Per: "request, for each engine of the model"}, []int{10, 100, 714}, pickCPU},
	}
	var slopes []Slope
	for _, m := range measures {
		m.slope.Command = "go run . measure state"
		s, err := fitSlope(m.slope, m.sizes, stateRepeats, m.cost)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

func organisationEntries(n int) []wire.Entry {
	entries := make([]wire.Entry, n)
	for i := range entries {
		p := lists.PlanEntry{
			Organisation: ident.Organisation(fmt.Sprintf("organisation-%05d", i)), Plan: "large",
			KeyHashes: []string{lists.HashKey(fmt.Sprint("a", i)), lists.HashKey(fmt.Sprint("b", i))},
		}
		value, err := json.Marshal(p)
		if err != nil {
			continue
		}
		entries[i] = wire.Entry{Key: p.Key(), Value: value, Revision: ident.Revision(i + 1)}
	}
	return entries
}

func organisationMemory(n int) (float64, error) {
	entries := organisationEntries(n)
	s := config.New()
	before := liveMemory()
	s.Apply(entries, time.Now())
	entries = nil
	after := liveMemory()
	runtime.KeepAlive(s)
	runtime.KeepAlive(entries)
	// valueBytes is the approximate size of an encoded value. The values are added because they are allocated before the first
	// measurement.
	const valueBytes = 230
	return after - before + float64(n*valueBytes), nil
}

func authentication(n int) (float64, error) {
	const known = 5200
	s := config.New()
	s.Apply(organisationEntries(known), time.Now())
	start := processCPU()
	for i := range n {
		if _, ok := s.Authenticate(fmt.Sprint("a", i%known)); !ok {
			return 0, fmt.Errorf("key %d is not known", i)
		}
	}
	return float64((processCPU() - start).Microseconds()), nil
}

// instanceList returns a list of instances in the format of the platform's list.
func instanceList(routers, engines int) []fleet.Instance {
	list := make([]fleet.Instance, 0, routers+engines)
	for i := range routers {
		list = append(list, fleet.Instance{
			ID: fmt.Sprintf("router-%04d", i), Role: fleet.RoleRouter, State: fleet.StateLive,
			Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), PeerAddress: fmt.Sprintf("10.0.%d.%d:9090", i/250, i%250),
			FailureDomain: ident.Domain(fmt.Sprintf("domain-%02d", i%targetDomains)),
		})
	}
	for i := range engines {
		list = append(list, fleet.Instance{
			ID: fmt.Sprintf("engine-%05d", i), Role: fleet.RoleEngine, State: fleet.StateLive, Slots: 32,
			Address:       fmt.Sprintf("10.%d.%d.%d:8000", 1+i/62_500, i/250%250, i%250),
			FailureDomain: ident.Domain(fmt.Sprintf("domain-%02d", i%targetDomains)),
			Models:        []ident.Model{ident.Model(fmt.Sprintf("model-%02d", i%targetModels))},
		})
	}
	return list
}

// largeFleet returns the fleet state of a router that has received a heartbeat of every other router.
func largeFleet(routers, engines int) *fleet.Fleet {
	now := time.Now()
	list := instanceList(routers, engines)
	f := fleet.New(list[0], 1, now)
	f.ApplyList(list, now)
	var members []wire.Member
	for _, i := range list[1:routers] {
		members = append(members, wire.Member{Router: ident.Router(i.ID), Incarnation: 1, State: fleet.Alive})
	}
	f.Merge(members, now)
	return f
}

func engineMemory(n int) (float64, error) { return viewMemory(1, n) }

func memberMemory(n int) (float64, error) { return viewMemory(n, 1) }

func viewMemory(routers, engines int) (float64, error) {
	before := liveMemory()
	f := largeFleet(routers, engines)
	after := liveMemory()
	runtime.KeepAlive(f)
	return after - before, nil
}

func engineViewCPU(n int) (float64, error) { return rebuildCPU(targetRouters, n) }

func memberViewCPU(n int) (float64, error) { return rebuildCPU(n, enginesForView) }

func rebuildCPU(routers, engines int) (float64, error) {
	const rebuilds = 10
	f := largeFleet(routers, engines)
	start := processCPU()
	for i := range rebuilds {
		f.Merge([]wire.Member{{Router: "router-0001", Incarnation: ident.Incarnation(2 + i), State: fleet.Alive}}, time.Now())
	}
	return float64((processCPU() - start).Microseconds()) / rebuilds, nil
}

func spilledChatMemory(n int) (float64, error) {
	before := liveMemory()
	cache, err := lru.New[ident.Chat, ident.Engine](n)
	if err != nil {
		return 0, err
	}
	for i := range n {
		cache.Add(ident.Chat(fmt.Sprintf("chat-%024d", i)), ident.Engine(fmt.Sprintf("engine-%05d", i)))
	}
	after := liveMemory()
	runtime.KeepAlive(cache)
	return after - before, nil
}

func seriesMemory(n int) (float64, error) {
	before := liveMemory()
	m := metrics.New()
	for i := range n {
		org := ident.Organisation(fmt.Sprint("organisation-", i))
		m.QueueTime(org, "interactive", time.Millisecond)
		m.FirstToken(org, "interactive", time.Second)
		m.TokenGap(org, "interactive", time.Millisecond)
		m.Total(org, "interactive", time.Minute)
	}
	after := liveMemory()
	runtime.KeepAlive(m)
	return after - before, nil
}

func pickCPU(n int) (float64, error) {
	const picks = 2000
	v := largeFleet(1, n*targetModels).View()
	start := processCPU()
	for i := range picks {
		v.Candidates("model-00", fmt.Sprint("chat-", i), 8)
	}
	return float64((processCPU() - start).Microseconds()) / picks, nil
}
