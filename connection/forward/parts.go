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
	// Names are the names of the header fields that callers and engines use.
	Names struct {
		RequestID string
		// Deadline holds how many milliseconds the answer is waited for.
		Deadline string
		Model    string
		// Parts lists the parts of the prompt with their tokens.
		Parts        string
		LastEvent    string
		Organisation string
		// Expect names the engine that is to run the request.
		Expect string
		// Seal marks an answer as an engine's own.
		Seal string
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

	// World is what is known of configuration and engines at a moment.
	World struct {
		Configuration *routing.Configuration
		Engines       *engines.List
		// ProofAge is how long ago the configuration was known to be the newest.
		ProofAge time.Duration
		// Instances is how many instances share the fleet's budgets.
		Instances int
	}

	// Limits are the ages up to which a configuration may decide.
	Limits struct {
		// KeyAge is the age up to which a key is accepted.
		KeyAge time.Duration
		// DenyAge is the age up to which a route or key counts as unknown, rather than not known yet.
		DenyAge time.Duration
	}

	// Parts are what a handler works with.
	Parts struct {
		Names Names
		// Limits returns those in force.
		Limits func() Limits
		Domain ident.Domain
		World  func() World
		Table  *placing.Table
		Budget *retries.Budget
		Client *upstream.Client
		// Suspects are requests that crashed engines, of the whole fleet.
		Suspects *suspects.Table
		Metrics  *metrics.Text
		Log      *zap.Logger
		Closing  func() bool
	}

	// Handler serves callers.
	Handler struct {
		Parts
		crashes *crashes
		// troubled logs about requests that did not go well at once.
		troubled *zap.Logger
	}
)

// New returns a handler.
func New(p Parts) *Handler {
	p.Log = p.Log.Named(logs.RequestLogger)
	return &Handler{Parts: p, crashes: newCrashes(p.Suspects), troubled: p.Log.Named("troubled")}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// withoutHop removes the fields that concern one connection only.
func withoutHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range splitList(list) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
