package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/peer"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/wire"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/pause"
)

const (
	// MaxCandidates is how many engines of a model one request may try.
	MaxCandidates = 8

	maxFailures     = 3
	homeRetryPause  = 20 * time.Millisecond
	candidatesPause = 200 * time.Millisecond
	resumeTimeout   = 30 * time.Second
)

type (
	// Open asks a home router for an answer; its error is *peer.UnreachableError where nothing was sent.
	Open func(ctx context.Context, home ident.Router, submit wire.Submit) (Source, error)

	// Sink takes the events of an answer in order; an error says that the caller has left.
	Sink func(e ident.Event, data []byte) error

	// Relay is what all chats of a router share.
	Relay struct {
		Policy     settings.Routing
		View       func() *fleet.View
		Open       Open
		OnHomeLost func(ident.Router)
		OnOverflow func(home ident.Router, note wire.OverflowNotice)
		FaultPoint func(step string, id ident.Request)
		// OnLoads takes the loads that come with answers and refusals.
		OnLoads  func([]wire.RouterLoad)
		Suspects *suspects.Table
		Hedges   *Hedges
		Retries  *Budget
	}

	// chat is one request on its way.
	chat struct {
		*Relay
		submit wire.Submit
		sink   Sink
		key    string
		// fingerprint identifies the body, for telling which requests crash engines.
		fingerprint     uint64
		delivered       int
		receivedText    string
		deliveredEvents [][]byte
		candidates      []ident.Engine
		nextCandidate   int
		overflowEngine  ident.Engine
		failures        int
		mayHaveRun      bool
		// waitingSince is since when the request has waited for an engine: from its arrival, or from the loss of the last one.
		waitingSince time.Time
		deadline     time.Time
	}

	// step says what to do after an attempt.
	step int
)

const (
	stepFinish step = iota
	stepRetrySame
	stepNextCandidate
)

// Run carries a request to its end; the answer's last refusal is in the End, and a caller that left is an error.
func (r *Relay) Run(ctx context.Context, submit wire.Submit, sink Sink, now time.Time) (wire.End, error) {
	c := &chat{Relay: r, submit: submit, sink: sink, delivered: submit.FirstOffset, receivedText: submit.ReceivedText}
	c.resetDeadline(now)
	c.key = RoutingKey(submit)
	c.fingerprint = suspects.Fingerprint(submit.Organisation, submit.Body)
	c.submit.Crashed = r.Suspects.CrashedEngines(c.fingerprint)
	if len(c.submit.Crashed) >= suspects.MaxEngines {
		return suspectEnd(), nil
	}
	c.rankCandidates()
	r.Retries.CountRequest()
	for {
		engine, ok := c.pickEngine()
		if !ok {
			end, wait := c.candidatesExhausted(ctx)
			if !wait {
				return end, ctx.Err()
			}
			continue
		}
		end, do, err := c.attempt(ctx, engine)
		if err != nil || do == stepFinish {
			return c.correctOutcome(end), err
		}
		if do == stepNextCandidate {
			c.nextCandidate++
		}
	}
}

// RoutingKey returns what decides the engine of a request: its chat, or its body where it belongs to none.
func RoutingKey(s wire.Submit) string {
	if s.Chat != "" {
		return string(s.Model) + "\x00" + string(s.Organisation) + "\x00" + string(s.Chat)
	}
	return string(s.Model) + "\x00" + strconv.FormatUint(suspects.Fingerprint(s.Organisation, s.Body), 16)
}

// rankCandidates lists the engines to try; a request that crashed an engine goes to one of its own.
func (c *chat) rankCandidates() {
	key := c.key
	if len(c.submit.Crashed) > 0 {
		key = "suspect\x00" + strconv.FormatUint(c.fingerprint, 16)
	}
	c.candidates = c.candidates[:0]
	for _, e := range c.View().Candidates(c.submit.Model, key, MaxCandidates) {
		id := ident.Engine(e.ID)
		if !slices.Contains(c.submit.Crashed, id) {
			c.candidates = append(c.candidates, id)
		}
	}
	c.nextCandidate = 0
}

// pickEngine returns the engine to try next: one that the chat spilled to, or the next in order.
func (c *chat) pickEngine() (ident.Engine, bool) {
	if c.overflowEngine != "" {
		return c.overflowEngine, true
	}
	if c.submit.Engine != "" && c.delivered > 0 {
		return c.submit.Engine, true
	}
	if c.nextCandidate < len(c.candidates) {
		return c.candidates[c.nextCandidate], true
	}
	return "", false
}

