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

	maxFailures = 3
	shortPause  = 20 * time.Millisecond
	longPause   = 200 * time.Millisecond
	resumeWait  = 30 * time.Second
)

type (
	// Open asks a home router for an answer; its error is *peer.UnreachableError where nothing was sent.
	Open func(ctx context.Context, home ident.Router, submit wire.Submit) (Source, error)

	// Sink takes the events of an answer in order; an error says that the caller has left.
	Sink func(e ident.Event, data []byte) error

	// Relay is what all chats of a router share.
	Relay struct {
		Policy  settings.Routing
		View    func() *fleet.View
		Open    Open
		Lost    func(ident.Router)
		Spilled func(home ident.Router, note wire.SpillNote)
		Point   func(step string, id ident.Request)
		// NoteLoads takes the loads that come with answers and refusals.
		NoteLoads func([]wire.RouterSum)
		Suspects  *suspects.Table
		Hedges    *Hedges
		Retries   *Budget
	}

	// chat is one request on its way.
	chat struct {
		*Relay
		submit wire.Submit
		sink   Sink
		key    string
		// fingerprint identifies the body, for telling which requests crash engines.
		fingerprint uint64
		passed      int
		received    string
		kept        [][]byte
		order       []ident.Engine
		next        int
		spill       ident.Engine
		failures    int
		handed      bool
		// waiting is since when the request has waited for an engine: from its arrival, or from the loss of the last one.
		waiting  time.Time
		deadline time.Time
	}

	// step says what to do after an attempt.
	step int
)

const (
	stepEnd step = iota
	stepSame
	stepNext
)

// Run carries a request to its end; the answer's last refusal is in the End, and a caller that left is an error.
func (r *Relay) Run(ctx context.Context, submit wire.Submit, sink Sink, now time.Time) (wire.End, error) {
	c := &chat{Relay: r, submit: submit, sink: sink, passed: submit.From, received: submit.Received}
	c.waitFrom(now)
	c.key = PickKey(submit)
	c.fingerprint = suspects.Fingerprint(submit.Organisation, submit.Body)
	c.submit.Crashed = r.Suspects.Engines(c.fingerprint)
	if len(c.submit.Crashed) >= suspects.MaxEngines {
		return crashedTooMany(), nil
	}
	c.rank()
	r.Retries.Request()
	for {
		engine, ok := c.pick()
		if !ok {
			end, wait := c.exhausted(ctx)
			if !wait {
				return end, ctx.Err()
			}
			continue
		}
		end, do, err := c.attempt(ctx, engine)
		if err != nil || do == stepEnd {
			return c.truthful(end), err
		}
		if do == stepNext {
			c.next++
		}
	}
}

// PickKey returns what decides the engine of a request: its chat, or its body where it belongs to none.
func PickKey(s wire.Submit) string {
	if s.Chat != "" {
		return string(s.Model) + "\x00" + string(s.Organisation) + "\x00" + string(s.Chat)
	}
	return string(s.Model) + "\x00" + strconv.FormatUint(suspects.Fingerprint(s.Organisation, s.Body), 16)
}

// rank lists the engines to try; a request that crashed an engine goes to one of its own.
func (c *chat) rank() {
	key := c.key
	if len(c.submit.Crashed) > 0 {
		key = "suspect\x00" + strconv.FormatUint(c.fingerprint, 16)
	}
	c.order = c.order[:0]
	for _, e := range c.View().Candidates(c.submit.Model, key, MaxCandidates) {
		id := ident.Engine(e.ID)
		if !slices.Contains(c.submit.Crashed, id) {
			c.order = append(c.order, id)
		}
	}
	c.next = 0
}

// pick returns the engine to try next: one that the chat spilled to, or the next in order.
func (c *chat) pick() (ident.Engine, bool) {
	if c.spill != "" {
		return c.spill, true
	}
	if c.submit.Engine != "" && c.passed > 0 {
		return c.submit.Engine, true
	}
	if c.next < len(c.order) {
		return c.order[c.next], true
	}
	return "", false
}

