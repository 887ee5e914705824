package orders

import (
	"slices"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/rank"
)

// defaultMaxModels is how many models an engine holds that does not say.
const defaultMaxModels = 1

// Order states the models that an engine is to hold in the end, so that a repeat changes nothing.
type Order struct {
	Engine fleet.Instance
	Models []ident.Model
	// Dropped is the model that the engine gives up, if any.
	Dropped ident.Model
}

// Plan returns an order for each wanted model that no engine holds; a model never loses its last engine.
func Plan(engines []fleet.Instance, wanted []ident.Model) []Order {
	holders := make(map[ident.Model]int)
	for _, e := range engines {
		for _, m := range e.Models {
			holders[m]++
		}
	}
	var orders []Order
	taken := make(map[string]bool)
	for _, m := range wanted {
		if holders[m] > 0 {
			continue
		}
		o, ok := chooseEngine(m, engines, holders, taken)
		if !ok {
			continue
		}
		taken[o.Engine.ID] = true
		holders[m]++
		if o.Dropped != "" {
			holders[o.Dropped]--
		}
		orders = append(orders, o)
	}
	return orders
}

// chooseEngine chooses the engine for a model: one with room before one that gives up a model which others hold.
func chooseEngine(m ident.Model, engines []fleet.Instance, holders map[ident.Model]int, taken map[string]bool) (Order, bool) {
	members := rank.EqualWeights(engines, func(i fleet.Instance) string { return i.ID })
	order := rank.Order("orders\x00"+string(m), members, len(members))
	for _, i := range order {
		if e := engines[i]; usable(e, taken) && len(e.Models) < maxModels(e) {
			return Order{Engine: e, Models: append(slices.Clone(e.Models), m)}, true
		}
	}
	for _, i := range order {
		e := engines[i]
		if !usable(e, taken) {
			continue
		}
		for j, old := range e.Models {
			if holders[old] > 1 {
				models := append(slices.Delete(slices.Clone(e.Models), j, j+1), m)
				return Order{Engine: e, Models: models, Dropped: old}, true
			}
		}
	}
	return Order{}, false
}

func usable(e fleet.Instance, taken map[string]bool) bool {
	return e.Role == fleet.RoleEngine && e.State == fleet.StateLive && !taken[e.ID]
}

func maxModels(e fleet.Instance) int {
	if e.MaxModels > 0 {
		return e.MaxModels
	}
	return defaultMaxModels
}
