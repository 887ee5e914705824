package forward

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
)

const (
	// retryAfterOtherInstance is when a caller may come back where another instance can serve it.
	retryAfterOtherInstance = 50 * time.Millisecond
	// retryAfterOverload is when a caller may come back where engines are full or away.
	retryAfterOverload = 300 * time.Millisecond
	// defaultTimeout is for callers that state none, on routes without a timeout.
	defaultTimeout = 30 * time.Second
	bearerPrefix   = "Bearer "
)

// refusal is an answer of the fleet's own.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// ServeHTTP checks a request and sends it to an engine.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if h.Closing() {
		w.Header().Set("Connection", "close")
	}
	world := h.Snapshot()
	route, org, no := h.admit(world, r)
	if no == nil {
		var body []byte
		if body, no = readBody(w, r, world.Configuration.Limits); no == nil {
			h.newExchange(w, r, route, org, body, arrived).run()
			return
		}
	}
	h.Metrics.Add(outcomeRefused, 1)
	h.Log.Warn(outcomeRefused, zap.String("request", r.Header.Get(h.Names.RequestID)), zap.Int("status", no.status), zap.String("reason", no.reason),
		zap.Int64("configuration", versionOf(world)), zap.Duration("configurationAgeMs", world.ConfirmedAge))
	h.refuse(w, r, *no)
}

// admit finds the route and the organisation of a request, or why there is none.
func (h *Handler) admit(world Snapshot, r *http.Request) (*routing.Route, ident.Organisation, *refusal) {
	if world.Configuration == nil {
		return nil, "", &refusal{http.StatusServiceUnavailable, "no configuration is known yet", retryAfterOtherInstance}
	}
	limits := h.Limits()
	unsure := &refusal{http.StatusServiceUnavailable, "the configuration may have changed", retryAfterOtherInstance}
	route, ok := world.Configuration.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		if world.ConfirmedAge > limits.MaxDenyAge {
			return nil, "", unsure
		}
		return nil, "", &refusal{http.StatusNotFound, "no route matches", 0}
	}
	if route.Public || !world.Configuration.NeedsKeys() {
		return route, "", nil
	}
	if world.ConfirmedAge > limits.MaxKeyAge {
		return nil, "", unsure
	}
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	org, ok := world.Configuration.Authenticate(key)
	if ok {
		return route, org, nil
	}
	if world.ConfirmedAge > limits.MaxDenyAge {
		return nil, "", unsure
	}
	return nil, "", &refusal{http.StatusUnauthorized, "the key is not known", 0}
}

// newExchange prepares the way of an admitted request.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request, route *routing.Route, org ident.Organisation, body []byte, arrived time.Time) *exchange {
	x := &exchange{
		Handler: h, w: w, r: r, route: route, body: body, arrived: arrived,
		id: ident.Request(r.Header.Get(h.Names.RequestID)), org: org,
		fingerprint: fingerprint(org, r.RequestURI, body),
		deadline:    arrived.Add(timeoutFor(r.Header.Get(h.Names.Deadline), route.Timeout)),
		header:      h.engineHeader(r.Header, org),
	}
	x.service = route.Service(x.id)
	if route.CachesPrompts {
		ids, tokens := h.Names.ParseParts(r.Header.Get(h.Names.PromptParts))
		x.parts = placing.NewParts(ids, tokens, ident.Model(r.Header.Get(h.Names.Model)))
	}
	return x
}

// engineHeader returns the header fields for the engine: the caller's, without its key and without what only the fleet may set.
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

// refuse writes an answer of the fleet's own.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, no refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if id := r.Header.Get(h.Names.RequestID); id != "" {
		header.Set(h.Names.RequestID, id)
	}
	if no.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(no.retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{no.reason})
	if err != nil {
		body = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(no.status)
	_, _ = w.Write(body)
}

func readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits) ([]byte, *refusal) {
	reader := r.Body
	if limits.MaxBodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
	}
	var body []byte
	var err error
	if r.ContentLength > 0 && (limits.MaxBodyBytes == 0 || r.ContentLength <= limits.MaxBodyBytes) {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(reader, body)
	} else {
		body, err = io.ReadAll(reader)
	}
	if err == nil {
		return body, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &refusal{http.StatusRequestEntityTooLarge, "the body is too large", 0}
	}
	return nil, &refusal{http.StatusBadRequest, "the body could not be read", 0}
}

// timeoutFor returns how long a request may take: what the caller states, and the route's timeout at most.
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

func versionOf(w Snapshot) int64 {
	if w.Configuration == nil {
		return 0
	}
	return int64(w.Configuration.Version)
}
