package routing

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vanillaroute/vanillaroute/ident"
)

// Kinds of requests, by whether they may run again.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events; they may run more than once only if the route is resumable.
	Stream
)

type (
	// Kind says whether a request may run again.
	Kind uint8

	// Version is the operators' number of a configuration; a higher one is newer.
	Version int64

	// Priority is the rank of a request; 0 is the most urgent.
	Priority uint8

	// Backend is one service of a route. Weight is its share of the requests, relative to the other backends.
	Backend struct {
		Service ident.Service
		Weight  int
	}

	// Route says how requests at Host and below PathPrefix are served.
	Route struct {
		Name       string
		Host       string
		PathPrefix string
		Kind       Kind
		// Timeout is the longest time that a caller may wait for the answer.
		Timeout time.Duration
		// Priority is the priority of the route's requests, unless their organisation has one.
		Priority Priority
		// TargetFirstByte is the target for the time to the first event, or to the whole answer of a plain request; 0 means no target.
		TargetFirstByte time.Duration
		// TargetEventGap is the target for the longest pause between two events of a stream; 0 means no target.
		TargetEventGap time.Duration
		Backends       []Backend
		// MaxEngines bounds how many engines may run one request.
		MaxEngines int
		// Public routes need no key.
		Public bool
		// Resumable says that another engine can continue a broken stream after the last event sent.
		Resumable bool
		// CachesPrompts says that requests name the parts of their prompts and that the engines cache these parts.
		CachesPrompts bool
	}

	// Organisation is a customer and its keys.
	Organisation struct {
		Name ident.Organisation
		Keys []string
		// Priority is the priority of its requests, or nil if that of their routes applies.
		Priority *Priority
	}

	// Access says who may use the routes that are not public. The zero value admits nobody.
	Access struct {
		Organisations []Organisation
		// Open says that the configuration has no list of organisations, so that requests need no key. An empty list admits nobody.
		Open bool
	}

	// Limits bound the header and the body of a request, how long a caller may take to send the header, and how long its connection may be idle; zero
	// means no bound.
	Limits struct {
		MaxHeaderBytes, MaxBodyBytes int64
		HeaderTimeout, IdleTimeout   time.Duration
	}

	// Warmup says what an engine takes that has just started.
	Warmup struct {
		// Span is how long the engine is cold.
		Span time.Duration
		// PerSecond is the number of requests a second that it takes meanwhile from all instances together.
		PerSecond float64
	}

	// Service is what the configuration says of a service.
	Service struct {
		Name ident.Service
		// HealthPath is the path at which each engine answers for itself, or "" if it is not known.
		HealthPath string
		// MaxConnections is the number of connections that an engine accepts from all instances together, or 0 if it is not known.
		MaxConnections int
		// MemoryTokens is the number of tokens of running requests and cached parts that an engine has memory for, or 0 if it is not known.
		MemoryTokens int
		// Warmup is nil if engines that have just started take as much as others.
		Warmup *Warmup
	}

	// Content is the content of one version of the configuration.
	Content struct {
		Version  Version
		Limits   Limits
		Services []Service
		Routes   []Route
		Access   Access
	}

	// Configuration is one version of the configuration. It is immutable.
	Configuration struct {
		Version Version
		Limits  Limits
		// byHost holds the routes of each lower-case host, longest prefix first.
		byHost   map[string][]Route
		services map[ident.Service]Service
		// open says that requests need no key.
		open      bool
		keyOwners map[[sha256.Size]byte]ident.Organisation
		// priorities holds the priorities of the organisations that have one.
		priorities        map[ident.Organisation]Priority
		servicePriorities map[ident.Service][]Priority
	}
)

// New returns a configuration with the given content.
func New(content Content) *Configuration {
	c := &Configuration{
		Version: content.Version, Limits: content.Limits, open: content.Access.Open, services: make(map[ident.Service]Service),
		byHost: make(map[string][]Route), keyOwners: make(map[[sha256.Size]byte]ident.Organisation),
		priorities: make(map[ident.Organisation]Priority), servicePriorities: servicePriorities(content.Routes, content.Access.Organisations),
	}
	for _, s := range content.Services {
		c.services[s.Name] = s
	}
	for _, r := range content.Routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, o := range content.Access.Organisations {
		for _, key := range o.Keys {
			if key == "" {
				// A request without a key must not match it.
				continue
			}
			c.keyOwners[sha256.Sum256([]byte(key))] = o.Name
		}
		if o.Priority != nil {
			c.priorities[o.Name] = *o.Priority
		}
	}
	return c
}

// Match returns the route at the host with the longest prefix of the path, and false if there is none.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	list := c.byHost[strings.ToLower(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].PathPrefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// NeedsKeys reports whether requests on routes that are not public must carry a key. They must also while no organisation has one.
func (c *Configuration) NeedsKeys() bool { return !c.open }

// HealthPath returns the path at which the engines of a service answer for themselves, or "" if it is not known.
func (c *Configuration) HealthPath(s ident.Service) string { return c.services[s].HealthPath }

// Service returns what the configuration says of a service, or only its name if it says nothing.
func (c *Configuration) Service(name ident.Service) Service {
	s := c.services[name]
	s.Name = name
	return s
}

// PromptServices returns the services whose engines cache parts of prompts.
func (c *Configuration) PromptServices() []ident.Service {
	var list []ident.Service
	for _, routes := range c.byHost {
		for _, r := range routes {
			for _, b := range r.Backends {
				if r.CachesPrompts && !slices.Contains(list, b.Service) {
					list = append(list, b.Service)
				}
			}
		}
	}
	return list
}

// Authenticate returns the organisation that owns the key, and false if there is none.
func (c *Configuration) Authenticate(key string) (ident.Organisation, bool) {
	org, ok := c.keyOwners[sha256.Sum256([]byte(key))]
	return org, ok
}

// Priority returns the priority of an organisation's requests on a route.
func (c *Configuration) Priority(r *Route, org ident.Organisation) Priority {
	if p, ok := c.priorities[org]; ok {
		return p
	}
	return r.Priority
}

// Retryable reports whether requests of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service returns the service for a request, or "" if all weights are 0. It is chosen by a hash of the request ID in proportion to the
// weights, so that the same request always gets the same service.
func (r *Route) Service(id ident.Request) ident.Service {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return ""
}
