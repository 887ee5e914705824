package callers

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/logs"
	"github.com/vanillaroute/vanillaroute/version/lists"
	"github.com/vanillaroute/vanillaroute/wire"
)

// Request headers that name the caller's chat and class, and the last event received of a stream to resume.
const (
	HeaderChat        = "X-Chat-Id"
	HeaderClass       = "X-Class"
	HeaderLastEventID = "Last-Event-ID"

	// bytesPerToken estimates the tokens of a request's body, which count against the organisation's limits.
	bytesPerToken = 4
)

type (
	// chatBody holds the fields of a chat request that the router reads.
	chatBody struct {
		Model      ident.Model     `json:"model"`
		Stream     bool            `json:"stream"`
		User       string          `json:"user"`
		Messages   json.RawMessage `json:"messages"`
		ResumeText string          `json:"resumeText"`
	}

	// chatAnswer is the state of an answer to one chat request while it is written.
	chatAnswer struct {
		server    *Server
		submit    wire.Submit
		out       *eventWriter
		startedAt time.Time
		// lastEventAt is the time of the last event, or of the start if there is none yet.
		lastEventAt time.Time
		engine      ident.Engine
		tokens      int
	}
)

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	plan, allowance, refusal := s.authenticate(r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	submit, refusal := s.readChat(w, r, plan, allowance)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	s.FaultPoint("authenticated", submit.Request)
	if refusal := s.Shares.Take(r.Context(), plan.Organisation, allowance, len(submit.Body)/bytesPerToken, now); refusal != nil {
		s.recordEnd(submit, "", refusal, now)
		writeRefusal(w, refusal)
		return
	}
	s.FaultPoint("limited", submit.Request)
	a := &chatAnswer{server: s, submit: submit, out: newEventWriter(w, submit.Stream, submit.Request), startedAt: now, lastEventAt: now}
	defer func() { s.Shares.Done(plan.Organisation, a.tokens, time.Now()) }()
	end, err := s.Relay.Run(r.Context(), submit, a.event, now)
	if err != nil {
		s.Metrics.Add("callersLeft", 1)
		return
	}
	s.FaultPoint("answered", submit.Request)
	s.recordEnd(submit, a.engine, end.Refusal, now)
	a.out.finish(end.Refusal)
}

// readChat validates the request and returns the message to submit to the engine's home router.
func (s *Server) readChat(w http.ResponseWriter, r *http.Request, plan lists.PlanEntry, allowance lists.Allowance) (wire.Submit, *wire.Refusal) {
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		return wire.Submit{}, refusal
	}
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return wire.Submit{}, wire.Refuse(http.StatusBadRequest, wire.CodeBadRequest, "the body is not valid JSON: %s", err)
	}
	if b.Model == "" || len(b.Messages) == 0 {
		return wire.Submit{}, wire.Refuse(http.StatusBadRequest, wire.CodeBadRequest, "expected the fields model and messages")
	}
	if len(s.Fleet.View().EnginesOfModel(b.Model)) == 0 {
		return wire.Submit{}, wire.Refuse(http.StatusNotFound, wire.CodeUnknownModel, "no engine holds the model %q", b.Model)
	}
	if !allowance.MayUseModel(b.Model) {
		return wire.Submit{}, wire.Refuse(http.StatusForbidden, wire.CodeForbidden, "the plan does not include the model %q", b.Model)
	}
	submit := wire.Submit{
		Request: ident.NewRequest(), Organisation: plan.Organisation, Model: b.Model, Stream: b.Stream, Body: body,
		Class: s.Settings.Routing.Class(ident.Class(r.Header.Get(HeaderClass))).Name,
		Chat:  ident.Chat(r.Header.Get(HeaderChat)),
	}
	if submit.Chat == "" {
		submit.Chat = ident.Chat(b.User)
	}
	return applyResume(submit, b, r.Header.Get(HeaderLastEventID))
}

// applyResume sets the fields that resume a stream after the event lastEventID. It returns submit unchanged if lastEventID is empty or
// the request is not streamed.
func applyResume(submit wire.Submit, b chatBody, lastEventID string) (wire.Submit, *wire.Refusal) {
	if lastEventID == "" || !b.Stream {
		return submit, nil
	}
	e, err := ident.ParseEvent(lastEventID)
	if err != nil {
		return wire.Submit{}, wire.Refuse(http.StatusBadRequest, wire.CodeBadRequest, "%s", err)
	}
	submit.Request = e.Request
	submit.Engine = e.Engine
	submit.FirstOffset = e.Offset + 1
	submit.ReceivedText = b.ResumeText
	body, err := withoutResumeText(submit.Body)
	if err != nil {
		return wire.Submit{}, wire.Refuse(http.StatusBadRequest, wire.CodeBadRequest, "the body is not valid JSON: %s", err)
	}
	submit.Body = body
	return submit, nil
}

// withoutResumeText removes the field resumeText, which only routers read, so that engines get the same fields as at the first send.
func withoutResumeText(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	delete(fields, "resumeText")
	return json.Marshal(fields)
}

// event writes one event to the caller and records its latency.
func (a *chatAnswer) event(e ident.Event, data []byte) error {
	now := time.Now()
	s := a.server
	if a.tokens == 0 {
		s.FaultPoint("firstToken", a.submit.Request)
		s.Metrics.FirstToken(a.submit.Organisation, a.submit.Class, now.Sub(a.startedAt))
	} else {
		s.Metrics.TokenGap(a.submit.Organisation, a.submit.Class, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
	a.engine = e.Engine
	a.tokens++
	return a.out.event(e, data)
}

// recordEnd logs and counts the end of a request.
func (s *Server) recordEnd(submit wire.Submit, e ident.Engine, refusal *wire.Refusal, started time.Time) {
	s.Log.Info("request", logs.Request(submit.Request, submit.Organisation, submit.Class, e, refusal)...)
	s.Metrics.Total(submit.Organisation, submit.Class, time.Since(started))
	if refusal == nil {
		s.Metrics.Add("answered", 1)
		return
	}
	s.Metrics.Add(string(refusal.Outcome), 1)
}

// models serves GET /v1/models: the models that the caller's plan allows and at least one engine holds.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	_, allowance, refusal := s.authenticate(r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	type model struct {
		ID      ident.Model `json:"id"`
		Object  string      `json:"object"`
		Created int64       `json:"created"`
		OwnedBy string      `json:"owned_by"`
	}
	list := []model{}
	for _, m := range s.Fleet.View().Models() {
		if allowance.MayUseModel(m) {
			list = append(list, model{ID: m, Object: "model", OwnedBy: "vanillaroute"})
		}
	}
	writeJSON(w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}

func setRequestHeader(w http.ResponseWriter, id ident.Request) {
	w.Header().Set(engine.HeaderRequest, string(id))
}
