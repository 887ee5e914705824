package check

import (
	"fmt"
	"maps"
	"slices"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// access adds the keys that end or move, by organisation, and organisations that lose their last key.
func (f *findings) access(inForce, next routing.Access) {
	list := Place{Kind: Organisation, Part: List}
	switch {
	case inForce.Open && !next.Open:
		f.add(Warning, list, "requests without a key are refused, as the version in force has no list of organisations")
	case next.Open && !inForce.Open:
		f.add(Warning, list, "requests need no key any more, as the list of organisations is absent")
		return
	}
	before, after := owners(inForce.Organisations), owners(next.Organisations)
	positions := make(map[ident.Organisation]int)
	priorities := make(map[ident.Organisation]*routing.Priority)
	for i, o := range next.Organisations {
		positions[o.Name] = i
		priorities[o.Name] = o.Priority
	}
	held, left := count(before), count(after)
	ended, added := make(map[ident.Organisation]int), make(map[ident.Organisation]int)
	moved := make(map[ident.Organisation]map[ident.Organisation]int)
	for key, owner := range before {
		now, kept := after[key]
		switch {
		case !kept:
			ended[owner]++
		case now != owner:
			if moved[owner] == nil {
				moved[owner] = make(map[ident.Organisation]int)
			}
			moved[owner][now]++
		}
	}
	for key, owner := range after {
		if _, ok := before[key]; !ok {
			added[owner]++
		}
	}
	seen := make(map[ident.Organisation]bool)
	for _, o := range inForce.Organisations {
		if seen[o.Name] {
			continue
		}
		seen[o.Name] = true
		i, kept := positions[o.Name]
		place := Place{Kind: Organisation, Index: i, Part: Keys}
		if !kept {
			place = list
			f.add(Change, place, "organisation %q is removed", o.Name)
		}
		if n := ended[o.Name]; n > 0 {
			f.add(Change, place, "keys of organisation %q that end: %d of %d", o.Name, n, held[o.Name])
		}
		for _, to := range slices.Sorted(maps.Keys(moved[o.Name])) {
			f.add(Change, place, "keys of organisation %q that move to organisation %q: %d of %d", o.Name, to, moved[o.Name][to], held[o.Name])
		}
		if held[o.Name] > 0 && left[o.Name] == 0 {
			f.add(Warning, place, "organisation %q loses its last key, so all its requests are refused on routes that are not public", o.Name)
		}
		if kept && priorityText(o.Priority) != priorityText(priorities[o.Name]) {
			f.add(Change, Place{Kind: Organisation, Index: i}, "organisation %q has %s instead of %s", o.Name, priorityText(priorities[o.Name]), priorityText(o.Priority))
		}
	}
	for i, o := range next.Organisations {
		if !seen[o.Name] {
			f.add(Change, Place{Kind: Organisation, Index: i}, "organisation %q is added", o.Name)
		}
		if n := added[o.Name]; n > 0 {
			f.add(Change, Place{Kind: Organisation, Index: i, Part: Keys}, "new keys of organisation %q: %d", o.Name, n)
			delete(added, o.Name)
		}
		seen[o.Name] = true
	}
}

// owners returns the organisation of each key, which is the last one that holds it.
func owners(organisations []routing.Organisation) map[string]ident.Organisation {
	owner := make(map[string]ident.Organisation)
	for _, o := range organisations {
		for _, key := range o.Keys {
			if key != "" {
				owner[key] = o.Name
			}
		}
	}
	return owner
}

func count(owners map[string]ident.Organisation) map[ident.Organisation]int {
	keys := make(map[ident.Organisation]int)
	for _, o := range owners {
		keys[o]++
	}
	return keys
}

func priorityText(p *routing.Priority) string {
	if p == nil {
		return "the priority of its routes"
	}
	return fmt.Sprintf("priority %d", *p)
}
