package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/admission"
	"github.com/vanillaroute/vanillaroute/request/cost"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Outcomes of requests, as log messages and counter names.
const (
	outcomeAnswered  = "answered"
	outcomeRefused   = "refused"
	outcomeCut       = "cut"
	outcomeCancelled = "cancelled"
)

// resultNames holds the names of results in logs.
var resultNames = [...]string{resultAnswered: "answered", resultNotRun: "notRun", resultLost: "lost", resultFailed: "failed"}

// String returns the name of the result in logs.
func (r result) String() string { return resultNames[r] }

// placement is the choice of an engine for one attempt, as it is logged.
type placement struct {
	message string
	attempt int
	choice  placing.Choice
	at      time.Time
	// unlogged says that the choice has not been logged yet.
	unlogged bool
	// work is what the request needs of the engine, if a switch of Overload asks for it.
	work cost.Work
	// priority is the order that the engine is told, if it is told one.
	priority admission.EnginePriority
}

// logger returns problemLog if an attempt of the request has failed, and Log otherwise.
func (x *exchange) logger() *zap.Logger {
	if len(x.tried) > 0 {
		return x.problemLog
	}
	return x.Log
}

// recordPlacement records the choice of an engine. It logs the choice at once for streams and retries. The first choice for any other
// request is logged later, with its end or its first failure, so that most requests take a single log line.
func (x *exchange) recordPlacement(c placing.Choice, now time.Time) {
	x.placement = placement{message: "placed", attempt: x.sends + 1, choice: c, at: now, unlogged: true}
	if x.overload.isOn() {
		x.placement.work = x.workAt(c)
	}
	if x.overload.Order {
		x.placement.priority = x.enginePriority(c, now)
	}
	switch {
	case x.stream != nil:
		x.placement.message = "resumed"
	case x.sends > 0:
		x.placement.message = "retried"
	}
	if x.sends > 0 {
		x.Metrics.Add(x.placement.message, 1)
	}
	if x.route.Kind == routing.Stream || len(x.tried) > 0 {
		x.logPlaced(x.logger())
	}
}

// logPlaced logs the choice of an engine and the figures behind it, unless it is already logged.
func (x *exchange) logPlaced(log *zap.Logger) {
	if !x.placement.unlogged {
		return
	}
	x.placement.unlogged = false
	if line := log.Check(zapcore.InfoLevel, x.placement.message); line != nil {
		line.Time = x.placement.at
		line.Write(zap.Inline(zapcore.ObjectMarshalerFunc(func(to zapcore.ObjectEncoder) error {
			to.AddString("request", string(x.id))
			to.AddInt("attempt", x.placement.attempt)
			to.AddString("service", string(x.service))
			x.addPlacement(to)
			return nil
		})))
	}
}

// addPlacement adds the chosen engine and the figures behind the choice.
func (x *exchange) addPlacement(to zapcore.ObjectEncoder) {
	c := x.placement.choice
	to.AddString("engine", string(c.Engine.ID))
	to.AddFloat64("load", c.EngineLoad)
	to.AddFloat64("mean", c.MeanLoad)
	to.AddInt("cached", c.CachedTokens)
	to.AddInt("fetched", c.FetchedTokens)
	to.AddInt("reading", c.PrefillTokens)
	to.AddFloat64("cost", c.Cost)
	if c.Subject != 0 {
		to.AddUint32("subject", uint32(c.Subject))
		to.AddInt("rank", c.Rank)
		to.AddInt("spreadWidth", c.SpreadWidth)
	}
	if !c.ReportedAt.IsZero() {
		to.AddInt("reportedLoad", c.ReportedLoad)
		to.AddDuration("reportAgeMs", x.placement.at.Sub(c.ReportedAt))
	}
	if x.overload.Order {
		to.AddUint8("priority", uint8(x.placement.priority))
	}
	if x.ruled != nil {
		to.AddFloat64("admittedWith", x.ruled.decision.Probability)
		to.AddDuration("engineTimeMs", x.ruled.engineTime)
	}
	if x.overload.isOn() {
		to.AddInt("memory", x.placement.work.Memory)
		to.AddDuration("expectedMs", x.placement.work.TimeAt(x.Costs.SpeedOf(x.needs.Route.Service, c.Engine.Key)))
	}
	if c.Cold {
		to.AddBool("cold", true)
	}
	to.AddInt64("configuration", versionOf(x.snapshot))
	to.AddDuration("configurationAgeMs", x.snapshot.ConfirmedAge)
}

// addEnd adds the fields that describe the end of a request.
func (x *exchange) addEnd(to zapcore.ObjectEncoder, status int, took time.Duration) {
	to.AddString("request", string(x.id))
	to.AddString("organisation", string(x.org))
	to.AddString("route", x.route.Name)
	to.AddInt("status", status)
	to.AddInt("sends", x.sends)
	to.AddInt("runs", x.runs)
	to.AddDuration("tookMs", took)
	to.AddString("reason", x.reason)
	to.AddString("verdict", x.verdict)
	if x.queuedBytes > 0 {
		to.AddInt64("queuedBytes", x.queuedBytes)
	}
	if x.isTurnedAway() {
		to.AddFloat64("admittedWith", x.ruled.decision.Probability)
		to.AddDuration("engineTimeMs", x.ruled.engineTime)
		to.AddDuration("backlogMs", x.ruled.decision.Backlog)
	}
	if n := x.leftOut; n.Registered > 0 {
		to.AddInt("enginesRegistered", n.Registered)
		to.AddInt("enginesEvacuated", n.Evacuated)
		to.AddInt("enginesTried", n.Tried)
		to.AddInt("enginesLeaving", n.Leaving)
		to.AddInt("enginesPaused", n.Paused)
		to.AddInt("enginesCold", n.Cold)
		to.AddInt("enginesLimited", n.Limited)
		to.AddInt("enginesInBackoff", n.Backoff)
		if len(x.usedUp) > 0 {
			to.AddInt("enginesUsedUp", len(x.usedUp))
		}
		if len(x.withoutMemory) > 0 {
			to.AddInt("enginesWithoutMemory", len(x.withoutMemory))
		}
	}
}

