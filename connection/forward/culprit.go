package forward

import (
	"time"

	"github.com/vanillaroute/vanillaroute/request/suspects"
	"go.uber.org/zap"
)

// isRefusedAsCulprit reports whether the request, or a part of its prompt, is known to crash engines and is not tried in spite of that. It sets verdict if so.
func (x *exchange) isRefusedAsCulprit(now time.Time) bool {
	byPart := x.Crashes.Parts.Refuses(x.subjects.Parts, now)
	byRequest := x.Crashes.Requests.Refuses([]suspects.ID{x.subjects.Request}, now)
	if (!byPart && !byRequest) || x.takeTrial(now) {
		return false
	}
	x.crashesEngines = true
	if byPart {
		x.verdict = "engines crash on a part of the prompt"
		x.Metrics.Add("culpritsRefused", 1)
		return true
	}
	x.verdict = "the request crashed as many engines as it may"
	x.Metrics.Add("suspectsRefused", 1)
	return true
}

// takeTrial reports whether the request is tried. It is, at one engine, if this instance is the tester and a trial is due.
func (x *exchange) takeTrial(now time.Time) bool {
	if x.onTrial {
		return x.runs == 0
	}
	if x.IsTester == nil || !x.Crashes.TakeTrial(x.subjects, x.IsTester, now) {
		return false
	}
	x.onTrial = true
	x.Metrics.Add("culpritsTried", 1)
	x.Log.Warn("culprit tried", zap.String("request", string(x.id)), zap.Stringer("fingerprint", x.subjects.Request), zap.String("parts", x.r.Header.Get(x.Names.PromptParts)))
	return true
}
