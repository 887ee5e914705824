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

// BookingService is the name of the simulated service with non-idempotent bookings.
const BookingService ident.Service = "desk"

type (
	// Config is the size and the parameters of a site.
	Config struct {
		Domains       []ident.Domain
		Model         ident.Model
		Engines       int
		Services      int
		Organisations int
		Engine        engine.Config
		ServiceTime   time.Duration
		// Unlimited omits the limits from the allowances.
		Unlimited bool
	}

	// Organisation is a customer with its API key in plain text, for test clients.
	Organisation struct {
		Name ident.Organisation `json:"name"`
		Key  string             `json:"key"`
	}

	// Site is a running simulated platform.
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

// DefaultConfig returns the configuration of a site with 10 engines and 3 service instances in 3 failure domains, which is the
// size of the museum's deployment.
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

// Start starts a site on a loopback network of its own.
func Start(c Config) (*Site, error) {
	network, err := loopback.Claim()
	if err != nil {
		return nil, err
	}
	s := &Site{Config: c, Store: kv.New(), network: network}
	for i := range c.Engines {
		if _, err := s.AddEngine(fmt.Sprintf("engine-%02d", i+1), c.Domains[i%len(c.Domains)]); err != nil {
			return nil, err
		}
	}
	for i := range c.Services {
		ln, err := s.network.Listen()
		if err != nil {
			return nil, errors.Wrap(err, "listen for service")
		}
		id := fmt.Sprintf("desk-%d", i+1)
		s.Services = append(s.Services, service.Start(ident.Engine(id), c.ServiceTime, ln))
		s.AddInstance(fleet.Instance{
			ID: id, Role: fleet.RoleService, Address: ln.Addr().String(), FailureDomain: c.Domains[i%len(c.Domains)],
			State: fleet.StateLive, Service: BookingService,
		})
	}
	s.writeOrganisations()
	return s, s.startServers()
}

// AddEngine starts an engine and adds it to the list of instances.
func (s *Site) AddEngine(id string, domain ident.Domain) (*engine.Engine, error) {
	ln, err := s.network.Listen()
	if err != nil {
		return nil, errors.Wrap(err, "listen for engine")
	}
	config := s.Config.Engine
	config.ID = ident.Engine(id)
	config.Models = []ident.Model{s.Config.Model}
	e := engine.Start(config, ln)
	e.OnModelsChanged(func(models []ident.Model) { s.setModels(id, models) })
	s.mu.Lock()
	s.Engines = append(s.Engines, e)
	s.mu.Unlock()
	s.AddInstance(fleet.Instance{
		ID: id, Role: fleet.RoleEngine, Address: ln.Addr().String(), FailureDomain: domain,
		State: fleet.StateLive, Models: config.Models, Slots: config.Slots, ChecksOrders: config.ChecksOrders,
	})
	return e, nil
}

// AddInstance adds an instance to the list.
func (s *Site) AddInstance(i fleet.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, i)
	s.publishList()
}

// RemoveInstance removes an instance from the list.
func (s *Site) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.DeleteFunc(s.instances, func(i fleet.Instance) bool { return i.ID == id })
	s.publishList()
}

// setModels updates the models of an engine in the list after an order.
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

// MinListedEngines returns the smallest number of live engines in the list as served between two times, or -1 if no list was served.
func (s *Site) MinListedEngines(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	minimum := -1
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
		if minimum < 0 || n < minimum {
			minimum = n
		}
	}
	return minimum
}

// SetListLag delays changes of the served list by the given time.
func (s *Site) SetListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listLag = lag
}

// StoreAddress returns the address of the key-value service as "IP:port".
func (s *Site) StoreAddress() string { return s.storeListener.Addr().String() }

// InstancesAddress returns the address of the list of instances as "IP:port".
func (s *Site) InstancesAddress() string { return s.instancesListener.Addr().String() }

// Close stops all servers and releases the loopback network.
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
	served, tag := []fleet.Instance{}, ""
	for i, p := range s.published {
		if i == 0 || time.Since(p.at) >= s.listLag {
			served, tag = p.list, strconv.Quote(strconv.Itoa(i))
		}
	}
	s.mu.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(served)
}

// publishList records the current list with its time. The caller must hold s.mu.
func (s *Site) publishList() {
	s.published = append(s.published, publishedList{at: time.Now(), list: slices.Clone(s.instances)})
}

// writeOrganisations writes the allowances of two plans and the organisations to the store; the first three organisations have the
// large plan.
func (s *Site) writeOrganisations() {
	const largeOrganisations = 3
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
		if i < largeOrganisations {
			plan = "large"
		}
		o := Organisation{Name: ident.Organisation(fmt.Sprintf("organisation-%02d", i+1)), Key: NewAPIKey()}
		s.Organisations = append(s.Organisations, o)
		entry := lists.PlanEntry{Organisation: o.Name, Plan: plan, KeyHashes: []string{lists.HashKey(o.Key)}}
		put(entry.Key(), entry)
	}
}

// NewAPIKey returns a random API key for an organisation or for operators.
func NewAPIKey() string { return "vk-" + string(ident.NewRequest()) + string(ident.NewRequest()) }

// Instance returns the instance with the ID from the list and whether it is listed.
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
