package check

import (
	"strings"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// Unmatched returns the entries that can never match or take a request.
func Unmatched(c routing.Content) []Finding {
	var list findings
	list.hiddenRoutes(c.Routes)
	named := make(map[ident.Service]bool)
	for i, r := range c.Routes {
		list.weights(i, r)
		for _, b := range r.Backends {
			named[b.Service] = true
		}
	}
	for i, s := range c.Services {
		if !named[s.Name] {
			list.add(Warning, Place{Kind: Service, Index: i}, "no route names the service %q", s.Name)
		}
	}
	list.sharedKeys(c.Access.Organisations)
	return list
}

// hiddenRoutes adds routes that no path reaches. Of routes at a host, the one with the longest prefix is chosen, and the first of those with the same one.
func (f *findings) hiddenRoutes(routes []routing.Route) {
	type match struct{ host, prefix string }
	first := make(map[match]int)
	for i, r := range routes {
		m := match{strings.ToLower(r.Host), r.PathPrefix}
		if _, ok := first[m]; !ok {
			first[m] = i
		}
	}
	for i, r := range routes {
		place := Place{Kind: Route, Index: i, Part: Prefix}
		m := match{strings.ToLower(r.Host), r.PathPrefix}
		root, hasRoot := first[match{m.host, "/"}]
		switch {
		case first[m] != i:
			f.add(Warning, place, "route %q never matches: route %q at the same host has the same prefix and comes first", r.Name, routes[first[m]].Name)
		case r.PathPrefix == "" && hasRoot:
			f.add(Warning, place, "route %q never matches: the prefix of route %q at the same host covers all paths and is longer", r.Name, routes[root].Name)
		case r.PathPrefix != "" && r.PathPrefix[0] != '/':
			f.add(Warning, place, "route %q never matches: its prefix does not begin with a slash", r.Name)
		}
	}
}

// weights adds the backends of a route that get no request.
func (f *findings) weights(index int, r routing.Route) {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total == 0 {
		f.add(Warning, Place{Kind: Route, Index: index, Part: Weight}, "all weights of route %q are 0, so its requests have no service", r.Name)
	}
	for i, b := range r.Backends {
		if b.Weight == 0 && total > 0 {
			f.add(Warning, Place{Kind: Route, Index: index, Part: Weight, Item: i}, "service %q gets no request of route %q, as its weight is 0", b.Service, r.Name)
		}
		if b.Service == "" {
			f.add(Warning, Place{Kind: Route, Index: index, Part: Backend, Item: i}, "route %q names no service", r.Name)
		}
	}
}

// sharedKeys adds keys that are held twice, of which the last holder counts, and empty ones, which no request matches.
func (f *findings) sharedKeys(organisations []routing.Organisation) {
	holders := make(map[string]ident.Organisation)
	for i, o := range organisations {
		for j, key := range o.Keys {
			place := Place{Kind: Organisation, Index: i, Part: Key, Item: j}
			holder, held := holders[key]
			switch {
			case key == "":
				f.add(Warning, place, "the key of organisation %q is empty and never matches", o.Name)
			case held && holder == o.Name:
				f.add(Warning, place, "organisation %q holds the key twice", o.Name)
			case held:
				f.add(Warning, place, "organisation %q holds a key of organisation %q, whose requests with it count as those of %q", o.Name, holder, o.Name)
			}
			holders[key] = o.Name
		}
	}
}
