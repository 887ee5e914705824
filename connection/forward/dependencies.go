package forward

import (
	"net/http"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/logs"
	"github.com/vanillaroute/vanillaroute/metrics"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/retries"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
)

type (
	// HeaderNames are the names of the header fields that callers and engines use.
	HeaderNames struct {
		RequestID string
		// Deadline holds how many milliseconds the answer is waited for.
		Deadline string
		Model    string
		// PromptParts lists the parts of the prompt with their tokens.
		PromptParts  string
		LastEventID  string
		Organisation string
		// ExpectedEngine names the engine that is to run the request.
		ExpectedEngine string
		// ResponseSeal marks an answer as an engine's own.
		ResponseSeal string
		// NotRun says that the engine did not run the request.
		NotRun string
		Load   string
		// FetchFrom names an engine from which the engine is to copy what that one holds of the prompt.
		FetchFrom string
		// Reserved are fields that the fleet sets and callers may not.
		Reserved []string
		// ParseParts reads the parts of a prompt, and ParseLoad an engine's load.
		ParseParts func(string) (ids []string, tokens []int)
		ParseLoad  func(string) (placing.Report, bool)
	}

	// Snapshot is what is known of configuration and engines at a moment.
	Snapshot struct {
		Configuration *routing.Configuration
		Engines       *engines.List
		// ConfirmedAge is how long ago the configuration was known to be the newest.
		ConfirmedAge time.Duration
		// Instances is how many instances share the fleet's budgets.
		Instances int
	}

	// AgeLimits are the ages up to which a configuration may decide.
	AgeLimits struct {
		// MaxKeyAge is the age up to which a key is accepted.
		MaxKeyAge time.Duration
		// MaxDenyAge is the age up to which a route or key counts as unknown, rather than not known yet.
		MaxDenyAge time.Duration
	}

	// Dependencies are what a handler works with.
	Dependencies struct {
		Names HeaderNames
		// Limits returns those in force.
		Limits   func() AgeLimits
		Domain   ident.Domain
		Snapshot func() Snapshot
		Table    *placing.Table
		Budget   *retries.Budget
		Client   *upstream.Client
		// Suspects are requests that crashed engines, of the whole fleet.
		Suspects *suspects.Table
		Metrics  *metrics.Registry
		Log      *zap.Logger
		Closing  func() bool
	}

	// Handler serves callers.
	Handler struct {
		Dependencies
		crashes *crashTracker
		// problemLog logs about requests that did not go well at once.
		problemLog *zap.Logger
	}
)

// New returns a handler.
func New(p Dependencies) *Handler {
	p.Log = p.Log.Named(logs.RequestLogger)
	return &Handler{Dependencies: p, crashes: newCrashTracker(p.Suspects), problemLog: p.Log.Named("troubled")}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeHopHeaders removes the fields that concern one connection only.
func removeHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range splitList(list) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
