package forward

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
)

const (
	// maxSends bounds how often one request is offered to engines that don't run it.
	maxSends = 4
	// maxReuseIdle is how long a kept connection may have been idle for a request that may be repeated.
	maxReuseIdle = 4 * time.Second
	// maxReuseIdleNonIdempotent is the same for one that may not: a connection that the engine closes meanwhile loses it.
	maxReuseIdleNonIdempotent = 700 * time.Millisecond
	// attemptTimeoutShare is the part of its target time that a repeatable request waits at one engine.
	attemptTimeoutShare = 0.6
	// abandonRetryInterval is the pause until an attempt that took too long, and may not be left for want of budget, is looked at again.
	abandonRetryInterval = 100 * time.Millisecond
	// deadlineGrace is left to an engine's own answer at the deadline that it was given.
	deadlineGrace = 100 * time.Millisecond
	// prefillTimeFactor is how many times the likely reading time of a prompt an engine may take.
	prefillTimeFactor = 3
	// minFetchTokens is the least number of tokens for which a prompt's parts are fetched from another engine.
	minFetchTokens = 64
	// maxAnswerBytes bounds an answer that is kept in memory until it is whole.
	maxAnswerBytes = 8 << 20
)

// Results of one attempt.
const (
	// resultAnswered: the caller has its final answer, or has left.
	resultAnswered result = iota
	// resultNotRun: the engine did not get the request or did not run it.
	resultNotRun
	// resultLost: the engine may have run it.
	resultLost
	// resultFailed: the engine ran it and answered with a failure, which is kept.
	resultFailed
)

type (
	result int

	// exchange is one request on its way.
	exchange struct {
		*Handler
		w           http.ResponseWriter
		r           *http.Request
		id          ident.Request
		org         ident.Organisation
		route       *routing.Route
		service     ident.Service
		parts       []placing.Part
		header      http.Header
		body        []byte
		fingerprint uint64
		arrived     time.Time
		deadline    time.Time
		tried       []ident.Engine
		// snapshot is what the present attempt is decided on.
		snapshot Snapshot
		// suspected says that the request is refused for the engines that it crashed.
		suspected bool
		// retryReserved says that a repeat was taken from the budget as the last attempt was left.
		retryReserved atomic.Bool
		// sends counts all offers to engines, and runs those that an engine may have run.
		sends, runs int
		// lastFailure is an engine's own failure, for the caller where nothing better comes.
		lastFailure *bufferedAnswer
		placement   placement
		// stream is the answer's state once its head went to the caller.
		stream *stream
		reason string
		// verdict says why the request was not offered again.
		verdict string
	}

	// bufferedAnswer is a whole answer of an engine.
	bufferedAnswer struct {
		status int
		header http.Header
		body   []byte
	}
)

