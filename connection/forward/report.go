package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Outcomes of requests, as logs and counters name them.
const (
	outcomeAnswered  = "answered"
	outcomeRefused   = "refused"
	outcomeCut       = "cut"
	outcomeCancelled = "cancelled"
)

// resultNames name results in logs.
var resultNames = [...]string{answered: "answered", notRun: "notRun", lost: "lost", failed: "failed"}

// String returns the name that logs use.
func (r result) String() string { return resultNames[r] }

// logPlaced logs the choice of an engine with what decided it.
func (x *exchange) logPlaced(c placing.Choice) {
	what := "placed"
	switch {
	case x.stream != nil:
		what = "resumed"
	case x.sends > 0:
		what = "retried"
	}
	if x.sends > 0 {
		x.Metrics.Add(what, 1)
	}
	if line := x.Log.Check(zapcore.InfoLevel, what); line != nil {
		line.Write(zap.String("request", string(x.id)), zap.Int("attempt", x.sends+1), zap.String("service", string(x.service)), zap.String("engine", string(c.Engine.ID)),
			zap.Int("load", c.Load), zap.Float64("mean", c.Mean), zap.Int("cached", c.Cached), zap.Int("fetched", c.Fetched), zap.Int("reading", c.Reading),
			zap.Float64("cost", c.Cost), zap.Int64("configuration", versionOf(x.world)), zap.Duration("configurationAgeMs", x.world.ProofAge))
	}
}

// logFailed logs an attempt that brought no answer.
func (x *exchange) logFailed(c placing.Choice, r result) {
	x.Metrics.Add("attemptsFailed", 1)
	x.Log.Warn("attempt failed", zap.String("request", string(x.id)), zap.String("engine", string(c.Engine.ID)), zap.Stringer("result", r), zap.String("reason", x.reason))
}

// brokenOff looks whether an engine that broke off an answer is gone: the request may have crashed it.
func (x *exchange) brokenOff(ctx context.Context, e engines.Engine) {
	if ctx.Err() != nil || x.fingerprint == 0 {
		return
	}
	x.crashes.answerLost(e.ID, x.fingerprint, time.Now())
	if upstream.Refused(ctx, e.Address) {
		x.unreachable(e, time.Now())
	}
}

// unreachable leaves an engine alone for a while.
func (x *exchange) unreachable(e engines.Engine, now time.Time) {
	if hold := x.Table.Failed(e, true, now); hold > 0 {
		x.Metrics.Add("enginesHeld", 1)
		if n := x.crashes.unreachable(e.ID, now); n > 0 {
			x.Log.Warn("requests suspected", zap.String("engine", string(e.ID)), zap.Int("requests", n))
		}
		x.Log.Warn("engine held", zap.String("request", string(x.id)), zap.String("engine", string(e.ID)), zap.String("address", e.Address), zap.Duration("holdMs", hold), zap.String("reason", x.reason), zap.String("verdict", x.verdict))
	}
}

// log logs and counts the end of a request.
func (x *exchange) log(outcome string, status int) {
	took := time.Since(x.arrived)
	x.Metrics.Add(outcome, 1)
	x.Metrics.Observe(x.org, ident.Class(x.route.Name), took)
	level := zapcore.InfoLevel
	if outcome == outcomeCut || status >= http.StatusInternalServerError {
		level = zapcore.WarnLevel
	}
	if line := x.Log.Check(level, outcome); line != nil {
		line.Write(zap.String("request", string(x.id)), zap.String("organisation", string(x.org)), zap.String("route", x.route.Name), zap.Int("status", status),
			zap.Int("sends", x.sends), zap.Int("runs", x.runs), zap.Duration("tookMs", took), zap.String("reason", x.reason), zap.String("verdict", x.verdict))
	}
}