// candidatesExhausted decides what follows when no engine took the request.
func (c *chat) candidatesExhausted(ctx context.Context) (wire.End, bool) {
	now := time.Now()
	if len(c.candidates) == 0 && len(c.View().EnginesOfModel(c.submit.Model)) == 0 {
		return refusedEnd(http.StatusNotFound, wire.CodeUnknownModel, "no engine holds the model"), false
	}
	if !now.Before(c.deadline) {
		return c.correctOutcome(refusedEnd(http.StatusServiceUnavailable, wire.CodeNoEngine, "no engine took the request in time")), false
	}
	if !c.submit.MustQueue {
		c.submit.MustQueue = true
	} else {
		pause.For(ctx, candidatesPause)
	}
	c.rankCandidates()
	if len(c.candidates) == 0 {
		pause.For(ctx, candidatesPause)
	}
	return wire.End{}, ctx.Err() == nil
}

// attempt asks one engine's home and passes on what comes.
func (c *chat) attempt(ctx context.Context, engine ident.Engine) (wire.End, step, error) {
	home := c.View().HomeOf(engine)
	c.submit.Engine = engine
	c.submit.FirstOffset = c.delivered
	c.submit.Waited = time.Since(c.waitingSince)
	if c.delivered > 0 {
		c.submit.Waited = 0
	}
	if len(c.deliveredEvents) > 0 {
		c.submit.ReceivedText = c.receivedText + joinText(c.deliveredEvents)
	}
	c.FaultPoint("picked", c.submit.Request)
	source, err := c.Open(ctx, home, c.submit)
	if err != nil {
		return c.handleHomeLost(ctx, home, err)
	}
	source, events, end, err := c.firstEvents(ctx, source, engine)
	if c.submit.Engine != engine {
		engine = c.submit.Engine
		home = c.View().HomeOf(engine)
	}
	for err == nil && end == nil {
		if err := c.deliver(engine, home, events); err != nil {
			source.Close(false)
			return wire.End{}, stepFinish, err
		}
		source.Acknowledge(c.delivered)
		if !c.submit.Stream {
			end = &wire.End{Status: http.StatusOK, Total: c.delivered}
			break
		}
		events, end, err = source.Next(ctx)
	}
	if ctx.Err() != nil {
		source.Close(false)
		return wire.End{}, stepFinish, ctx.Err()
	}
	source.Close(false)
	if err != nil {
		return c.handleHomeLost(ctx, home, err)
	}
	c.OnLoads(end.Loads)
	if end.Refusal != nil {
		c.OnLoads(end.Refusal.Load)
		return c.handleRefusal(ctx, engine, end.Refusal)
	}
	c.reportOverflow(engine)
	return *end, stepFinish, nil
}

// deliver hands events to the caller, and keeps them in case another engine must continue the answer.
func (c *chat) deliver(engine ident.Engine, home ident.Router, events [][]byte) error {
	for _, data := range events {
		e := ident.Event{Home: home, Engine: engine, Request: c.submit.Request, Offset: c.delivered}
		if err := c.sink(e, data); err != nil {
			return err
		}
		c.deliveredEvents = append(c.deliveredEvents, data)
		c.delivered++
	}
	c.resetDeadline(time.Now())
	return nil
}

// resetDeadline starts the time within which an engine must take the request; an answer in progress may wait for longer.
func (c *chat) resetDeadline(now time.Time) {
	limit := c.Policy.Class(c.submit.Class).MaxWait.Std()
	if c.delivered > 0 {
		limit = max(limit, resumeTimeout)
	}
	c.waitingSince = now
	c.deadline = now.Add(limit)
}

// handleHomeLost follows the loss of a home: the same engine is asked through the router that is its home next.
func (c *chat) handleHomeLost(ctx context.Context, home ident.Router, err error) (wire.End, step, error) {
	var unreachable *peer.UnreachableError
	if !errors.As(err, &unreachable) {
		c.mayHaveRun = true
	}
	c.OnHomeLost(home)
	if time.Now().After(c.deadline) {
		return c.correctOutcome(refusedEnd(http.StatusServiceUnavailable, wire.CodePeerUnreachable, "the engine's home cannot be reached")), stepFinish, nil
	}
	pause.For(ctx, homeRetryPause)
	return wire.End{}, stepRetrySame, ctx.Err()
}

