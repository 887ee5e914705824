package routing

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vanillaroute/vanillaroute/ident"
)

// Kinds of requests, by what may be repeated.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events; they are repeatable only where they can be resumed.
	Stream
)

type (
	// Kind says what may be repeated.
	Kind uint8

	// Version orders configurations as the operators number them.
	Version int64

	// Backend is one service that a route sends to, with its share of the traffic.
	Backend struct {
		Service ident.Service
		Weight  int
	}

	// Route says how requests below a path prefix are served.
	Route struct {
		Name       string
		Host       string
		PathPrefix string
		Kind       Kind
		// Timeout is the longest time that a request may be kept waiting.
		Timeout time.Duration
		// TargetFirstByte is the time within which an answer begins in good time.
		TargetFirstByte time.Duration
		// TargetEventGap is the longest pause between events of a stream that is on time.
		TargetEventGap time.Duration
		Backends       []Backend
		// MaxEngines is how many engines may run one request.
		MaxEngines int
		// Public routes need no key.
		Public    bool
		Resumable bool
		// CachesPrompts says that the route's requests name the parts of their prompts.
		CachesPrompts bool
	}

	// Organisation is a customer and its keys.
	Organisation struct {
		Name ident.Organisation
		Keys []string
	}

	// Limits bound what a caller may send; zero means no bound.
	Limits struct {
		MaxBodyBytes int64
		IdleTimeout  time.Duration
	}

	// Configuration is one version, unchangeable once built.
	Configuration struct {
		Version   Version
		Limits    Limits
		byHost    map[string][]Route
		keyOwners map[[sha256.Size]byte]ident.Organisation
	}
)

// New returns a configuration of routes and organisations.
func New(v Version, limits Limits, routes []Route, organisations []Organisation) *Configuration {
	c := &Configuration{
		Version: v, Limits: limits,
		byHost: make(map[string][]Route), keyOwners: make(map[[sha256.Size]byte]ident.Organisation),
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, o := range organisations {
		for _, key := range o.Keys {
			c.keyOwners[sha256.Sum256([]byte(key))] = o.Name
		}
	}
	return c
}

// Match returns the route with the longest prefix of the path at the host.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	list := c.byHost[strings.ToLower(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].PathPrefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// NeedsKeys reports whether requests on routes that are not public carry a key.
func (c *Configuration) NeedsKeys() bool { return len(c.keyOwners) > 0 }

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

// Authenticate returns the organisation that holds the key.
func (c *Configuration) Authenticate(key string) (ident.Organisation, bool) {
	org, ok := c.keyOwners[sha256.Sum256([]byte(key))]
	return org, ok
}

// Retryable reports whether requests of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service returns the service for a request, the same for the same request, in proportion to the weights.
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
