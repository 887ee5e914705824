package engines

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vanillaroute/vanillaroute/ident"
)

type (
	// Key identifies one incarnation of an engine in messages between instances. It is a 32-bit hash of ID and StartedAtMs.
	Key uint32

	// Version is the version of an engine's software, or empty if it is not known.
	Version string

	// Engine is one incarnation of an engine that serves a service.
	Engine struct {
		ID      ident.Engine
		Service ident.Service
		Address string
		Domain  ident.Domain
		Version Version
		// Slots is the number of requests that the engine runs at a time, or 0 if it is not known.
		Slots int
		// Draining engines take no new requests.
		Draining bool
		// StartedAtMs is when the engine started, in milliseconds since the epoch, or 0 if unknown. It differs between incarnations.
		StartedAtMs int64
		// Sequence counts the reports of the engine since its start.
		Sequence float64
		// ColdFor is how much longer the engine was cold when it registered or last said so, or 0.
		ColdFor time.Duration
		// Key is set by NewList.
		Key Key
	}

	// List is an immutable set of registered engines.
	List struct {
		// services holds the engines that take new requests, by service.
		services map[ident.Service][]Engine
		byKey    map[Key]Engine
		// ready counts the engines that take new requests.
		ready int
	}
)

// NewList returns a list of all registered engines, and sets their keys.
func NewList(all []Engine) *List {
	l := &List{services: make(map[ident.Service][]Engine), byKey: make(map[Key]Engine, len(all))}
	for _, e := range all {
		e.Key = keyOf(e)
		l.byKey[e.Key] = e
		if !e.Draining {
			l.services[e.Service] = append(l.services[e.Service], e)
			l.ready++
		}
	}
	return l
}

// OfService returns the engines of a service that take new requests.
func (l *List) OfService(s ident.Service) []Engine { return l.services[s] }

// AreUnversioned reports whether none of the engines of a service, draining ones included, names its version.
func (l *List) AreUnversioned(s ident.Service) bool {
	for _, e := range l.byKey {
		if e.Service == s && e.Version != "" {
			return false
		}
	}
	return true
}

// Get returns the engine with that key, draining or not, and false if there is none.
func (l *List) Get(k Key) (Engine, bool) {
	e, ok := l.byKey[k]
	return e, ok
}

// ReadyCount returns the number of engines that take new requests.
func (l *List) ReadyCount() int { return l.ready }

// All returns all engines, including draining ones, in no particular order.
func (l *List) All() []Engine {
	all := make([]Engine, 0, len(l.byKey))
	for _, e := range l.byKey {
		all = append(all, e)
	}
	return all
}

func keyOf(e Engine) Key {
	return Key(xxhash.Sum64String(string(e.ID) + "/" + strconv.FormatInt(e.StartedAtMs, 10)))
}