// handleRefusal follows the word of a home that has no answer.
func (c *chat) handleRefusal(ctx context.Context, engine ident.Engine, refusal *wire.Refusal) (wire.End, step, error) {
	end := wire.End{Refusal: refusal}
	if len(refusal.Load) > 0 {
		c.submit.Loads = refusal.Load
	}
	switch refusal.Code {
	case wire.CodeNotHome:
		c.mayHaveRun = c.mayHaveRun || refusal.Outcome == wire.OutcomeFailed
		if time.Now().After(c.deadline) {
			return end, stepFinish, nil
		}
		pause.For(ctx, homeRetryPause)
		return end, stepRetrySame, nil
	case wire.CodeOverBound:
		return end, c.handleOverBound(refusal), nil
	case wire.CodeLeaving, wire.CodeNoEngine:
		return end, c.skip(engine), nil
	case wire.CodeOverloaded:
		if c.delivered == 0 {
			return end, stepFinish, nil
		}
		return end, c.skip(engine), nil
	case wire.CodeSuspect:
		return c.handleSuspect(refusal, end)
	case wire.CodeEngine:
		return c.handleEngineFailure(engine, refusal, end)
	default:
		return end, stepFinish, nil
	}
}

// handleOverBound tries the engine that the chat spilled to, then the others.
func (c *chat) handleOverBound(refusal *wire.Refusal) step {
	if c.overflowEngine != "" {
		c.overflowEngine = ""
		return stepRetrySame
	}
	c.submit.OverflowTried = true
	if refusal.OverflowEngine != "" && refusal.OverflowEngine != c.submit.Engine {
		if _, known := c.View().Engine(refusal.OverflowEngine); known {
			c.overflowEngine = refusal.OverflowEngine
		}
		return stepRetrySame
	}
	return stepNextCandidate
}

// skip leaves an engine that takes nothing; an answer in progress goes on at another.
func (c *chat) skip(engine ident.Engine) step {
	if c.overflowEngine != "" {
		c.overflowEngine = ""
		return stepRetrySame
	}
	c.submit.Engine = ""
	if c.nextCandidate < len(c.candidates) && c.candidates[c.nextCandidate] == engine {
		return stepNextCandidate
	}
	return stepRetrySame
}

func (c *chat) handleSuspect(refusal *wire.Refusal, end wire.End) (wire.End, step, error) {
	c.recordCrashes(refusal.Crashed)
	if len(refusal.Crashed) >= suspects.MaxEngines {
		return end, stepFinish, nil
	}
	c.reroute(refusal.Crashed)
	return end, stepRetrySame, nil
}

// handleEngineFailure tries another engine; a request without an answer yet does so within the retry budget.
func (c *chat) handleEngineFailure(engine ident.Engine, refusal *wire.Refusal, end wire.End) (wire.End, step, error) {
	c.mayHaveRun = true
	c.failures++
	c.recordCrashes(refusal.Crashed)
	if c.failures > maxFailures || (c.delivered == 0 && !c.Retries.Take()) {
		return end, stepFinish, nil
	}
	if len(refusal.Crashed) > 0 {
		if len(refusal.Crashed) >= suspects.MaxEngines {
			return end, stepFinish, nil
		}
		c.reroute(refusal.Crashed)
		return end, stepRetrySame, nil
	}
	return end, c.skip(engine), nil
}

// recordCrashes lets this router know what the home knows, so that a body sent here again meets it at once.
func (c *chat) recordCrashes(engines []ident.Engine) {
	for _, e := range engines {
		c.Suspects.RecordCrash(c.fingerprint, e, time.Now())
	}
}

func (c *chat) reroute(crashed []ident.Engine) {
	c.submit.Crashed = crashed
	c.submit.Engine = ""
	c.overflowEngine = ""
	c.rankCandidates()
}

// reportOverflow tells the first engine's home where the chat's prefix is now.
func (c *chat) reportOverflow(engine ident.Engine) {
	if c.submit.Chat == "" || len(c.candidates) == 0 || c.candidates[0] == engine || len(c.submit.Crashed) > 0 {
		return
	}
	first := c.candidates[0]
	c.OnOverflow(c.View().HomeOf(first), wire.OverflowNotice{From: first, To: engine, Chat: c.submit.Chat})
}

// correctOutcome withdraws a "not run" once any engine may have been handed the request.
func (c *chat) correctOutcome(end wire.End) wire.End {
	if end.Refusal == nil || !c.mayHaveRun || end.Refusal.Outcome != wire.OutcomeNotRun {
		return end
	}
	told := *end.Refusal
	told.Outcome = wire.OutcomeFailed
	end.Refusal = &told
	return end
}

func refusedEnd(status int, code wire.Code, message string) wire.End {
	return wire.End{Refusal: wire.Refuse(status, code, "%s", message)}
}

func suspectEnd() wire.End {
	end := refusedEnd(http.StatusUnprocessableEntity, wire.CodeSuspect, "the request crashed engines before")
	end.Refusal.Outcome = wire.OutcomeFailed
	return end
}
