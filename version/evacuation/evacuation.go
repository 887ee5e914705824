package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

// Set is an immutable set of evacuated failure domains. A nil Set is empty.
type Set struct {
	evacuated map[ident.Domain]bool
	// withdrawn holds the times at which the evacuations of other domains were withdrawn.
	withdrawn map[ident.Domain]time.Time
}

// Contains reports whether a failure domain is evacuated.
func (s *Set) Contains(d ident.Domain) bool { return s != nil && s.evacuated[d] }

// Domains returns the evacuated failure domains in order.
func (s *Set) Domains() []ident.Domain {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.evacuated))
}

// WithdrawnAt returns when the evacuation of a failure domain was withdrawn, as this instance learned it. It returns the zero time if the domain is
// evacuated or no withdrawal is known.
func (s *Set) WithdrawnAt(d ident.Domain) time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.withdrawn[d]
}

// Remaining returns the engines whose failure domains are not evacuated. It returns the list itself if these are all.
func (s *Set) Remaining(list []engines.Engine) []engines.Engine {
	if s == nil || len(s.evacuated) == 0 {
		return list
	}
	isEvacuated := func(e engines.Engine) bool { return s.evacuated[e.Domain] }
	if !slices.ContainsFunc(list, isEvacuated) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), isEvacuated)
}

// With returns the set with a further evacuated failure domain.
func (s *Set) With(d ident.Domain) *Set {
	next := s.clone()
	next.evacuated[d] = true
	delete(next.withdrawn, d)
	return next
}

// Without returns the set without a failure domain whose evacuation is withdrawn now. It returns the set itself if the domain is not evacuated.
func (s *Set) Without(d ident.Domain, now time.Time) *Set {
	if !s.Contains(d) {
		return s
	}
	next := s.clone()
	delete(next.evacuated, d)
	next.withdrawn[d] = now
	return next
}

func (s *Set) clone() *Set {
	next := &Set{evacuated: make(map[ident.Domain]bool), withdrawn: make(map[ident.Domain]time.Time)}
	if s != nil {
		maps.Copy(next.evacuated, s.evacuated)
		maps.Copy(next.withdrawn, s.withdrawn)
	}
	return next
}
