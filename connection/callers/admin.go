package callers

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/apply"
	"github.com/vanillaroute/vanillaroute/version/config"
	"github.com/vanillaroute/vanillaroute/wire"
)

type (
	// ListsBody is the response body of GET /admin/lists: the entries in force and their highest revision.
	ListsBody struct {
		Revision ident.Revision    `json:"revision"`
		Entries  []apply.Entry     `json:"entries"`
		Rejected []config.Rejected `json:"rejected,omitempty"`
	}

	// ApplyBody is the response body of POST /admin/lists. Replicas counts the routers that confirmed the changes.
	ApplyBody struct {
		Revision  ident.Revision   `json:"revision"`
		Changed   []string         `json:"changed"`
		Conflicts []apply.Conflict `json:"conflicts,omitempty"`
		Replicas  int              `json:"kept"`
	}

	// StatusBody is the response body of GET /admin/status.
	StatusBody struct {
		Routers  []wire.StatusReply `json:"routers"`
		Rejected []config.Rejected  `json:"rejected,omitempty"`
	}
)

func (s *Server) getLists(w http.ResponseWriter, _ *http.Request) {
	body := ListsBody{Revision: s.Config.Digest().Highest, Rejected: s.Config.Rejected()}
	for _, e := range s.Config.Entries() {
		body.Entries = append(body.Entries, apply.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	writeJSON(w, http.StatusOK, body)
}

// applyLists commits the changes and responds only after routers in other failure domains have them too.
func (s *Server) applyLists(w http.ResponseWriter, r *http.Request) {
	raw, refusal := s.readBody(w, r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	var request apply.Request
	if err := json.Unmarshal(raw, &request); err != nil {
		writeRefusal(w, wire.Refuse(http.StatusBadRequest, wire.CodeBadRequest, "the body is not valid JSON: %s", err))
		return
	}
	now := time.Now()
	result, err := apply.Apply(r.Context(), s.Store, request, now)
	if err != nil {
		writeRefusal(w, applyRefusal(err))
		return
	}
	s.Config.Apply(result.Entries, now)
	replicas := 0
	if len(result.Entries) > 0 {
		replicas = s.Publish(context.WithoutCancel(r.Context()), result.Entries)
	}
	body := ApplyBody{Revision: result.Revision, Changed: []string{}, Conflicts: result.Conflicts, Replicas: replicas}
	for _, e := range result.Entries {
		body.Changed = append(body.Changed, e.Key)
	}
	status := http.StatusOK
	if len(result.Conflicts) > 0 {
		status = http.StatusConflict
	}
	writeJSON(w, status, body)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, StatusBody{Routers: s.Status(r.Context()), Rejected: s.Config.Rejected()})
}

func applyRefusal(err error) *wire.Refusal {
	var invalid *apply.InvalidError
	if errors.As(err, &invalid) {
		return wire.Refuse(http.StatusBadRequest, wire.CodeBadRequest, "%s", invalid)
	}
	var unknown *apply.OutcomeUnknownError
	if errors.As(err, &unknown) {
		r := wire.Refuse(http.StatusGatewayTimeout, wire.CodeStore, "%s", unknown)
		r.Outcome = wire.OutcomeUnknown
		return r
	}
	return wire.Refuse(http.StatusServiceUnavailable, wire.CodeStore, "%s", err)
}