// run offers the request to engines until it is answered or given up.
func (x *exchange) run() {
	ctx := x.r.Context()
	if x.route.Kind == routing.NonIdempotent {
		// An engine that has begun finishes the work, also where the caller has left.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline.Add(deadlineGrace))
	defer cancel()
	for {
		now := time.Now()
		x.snapshot = x.Snapshot()
		if ctx.Err() != nil || !x.mayContinue(now) {
			break
		}
		crashed := x.crashes.crashedEngines(x.fingerprint)
		if len(crashed) >= suspects.MaxEngines {
			x.suspected, x.verdict = true, "the request crashed as many engines as it may"
			break
		}
		choice, work, ok := x.Table.Choose(x.snapshot.Engines, placing.Request{Service: x.service, Parts: x.parts, Domain: x.Domain, Instances: x.snapshot.Instances, Tried: append(crashed, x.tried...)}, now)
		if !ok {
			x.verdict = "no engine is left"
			break
		}
		x.recordPlacement(choice, now)
		result := x.attempt(ctx, choice, work, now)
		work.End()
		if result == resultAnswered {
			return
		}
		x.logFailed(choice, result)
		x.tried = append(x.tried, choice.Engine.ID)
	}
	x.giveUp(ctx)
}

// mayContinue reports whether the request may be offered once more.
func (x *exchange) mayContinue(now time.Time) bool {
	if x.sends == 0 {
		if len(x.tried) == 0 {
			x.Budget.CountRequest(x.service, now)
		}
		return true
	}
	switch {
	case x.sends >= maxSends:
		x.verdict = "offered too often"
	case x.runs > 0 && !x.route.Retryable():
		x.verdict = "it may have run and may not run again"
	case x.runs >= x.route.MaxEngines && x.runs > 0:
		x.verdict = "as many engines as the route allows have had it"
	case !x.retryReserved.Swap(false) && !x.Budget.Take(x.service, x.snapshot.Instances, now):
		x.verdict = "no budget for a repeat"
		x.Metrics.Add("retriesOverBudget", 1)
	}
	return x.verdict == ""
}

// attempt offers the request to one engine.
func (x *exchange) attempt(ctx context.Context, choice placing.Choice, work *placing.Placement, now time.Time) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := choice.Engine
	timer := x.abandonTimer(ctx, cancel)
	defer timer.Stop()
	if patience, ok := x.attemptTimeout(choice); ok {
		timer.Reset(patience)
	}
	resp, err := x.Client.Do(ctx, e.Address, x.request(choice, now), now)
	if err != nil {
		return x.handleNoAnswer(ctx, e, err)
	}
	x.sends++
	defer func() { _ = resp.Body.Close() }()
	if report, ok := x.Names.ParseLoad(resp.Header.Get(x.Names.Load)); ok {
		x.Table.RecordReport(e, report, time.Now())
	}
	if resp.Header.Get(x.Names.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest {
		x.reason = "the engine refused with status " + strconv.Itoa(resp.Status)
		if resp.Status == http.StatusMisdirectedRequest {
			x.markUnreachable(e, time.Now())
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		return resultNotRun
	}
	x.runs++
	if resp.Status >= 200 && resp.Status < 300 && x.route.Kind == routing.Stream {
		return x.relayStream(ctx, resp, e, work, timer)
	}
	return x.relayBuffered(resp, e, work)
}

// attemptTimeout is how long an attempt may take until its first answer, longer where the engine has much to read; it reports false where
// no other engine could be tried.
func (x *exchange) attemptTimeout(choice placing.Choice) (time.Duration, bool) {
	if !x.route.Retryable() || !x.mayTryAnother(x.runs+1, x.sends+1) || x.route.TargetFirstByte <= 0 || choice.Alternatives == 0 {
		return 0, false
	}
	usual := time.Duration(attemptTimeoutShare * float64(x.route.TargetFirstByte))
	return max(usual, prefillTimeFactor*x.Table.PrefillTime(choice)), true
}

// mayTryAnother reports whether one more engine may run the request after so many runs and sends.
func (x *exchange) mayTryAnother(runs, sends int) bool {
	return runs < x.route.MaxEngines && sends < maxSends
}

// abandonTimer returns a timer, to be set, at which the attempt ends if the budget has a repeat for the request: an engine that is silent
// may still answer, which is better than nothing.
func (x *exchange) abandonTimer(ctx context.Context, cancel context.CancelFunc) *time.Timer {
	instances := x.snapshot.Instances
	var timer *time.Timer
	timer = time.AfterFunc(math.MaxInt64, func() {
		switch {
		case ctx.Err() != nil:
		case x.Budget.TakeEarly(x.service, instances, time.Now()):
			x.retryReserved.Store(true)
			cancel()
		default:
			timer.Reset(abandonRetryInterval)
		}
	})
	return timer
}

func (x *exchange) request(choice placing.Choice, now time.Time) upstream.Request {
	e := choice.Engine
	header := x.header.Clone()
	header.Set(x.Names.Deadline, strconv.FormatInt(max(x.deadline.Sub(now).Milliseconds(), 1), 10))
	header.Set(x.Names.ExpectedEngine, string(e.ID))
	if x.stream != nil && x.stream.last != "" {
		header.Set(x.Names.LastEventID, x.stream.last)
	}
	if source, ok := x.snapshot.Engines.Get(choice.Source); ok && (choice.SourceGuessed || choice.FetchedTokens >= minFetchTokens) && x.Names.FetchFrom != "" {
		header.Set(x.Names.FetchFrom, source.Address)
	}
	idle := maxReuseIdle
	if !x.route.Retryable() {
		idle = maxReuseIdleNonIdempotent
	}
	return upstream.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: header, Body: x.body, MaxIdle: idle,
		Matches: func(h http.Header) bool {
			id := h.Get(x.Names.RequestID)
			return id == string(x.id) || (id == "" && h.Get(x.Names.ResponseSeal) == "")
		},
	}
}

// handleNoAnswer follows an attempt without an answer: only one that was not sent has surely not run, whether the caller has left or not.
func (x *exchange) handleNoAnswer(ctx context.Context, e engines.Engine, err error) result {
	now := time.Now()
	x.reason = err.Error()
	left := x.r.Context().Err() != nil
	var unsent *upstream.NotSentError
	if errors.As(err, &unsent) {
		if !left {
			x.markUnreachable(e, now)
		}
		return resultNotRun
	}
	x.sends++
	x.runs++
	if left && x.route.Kind != routing.NonIdempotent {
		return resultLost
	}
	x.Table.RecordFailure(e, false, now)
	x.checkCrashed(ctx, e)
	return resultLost
}

// relayBuffered reads a whole answer and passes it on.
func (x *exchange) relayBuffered(resp *upstream.Response, e engines.Engine, work *placing.Placement) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	now := time.Now()
	if err != nil {
		x.reason = "the answer broke off: " + err.Error()
		x.Table.RecordFailure(e, false, now)
		return resultLost
	}
	work.PrefillDone(now)
	ok := resp.Status >= 200 && resp.Status < 300
	if (ok && resp.Header.Get(x.Names.ResponseSeal) == "") || resp.Header.Get("Content-Encoding") != "" {
		x.reason = "the answer is not the engine's"
		x.Table.RecordFailure(e, false, now)
		return resultLost
	}
	a := &bufferedAnswer{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= 500 {
		x.reason = "the engine answered with status " + strconv.Itoa(resp.Status)
		x.Table.RecordFailure(e, false, now)
		x.lastFailure = a
		return resultFailed
	}
	x.Table.RecordSuccess(e, now)
	x.crashes.markCleared(x.fingerprint)
	x.writeAnswer(a)
	return resultAnswered
}

// writeAnswer writes an engine's whole answer.
func (x *exchange) writeAnswer(a *bufferedAnswer) {
	status := a.status
	header := x.w.Header()
	copyAnswerHeader(header, a.header)
	if impliesNotRun(status) {
		// The engine did not say that it has not run the request, so the caller must not be told so.
		status = http.StatusBadGateway
		header.Del(x.Names.ResponseSeal)
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write(a.body)
	x.log(outcomeAnswered, status)
}

// giveUp writes the final answer of a request that no engine answered well.
func (x *exchange) giveUp(ctx context.Context) {
	if x.r.Context().Err() != nil {
		x.log(outcomeCancelled, 0)
		return
	}
	if x.stream != nil {
		x.log(outcomeCut, 0)
		panic(http.ErrAbortHandler)
	}
	if x.lastFailure != nil {
		x.writeAnswer(x.lastFailure)
		return
	}
	no := refusal{status: http.StatusBadGateway, reason: x.verdict}
	switch {
	case x.runs == 0 && !x.suspected:
		no.status, no.retryAfter = http.StatusServiceUnavailable, retryAfterOverload
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(x.deadline):
		no.status, no.reason = http.StatusGatewayTimeout, "the time allowed has passed"
	}
	x.log(outcomeRefused, no.status)
	x.refuse(x.w, x.r, no)
}

func copyAnswerHeader(to, from http.Header) {
	closing := to.Get("Connection")
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	removeHopHeaders(to)
	if closing != "" {
		to.Set("Connection", closing)
	}
}

// impliesNotRun reports whether a status tells the caller that its request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
