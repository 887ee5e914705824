package fleet

import (
	"cmp"
	"slices"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/rank"
)

// Roles and states of an instance in the platform's list.
const (
	RoleRouter  Role = "router"
	RoleEngine  Role = "engine"
	RoleService Role = "service"

	StateLive    State = "live"
	StateLeaving State = "leaving"
)

type (
	// Role is the role of an instance.
	Role string

	// State says whether an instance is leaving.
	State string

	// Instance is one entry of the platform's list.
	Instance struct {
		ID            string        `json:"id"`
		Role          Role          `json:"role"`
		Address       string        `json:"address"`
		PeerAddress   string        `json:"peerAddress,omitempty"`
		FailureDomain ident.Domain  `json:"failureDomain"`
		State         State         `json:"state"`
		Models        []ident.Model `json:"models,omitempty"`
		Service       ident.Service `json:"service,omitempty"`
		// Slots is the capacity of an engine. Its share of the keys is proportional to it; 0 counts as 1.
		Slots int `json:"slots,omitempty"`
		// MaxModels is how many models an engine can hold; 0 means one.
		MaxModels int `json:"room,omitempty"`
		// ChecksOrders says that the engine refuses orders with an old fencing number.
		ChecksOrders bool `json:"checksOrders,omitempty"`
	}

	// View is an immutable snapshot of the fleet.
	View struct {
		// routers are the live routers, and placeable those of them that may take new work; members are the placeable ones for ranking.
		routers   []Instance
		placeable []Instance
		members   []rank.Member
		engines   map[ident.Engine]Instance
		models    map[ident.Model][]Instance
		services  map[ident.Service][]Instance
		// homes holds the home router of each engine, which queues and runs its requests.
		homes map[ident.Engine]ident.Router
		// domainRouters are the candidates for homes in each failure domain.
		domainRouters map[ident.Domain][]rank.Member
	}
)

// newView builds a view from instances ordered by name; only the placeable routers may be homes. In failure domains whose routers have not
// changed, it copies the homes from the last view.
func newView(last *View, routers, placeable, engines []Instance) *View {
	v := &View{
		routers:   routers,
		placeable: placeable,
		engines:   make(map[ident.Engine]Instance),
		models:    make(map[ident.Model][]Instance),
		services:  make(map[ident.Service][]Instance),
		homes:     make(map[ident.Engine]ident.Router),
	}
	v.members = rankMembers(v.placeable)
	v.domainRouters = make(map[ident.Domain][]rank.Member)
	for _, r := range v.placeable {
		v.domainRouters[r.FailureDomain] = append(v.domainRouters[r.FailureDomain], rank.Member{Name: r.ID, Weight: 1})
	}
	unchanged := v.unchangedDomains(last)
	for _, e := range engines {
		v.engines[ident.Engine(e.ID)] = e
		v.assignHome(e, last, unchanged[e.FailureDomain])
		if e.State == StateLeaving {
			continue
		}
		if e.Role == RoleService {
			v.services[e.Service] = append(v.services[e.Service], e)
			continue
		}
		for _, m := range e.Models {
			v.models[m] = append(v.models[m], e)
		}
	}
	return v
}

// unchangedDomains returns the failure domains that have the same placeable routers as in the last view.
func (v *View) unchangedDomains(last *View) map[ident.Domain]bool {
	unchanged := make(map[ident.Domain]bool)
	if last == nil {
		return unchanged
	}
	for domain, members := range v.domainRouters {
		unchanged[domain] = slices.Equal(members, last.domainRouters[domain])
	}
	return unchanged
}

// assignHome keeps the home of an engine if the routers of its failure domain are unchanged. Otherwise it chooses the best router of that
// domain, or of all domains if that one has no routers.
func (v *View) assignHome(e Instance, last *View, unchanged bool) {
	id := ident.Engine(e.ID)
	if unchanged {
		if before, known := last.engines[id]; known && before.FailureDomain == e.FailureDomain {
			v.homes[id] = last.homes[id]
			return
		}
	}
	candidates := v.domainRouters[e.FailureDomain]
	if len(candidates) == 0 {
		candidates = v.members
	}
	if best := rank.Best(e.ID, candidates); best >= 0 {
		v.homes[id] = ident.Router(candidates[best].Name)
	}
}

// Routers returns the live routers, including leaving ones, sorted by name.
func (v *View) Routers() []Instance { return v.routers }

// Placeable returns the live routers that may take new work, sorted by name.
func (v *View) Placeable() []Instance { return v.placeable }

// Engine returns the engine or service instance with that ID, and false if there is none.
func (v *View) Engine(id ident.Engine) (Instance, bool) {
	e, ok := v.engines[id]
	return e, ok
}

// Engines returns every engine and service instance, sorted by ID.
func (v *View) Engines() []Instance {
	all := make([]Instance, 0, len(v.engines))
	for _, e := range v.engines {
		all = append(all, e)
	}
	return sortedByID(all)
}

// Models returns the models that some engine holds, sorted by name.
func (v *View) Models() []ident.Model {
	names := make([]ident.Model, 0, len(v.models))
	for m := range v.models {
		names = append(names, m)
	}
	slices.Sort(names)
	return names
}

// EnginesOfModel returns the engines that hold the model and are not leaving.
func (v *View) EnginesOfModel(m ident.Model) []Instance { return v.models[m] }

// InstancesOfService returns the instances of the service that are not leaving.
func (v *View) InstancesOfService(s ident.Service) []Instance { return v.services[s] }

// HomeOf returns the home router of an engine, or "" if no live router may take new work.
func (v *View) HomeOf(e ident.Engine) ident.Router { return v.homes[e] }

// HomeOfKey returns the home router of a key that belongs to no engine, or "" if no live router may take new work.
func (v *View) HomeOfKey(key string) ident.Router {
	best := rank.Best(key, v.members)
	if best < 0 {
		return ""
	}
	return ident.Router(v.members[best].Name)
}

// Candidates returns at most limit engines of a model, best for the key first.
func (v *View) Candidates(m ident.Model, key string, limit int) []Instance {
	return rankedFor(v.models[m], key, limit)
}

// ServiceCandidates returns at most limit instances of a service, best for the key first.
func (v *View) ServiceCandidates(s ident.Service, key string, limit int) []Instance {
	return rankedFor(v.services[s], key, limit)
}

// RoutersFor returns at most limit placeable routers, best for the key first.
func (v *View) RoutersFor(key string, limit int) []Instance {
	return rankedFor(v.placeable, key, limit)
}

func rankedFor(all []Instance, key string, limit int) []Instance {
	order := rank.Order(key, rankMembers(all), limit)
	picked := make([]Instance, len(order))
	for i, index := range order {
		picked[i] = all[index]
	}
	return picked
}

func rankMembers(all []Instance) []rank.Member {
	ms := make([]rank.Member, len(all))
	for i, e := range all {
		ms[i] = rank.Member{Name: e.ID, Weight: float64(max(e.Slots, 1))}
	}
	return ms
}

func sortedByID(all []Instance) []Instance {
	s := slices.Clone(all)
	slices.SortFunc(s, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return s
}
