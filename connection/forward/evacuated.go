package forward

import (
	"time"

	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

// isEvacuated reports whether the failure domain of an engine is evacuated, as far as the instance knows now.
func (x *exchange) isEvacuated(e engines.Engine) bool {
	return x.Snapshot().Evacuated.Contains(e.Domain)
}

// isRefusedAsEvacuated reports whether the failure domains of all engines for a request are evacuated. It sets verdict if so. An evacuation lasts, so the
// caller is asked to come back as late as it may be.
func (x *exchange) isRefusedAsEvacuated(r placing.Request, now time.Time) bool {
	if !r.AllEvacuated(x.snapshot.Engines) {
		return false
	}
	x.verdict, x.leftOut = "the failure domains of all engines are evacuated", x.Table.CountLeftOut(x.snapshot.Engines, r, now)
	x.acceptedIn = retryAfterLimit
	x.Metrics.Add("evacuatedRefused", 1)
	return true
}
