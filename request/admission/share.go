package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/vanillaroute/vanillaroute/version/routing"
)

// commonShare is the fraction of the capacity that all priorities get in proportion to their demand, so that none of them starves. The rest goes to the
// more urgent ones first.
const commonShare = 0.5

// demand is the requests of a number of classes of the same size.
type demand struct{ size, count float64 }

// division returns the share of a class if what is allowed of all requests of a priority is divided among the classes of which the given numbers are known.
type division func(classes map[Class]float64, of Class, all, allowed float64) float64

// admittedShare returns the fraction of the requests of an organisation on a route that is admitted if the service can answer allowed ones of all arrivals,
// of which the given numbers by route and by organisation are known. Routes share what is allowed, and organisations what a route gets: a light route is
// served whole, also for an organisation that sends most of the requests. Routes and organisations count as independent of each other.
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
	return flowShare(fairShare, routes, organisations, route, org, all, allowed)
}

// flowShare divides what is allowed of all requests of a priority among routes, and what a route gets among organisations, and returns the share of an
// organisation on a route.
func flowShare(divide division, routes, organisations map[Class]float64, route, org Class, all, allowed float64) float64 {
	routeShare := divide(routes, route, all, allowed)
	if routeShare >= 1 {
		return 1
	}
	return divide(organisations, org, all, routeShare*all)
}

// fairShare divides what is allowed of all requests of a priority max-min fairly among their classes, and returns the share of one. The unknown classes are
// smaller than the known ones; they count as the fewest that can send the rest.
func fairShare(classes map[Class]float64, of Class, all, allowed float64) float64 {
	var demands []demand
	known, least := 0.0, math.Inf(1)
	for class, n := range classes {
		if class.Priority == of.Priority {
			demands = append(demands, demand{n, 1})
			known, least = known+n, min(least, n)
		}
	}
	scale := min(all/known, 1)
	unknown, size := max(all-known, 0), 0.0
	if unknown > 0 {
		// A class whose count has nearly decayed does not say how large the unknown ones are.
		count := max(math.Ceil(unknown/max(least, forgetCount)), 1)
		size = unknown / count
		demands = append(demands, demand{size, count})
	}
	level := fairLevel(demands, allowed/scale)
	if n, ok := classes[of]; ok {
		size = n
	}
	return min(level/max(size, forgetCount), 1)
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

// fairLevel returns the level up to which each class is met if all share a capacity max-min fairly, and infinity if the capacity meets all of them.
func fairLevel(demands []demand, capacity float64) float64 {
	left, classes := capacity, 0.0
	for _, d := range demands {
		classes += d.count
	}
	for _, d := range slices.SortedFunc(slices.Values(demands), func(a, b demand) int { return cmp.Compare(a.size, b.size) }) {
		if level := left / classes; d.size > level {
			return level
		}
		left -= d.size * d.count
		classes -= d.count
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
