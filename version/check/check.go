package check

import (
	"fmt"

	"github.com/vanillaroute/vanillaroute/version/routing"
)

// Severities of findings.
const (
	// Change is a difference to the version in force.
	Change Severity = iota
	// Warning is a configuration that is applied, but hardly as it was meant.
	Warning
	// Error is a configuration that is rejected or ambiguous.
	Error
)

// Kinds of entries that a place is in.
const (
	// Document is the configuration as a whole.
	Document EntryKind = iota
	// Limits are the limits of all requests.
	Limits
	// Route is a route.
	Route
	// Service is a service.
	Service
	// Organisation is an organisation.
	Organisation
)

// Parts of an entry that a place names.
const (
	// Whole is the entry itself.
	Whole Part = iota
	// Version is the version of the configuration.
	Version
	// Name is the name of an entry.
	Name
	// Prefix is the path prefix of a route.
	Prefix
	// Backend is a service of a route.
	Backend
	// Weight is the weight of a service of a route.
	Weight
	// Keys is the list of an organisation's keys.
	Keys
	// Key is one key of an organisation.
	Key
	// Timeout is the timeout of a route.
	Timeout
	// Target is the target time of a route to the first event or the whole answer.
	Target
	// PauseTarget is the target of a route for the longest pause between two events.
	PauseTarget
	// WarmupRate is the warm-up rate of a service.
	WarmupRate
	// HeaderLimit is the limit of headers in bytes.
	HeaderLimit
	// BodyLimit is the limit of bodies in bytes.
	BodyLimit
	// HeaderTimeout is the longest time to send a header.
	HeaderTimeout
	// IdleTimeout is the longest time that a connection is idle.
	IdleTimeout
	// List is the list of all entries of the kind.
	List
)

type (
	// Severity says what a finding means for the configuration.
	Severity uint8

	// EntryKind is the kind of an entry of the configuration.
	EntryKind uint8

	// Part is a part of an entry.
	Part uint8

	// Place is a part of the configuration. Index is the position of the entry in its list, and Item that of a backend or key in the entry.
	Place struct {
		Kind  EntryKind
		Index int
		Part  Part
		Item  int
	}

	// Finding is one observation about a configuration.
	Finding struct {
		Severity Severity
		Place    Place
		Message  string
	}

	// findings collects findings in the order in which they are added.
	findings []Finding
)

func (f *findings) add(severity Severity, place Place, format string, args ...any) {
	*f = append(*f, Finding{severity, place, fmt.Sprintf(format, args...)})
}

// Names returns the entries that have the same name as an earlier one of their kind.
func Names(c routing.Content) []Finding {
	var list findings
	routes := make(map[string]bool)
	for i, r := range c.Routes {
		if r.Name != "" && routes[r.Name] {
			list.add(Error, Place{Kind: Route, Index: i, Part: Name}, "another route is named %q", r.Name)
		}
		routes[r.Name] = true
	}
	services := make(map[string]bool)
	for i, s := range c.Services {
		if services[string(s.Name)] {
			list.add(Error, Place{Kind: Service, Index: i, Part: Name}, "another service is named %q", s.Name)
		}
		services[string(s.Name)] = true
	}
	organisations := make(map[string]bool)
	for i, o := range c.Access.Organisations {
		if organisations[string(o.Name)] {
			list.add(Error, Place{Kind: Organisation, Index: i, Part: Name}, "another organisation is named %q", o.Name)
		}
		organisations[string(o.Name)] = true
	}
	return list
}
