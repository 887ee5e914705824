package forward

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
)

const (
	// retryAfterOtherInstance is the Retry-After if this instance's configuration is missing or too old, but another instance may serve
	// the request.
	retryAfterOtherInstance = 50 * time.Millisecond
	// retryAfterOverload is the Retry-After if all engines are full or unreachable and it is not known how long answers take.
	retryAfterOverload = 300 * time.Millisecond
	// retryAfterLimit is the longest Retry-After if the engines are at their limits: another instance may have room earlier.
	retryAfterLimit = time.Second
	// retryAfterCulprit is the Retry-After of a request that would crash its engine. It is longer than the deadlines of callers.
	retryAfterCulprit = time.Minute
	// defaultTimeout is the time-out of a route that sets none. The caller may state a shorter one.
	defaultTimeout = 30 * time.Second
	// maxBodyBytes bounds the body of a request if the configuration does not.
	maxBodyBytes   = 8 << 20
	bearerPrefix   = "Bearer "
	reasonStopping = "the instance is stopping"
)

// PanicMessage is the log message for a request whose handling panicked.
const PanicMessage = "request panicked"

// refusal is an error response that the instance itself gives.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// ServeHTTP admits a request and sends it to an engine, or refuses it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	defer h.recordPanic(r)
	if h.Stop().Closing {
		w.Header().Set("Connection", "close")
	}
	snapshot := h.Snapshot()
	route, org, refused := h.admit(snapshot, r)
	if refused == nil {
		var body []byte
		kept := h.Memory.NewHolder()
		defer kept.Release()
		bodyDeadline := arrived.Add(timeoutFor(r.Header.Get(h.Names.Deadline), route.Timeout))
		if body, refused = readBody(w, r, snapshot.Configuration.Limits, kept, bodyDeadline); refused == nil {
			x := h.newExchange(w, r, route, org, body, arrived)
			if last := h.Stop().LastAnswerAt; last.IsZero() || x.deadline.Before(last) {
				x.run()
				return
			}
			refused = &refusal{http.StatusServiceUnavailable, reasonStopping, retryAfterOtherInstance}
		}
	}
	h.Metrics.Add(outcomeRefused, 1)
	h.Log.Warn(outcomeRefused, zap.String("request", r.Header.Get(h.Names.RequestID)), zap.Int("status", refused.status), zap.String("reason", refused.reason),
		zap.Int64("configuration", versionOf(snapshot)), zap.Duration("configurationAgeMs", snapshot.ConfirmedAge))
	h.refuse(w, r, *refused)
}

// recordPanic counts and logs a panic with the request's id, and ends the caller's connection. A panic that aborts an answer on purpose is passed on.
func (h *Handler) recordPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	//nolint:errorlint,err113 // The value of a panic is compared, not an error chain.
	if cause != http.ErrAbortHandler {
		h.Metrics.Add("panics", 1)
		h.Log.Error(PanicMessage, zap.String("request", r.Header.Get(h.Names.RequestID)), zap.String("cause", fmt.Sprint(cause)), zap.Stack("stack"))
	}
	panic(http.ErrAbortHandler)
}

// admit returns the route and the organisation of a request, or a refusal. If the configuration is too old for a final decision,
// the refusal is a 503 that invites a retry. A key is checked even if requests need none: it may have been revoked.
func (h *Handler) admit(snapshot Snapshot, r *http.Request) (*routing.Route, ident.Organisation, *refusal) {
	if snapshot.Configuration == nil {
		return nil, "", &refusal{http.StatusServiceUnavailable, "no configuration is known yet", retryAfterOtherInstance}
	}
	if snapshot.EvacuationsUnknown {
		return nil, "", &refusal{http.StatusServiceUnavailable, "it is not known yet what is evacuated", retryAfterOtherInstance}
	}
	limits := h.Limits()
	stale := &refusal{http.StatusServiceUnavailable, "the configuration may have changed", retryAfterOtherInstance}
	route, ok := snapshot.Configuration.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		if snapshot.ConfirmedAge > limits.MaxDenyAge {
			return nil, "", stale
		}
		return nil, "", &refusal{http.StatusNotFound, "no route matches", 0}
	}
	key, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	carriesKey := isBearer && key != ""
	if route.Public || (!snapshot.Configuration.NeedsKeys() && !carriesKey) {
		return route, "", nil
	}
	if snapshot.ConfirmedAge > limits.MaxKeyAge {
		return nil, "", stale
	}
	org, ok := snapshot.Configuration.Authenticate(key)
	if ok {
		return route, org, nil
	}
	if snapshot.ConfirmedAge > limits.MaxDenyAge {
		return nil, "", stale
	}
	return nil, "", &refusal{http.StatusUnauthorized, "the key is not known", 0}
}

