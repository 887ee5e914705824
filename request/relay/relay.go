package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/peer"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/run"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/wire"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/pause"
)

const (
	// MaxCandidates is the number of engines of a model that one request may try.
	MaxCandidates = 8

	maxFailures = 3
	// homeRetryPause is the wait before an engine is tried again through its next home, and candidatesPause the wait before another round
	// over the candidates.
	homeRetryPause  = 20 * time.Millisecond
	candidatesPause = 200 * time.Millisecond
	resumeTimeout   = 30 * time.Second
)

type (
	// Open requests an answer from a home router. It returns a *peer.UnreachableError if nothing was sent.
	Open func(ctx context.Context, home ident.Router, submit wire.Submit) (Source, error)

	// Sink receives the events of an answer in order. It returns an error if the caller has disconnected.
	Sink func(e ident.Event, data []byte) error

	// Relay holds the settings and dependencies that all chats of a router share.
	Relay struct {
		Policy     settings.Routing
		View       func() *fleet.View
		Open       Open
		OnHomeLost func(ident.Router)
		OnOverflow func(home ident.Router, note wire.OverflowNotice)
		FaultPoint func(step string, id ident.Request)
		// OnLoads is called with the loads that answers and refusals carry.
		OnLoads  func([]wire.RouterLoad)
		Suspects *suspects.Table
		Hedges   *Hedges
		Retries  *Budget
	}

	// chat is the state of one request in progress.
	chat struct {
		*Relay
		submit wire.Submit
		sink   Sink
		key    string
		// fingerprint identifies the body, to recognise requests that crash engines.
		fingerprint     uint64
		delivered       int
		receivedText    string
		deliveredEvents [][]byte
		candidates      []ident.Engine
		nextCandidate   int
		overflowEngine  ident.Engine
		failures        int
		mayHaveRun      bool
		// waitingSince is when the request began to wait for an engine: on arrival, with the last event delivered or as it left a silent engine.
		waitingSince time.Time
		// silentSince is when the current engine was first found to be silent, or zero after an event.
		silentSince time.Time
		deadline    time.Time
	}

	// step is the next action after an attempt.
	step int
)

const (
	stepFinish step = iota
	stepRetrySame
	stepNextCandidate
)

// Run sends a request to engines until one has answered it or none can. The returned End holds the last refusal, if any. Run returns an
// error if the caller has disconnected.
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
			end, again := c.candidatesExhausted(ctx)
			if !again {
				return end, ctx.Err()
			}
			continue
		}
		end, next, err := c.attempt(ctx, engine)
		if err != nil || next == stepFinish {
			return c.correctOutcome(end), err
		}
		if next == stepNextCandidate {
			c.nextCandidate++
		}
	}
}

// RoutingKey returns the key that selects the engine of a request: its chat, or its body if it belongs to no chat.
func RoutingKey(s wire.Submit) string {
	if s.Chat != "" {
		return string(s.Model) + "\x00" + string(s.Organisation) + "\x00" + string(s.Chat)
	}
	return string(s.Model) + "\x00" + strconv.FormatUint(suspects.Fingerprint(s.Organisation, s.Body), 16)
}

// rankCandidates ranks the engines to try. Copies of a request that crashed an engine share a key of their own, so they go to the same
// engine.
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

// pickEngine returns the engine to try next: the one that the chat overflowed to, the one of an answer in progress or the next candidate.
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

// candidatesExhausted starts another round over the candidates and returns true, or returns the final refusal and false. From the second
// round on engines must queue the request.
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

// attempt requests the answer from the home of one engine and delivers its events.
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
	for end == nil {
		if errors.Is(err, run.ErrSilent) {
			if c.mayLeaveSilent(engine, time.Now()) {
				source.Close(true)
				return c.leaveSilent(engine)
			}
			events, end, err = source.Next(ctx)
			continue
		}
		if err != nil {
			break
		}
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
		c.OnLoads(end.Refusal.Loads)
		return c.handleRefusal(ctx, engine, end.Refusal)
	}
	c.reportOverflow(engine)
	return *end, stepFinish, nil
}

// deliver sends events to the caller and keeps them in case another engine has to continue the answer.
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

// resetDeadline sets the deadline for an engine to accept the request. An answer in progress may wait for at least resumeTimeout.
func (c *chat) resetDeadline(now time.Time) {
	limit := c.Policy.Class(c.submit.Class).MaxWait.Std()
	if c.delivered > 0 {
		limit = max(limit, resumeTimeout)
	}
	c.waitingSince, c.silentSince = now, time.Time{}
	c.deadline = now.Add(limit)
}

// handleHomeLost handles the loss of a home. The same engine is tried again through its next home.
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

// handleRefusal returns the next step after a refusal by a home.
func (c *chat) handleRefusal(ctx context.Context, engine ident.Engine, refusal *wire.Refusal) (wire.End, step, error) {
	end := wire.End{Refusal: refusal}
	if len(refusal.Loads) > 0 {
		c.submit.Loads = refusal.Loads
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

// handleOverBound tries the engine that the chat overflowed to, then the other candidates.
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

// skip moves on from an engine that accepts no requests. An answer in progress continues at another engine.
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

// handleEngineFailure tries another engine. Retries of a request without any event so far count against the retry budget.
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

// recordCrashes records the crashes that the home reported, so that this router knows them if the same body is sent again.
func (c *chat) recordCrashes(engines []ident.Engine) {
	for _, e := range engines {
		c.Suspects.RecordCrash(c.fingerprint, e, time.Now())
	}
}

// reroute ranks the candidates again without the crashed engines.
func (c *chat) reroute(crashed []ident.Engine) {
	c.submit.Crashed = crashed
	c.submit.Engine = ""
	c.overflowEngine = ""
	c.rankCandidates()
}

// reportOverflow reports to the home of the first candidate which other engine holds the prefix of the chat now.
func (c *chat) reportOverflow(engine ident.Engine) {
	if c.submit.Chat == "" || len(c.candidates) == 0 || c.candidates[0] == engine || len(c.submit.Crashed) > 0 {
		return
	}
	first := c.candidates[0]
	c.OnOverflow(c.View().HomeOf(first), wire.OverflowNotice{From: first, To: engine, Chat: c.submit.Chat})
}

// correctOutcome changes the outcome of a refusal from not run to failed if any engine may have received the request.
func (c *chat) correctOutcome(end wire.End) wire.End {
	if end.Refusal == nil || !c.mayHaveRun || end.Refusal.Outcome != wire.OutcomeNotRun {
		return end
	}
	corrected := *end.Refusal
	corrected.Outcome = wire.OutcomeFailed
	end.Refusal = &corrected
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