// exhausted decides what follows when no engine took the request.
func (c *chat) exhausted(ctx context.Context) (wire.End, bool) {
	now := time.Now()
	if len(c.order) == 0 && len(c.View().OfModel(c.submit.Model)) == 0 {
		return refused(http.StatusNotFound, wire.CodeUnknownModel, "no engine holds the model"), false
	}
	if !now.Before(c.deadline) {
		return c.truthful(refused(http.StatusServiceUnavailable, wire.CodeNoEngine, "no engine took the request in time")), false
	}
	if !c.submit.LastChoice {
		c.submit.LastChoice = true
	} else {
		pause.For(ctx, longPause)
	}
	c.rank()
	if len(c.order) == 0 {
		pause.For(ctx, longPause)
	}
	return wire.End{}, ctx.Err() == nil
}

// attempt asks one engine's home and passes on what comes.
func (c *chat) attempt(ctx context.Context, engine ident.Engine) (wire.End, step, error) {
	home := c.View().HomeOf(engine)
	c.submit.Engine = engine
	c.submit.From = c.passed
	c.submit.Waited = time.Since(c.waiting)
	if c.passed > 0 {
		c.submit.Waited = 0
	}
	if len(c.kept) > 0 {
		c.submit.Received = c.received + textOf(c.kept)
	}
	c.Point("picked", c.submit.Request)
	source, err := c.Open(ctx, home, c.submit)
	if err != nil {
		return c.lost(ctx, home, err)
	}
	source, events, end, err := c.firstEvents(ctx, source, engine)
	if c.submit.Engine != engine {
		engine = c.submit.Engine
		home = c.View().HomeOf(engine)
	}
	for err == nil && end == nil {
		if err := c.pass(engine, home, events); err != nil {
			source.Close(false)
			return wire.End{}, stepEnd, err
		}
		source.Passed(c.passed)
		if !c.submit.Stream {
			end = &wire.End{Status: http.StatusOK, Total: c.passed}
			break
		}
		events, end, err = source.Next(ctx)
	}
	if ctx.Err() != nil {
		source.Close(false)
		return wire.End{}, stepEnd, ctx.Err()
	}
	source.Close(false)
	if err != nil {
		return c.lost(ctx, home, err)
	}
	c.NoteLoads(end.Loads)
	if end.Refusal != nil {
		c.NoteLoads(end.Refusal.Load)
		return c.refused(ctx, engine, end.Refusal)
	}
	c.noteSpill(engine)
	return *end, stepEnd, nil
}

// pass hands events to the caller, and keeps them in case another engine must continue the answer.
func (c *chat) pass(engine ident.Engine, home ident.Router, events [][]byte) error {
	for _, data := range events {
		e := ident.Event{Home: home, Engine: engine, Request: c.submit.Request, Offset: c.passed}
		if err := c.sink(e, data); err != nil {
			return err
		}
		c.kept = append(c.kept, data)
		c.passed++
	}
	c.waitFrom(time.Now())
	return nil
}

// waitFrom starts the time within which an engine must take the request; an answer in progress may wait for longer.
func (c *chat) waitFrom(now time.Time) {
	limit := c.Policy.Class(c.submit.Class).MaxWait.Std()
	if c.passed > 0 {
		limit = max(limit, resumeWait)
	}
	c.waiting = now
	c.deadline = now.Add(limit)
}

// lost follows the loss of a home: the same engine is asked through the router that is its home next.
func (c *chat) lost(ctx context.Context, home ident.Router, err error) (wire.End, step, error) {
	var unreachable *peer.UnreachableError
	if !errors.As(err, &unreachable) {
		c.handed = true
	}
	c.Lost(home)
	if time.Now().After(c.deadline) {
		return c.truthful(refused(http.StatusServiceUnavailable, wire.CodePeerUnreachable, "the engine's home cannot be reached")), stepEnd, nil
	}
	pause.For(ctx, shortPause)
	return wire.End{}, stepSame, ctx.Err()
}