// newExchange returns the exchange of an admitted request, with its prompt parts if the route caches prompts.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request, route *routing.Route, org ident.Organisation, body []byte, arrived time.Time) *exchange {
	x := &exchange{
		Handler: h, w: w, r: r, route: route, body: body, arrived: arrived,
		id: ident.Request(r.Header.Get(h.Names.RequestID)), org: org,
		deadline: arrived.Add(timeoutFor(r.Header.Get(h.Names.Deadline), route.Timeout)),
		header:   h.engineHeader(r.Header, org),
	}
	x.service = route.Service(x.id)
	if resumed, takesUp := x.takenUp(); takesUp && resumed != "" {
		x.service = route.Service(resumed)
	}
	if h.Overload != nil {
		x.overload = h.Overload()
	}
	ids, tokens := h.Names.ParseParts(r.Header.Get(h.Names.PromptParts))
	x.subjects = suspects.Subjects{Request: suspects.NewRequest(org, r.Method, r.Host, r.RequestURI, body), Parts: sharedParts(ids)}
	x.setNeeds(r.Header, tokens)
	if route.CachesPrompts {
		x.parts = placing.NewParts(ids, tokens, ident.Model(r.Header.Get(h.Names.Model)))
	}
	return x
}

// sharedParts returns the parts of a prompt that other prompts may share: all but the last one.
func sharedParts(names []string) []suspects.ID {
	parts := make([]suspects.ID, max(len(names)-1, 0))
	for i := range parts {
		parts[i] = suspects.NewPart(names[i])
	}
	return parts
}

// engineHeader returns the caller's header without its key, hop-by-hop fields and reserved fields, and with its organisation.
func (h *Handler) engineHeader(from http.Header, org ident.Organisation) http.Header {
	header := from.Clone()
	removeHopHeaders(header)
	header.Del("Authorization")
	for _, name := range h.Names.Reserved {
		header.Del(name)
	}
	header.Del(h.Names.Organisation)
	if org != "" {
		header.Set(h.Names.Organisation, string(org))
	}
	return header
}

// refuse writes a refusal as JSON.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, refused refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if id := r.Header.Get(h.Names.RequestID); id != "" {
		header.Set(h.Names.RequestID, id)
	}
	if refused.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{refused.reason})
	if err != nil {
		body = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refused.status)
	_, _ = w.Write(body)
}

// readBody reads the body of a request into memory of kept until its deadline.
func readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits, kept *sizelimit.Holder, deadline time.Time) ([]byte, *refusal) {
	maxBytes := int64(maxBodyBytes)
	if limits.MaxBodyBytes > 0 {
		maxBytes = limits.MaxBodyBytes
	}
	// The server reads ahead while a request without a body is served, and a deadline would then cancel the request.
	hasBody := r.ContentLength != 0
	control := http.NewResponseController(w)
	if hasBody {
		_ = control.SetReadDeadline(deadline)
	}
	body, err := kept.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, maxBytes)
	if err == nil {
		if hasBody {
			_ = control.SetReadDeadline(time.Time{})
		}
		return body, nil
	}
	var large *http.MaxBytesError
	var tooLong *sizelimit.Error
	var noMemory *sizelimit.BudgetError
	switch {
	case errors.As(err, &large) || errors.As(err, &tooLong):
		return nil, &refusal{http.StatusRequestEntityTooLarge, "the body is too large", 0}
	case errors.As(err, &noMemory):
		// The rest of the body is not read, so the connection cannot be used again.
		w.Header().Set("Connection", "close")
		return nil, &refusal{http.StatusServiceUnavailable, "the instance has no memory for the body", retryAfterOverload}
	}
	w.Header().Set("Connection", "close")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &refusal{http.StatusRequestTimeout, "the body did not arrive before the deadline", 0}
	}
	return nil, &refusal{http.StatusBadRequest, "the body could not be read", 0}
}

// timeoutFor returns the shorter of the time-out that the caller states, in milliseconds, and the route's, or defaultTimeout if the route
// has none. An invalid value of the caller is ignored.
func timeoutFor(stated string, timeout time.Duration) time.Duration {
	limit := timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if ms, err := strconv.Atoi(stated); err == nil && ms >= 0 {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return limit
}

func splitList(s string) []string {
	parts := strings.Split(s, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

func versionOf(s Snapshot) int64 {
	if s.Configuration == nil {
		return 0
	}
	return int64(s.Configuration.Version)
}
