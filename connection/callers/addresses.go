package callers

import (
	"net/http"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/relay"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/wire"
)

// maxAddresses is the maximum number of router addresses in an answer.
const maxAddresses = 4

// addresses serves GET /v1/addresses. It lists the home router of the chat's engine first, then routers of the organisation's subset, or of
// the chat's if the request has no key.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	s.FaultPoint("addressAsked", "")
	view := s.Fleet.View()
	var org ident.Organisation
	if key, ok := bearer(r); ok {
		plan, known := s.Config.Authenticate(key)
		if !known {
			writeRefusal(w, wire.Refuse(http.StatusUnauthorized, wire.CodeUnauthorised, "the key is not known"))
			return
		}
		org = plan.Organisation
	}
	chat := ident.Chat(r.URL.Query().Get("chat"))
	model := ident.Model(r.URL.Query().Get("model"))
	spreadKey := string(org)
	if org == "" {
		spreadKey = string(chat)
	}
	routers := view.RoutersFor(spreadKey, maxAddresses)
	if chat != "" && model != "" {
		key := relay.RoutingKey(wire.Submit{Organisation: org, Chat: chat, Model: model})
		routers = homeFirst(view, model, key, routers)
	}
	list := []string{}
	for _, i := range routers {
		list = append(list, "http://"+i.Address)
	}
	writeJSON(w, http.StatusOK, struct {
		Addresses []string `json:"addresses"`
		ValidMs   int64    `json:"validMs"`
	}{list, s.Settings.Routing.AddressValidity.Std().Milliseconds()})
}

// homeFirst puts the home router of the engine ranked first for the key before the other routers.
func homeFirst(view *fleet.View, model ident.Model, key string, others []fleet.Instance) []fleet.Instance {
	engines := view.Candidates(model, key, 1)
	if len(engines) == 0 {
		return others
	}
	home := view.HomeOf(ident.Engine(engines[0].ID))
	var first []fleet.Instance
	for _, i := range view.Placeable() {
		if ident.Router(i.ID) == home {
			first = append(first, i)
		}
	}
	for _, i := range others {
		if ident.Router(i.ID) != home && len(first) < maxAddresses {
			first = append(first, i)
		}
	}
	return first
}
