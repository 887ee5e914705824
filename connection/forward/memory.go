package forward

import (
	"strconv"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/admission"
	"github.com/vanillaroute/vanillaroute/request/placing"
)

// capacity returns what the engines of the service have memory for.
func (x *exchange) capacity() placing.Capacity { return x.capacityIn(x.snapshot) }

func (x *exchange) capacityIn(s Snapshot) placing.Capacity {
	mean, largest := x.Costs.Memory(x.needs.Route.Service)
	return placing.Capacity{MemoryTokens: s.Configuration.Service(x.service).MemoryTokens, MeanTokens: mean, LargestTokens: largest}
}

// fitsAnyEngine reports whether the request has room in an empty engine, as far as the engines' memory is known and counts. It sets verdict if not.
func (x *exchange) fitsAnyEngine() bool {
	if !x.overload.Memory {
		return true
	}
	capacity, memory := x.capacity(), x.Costs.Estimate(x.needs).Memory
	if capacity.Holds(memory) {
		return true
	}
	x.ruled = &ruled{decision: admission.Decision{Reason: admission.TooLarge}}
	x.verdict = "no engine has the memory for the request"
	x.reason = "it needs " + strconv.Itoa(memory) + " tokens of " + strconv.Itoa(capacity.MemoryTokens)
	x.Metrics.Add("tooLargeRefused", 1)
	return false
}

// choose chooses an engine with a free connection, among those with memory for the request if that counts, and records what the request holds of it.
func (x *exchange) choose(r placing.Request, now time.Time) (placing.Choice, *placing.Placement, bool) {
	x.withoutMemory = x.withoutMemoryIn(x.snapshot, r, now)
	choice, inFlight, ok := x.Table.Choose(x.snapshot.Engines, r.WithTried(x.withoutMemory).WithTried(x.usedUp), now)
	if !ok {
		return choice, inFlight, false
	}
	if len(r.Tried) == 0 && len(x.withoutMemory) > 0 {
		x.Table.RecordSurge(r, now)
	}
	if x.overload.isOn() {
		work, speed := x.workAt(choice), x.Costs.SpeedOf(x.needs.Route.Service, choice.Engine.Key)
		x.hold = x.Holds.Add(choice.Engine.Key, placing.Held{Tokens: work.Memory, Unread: work.FirstAt(speed), Priority: x.priority()}, now)
	}
	return choice, inFlight, true
}

// withoutMemoryIn returns the engines of a snapshot without memory for the request, if that counts.
func (x *exchange) withoutMemoryIn(s Snapshot, r placing.Request, now time.Time) []ident.Engine {
	if !x.overload.Memory {
		return nil
	}
	return x.Table.WithoutMemory(s.Engines, r, x.capacityIn(s), x.Costs.Estimate(x.needs).Memory, x.Holds, now)
}

// release ends what the attempt held of its engine.
func (x *exchange) release() {
	if x.hold != nil {
		x.hold.End()
		x.hold = nil
	}
}

// explainMemory sets verdict and the time to return if engines were left out because they have no memory for the request.
func (x *exchange) explainMemory() {
	if len(x.withoutMemory) == 0 {
		return
	}
	work := x.Costs.Estimate(x.needs)
	x.verdict, x.acceptedIn = "the engines have no memory for the request", work.TimeAt(x.Costs.SpeedOf(x.needs.Route.Service, 0))
	x.reason = strconv.Itoa(len(x.withoutMemory)) + " engines have no room for " + strconv.Itoa(work.Memory) + " tokens"
	x.Metrics.Add("memoryRefused", 1)
}
