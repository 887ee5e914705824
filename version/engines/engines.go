package engines

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/vanillaroute/vanillaroute/ident"
)

type (
	// Key identifies one incarnation of an engine between instances.
	Key uint32

	// Engine is one incarnation of an engine that takes requests of a service.
	Engine struct {
		ID      ident.Engine
		Service ident.Service
		Address string
		Domain  ident.Domain
		// Draining engines take no new requests.
		Draining bool
		// StartedAtMs tells one start of the engine from the next, in milliseconds since the epoch, or 0 where it is not known.
		StartedAtMs int64
		// Key is set by NewList.
		Key Key
	}

	// List is the engines of one moment.
	List struct {
		// services holds the engines that take new requests.
		services map[ident.Service][]Engine
		byKey    map[Key]Engine
		ready    int
	}
)

// NewList returns the list of all registered engines.
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

// Get returns an engine, draining ones included.
func (l *List) Get(k Key) (Engine, bool) {
	e, ok := l.byKey[k]
	return e, ok
}

// ReadyCount returns how many engines take new requests.
func (l *List) ReadyCount() int { return l.ready }

// All returns all engines, draining ones included, in no order.
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
