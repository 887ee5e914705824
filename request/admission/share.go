package admission

import (
	"maps"
	"math"
	"slices"

	"github.com/vanillaroute/vanillaroute/version/routing"
)

// commonShare is the fraction of the capacity that all priorities get in proportion to their demand, so that none of them starves. The rest goes to the
// more urgent ones first.
const commonShare = 0.5

// scaleSteps is enough to find all requests that are admitted whole.
const scaleSteps = 8

// part is a part of the requests, and the fraction of it that is admitted if its class is considered alone.
type part struct{ size, share float64 }

// admittedShare returns the fraction of the requests of an organisation on a route that is admitted if the service can answer allowed ones of all arrivals,
// of which the given numbers by route and by organisation are known.
func admittedShare(routes, organisations map[Class]float64, route, org Class, arrivals, allowed float64) float64 {
	byPriority := make(map[routing.Priority]float64)
	for class, n := range routes {
		byPriority[class.Priority] += n
	}
	allowed *= min(total(byPriority)/arrivals, 1)
	allowed = priorityShare(byPriority, route.Priority, allowed)
	all := byPriority[route.Priority]
	if allowed >= all {
		return 1
	}
	byRoute, routeShare := fairShares(routes, route, all, allowed)
	byOrganisation, organisationShare := fairShares(organisations, org, all, allowed)
	return min(routeShare*organisationShare*admittedScale(byRoute, byOrganisation, all, allowed), 1)
}

// admittedScale returns the factor by which the products of shares are multiplied, up to 1 each, so that as many of all requests are admitted as are allowed.
// Routes and organisations count as independent of each other.
func admittedScale(byRoute, byOrganisation []part, all, allowed float64) float64 {
	scale := 1.0
	for range scaleSteps {
		left, scaled := allowed, 0.0
		for _, r := range byRoute {
			for _, o := range byOrganisation {
				size, share := r.size*o.size/all, r.share*o.share
				if share*scale >= 1 {
					left -= size
				} else {
					scaled += size * share
				}
			}
		}
		if scaled <= 0 {
			break
		}
		scale = max(left/scaled, scale)
	}
	return scale
}

// fairShares divides all requests of a priority into those of each class and those of unknown ones, which are small, and returns the share of one class.
func fairShares(classes map[Class]float64, of Class, all, allowed float64) ([]part, float64) {
	known := make(map[Class]float64)
	for class, n := range classes {
		if class.Priority == of.Priority {
			known[class] = n
		}
	}
	scale := min(all/total(known), 1)
	unknown := max(all-total(known), 0)
	level := fairLevel(known, max(allowed-unknown, 0)/scale)
	parts := []part{{unknown, 1}}
	for _, n := range known {
		parts = append(parts, part{n * scale, min(level/n, 1)})
	}
	if n, ok := known[of]; ok {
		return parts, min(level/n, 1)
	}
	return parts, 1
}

// priorityShare returns how many of the allowed requests are of a priority.
func priorityShare(demands map[routing.Priority]float64, p routing.Priority, allowed float64) float64 {
	common := commonShare * min(allowed/total(demands), 1)
	left := (1 - commonShare) * allowed
	for _, urgent := range slices.Sorted(maps.Keys(demands)) {
		extra := min(left, (1-common)*demands[urgent])
		if urgent == p {
			return common*demands[p] + extra
		}
		left -= extra
	}
	return 0
}

// fairLevel returns the level up to which each demand is met if all share a capacity max-min fairly, and infinity if the capacity meets all of them.
func fairLevel(demands map[Class]float64, capacity float64) float64 {
	left := capacity
	for i, d := range slices.Sorted(maps.Values(demands)) {
		if level := left / float64(len(demands)-i); d > level {
			return level
		}
		left -= d
	}
	return math.Inf(1)
}

func total[K comparable](values map[K]float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}
