package routing

import (
	"slices"

	"github.com/vanillaroute/vanillaroute/ident"
)

// ServicePriorities returns the priorities that requests to a service can have, in ascending order: those of its routes and those of the organisations.
func (c *Configuration) ServicePriorities(s ident.Service) []Priority { return c.servicePriorities[s] }

// servicePriorities returns the priorities of each service of the routes.
func servicePriorities(routes []Route, organisations []Organisation) map[ident.Service][]Priority {
	list := make(map[ident.Service][]Priority)
	for _, r := range routes {
		for _, b := range r.Backends {
			list[b.Service] = append(list[b.Service], r.Priority)
		}
	}
	var common []Priority
	for _, o := range organisations {
		if o.Priority != nil {
			common = append(common, *o.Priority)
		}
	}
	for s, own := range list {
		all := slices.Concat(own, common)
		slices.Sort(all)
		list[s] = slices.Clip(slices.Compact(all))
	}
	return list
}
