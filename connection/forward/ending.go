package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// healthQuestions and healthPause bound how often an engine is asked whether it still runs. The connections of a process that is killed end one after
	// the other, and its address may accept others meanwhile.
	healthQuestions = 5
	healthPause     = 20 * time.Millisecond
	// maxSilences is the number of questions without an answer after which the engine counts as running.
	maxSilences = 2
)

// mayBeCut reports whether an answer that ended with its connection may lack its end because the engine has ended. One that is expected to stop may have
// stopped after the answer, but may as well have been killed. The end of an evacuated one says nothing of a later engine there, so no back-off begins.
func (x *exchange) mayBeCut(ctx context.Context, resp *upstream.Response, e engines.Engine) bool {
	if resp.Framed {
		return false
	}
	x.recordLost(e, time.Now())
	if !x.hasEnded(ctx, e) {
		return false
	}
	if !x.isEvacuated(e) {
		x.markUnreachable(e, true, time.Now())
	}
	return true
}

// hasEnded reports whether an engine's process has ended. An answer of the engine shows that it still runs; a connection that is accepted does not, but
// an evacuated engine gets no requests, not even for its health.
func (x *exchange) hasEnded(ctx context.Context, e engines.Engine) bool {
	path := x.snapshot.Configuration.HealthPath(e.Service)
	if path == "" || x.isEvacuated(e) {
		return ctx.Err() == nil && upstream.ConnectionRefused(ctx, e.Address)
	}
	silences := 0
	for range healthQuestions {
		switch upstream.AskHealth(ctx, e.Address, path, func(h http.Header) bool { return x.recordHealth(h, e) }) {
		case upstream.Alive:
			return x.hasStartedAgain(e)
		case upstream.Ended:
			return true
		case upstream.Silent:
			silences++
		}
		if silences == maxSilences || !pause.For(ctx, healthPause) {
			return false
		}
	}
	return false
}

// hasStartedAgain reports whether a later incarnation of an engine is registered. It answers under the same id.
func (x *exchange) hasStartedAgain(e engines.Engine) bool {
	return slices.ContainsFunc(x.Snapshot().Engines.OfService(e.Service), func(other engines.Engine) bool {
		return other.ID == e.ID && other.StartedAtMs > e.StartedAtMs
	})
}

// recordHealth reports whether an answer at the health path is that of an engine, and records for how long the engine says that it stays cold.
func (x *exchange) recordHealth(h http.Header, e engines.Engine) bool {
	if !x.isFrom(h, e) {
		return false
	}
	x.Table.RecordCold(e.Key, x.Names.coldFor(h), time.Now())
	return true
}

// isFrom reports whether an answer at the health path is that of an engine, as far as it names one.
func (x *exchange) isFrom(h http.Header, e engines.Engine) bool {
	id := h.Get(x.Names.EngineID)
	return id == "" || id == string(e.ID)
}
