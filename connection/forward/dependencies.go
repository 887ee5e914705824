package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/logs"
	"github.com/vanillaroute/vanillaroute/metrics"
	"github.com/vanillaroute/vanillaroute/request/admission"
	"github.com/vanillaroute/vanillaroute/request/cost"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/retries"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/evacuation"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
)

type (
	// HeaderNames holds the names of the header fields that callers and engines use, and the parsers of their values.
	HeaderNames struct {
		RequestID string
		// Deadline names the field with the time that the sender waits for the answer, in milliseconds.
		Deadline string
		Model    string
		// Usage names the field with the prompt tokens and the most output tokens of a request, and LengthHint that with the output tokens that its
		// caller expects.
		Usage, LengthHint string
		// Priority names the field that tells engines the order of requests, from 0, the first one, to 9.
		Priority string
		// ColdFor names the field in an engine's health answers that says for how many milliseconds it stays cold.
		ColdFor string
		// PromptParts names the field that lists the parts of the prompt and their token counts.
		PromptParts string
		LastEventID string
		// Resumes names the field with the id of the request that brought the first event of the stream which the caller takes up.
		Resumes      string
		Organisation string
		// ExpectedEngine names the field with the id of the engine that the request is addressed to. Another engine that has
		// taken over the address answers 421.
		ExpectedEngine string
		// EngineID names the field with the id of the engine in its answers at the health path.
		EngineID string
		// ResponseSeal names the field that an engine sets on its own answers.
		ResponseSeal string
		// NotRun names the field that an engine sets if it did not run the request.
		NotRun string
		Load   string
		// Limit names the field with the number of requests a second that an engine takes from all instances together.
		Limit string
		// Leaving names the field that an engine sets on all its answers while it is about to end.
		Leaving string
		// FetchFrom names the field with the address of an engine from which cached parts of the prompt can be copied.
		FetchFrom string
		// Reserved lists the fields that only the fleet may set. They are removed from callers' requests.
		Reserved []string
		// ParseParts parses the value of PromptParts, and ParseLoad that of Load.
		ParseParts func(string) (ids []string, tokens []int)
		ParseLoad  func(string) (placing.Report, bool)
		// ParseUsage parses the value of Usage. It returns false if the value is malformed.
		ParseUsage func(string) (prompt, output int, ok bool)
	}

	// Snapshot is the configuration and the engines that an instance knows at one moment.
	Snapshot struct {
		Configuration *routing.Configuration
		Engines       *engines.List
		// ConfirmedAge is the time since the configuration was last confirmed to be the newest.
		ConfirmedAge time.Duration
		// Instances is the number of instances among which the fleet's budgets are divided.
		Instances int
		// Sharers is the number of instances that divide the connections which an engine accepts.
		Sharers int
		// Evacuated are the failure domains whose engines get no requests.
		Evacuated *evacuation.Set
		// EvacuationsUnknown says that the instance has just started and may lack evacuations.
		EvacuationsUnknown bool
	}

	// AgeLimits bounds the confirmed age of the configuration on which a decision may be based.
	AgeLimits struct {
		// MaxKeyAge is the age up to which a key is accepted. Above it, the key may have been revoked.
		MaxKeyAge time.Duration
		// MaxDenyAge is the age up to which an unknown route or key is rejected for good. Above it, the route or key may be new,
		// and the caller is asked to retry.
		MaxDenyAge time.Duration
	}

	// Dependencies are the collaborators and settings of a Handler.
	Dependencies struct {
		Names HeaderNames
		// Limits returns the limits in force.
		Limits   func() AgeLimits
		Domain   ident.Domain
		Snapshot func() Snapshot
		Table    *placing.Table
		Budget   *retries.Budget
		Client   *upstream.Client
		// Crashes holds the evidence of the fleet on the requests and parts of prompts on which engines crash.
		Crashes *suspects.Crashes
		// IsTester reports whether this instance is the one of the fleet that tries requests for a culprit; nil means that none are tried.
		IsTester func(suspects.Culprit) bool
		// Admission decides which requests to plain services are offered to engines.
		Admission *admission.Controller
		// Costs estimates what requests need of engines. It is used if a switch of Overload is on.
		Costs *cost.Estimator
		// Holds is what the requests of this instance hold of engines. It is used if a switch of Overload is on.
		Holds *placing.Holds
		// Overload returns the switches in force; nil means that all are off.
		Overload func() Overload
		// Streams knows at which versions streams began; nil means that engines have no versions.
		Streams StreamVersions
		Metrics *metrics.Registry
		Log     *zap.Logger
		// Stop returns how the instance is stopping, or the zero value.
		Stop func() Stop
		// Memory bounds the bytes of callers and engines that are kept: requests, answers that are not relayed as they arrive, and events.
		Memory *sizelimit.Budget
		// Ending ends when requests in progress have to end, because the instance is about to cut its connections.
		Ending context.Context
	}

	// StreamVersions knows at which software versions of engines the streams of the fleet began.
	StreamVersions interface {
		// Began records that a request began a stream, or went on with one, at an engine of a version.
		Began(s ident.Service, org ident.Organisation, r ident.Request, v engines.Version)
		// VersionOf returns the version at which the request r began a stream. It returns false if that is not known, or if any version may continue
		// the stream.
		VersionOf(ctx context.Context, s ident.Service, org ident.Organisation, r ident.Request) (engines.Version, bool)
		// AreSeveral reports whether the service has or lately had engines of several versions.
		AreSeveral(s ident.Service) bool
	}

	// Overload switches what is done about more requests than engines can answer in time.
	Overload struct {
		// Order tells engines the order of requests.
		Order bool
		// Admission decides by one rule which requests to streams and plain services are offered to engines.
		Admission bool
		// Memory sends requests only to engines that have memory for them.
		Memory bool
	}

	// Stop says how an instance is stopping.
	Stop struct {
		// Closing says that answers close the caller's connection.
		Closing bool
		// LastAnswerAt is set once callers should know other instances. A request that may take longer is then left to these.
		LastAnswerAt time.Time
	}

	// Handler is the HTTP handler for callers' requests.
	Handler struct {
		Dependencies
		// problemLog logs requests that the first engine did not answer. If logging is over budget, its lines are dropped last.
		problemLog *zap.Logger
	}
)

// MaxConns returns how many connections to an engine of a service the instance may hold, or 0 if there is no bound.
func (s Snapshot) MaxConns(service ident.Service) int {
	if s.Configuration == nil {
		return 0
	}
	return upstream.Share(s.Configuration.Service(service).MaxConnections, s.Sharers)
}

// New returns a Handler that logs under logs.RequestLogger.
func New(deps Dependencies) *Handler {
	deps.Log = deps.Log.Named(logs.RequestLogger)
	return &Handler{Dependencies: deps, problemLog: deps.Log.Named("troubled")}
}

// hopHeaders are the header fields that apply to a single connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeHopHeaders removes hopHeaders and the fields listed in Connection.
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
