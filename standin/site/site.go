package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/standin/engine"
	"github.com/vanillaroute/vanillaroute/standin/kv"
	"github.com/vanillaroute/vanillaroute/standin/loopback"
	"github.com/vanillaroute/vanillaroute/standin/service"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/lists"
)

// BookingService is the name of the service whose bookings may not repeat.
const BookingService ident.Service = "desk"

type (
	// Config says what a site is made of.
	Config struct {
		Domains       []ident.Domain
		Model         ident.Model
		Engines       int
		Services      int
		Organisations int
		Engine        engine.Config
		ServiceTime   time.Duration
		// Unlimited leaves the rates out of the allowances.
		Unlimited bool
	}

	// Organisation is a customer with its key in the clear, for callers of the stand-ins.
	Organisation struct {
		Name ident.Organisation `json:"name"`
		Key  string             `json:"key"`
	}

	// Site is the running stand-ins.
	Site struct {
		Config        Config
		Store         *kv.Server
		Engines       []*engine.Engine
		Services      []*service.Service
		Organisations []Organisation

		network                          *loopback.Network
		storeListener, instancesListener net.Listener
		servers                          []*http.Server
		mu                               sync.Mutex
		instances                        []fleet.Instance
		published                        []publishedList
		listLag                          time.Duration
	}

	publishedList struct {
		at   time.Time
		list []fleet.Instance
	}
)

// DefaultConfig returns the plan of a site as large as the museum's.
func DefaultConfig() Config {
	return Config{
		Domains: []ident.Domain{"brest", "morlaix", "lorient"}, Model: "bell-assistant",
		Engines: 10, Services: 3, Organisations: 10, ServiceTime: 5 * time.Millisecond,
		Engine: engine.Config{
			Slots: 8, CacheTokens: 64 << 10, PrefillPerToken: 100 * time.Microsecond, DecodePerToken: 5 * time.Millisecond,
			BatchSlowdown: 0.05, DefaultTokens: 32,
		},
	}
}

// Start runs the stand-ins of a plan on a loopback network of their own.
func Start(p Config) (*Site, error) {
	network, err := loopback.Claim()
	if err != nil {
		return nil, err
	}
	s := &Site{Config: p, Store: kv.New(), network: network}
	for i := range p.Engines {
		if _, err := s.AddEngine(fmt.Sprintf("engine-%02d", i+1), p.Domains[i%len(p.Domains)]); err != nil {
			return nil, err
		}
	}
	for i := range p.Services {
		ln, err := s.network.Listen()
		if err != nil {
			return nil, errors.Wrap(err, "listen for service")
		}
		id := fmt.Sprintf("desk-%d", i+1)
		s.Services = append(s.Services, service.Start(ident.Engine(id), p.ServiceTime, ln))
		s.AddInstance(fleet.Instance{
			ID: id, Role: fleet.RoleService, Address: ln.Addr().String(), FailureDomain: p.Domains[i%len(p.Domains)],
			State: fleet.StateLive, Service: BookingService,
		})
	}
	s.writeOrganisations()
	return s, s.startServers()
}

// AddEngine starts one more engine and lists it.
func (s *Site) AddEngine(id string, domain ident.Domain) (*engine.Engine, error) {
	ln, err := s.network.Listen()
	if err != nil {
		return nil, errors.Wrap(err, "listen for engine")
	}
	shape := s.Config.Engine
	shape.ID = ident.Engine(id)
	shape.Models = []ident.Model{s.Config.Model}
	e := engine.Start(shape, ln)
	e.OnModelsChanged(func(models []ident.Model) { s.setModels(id, models) })
	s.mu.Lock()
	s.Engines = append(s.Engines, e)
	s.mu.Unlock()
	s.AddInstance(fleet.Instance{
		ID: id, Role: fleet.RoleEngine, Address: ln.Addr().String(), FailureDomain: domain,
		State: fleet.StateLive, Models: shape.Models, Slots: shape.Slots, ChecksOrders: shape.ChecksOrders,
	})
	return e, nil
}

// AddInstance lists an instance.
func (s *Site) AddInstance(i fleet.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, i)
	s.publishList()
}

// RemoveInstance takes an instance off the list.
func (s *Site) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.DeleteFunc(s.instances, func(i fleet.Instance) bool { return i.ID == id })
	s.publishList()
}

