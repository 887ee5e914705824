package settings

import (
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/tomlfile"
)

type (
	// Settings is the whole tree of a router's settings.
	Settings struct {
		Router    Router    `toml:"router"`
		Platform  Platform  `toml:"platform"`
		Operators Operators `toml:"operators"`
		Peers     Peers     `toml:"peers"`
		Routing   Routing   `toml:"routing"`
		Log       Log       `toml:"log"`
		Services  []Service `toml:"service"`
	}

	// Router names the process, its failure domain and the addresses that it listens on.
	Router struct {
		ID            ident.Router     `toml:"id"`
		FailureDomain ident.Domain     `toml:"failureDomain"`
		Callers       tomlfile.Address `toml:"callers"`
		Peers         tomlfile.Address `toml:"peers"`
	}

	// Platform says where the platform's services are.
	Platform struct {
		Store     tomlfile.Address `toml:"store"`
		Instances tomlfile.Address `toml:"instances"`
		// ModelLoadsPerMinute is how many loads of models the weight store allows.
		ModelLoadsPerMinute float64 `toml:"loadsPerMinute"`
	}

	// Operators holds the SHA-256 hash of the operators' key.
	Operators struct {
		KeyHash string `toml:"keyHash"`
	}

	// Peers holds the PEM blocks for mutual TLS between routers; without them peers speak plain TCP.
	Peers struct {
		Authority   string `toml:"authority,omitempty"`
		Certificate string `toml:"certificate,omitempty"`
		Key         string `toml:"key,omitempty"`
	}

	// Routing holds the bounds and time limits of requests.
	Routing struct {
		// LoadBound is the multiple of a model's mean load that no engine exceeds.
		LoadBound float64 `toml:"loadBound"`
		// LongShare is the share of an engine's slots that long work may take while short work comes.
		LongShare float64 `toml:"longShare"`
		// QueueLimit is how many requests may wait for one engine.
		QueueLimit int `toml:"queueLimit"`
		// HedgeShare is the share of requests that may be sent to a second engine.
		HedgeShare float64 `toml:"hedgeShare"`
		// CacheWait is how long a chat waits for the engine that has its prefix before it goes to another.
		CacheWait         tomlfile.Duration `toml:"cacheWait"`
		FirstTokenTimeout tomlfile.Duration `toml:"firstTokenTimeout"`
		StallTimeout      tomlfile.Duration `toml:"stallTimeout"`
		AddressValidity   tomlfile.Duration `toml:"addressValidity"`
		GracefulShutdown  tomlfile.Duration `toml:"gracefulShutdown"`
		Classes           []Class           `toml:"class"`
	}

	// Class is a kind of work; the first class is the one of requests that name none.
	Class struct {
		Name ident.Class `toml:"name"`
		// Long says that the answers are long, so that they take only a share of the slots.
		Long bool `toml:"long"`
		// MaxWait is how long a request may wait before its first token is due.
		MaxWait tomlfile.Duration `toml:"maxWait"`
	}

	// Service is a plain service that the routers forward to.
	Service struct {
		Name ident.Service `toml:"name"`
		// Unrepeatable lists the calls that run at most once, each as "METHOD /path".
		Unrepeatable []string `toml:"unrepeatable"`
	}

	// Log says how much is logged.
	Log struct {
		Level string `toml:"level"`
	}
)

// Class returns the class of that name, or the first one.
func (r Routing) Class(name ident.Class) Class {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return r.Classes[0]
}

// Service returns the service of that name.
func (s Settings) Service(name ident.Service) (Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return Service{}, false
}

// MayRepeat reports whether a call may be sent more than once.
func (s Service) MayRepeat(method, path string) bool {
	for _, call := range s.Unrepeatable {
		if call == method+" "+path {
			return false
		}
	}
	return true
}
