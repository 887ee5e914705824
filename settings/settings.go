package settings

import (
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/tomlfile"
)

type (
	// Settings holds all settings of a router.
	Settings struct {
		Router    Router    `toml:"router"`
		Platform  Platform  `toml:"platform"`
		Operators Operators `toml:"operators"`
		Peers     Peers     `toml:"peers"`
		Routing   Routing   `toml:"routing"`
		Log       Log       `toml:"log"`
		Limits    Limits    `toml:"limits"`
		Services  []Service `toml:"service"`
	}

	// Router names the process, its failure domain and the addresses that it listens on.
	Router struct {
		ID            ident.Router     `toml:"id"`
		FailureDomain ident.Domain     `toml:"failureDomain"`
		Callers       tomlfile.Address `toml:"callers"`
		Peers         tomlfile.Address `toml:"peers"`
	}

	// Platform holds the addresses of the platform's services and the limit for loading models.
	Platform struct {
		Store     tomlfile.Address `toml:"store"`
		Instances tomlfile.Address `toml:"instances"`
		// ModelLoadsPerMinute is the number of model loads per minute that the weight store allows.
		ModelLoadsPerMinute float64 `toml:"loadsPerMinute"`
	}

	// Operators holds the SHA-256 hash of the operators' key in hexadecimal digits.
	Operators struct {
		KeyHash string `toml:"keyHash"`
	}

	// Peers holds the PEM blocks for mutual TLS between routers. Without them routers use plain TCP.
	Peers struct {
		Authority   string `toml:"authority,omitempty"`
		Certificate string `toml:"certificate,omitempty"`
		Key         string `toml:"key,omitempty"`
	}

	// Routing holds the bounds and time limits of requests.
	Routing struct {
		// LoadBound is the highest load of an engine, as a multiple of the mean load of its model.
		LoadBound float64 `toml:"loadBound"`
		// LongShare is the share of an engine's slots that long requests may use while short requests arrive.
		LongShare float64 `toml:"longShare"`
		// QueueLimit is the highest number of requests that may wait for one engine.
		QueueLimit int `toml:"queueLimit"`
		// HedgeShare is the highest share of requests that may be hedged, i.e. sent to a second engine.
		HedgeShare float64 `toml:"hedgeShare"`
		// CacheWait is how long a chat waits for the engine that has its prefix cached before another engine may take it.
		CacheWait         tomlfile.Duration `toml:"cacheWait"`
		FirstTokenTimeout tomlfile.Duration `toml:"firstTokenTimeout"`
		StallTimeout      tomlfile.Duration `toml:"stallTimeout"`
		AddressValidity   tomlfile.Duration `toml:"addressValidity"`
		GracefulShutdown  tomlfile.Duration `toml:"gracefulShutdown"`
		Classes           []Class           `toml:"class"`
	}

	// Class is a class of requests. Requests that name no class belong to the first one.
	Class struct {
		Name ident.Class `toml:"name"`
		// Long marks a class with long answers. While short requests arrive, its requests are limited to LongShare of the slots.
		Long bool `toml:"long"`
		// MaxWait is how long a request may wait for an engine to start it.
		MaxWait tomlfile.Duration `toml:"maxWait"`
	}

	// Service is a service without a model that the routers forward calls to.
	Service struct {
		Name ident.Service `toml:"name"`
		// NonIdempotent lists the calls that run at most once, each as "METHOD /path". Its key in the settings file is unrepeatable.
		NonIdempotent []string `toml:"unrepeatable"`
	}

	// Limits bound what callers may take of a router.
	Limits struct {
		// Memory is the memory that the process may use, or 0 for no bound on it, on connections and on bodies together.
		Memory tomlfile.Bytes `toml:"memory"`
		// HeaderTimeout and BodyTimeout bound the time for the head and the body of a request, and IdleTimeout that without a request on an open connection
		// or without progress of an answer.
		HeaderTimeout tomlfile.Duration `toml:"headerTimeout"`
		BodyTimeout   tomlfile.Duration `toml:"bodyTimeout"`
		IdleTimeout   tomlfile.Duration `toml:"idleTimeout"`
	}

	// Log holds the log level.
	Log struct {
		Level string `toml:"level"`
	}
)

// Class returns the class with that name, or the first class if there is none.
func (r Routing) Class(name ident.Class) Class {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return r.Classes[0]
}

// Service returns the service with that name, and false if there is none.
func (s Settings) Service(name ident.Service) (Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return Service{}, false
}

// IsIdempotent reports whether a call may be sent more than once, i.e. is not listed in NonIdempotent.
func (s Service) IsIdempotent(method, path string) bool {
	for _, call := range s.NonIdempotent {
		if call == method+" "+path {
			return false
		}
	}
	return true
}
