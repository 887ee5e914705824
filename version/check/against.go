package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// Against returns what changes for callers and organisations when next replaces the version in force. What ends or moves is a change, what is
// hardly meant a warning.
func Against(inForce, next routing.Content) []Finding {
	var list findings
	if next.Version < inForce.Version {
		list.add(Error, Place{Part: Version}, "version %d is below version %d, which is in force, and would be ignored", next.Version, inForce.Version)
	}
	list.routes(inForce.Routes, next.Routes)
	list.services(inForce.Services, next.Services)
	list.limits(inForce.Limits, next.Limits)
	list.access(inForce.Access, next.Access)
	return list
}

// identity returns what tells a route from others: its name, or its host and prefix if it has none.
func identity(r routing.Route) string {
	return cmp.Or(r.Name, strings.ToLower(r.Host)+r.PathPrefix)
}

func (f *findings) routes(inForce, next []routing.Route) {
	earlier := make(map[string]routing.Route)
	for _, r := range inForce {
		earlier[identity(r)] = r
	}
	kept := make(map[string]bool)
	for i, r := range next {
		place := Place{Kind: Route, Index: i}
		kept[identity(r)] = true
		e, ok := earlier[identity(r)]
		if !ok {
			f.add(Change, place, "route %q is added for %q and goes to %s", identity(r), r.Host+r.PathPrefix, shares(r))
			continue
		}
		f.route(place, e, r)
	}
	for _, r := range inForce {
		if !kept[identity(r)] {
			kept[identity(r)] = true
			f.add(Change, Place{Kind: Route, Part: List}, "route %q is removed, so callers of %q are refused unless a shorter prefix serves them", identity(r), r.Host+r.PathPrefix)
		}
	}
}

// route adds how a route differs.
func (f *findings) route(place Place, e, r routing.Route) {
	name := identity(r)
	if from, to := shares(e), shares(r); from != to {
		f.add(Change, place, "route %q moves from %s to %s", name, from, to)
	}
	if !strings.EqualFold(e.Host, r.Host) || e.PathPrefix != r.PathPrefix {
		f.add(Change, place, "route %q serves %q instead of %q", name, r.Host+r.PathPrefix, e.Host+e.PathPrefix)
	}
	switch {
	case e.Public && !r.Public:
		f.add(Change, place, "route %q is no longer public, so callers without a key are refused", name)
	case r.Public && !e.Public:
		f.add(Change, place, "route %q becomes public, so callers need no key", name)
	}
	if e.MaxEngines != r.MaxEngines {
		f.add(Change, place, "a request of route %q may run on %d engines instead of %d", name, r.MaxEngines, e.MaxEngines)
	}
	if repetition(e) != repetition(r) {
		f.add(Change, place, "route %q is %s instead of %s", name, repetition(r), repetition(e))
	}
	if e.Priority != r.Priority {
		f.add(Change, place, "route %q has priority %d instead of %d", name, r.Priority, e.Priority)
	}
	if e.CachesPrompts != r.CachesPrompts {
		f.add(Change, place, "prompts of route %q are taken to be cached by engines: %t instead of %t", name, r.CachesPrompts, e.CachesPrompts)
	}
	for _, c := range []struct {
		part     Part
		name     string
		from, to time.Duration
	}{
		{Timeout, "timeout", e.Timeout, r.Timeout},
		{Target, "target time", e.TargetFirstByte, r.TargetFirstByte},
		{PauseTarget, "target of the longest pause", e.TargetEventGap, r.TargetEventGap},
	} {
		place.Part = c.part
		f.duration(place, fmt.Sprintf("the %s of route %q", c.name, name), c.from, c.to)
	}
}

// shares returns the services of a route with their shares of its requests, as in "a" or "a (3 of 4), b (1 of 4)".
func shares(r routing.Route) string {
	total := 0
	weights := make(map[ident.Service]int)
	for _, b := range r.Backends {
		weights[b.Service] += b.Weight
		total += b.Weight
	}
	var parts []string
	for service, weight := range weights {
		switch {
		case weight == total && total > 0:
			return fmt.Sprintf("%q", service)
		case weight > 0:
			parts = append(parts, fmt.Sprintf("%q (%d of %d)", service, weight, total))
		}
	}
	if len(parts) == 0 {
		return "no service"
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func repetition(r routing.Route) string {
	kind := [...]string{routing.NonIdempotent: "non-idempotent", routing.Idempotent: "idempotent", routing.Stream: "a stream"}[r.Kind]
	if r.Kind == routing.Stream && r.Resumable {
		return "a resumable stream"
	}
	return kind
}

func (f *findings) services(inForce, next []routing.Service) {
	earlier := make(map[ident.Service]routing.Service)
	for _, s := range inForce {
		earlier[s.Name] = s
	}
	kept := make(map[ident.Service]bool)
	for i, s := range next {
		kept[s.Name] = true
		e, ok := earlier[s.Name]
		place := Place{Kind: Service, Index: i}
		if !ok {
			f.add(Change, place, "service %q is added", s.Name)
			continue
		}
		subject := fmt.Sprintf("an engine of service %q", s.Name)
		f.number(place, "the limit of connections to "+subject, "unknown", int64(e.MaxConnections), int64(s.MaxConnections))
		f.number(place, "the memory in tokens of "+subject, "unknown", int64(e.MemoryTokens), int64(s.MemoryTokens))
		if e.HealthPath != s.HealthPath {
			f.add(Change, place, "%s is probed at %q instead of %q", subject, s.HealthPath, e.HealthPath)
		}
		if from, to := warmup(e), warmup(s); from != to {
			f.add(Change, place, "%s takes %s after its start instead of %s", subject, to, from)
		}
	}
	for _, s := range inForce {
		if !kept[s.Name] {
			f.add(Change, Place{Kind: Service, Part: List}, "service %q is removed", s.Name)
		}
	}
}

func warmup(s routing.Service) string {
	if s.Warmup == nil || s.Warmup.Span == 0 {
		return "any number of requests"
	}
	return fmt.Sprintf("%g requests a second for %s", s.Warmup.PerSecond, s.Warmup.Span)
}

func (f *findings) limits(e, n routing.Limits) {
	f.number(Place{Kind: Limits, Part: HeaderLimit}, "the header limit in bytes", "the default", e.MaxHeaderBytes, n.MaxHeaderBytes)
	f.number(Place{Kind: Limits, Part: BodyLimit}, "the body limit in bytes", "the default", e.MaxBodyBytes, n.MaxBodyBytes)
	f.duration(Place{Kind: Limits, Part: HeaderTimeout}, "the timeout of headers", e.HeaderTimeout, n.HeaderTimeout)
	f.duration(Place{Kind: Limits, Part: IdleTimeout}, "the timeout of idle connections", e.IdleTimeout, n.IdleTimeout)
}

// number adds a number that differs; absent says what 0 stands for.
func (f *findings) number(place Place, subject, absent string, from, to int64) {
	show := func(n int64) string {
		if n == 0 {
			return absent
		}
		return fmt.Sprint(n)
	}
	if from != to {
		f.add(Change, place, "%s changes from %s to %s", subject, show(from), show(to))
	}
}

// duration adds a time that differs; 0 stands for an absent one.
func (f *findings) duration(place Place, subject string, from, to time.Duration) {
	show := func(d time.Duration) string {
		if d == 0 {
			return "absent"
		}
		return d.String()
	}
	if from != to {
		f.add(Change, place, "%s changes from %s to %s", subject, show(from), show(to))
	}
}
