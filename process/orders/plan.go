package orders

import (
	"slices"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/rank"
)

// defaultMaxModels is how many models an engine can hold if the list does not say.
const defaultMaxModels = 1

// Order lists all models that an engine must hold afterwards, so that a repeated order changes nothing.
type Order struct {
	Engine fleet.Instance
	Models []ident.Model
	// Dropped is the model that the engine gives up, or "" if none.
	Dropped ident.Model
}

// Plan returns an order for each wanted model that no engine holds, if an engine can load it. It gives each engine at most one order,
// and never drops a model from its last engine.
func Plan(engines []fleet.Instance, wanted []ident.Model) []Order {
	holders := make(map[ident.Model]int)
	for _, e := range engines {
		for _, m := range e.Models {
			holders[m]++
		}
	}
	var orders []Order
	ordered := make(map[string]bool)
	for _, m := range wanted {
		if holders[m] > 0 {
			continue
		}
		o, ok := chooseEngine(m, engines, holders, ordered)
		if !ok {
			continue
		}
		ordered[o.Engine.ID] = true
		holders[m]++
		if o.Dropped != "" {
			holders[o.Dropped]--
		}
		orders = append(orders, o)
	}
	return orders
}

// chooseEngine returns the order for a model. It prefers an engine with free capacity over one that gives up a model which other engines
// hold. It returns false if there is neither. ordered holds the engines that already have an order.
func chooseEngine(m ident.Model, engines []fleet.Instance, holders map[ident.Model]int, ordered map[string]bool) (Order, bool) {
	members := rank.EqualWeights(engines, func(i fleet.Instance) string { return i.ID })
	order := rank.Order("orders\x00"+string(m), members, len(members))
	for _, i := range order {
		if e := engines[i]; usable(e, ordered) && len(e.Models) < maxModels(e) {
			return Order{Engine: e, Models: append(slices.Clone(e.Models), m)}, true
		}
	}
	for _, i := range order {
		e := engines[i]
		if !usable(e, ordered) {
			continue
		}
		for j, dropped := range e.Models {
			if holders[dropped] > 1 {
				models := append(slices.Delete(slices.Clone(e.Models), j, j+1), m)
				return Order{Engine: e, Models: models, Dropped: dropped}, true
			}
		}
	}
	return Order{}, false
}

// usable reports whether an instance is a live engine without an order.
func usable(e fleet.Instance, ordered map[string]bool) bool {
	return e.Role == fleet.RoleEngine && e.State == fleet.StateLive && !ordered[e.ID]
}

// maxModels returns how many models an engine can hold.
func maxModels(e fleet.Instance) int {
	if e.MaxModels > 0 {
		return e.MaxModels
	}
	return defaultMaxModels
}