// setModels lists what an engine holds after an order.
func (s *Site) setModels(id string, models []ident.Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.instances {
		if s.instances[i].ID == id {
			s.instances[i].Models = models
		}
	}
	s.publishList()
}

// MinListedEngines returns the fewest live engines that the list showed within a time.
func (s *Site) MinListedEngines(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	fewest := -1
	for i, p := range s.published {
		ended := i+1 < len(s.published) && s.published[i+1].at.Add(s.listLag).Before(from)
		if ended || p.at.Add(s.listLag).After(to) {
			continue
		}
		n := 0
		for _, instance := range p.list {
			if instance.Role == fleet.RoleEngine && instance.State == fleet.StateLive {
				n++
			}
		}
		if fewest < 0 || n < fewest {
			fewest = n
		}
	}
	return fewest
}

// SetListLag makes the list show what was true some time ago.
func (s *Site) SetListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listLag = lag
}

// StoreAddress returns the address of the key-value service.
func (s *Site) StoreAddress() string { return s.storeListener.Addr().String() }

// InstancesAddress returns the address of the list of instances.
func (s *Site) InstancesAddress() string { return s.instancesListener.Addr().String() }

// Close stops all stand-ins.
func (s *Site) Close() {
	for _, e := range s.Engines {
		e.Close()
	}
	for _, d := range s.Services {
		d.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	_ = s.network.Close()
}

func (s *Site) startServers() error {
	var err error
	if s.storeListener, err = s.network.Listen(); err != nil {
		return errors.Wrap(err, "listen for store")
	}
	if s.instancesListener, err = s.network.Listen(); err != nil {
		return errors.Wrap(err, "listen for list")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", s.serveInstances)
	for _, pair := range []struct {
		ln      net.Listener
		handler http.Handler
	}{{s.storeListener, s.Store}, {s.instancesListener, mux}} {
		server := &http.Server{Handler: pair.handler, ReadHeaderTimeout: time.Second}
		s.servers = append(s.servers, server)
		go func() { _ = server.Serve(pair.ln) }()
	}
	return nil
}

func (s *Site) serveInstances(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	shown, tag := []fleet.Instance{}, ""
	for i, p := range s.published {
		if i == 0 || time.Since(p.at) >= s.listLag {
			shown, tag = p.list, strconv.Quote(strconv.Itoa(i))
		}
	}
	s.mu.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(shown)
}

// publishList keeps the list as it is now; the lock is held.
func (s *Site) publishList() {
	s.published = append(s.published, publishedList{at: time.Now(), list: slices.Clone(s.instances)})
}

// writeOrganisations gives every organisation a plan, the first ones the large one.
func (s *Site) writeOrganisations() {
	const large = 3
	put := func(key string, v any) {
		if value, err := json.Marshal(v); err == nil {
			s.Store.Put(key, value)
		}
	}
	for _, a := range []lists.Allowance{
		{Plan: "large", RequestsPerSecond: 2000, TokensPerSecond: 2_000_000, Concurrency: 2000},
		{Plan: "small", RequestsPerSecond: 200, TokensPerSecond: 200_000, Concurrency: 200},
	} {
		if s.Config.Unlimited {
			a = lists.Allowance{Plan: a.Plan}
		}
		a.Models = []ident.Model{s.Config.Model}
		a.Services = []ident.Service{BookingService}
		put(a.Key(), a)
	}
	for i := range s.Config.Organisations {
		plan := ident.Plan("small")
		if i < large {
			plan = "large"
		}
		o := Organisation{Name: ident.Organisation(fmt.Sprintf("organisation-%02d", i+1)), Key: NewAPIKey()}
		s.Organisations = append(s.Organisations, o)
		entry := lists.PlanEntry{Organisation: o.Name, Plan: plan, KeyHashes: []string{lists.HashKey(o.Key)}}
		put(entry.Key(), entry)
	}
}

// NewAPIKey returns a random key for an organisation or for operators.
func NewAPIKey() string { return "vk-" + string(ident.NewRequest()) + string(ident.NewRequest()) }

// Instance returns a listed instance.
func (s *Site) Instance(id string) (fleet.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.instances {
		if i.ID == id {
			return i, true
		}
	}
	return fleet.Instance{}, false
}
