package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/request/cost"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

// maxHint is the largest length hint that is taken for a count of tokens.
const maxHint = 1e9

// progress is what an attempt has shown of its engine's speed.
type progress struct {
	sentAt, firstAt time.Time
	events          int
	// report is the load that the engine reported with the answer, or nil.
	report *placing.Report
}

// needs returns what the header of a request states of its cost. Counts that are malformed or negative count as absent.
func (n *HeaderNames) needs(h http.Header) cost.Request {
	var r cost.Request
	if n.ParseUsage != nil {
		if prompt, output, ok := n.ParseUsage(h.Get(n.Usage)); ok {
			r.Prompt, r.Output = prompt, output
		}
	}
	if hint, err := strconv.Atoi(strings.TrimSpace(h.Get(n.LengthHint))); err == nil && hint >= 0 && hint <= maxHint {
		r.Hint = hint
	}
	return r
}

// isOn reports whether any switch is on.
func (o Overload) isOn() bool { return o != Overload{} }

// setNeeds sets what the header of the request and the tokens of its parts say that it needs, if a switch asks for it.
func (x *exchange) setNeeds(h http.Header, parts []int) {
	if !x.overload.isOn() {
		return
	}
	x.needs = x.Names.needs(h)
	x.needs.Route = cost.Route{Service: x.service.ID(), Name: x.route.Name}
	for _, n := range parts {
		x.needs.Parts += n
	}
}

// workAt returns what the request needs of the chosen engine.
func (x *exchange) workAt(c placing.Choice) cost.Work {
	needs := x.needs
	needs.Cached = c.CachedTokens + c.FetchedTokens
	return x.Costs.Estimate(needs)
}

// recordReport keeps the load that an engine reports with its answer.
func (x *exchange) recordReport(resp *upstream.Response, n placing.Notice) {
	if resp.Status < 300 {
		x.progress.report = n.Load
	}
}

// observe learns from the whole answer of the only engine that ran the request.
func (x *exchange) observe(e engines.Engine) {
	if !x.overload.isOn() || x.runs != 1 || (x.route.Kind == routing.Stream) != (x.progress.events > 0) {
		return
	}
	now := time.Now()
	a := cost.Answer{Request: x.needs, Engine: e.Key, Last: now.Sub(x.progress.sentAt), Events: x.progress.events}
	a.Request.Cached = x.placement.choice.CachedTokens + x.placement.choice.FetchedTokens
	if a.Events > 0 {
		a.First = x.progress.firstAt.Sub(x.progress.sentAt)
	}
	if r := x.progress.report; r != nil {
		a.Waited, a.Slowness = r.Waiting > 0, r.Slowness
	}
	x.Costs.Observe(a, now)
}
