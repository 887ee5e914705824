package admission

import (
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/version/routing"
)

const (
	// orderBands is the number of bands of EnginePriority, and bandSteps that of the steps of each. The last value, 9, is not used.
	orderBands, bandSteps = 3, 3
	// urgentFactor times a request's own duration is the time left to its target below which it is in the first step of its band.
	urgentFactor = 2
)

// The steps of a band, the first one first.
const (
	urgentStep = iota
	usualStep
	lateStep
)

// EnginePriority is the order of requests at engines: they admit requests of a lower one first, and interrupt others for them.
type EnginePriority uint8

// NewEnginePriority returns the order of a request of a priority among those that requests to its service can have, in ascending order. The priority
// gives the band; neighbours share one if there are more than three. The step follows from the time left to the request's target and the time that it
// takes itself until it meets the target, or 0 if that is not known. A late request has the last step of its band, so it stays ahead of less urgent
// ones.
func NewEnginePriority(p routing.Priority, all []routing.Priority, left, own time.Duration) EnginePriority {
	band, _ := slices.BinarySearch(all, p)
	band = min(band, max(len(all)-1, 0))
	if len(all) > orderBands {
		band = band * orderBands / len(all)
	}
	step := usualStep
	switch {
	case left <= 0 || left < own:
		step = lateStep
	case left < urgentFactor*own:
		step = urgentStep
	}
	return EnginePriority(band*bandSteps + step)
}

// IsLate reports whether the request had the last step of its band.
func (p EnginePriority) IsLate() bool { return p%bandSteps == lateStep }