// refused follows the word of a home that has no answer.
func (c *chat) refused(ctx context.Context, engine ident.Engine, refusal *wire.Refusal) (wire.End, step, error) {
	end := wire.End{Refusal: refusal}
	if len(refusal.Load) > 0 {
		c.submit.Loads = refusal.Load
	}
	switch refusal.Code {
	case wire.CodeNotHome:
		c.handed = c.handed || refusal.Outcome == wire.Failed
		if time.Now().After(c.deadline) {
			return end, stepEnd, nil
		}
		pause.For(ctx, shortPause)
		return end, stepSame, nil
	case wire.CodeOverBound:
		return end, c.overBound(refusal), nil
	case wire.CodeLeaving, wire.CodeNoEngine:
		return end, c.skip(engine), nil
	case wire.CodeOverloaded:
		if c.passed == 0 {
			return end, stepEnd, nil
		}
		return end, c.skip(engine), nil
	case wire.CodeSuspect:
		return c.suspect(refusal, end)
	case wire.CodeEngine:
		return c.engineFailed(engine, refusal, end)
	default:
		return end, stepEnd, nil
	}
}

// overBound tries the engine that the chat spilled to, then the others.
func (c *chat) overBound(refusal *wire.Refusal) step {
	if c.spill != "" {
		c.spill = ""
		return stepSame
	}
	c.submit.SpillTried = true
	if refusal.Spilled != "" && refusal.Spilled != c.submit.Engine {
		if _, known := c.View().Engine(refusal.Spilled); known {
			c.spill = refusal.Spilled
		}
		return stepSame
	}
	return stepNext
}

// skip leaves an engine that takes nothing; an answer in progress goes on at another.
func (c *chat) skip(engine ident.Engine) step {
	if c.spill != "" {
		c.spill = ""
		return stepSame
	}
	c.submit.Engine = ""
	if c.next < len(c.order) && c.order[c.next] == engine {
		return stepNext
	}
	return stepSame
}

func (c *chat) suspect(refusal *wire.Refusal, end wire.End) (wire.End, step, error) {
	c.noteCrashes(refusal.Crashed)
	if len(refusal.Crashed) >= suspects.MaxEngines {
		return end, stepEnd, nil
	}
	c.reroute(refusal.Crashed)
	return end, stepSame, nil
}

// engineFailed tries another engine; a request without an answer yet does so within the retry budget.
func (c *chat) engineFailed(engine ident.Engine, refusal *wire.Refusal, end wire.End) (wire.End, step, error) {
	c.handed = true
	c.failures++
	c.noteCrashes(refusal.Crashed)
	if c.failures > maxFailures || (c.passed == 0 && !c.Retries.Take()) {
		return end, stepEnd, nil
	}
	if len(refusal.Crashed) > 0 {
		if len(refusal.Crashed) >= suspects.MaxEngines {
			return end, stepEnd, nil
		}
		c.reroute(refusal.Crashed)
		return end, stepSame, nil
	}
	return end, c.skip(engine), nil
}

// noteCrashes lets this router know what the home knows, so that a body sent here again meets it at once.
func (c *chat) noteCrashes(engines []ident.Engine) {
	for _, e := range engines {
		c.Suspects.Crashed(c.fingerprint, e, time.Now())
	}
}

func (c *chat) reroute(crashed []ident.Engine) {
	c.submit.Crashed = crashed
	c.submit.Engine = ""
	c.spill = ""
	c.rank()
}

// noteSpill tells the first engine's home where the chat's prefix is now.
func (c *chat) noteSpill(engine ident.Engine) {
	if c.submit.Chat == "" || len(c.order) == 0 || c.order[0] == engine || len(c.submit.Crashed) > 0 {
		return
	}
	first := c.order[0]
	c.Spilled(c.View().HomeOf(first), wire.SpillNote{From: first, To: engine, Chat: c.submit.Chat})
}

// truthful withdraws a "not run" once any engine may have been handed the request.
func (c *chat) truthful(end wire.End) wire.End {
	if end.Refusal == nil || !c.handed || end.Refusal.Outcome != wire.NotRun {
		return end
	}
	told := *end.Refusal
	told.Outcome = wire.Failed
	end.Refusal = &told
	return end
}

func refused(status int, code wire.Code, message string) wire.End {
	return wire.End{Refusal: wire.Refuse(status, code, "%s", message)}
}

func crashedTooMany() wire.End {
	end := refused(http.StatusUnprocessableEntity, wire.CodeSuspect, "the request crashed engines before")
	end.Refusal.Outcome = wire.Failed
	return end
}
