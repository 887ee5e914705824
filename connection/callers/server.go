package callers

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/metrics"
	"github.com/vanillaroute/vanillaroute/request/limits"
	"github.com/vanillaroute/vanillaroute/request/relay"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/store"
	"github.com/vanillaroute/vanillaroute/version/config"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/lists"
	"github.com/vanillaroute/vanillaroute/wire"
	"go.uber.org/zap"
)

const (
	// MaxBodyBytes is the size above which a caller's body is refused.
	MaxBodyBytes = 8 << 20

	// MaxHeaderBytes is the size above which the head of a caller's request is refused.
	MaxHeaderBytes = 32 << 10

	errorTypePrefix = "vanillaroute_"
)

type (
	// Dependencies are the collaborators and settings of a Server.
	Dependencies struct {
		Self     ident.Router
		Settings settings.Settings
		Log      *zap.Logger
		Config   *config.State
		Fleet    *fleet.Fleet
		Shares   *limits.Shares
		Relay    *relay.Relay
		Metrics  *metrics.Metrics
		Store    store.Store
		// Memory bounds the bytes of bodies, and is nil without a bound.
		Memory *sizelimit.Budget
		// CallAtMostOnce runs a non-idempotent call at the home router of its idempotency key.
		CallAtMostOnce func(ctx context.Context, call wire.ServiceCall) wire.ServiceAnswer
		// CallIdempotent runs a call that may be retried.
		CallIdempotent func(ctx context.Context, call wire.ServiceCall) wire.ServiceAnswer
		// NewIdempotencyKey returns an idempotency key that needs no store.
		NewIdempotencyKey func(now time.Time) string
		// Publish sends committed entries to routers in other failure domains, and returns how many confirmed them.
		Publish func(ctx context.Context, entries []wire.Entry) int
		// Status returns the status of every live router.
		Status func(ctx context.Context) []wire.StatusReply
		// Ready reports whether requests can be served.
		Ready func() bool
		// Control returns the counters of control traffic for /debug/vars.
		Control func() any
		// FaultPoint is called at each named step of a request, for fault injection.
		FaultPoint func(step string, id ident.Request)
	}

	// Server is the HTTP handler for callers and operators.
	Server struct {
		Dependencies
		mux *http.ServeMux
	}

	// errorBody is the error object of the OpenAI interface, with the outcome added.
	errorBody struct {
		Error errorFields `json:"error"`
	}

	errorFields struct {
		Message string       `json:"message"`
		Type    string       `json:"type"`
		Param   *string      `json:"param"`
		Code    wire.Code    `json:"code"`
		Outcome wire.Outcome `json:"outcome"`
	}
)

// New returns a Server with its routes.
func New(deps Dependencies) *Server {
	s := &Server{Dependencies: deps, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/chat/completions", s.chat)
	s.mux.HandleFunc("GET /v1/models", s.models)
	s.mux.HandleFunc("GET /v1/addresses", s.addresses)
	s.mux.HandleFunc("POST /v1/keys", s.keys)
	s.mux.HandleFunc("/v1/services/{service}/{path...}", s.service)
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.mux.HandleFunc("GET /debug/vars", s.vars)
	s.mux.HandleFunc("GET /admin/lists", s.requireOperator(s.getLists))
	s.mux.HandleFunc("POST /admin/lists", s.requireOperator(s.applyLists))
	s.mux.HandleFunc("GET /admin/status", s.requireOperator(s.status))
	return s
}

// HTTP returns an http.Server with limits on headers and idle time. The caller provides the listener.
func (s *Server) HTTP() *http.Server {
	return &http.Server{Handler: s.mux, ReadHeaderTimeout: s.Settings.Limits.HeaderTimeout.Std(), MaxHeaderBytes: MaxHeaderBytes, IdleTimeout: s.Settings.Limits.IdleTimeout.Std()}
}

// authenticate returns the plan entry of the request's key and the allowance of that plan, or a refusal.
func (s *Server) authenticate(r *http.Request) (lists.PlanEntry, lists.Allowance, *wire.Refusal) {
	key, ok := bearer(r)
	if !ok {
		return lists.PlanEntry{}, lists.Allowance{}, wire.Refuse(http.StatusUnauthorized, wire.CodeUnauthorised, "expected a key in the Authorization header")
	}
	if !s.Config.Ready() {
		return lists.PlanEntry{}, lists.Allowance{}, wire.Refuse(http.StatusServiceUnavailable, wire.CodeNotReady, "the router has not read the configuration yet")
	}
	plan, ok := s.Config.Authenticate(key)
	if !ok {
		return lists.PlanEntry{}, lists.Allowance{}, wire.Refuse(http.StatusUnauthorized, wire.CodeUnauthorised, "the key is not known")
	}
	allowance, ok := s.Config.Allowance(plan.Plan)
	if !ok {
		return lists.PlanEntry{}, lists.Allowance{}, wire.Refuse(http.StatusForbidden, wire.CodeForbidden, "the plan of the organisation has no allowance")
	}
	return plan, allowance, nil
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Requests json.RawMessage `json:"requests"`
		Control  any             `json:"control"`
	}{json.RawMessage(s.Metrics.String()), s.Control()})
}

// requireOperator refuses requests without the operators' key.
func (s *Server) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := bearer(r)
		// The hash of an empty key would admit requests without one.
		if !ok || subtle.ConstantTimeCompare([]byte(lists.HashKey(key)), []byte(s.Settings.Operators.KeyHash)) != 1 {
			writeRefusal(w, wire.Refuse(http.StatusUnauthorized, wire.CodeUnauthorised, "expected the operators' key in the Authorization header"))
			return
		}
		next(w, r)
	}
}

// readBody reads the request's body within MaxBodyBytes, the memory and the time that it may take. The body is charged until the request ends.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *wire.Refusal) {
	control := http.NewResponseController(w)
	// The server reads ahead while a request without a body is served, and a deadline would then cancel the request.
	hasBody := r.ContentLength != 0
	if limit := s.Settings.Limits.BodyTimeout.Std(); hasBody && limit > 0 {
		_ = control.SetReadDeadline(time.Now().Add(limit))
	}
	memory := s.Memory
	if memory == nil {
		memory = sizelimit.NewBudget(math.MaxInt64)
	}
	kept := memory.NewHolder()
	body, err := kept.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes), r.ContentLength, MaxBodyBytes)
	if err == nil {
		context.AfterFunc(r.Context(), kept.Release)
		if hasBody {
			_ = control.SetReadDeadline(time.Time{})
		}
		return body, nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	var tooLong *sizelimit.Error
	var noMemory *sizelimit.BudgetError
	switch {
	case errors.As(err, &tooLarge) || errors.As(err, &tooLong):
		return nil, wire.Refuse(http.StatusRequestEntityTooLarge, wire.CodeTooLarge, "the body is over %d bytes", MaxBodyBytes)
	case errors.As(err, &noMemory):
		return nil, wire.Refuse(http.StatusServiceUnavailable, wire.CodeTooLarge, "the router has no memory for the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, wire.Refuse(http.StatusRequestTimeout, wire.CodeBadRequest, "the body did not arrive in time")
	}
	return nil, wire.Refuse(http.StatusBadRequest, wire.CodeBadRequest, "the body could not be read")
}

func bearer(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key, ok && key != ""
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeRefusal(w http.ResponseWriter, r *wire.Refusal) {
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, r.Status, refusalBody(r))
}

func refusalBody(r *wire.Refusal) errorBody {
	return errorBody{errorFields{Message: r.Message, Type: errorTypePrefix + string(r.Outcome), Code: r.Code, Outcome: r.Outcome}}
}
