package engines

import (
	"github.com/vanillaroute/vanillaroute/ident"
)

type (
	// Engine is one incarnation of an engine that takes requests of a service.
	Engine struct {
		ID      ident.Engine
		Service ident.Service
		Address string
		Domain  ident.Domain
		// Slots is how many requests the engine processes at once.
		Slots int
		// Draining engines take no new requests.
		Draining bool
		// Born tells one start of the engine from the next, in milliseconds since the epoch, or 0 where it is not known.
		Born int64
	}

	// List is the engines of one moment by service, draining ones left out.
	List struct {
		services map[ident.Service][]Engine
		byID     map[ident.Engine]Engine
	}
)

// NewList returns the list of the engines that take new requests.
func NewList(all []Engine) *List {
	l := &List{services: make(map[ident.Service][]Engine), byID: make(map[ident.Engine]Engine)}
	for _, e := range all {
		if e.Draining {
			continue
		}
		l.services[e.Service] = append(l.services[e.Service], e)
		l.byID[e.ID] = e
	}
	return l
}

// Of returns the engines of a service.
func (l *List) Of(s ident.Service) []Engine { return l.services[s] }

// Has reports whether the same incarnation of an engine takes new requests.
func (l *List) Has(e Engine) bool {
	now, ok := l.byID[e.ID]
	return ok && now.Born == e.Born && now.Address == e.Address
}

// Len returns how many engines take new requests.
func (l *List) Len() int { return len(l.byID) }

// All returns the engines that take new requests, in no order.
func (l *List) All() []Engine {
	all := make([]Engine, 0, len(l.byID))
	for _, e := range l.byID {
		all = append(all, e)
	}
	return all
}