// logFailed logs and counts an attempt without a successful answer.
func (x *exchange) logFailed(c placing.Choice, r result) {
	x.Metrics.Add("attemptsFailed", 1)
	x.logPlaced(x.problemLog)
	x.Log.Warn("attempt failed", zap.String("request", string(x.id)), zap.String("engine", string(c.Engine.ID)), zap.Stringer("result", r), zap.String("reason", x.reason),
		zap.Stringer("fingerprint", x.subjects.Request), zap.Int("bodyBytes", len(x.body)), zap.String("parts", x.r.Header.Get(x.Names.PromptParts)), zap.Inline(zapcore.ObjectMarshalerFunc(x.addAdmission)))
}

// addAdmission adds the figures behind the decision to offer the request.
func (x *exchange) addAdmission(to zapcore.ObjectEncoder) error {
	if d := x.admission; d != nil {
		to.AddString("admission", d.Basis.String())
		to.AddFloat64("admittedWith", d.Probability)
		to.AddFloat64("arrivals", d.Arrivals)
		to.AddFloat64("answers", d.Answers)
		to.AddFloat64("running", d.Running)
		to.AddDuration("expectedMs", d.ExpectedTime)
	}
	return nil
}

// checkCrashed records a lost answer, and that its engine has crashed if the address refuses connections now. If nobody waits for the answer any more, the
// engine may still crash on the request: whoever finds that tells all instances.
func (x *exchange) checkCrashed(ctx context.Context, e engines.Engine) {
	x.recordLost(e, time.Now())
	if ctx.Err() == nil && upstream.ConnectionRefused(ctx, e.Address) {
		x.markUnreachable(e, true, time.Now())
	}
}

// recordLost records that the engine accepted the request and its answer was lost, unless it has been answering for longer than beginWindow, since an
// engine crashes as it begins the answer, or is expected to stop.
func (x *exchange) recordLost(e engines.Engine, now time.Time) {
	if !x.isStopping(e) && (x.answeringSince.IsZero() || now.Sub(x.answeringSince) <= beginWindow) {
		x.Crashes.RecordLost(e.Key, x.subjects, now)
	}
}

// isStopping reports whether an engine is expected to stop: it has said so, is draining or is no longer registered.
func (x *exchange) isStopping(e engines.Engine) bool {
	current, registered := x.Snapshot().Engines.Get(e.Key)
	return !registered || current.Draining || x.Table.IsLeaving(e.Key)
}

// recordAnswered records that an engine has answered the request without a crash. Only a success counts for the parts of its prompt.
func (x *exchange) recordAnswered(success bool) {
	x.Crashes.RecordAnswer(x.subjects, success, time.Now())
}

// markUnreachable puts an engine into back-off. If its process has ended, the requests whose answers it has just lost are suspected.
func (x *exchange) markUnreachable(e engines.Engine, processEnded bool, now time.Time) {
	if processEnded && !x.isStopping(e) {
		if n := x.Crashes.RecordEnd(suspects.EngineEnd{Engine: e.Key, At: now}, now); n > 0 {
			x.Log.Warn("requests suspected", zap.String("engine", string(e.ID)), zap.Int("requests", n))
		}
	}
	x.Table.RecordUnreached(e.Key, processEnded, now)
	if backoff := x.Table.RecordFailure(e, true, now); backoff > 0 {
		x.Metrics.Add("enginesHeld", 1)
		x.Log.Warn("engine held", zap.String("request", string(x.id)), zap.String("engine", string(e.ID)), zap.String("address", e.Address), zap.Duration("holdMs", backoff), zap.String("reason", x.reason), zap.String("verdict", x.verdict))
	}
}

// logEnd logs and counts the end of a request. If the first engine answered, the same line holds the placement.
func (x *exchange) logEnd(outcome string, status int) {
	took := time.Since(x.arrived)
	x.Metrics.Add(outcome, 1)
	x.Metrics.Observe(x.org, ident.Class(x.route.Name), took)
	level := zapcore.InfoLevel
	if outcome == outcomeCut || status >= http.StatusInternalServerError {
		level = zapcore.WarnLevel
	}
	combined := x.placement.unlogged && level == zapcore.InfoLevel && outcome == outcomeAnswered
	if !combined {
		x.logPlaced(x.problemLog)
	}
	if line := x.logger().Check(level, outcome); line != nil {
		line.Write(zap.Inline(zapcore.ObjectMarshalerFunc(func(to zapcore.ObjectEncoder) error {
			x.addEnd(to, status, took)
			if combined {
				x.addPlacement(to)
			}
			return nil
		})))
	}
}
