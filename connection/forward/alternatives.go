package forward

import (
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/suspects"
)

// hasAlternative reports whether another engine could take the request from the current one now, apart from the retry budget. It reads what other requests
// and instances have learned since the choice, and may be called while the attempt runs.
func (x *exchange) hasAlternative(current ident.Engine, now time.Time) bool {
	if x.onTrial || x.Crashes.Parts.WouldRefuse(x.subjects.Parts, now) || x.Crashes.Requests.WouldRefuse([]suspects.ID{x.subjects.Request}, now) {
		return false
	}
	s := x.Snapshot()
	r := x.placingRequest(s).WithTried([]ident.Engine{current}).WithTried(x.usedUpIn(s))
	return x.Table.HasAlternative(s.Engines, r.WithTried(x.withoutMemoryIn(s, r, now)), now)
}

func (x *exchange) placingRequest(s Snapshot) placing.Request {
	r := placing.Request{Service: x.service, Parts: x.parts, Domain: x.Domain, Instances: s.Instances, Tried: x.tried, Evacuated: s.Evacuated}
	switch {
	case x.continues != nil:
		r.Continues = x.continues
	case x.stream != nil:
		r.Continues = &x.stream.version
	}
	return r
}

// returnToSilent lets the next attempt go to the engines that were given up for their silence, and to no others. It returns false if there are none. The
// engines that were to take over may have refused the request, for which the answer must not end.
func (x *exchange) returnToSilent() bool {
	if len(x.silent) == 0 {
		return false
	}
	tried := make([]ident.Engine, 0, len(x.tried))
	for _, e := range x.snapshot.Engines.OfService(x.service) {
		if !x.silent[e.ID] {
			tried = append(tried, e.ID)
		}
	}
	x.tried, x.silent = tried, nil
	x.returns++
	x.Metrics.Add("silentEnginesReturnedTo", 1)
	return true
}
