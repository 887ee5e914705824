package streams

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

// Retention is how long a version counts after its last engine has left: streams that it began may be taken up until then.
const Retention = time.Minute

// Versions holds the software versions of the engines of each service. It is safe for concurrent use; its zero value is empty.
type Versions struct {
	mu sync.Mutex
	// seen holds when an engine of a version was last registered. Those that are registered now are in registered.
	seen       map[ident.Service]map[engines.Version]boottime.Instant
	registered map[ident.Service]map[engines.Version]bool
	// marked are the services that had several versions according to the store.
	marked map[ident.Service]bool
}

// Update replaces the registered engines, draining ones included.
func (v *Versions) Update(all []engines.Engine, now boottime.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for service, versions := range v.registered {
		for version := range versions {
			v.seen[service][version] = now
		}
	}
	if v.seen == nil {
		v.seen = make(map[ident.Service]map[engines.Version]boottime.Instant)
	}
	v.registered = make(map[ident.Service]map[engines.Version]bool)
	for _, e := range all {
		if v.registered[e.Service] == nil {
			v.registered[e.Service] = make(map[engines.Version]bool)
		}
		if v.seen[e.Service] == nil {
			v.seen[e.Service] = make(map[engines.Version]boottime.Instant)
		}
		v.registered[e.Service][e.Version] = true
		v.seen[e.Service][e.Version] = now
	}
	for service, versions := range v.seen {
		maps.DeleteFunc(versions, func(version engines.Version, at boottime.Instant) bool {
			return !v.registered[service][version] && now.Sub(at) >= Retention
		})
		if len(versions) == 0 {
			delete(v.seen, service)
		}
	}
}

// Mark records whether the store says that a service has or lately had several versions.
func (v *Versions) Mark(s ident.Service, several bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !several {
		delete(v.marked, s)
		return
	}
	if v.marked == nil {
		v.marked = make(map[ident.Service]bool)
	}
	v.marked[s] = true
}

// AreSeveral reports whether a service has or lately had engines of several versions.
func (v *Versions) AreSeveral(s ident.Service, now boottime.Instant) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.marked[s] || v.count(s, now) > 1
}

// AnySeveral reports whether AreSeveral is true for any service.
func (v *Versions) AnySeveral(now boottime.Instant) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.marked) > 0 {
		return true
	}
	for service := range v.seen {
		if v.count(service, now) > 1 {
			return true
		}
	}
	return false
}

// Several returns the services that have or lately had several versions by their engines, without regard to the store.
func (v *Versions) Several(now boottime.Instant) []ident.Service {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []ident.Service
	for service := range v.seen {
		if v.count(service, now) > 1 {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}

func (v *Versions) count(s ident.Service, now boottime.Instant) int {
	count := 0
	for version, at := range v.seen[s] {
		if v.registered[s][version] || now.Sub(at) < Retention {
			count++
		}
	}
	return count
}
