package callers

import (
	"net/http"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/service"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/lists"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	maxKeyBytes  = 256
	serviceClass = ident.Class("service")
)

// service serves /v1/services/{service}/…. A non-idempotent call needs an idempotency key.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	plan, allowance, refusal := s.authenticate(r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	call, atMostOnce, refusal := s.readCall(w, r, plan, allowance)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	s.FaultPoint("authenticated", call.Request)
	if refusal := s.Shares.Take(r.Context(), plan.Organisation, allowance, 0, now); refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	defer func() { s.Shares.Done(plan.Organisation, 0, time.Now()) }()
	s.FaultPoint("limited", call.Request)
	run := s.CallIdempotent
	if atMostOnce {
		run = s.CallAtMostOnce
	}
	answer := run(r.Context(), call)
	s.FaultPoint("answered", call.Request)
	s.recordEnd(wire.Submit{Request: call.Request, Organisation: plan.Organisation, Class: serviceClass}, "", answer.Refusal, now)
	setRequestHeader(w, call.Request)
	if answer.Refusal != nil {
		writeRefusal(w, answer.Refusal)
		return
	}
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// readCall validates the call, and reports whether it may run at most once.
func (s *Server) readCall(w http.ResponseWriter, r *http.Request, plan lists.PlanEntry, allowance lists.Allowance) (wire.ServiceCall, bool, *wire.Refusal) {
	name := ident.Service(r.PathValue("service"))
	svc, ok := s.Settings.Service(name)
	if !ok {
		return wire.ServiceCall{}, false, wire.Refuse(http.StatusNotFound, wire.CodeUnknownService, "no service is named %q", name)
	}
	if !allowance.MayUseService(name) {
		return wire.ServiceCall{}, false, wire.Refuse(http.StatusForbidden, wire.CodeForbidden, "the plan does not include the service %q", name)
	}
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		return wire.ServiceCall{}, false, refusal
	}
	path := "/" + r.PathValue("path")
	atMostOnce := !svc.IsIdempotent(r.Method, path)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	call := wire.ServiceCall{
		Request: ident.NewRequest(), Organisation: plan.Organisation, Service: name, Method: r.Method,
		Path: path, ContentType: r.Header.Get("Content-Type"), Body: body,
	}
	if !atMostOnce {
		return call, false, nil
	}
	call.Key = r.Header.Get(service.HeaderIdempotencyKey)
	if call.Key == "" || len(call.Key) > maxKeyBytes {
		return call, true, wire.Refuse(http.StatusBadRequest, wire.CodeKeyMissing, "expected an Idempotency-Key of 1 to %d bytes, since the call may not repeat", maxKeyBytes)
	}
	return call, true, nil
}

// keys serves POST /v1/keys: it issues an idempotency key whose use needs no store.
func (s *Server) keys(w http.ResponseWriter, r *http.Request) {
	if _, _, refusal := s.authenticate(r); refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	key := s.NewIdempotencyKey(time.Now())
	if key == "" {
		writeRefusal(w, wire.Refuse(http.StatusServiceUnavailable, wire.CodeOverloaded, "too many keys are in use"))
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Key string `json:"key"`
	}{key})
}
