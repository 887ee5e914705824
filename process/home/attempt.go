package home

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/request/run"
	"github.com/vanillaroute/vanillaroute/wire"
)

// lostError reports that a stream could not be resumed because the engine could not be reached or no longer had the stream.
type lostError struct{ cause error }

const (
	maxResumes = 2
	// resumeDelay is the wait before a resume. If several engines crash together, it also ensures that all of them are down before a
	// request of one is sent to another.
	resumeDelay = 50 * time.Millisecond
	// silencePeriod is how often the entry router is told that an engine is still silent.
	silencePeriod = time.Second
	priorityShort = 10
	priorityLong  = 0
	// statusClientClosedRequest is the non-standard status of a request whose caller has closed the connection.
	statusClientClosedRequest = 499
)

// run runs one request at the engine and ends it.
func (e *Engine) run(r *run.Run) {
	e.set.faultPoint("sent", r.Submit.Request)
	err := e.call(r)
	e.set.faultPoint("lastToken", r.Submit.Request)
	now := time.Now()
	if e.deferCopy(r, err, now) {
		return
	}
	end := e.classify(r, err, now)
	if err != nil && mayStillRun(err) && e.set.ctx.Err() == nil {
		e.cancelAtEngine(r)
	}
	e.finish(r, end, time.Now())
}

// call streams the answer. If a streamed answer is truncated, call resumes it at the engine up to maxResumes times.
func (e *Engine) call(r *run.Run) error {
	ctx := r.Context()
	// The entry router decides whether another engine goes on: it knows the budget for retries and the engines that were tried.
	var stall *time.Timer
	stall = time.AfterFunc(math.MaxInt64, func() {
		r.RecordSilence()
		stall.Reset(silencePeriod)
	})
	stall.Reset(e.set.policy.FirstTokenTimeout.Std())
	defer stall.Stop()
	event := func(data []byte) {
		stall.Reset(e.set.policy.StallTimeout.Std())
		e.recordEvent(r, time.Now())
		r.Append(data)
		e.set.faultPoint("event", r.Submit.Request)
	}
	err := e.startOrResume(ctx, r, event)
	for range maxResumes {
		var truncated *engine.TruncatedError
		if !errors.As(err, &truncated) || ctx.Err() != nil {
			break
		}
		e.recordTruncation(r, time.Now())
		if !r.Submit.Stream {
			break
		}
		pause.For(ctx, resumeDelay)
		err = toLostError(e.client.Resume(ctx, r.Submit.Request, r.NextOffset(), event))
	}
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// startOrResume resumes the stream of an answer in progress. If the engine does not have the stream, or the answer has no events yet, it
// sends the request.
func (e *Engine) startOrResume(ctx context.Context, r *run.Run, event func([]byte)) error {
	if r.Submit.FirstOffset > 0 {
		err := e.client.Resume(ctx, r.Submit.Request, r.Submit.FirstOffset, event)
		var status *engine.StatusError
		if !errors.As(err, &status) {
			return err
		}
	}
	body, err := continuationBody(r.Submit)
	if err != nil {
		return err
	}
	call := engine.Call{Request: r.Submit.Request, Priority: e.priority(r), Stream: r.Submit.Stream, Body: body, FirstOffset: r.Submit.FirstOffset}
	return e.client.Stream(ctx, call, event)
}

func (e *Engine) priority(r *run.Run) int {
	if e.set.policy.Class(r.Submit.Class).Long {
		return priorityLong
	}
	return priorityShort
}

// continuationBody returns the body with the text that the caller has already received, as the start of the assistant's message.
func continuationBody(s wire.Submit) ([]byte, error) {
	if s.FirstOffset == 0 || s.ReceivedText == "" {
		return s.Body, nil
	}
	var body map[string]json.RawMessage
	if err := json.Unmarshal(s.Body, &body); err != nil {
		return nil, errors.Wrap(err, "decode request body")
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(body["messages"], &messages); err != nil {
		return nil, errors.Wrap(err, "decode messages of request")
	}
	partial, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", s.ReceivedText})
	if err != nil {
		return nil, errors.Wrap(err, "encode partial answer")
	}
	body["messages"], err = json.Marshal(append(messages, partial))
	if err != nil {
		return nil, errors.Wrap(err, "encode messages of request")
	}
	body["continue_final_message"] = json.RawMessage("true")
	body["add_generation_prompt"] = json.RawMessage("false")
	return json.Marshal(body)
}

// recordEvent measures the time between tokens, which reveals a slow engine before its reports do.
func (e *Engine) recordEvent(r *run.Run, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.active[r]
	if !ok {
		return
	}
	if !a.truncatedAt.IsZero() {
		a.truncatedAt = time.Time{}
		e.dispatch(now)
	}
	first := a.lastEventAt.Equal(a.startedAt)
	gap := now.Sub(a.lastEventAt)
	a.lastEventAt = now
	if first {
		return
	}
	e.gapNanos.Store(int64(smoothGap(time.Duration(e.gapNanos.Load()), gap)))
}

// recordTruncation records that the answer was truncated, possibly by a crash of the engine.
func (e *Engine) recordTruncation(r *run.Run, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a, ok := e.active[r]; ok {
		a.truncatedAt = now
	}
}

// deferCopy defers a request that could not reach the engine if a copy of it runs there, since that copy may have crashed the engine.
// It reports whether the request was deferred.
func (e *Engine) deferCopy(r *run.Run, err error, now time.Time) bool {
	var dial *engine.DialError
	if !errors.As(err, &dial) || errors.As(err, new(*lostError)) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.active[r]
	if !ok || !e.hasCopy(r.Fingerprint, func(other *run.Run, _ *attempt) bool { return other != r }) {
		return false
	}
	delete(e.active, r)
	e.deferredCopies = append(e.deferredCopies, a.item)
	e.set.fleet.EngineDown(e.id, now)
	e.dispatch(now)
	return true
}

// classify converts the error of an attempt to the end that is sent to the entry router.
func (e *Engine) classify(r *run.Run, err error, now time.Time) wire.End {
	if err == nil {
		e.set.suspects.Clear(r.Fingerprint)
		e.set.completedBodies.Add(r.Fingerprint, struct{}{})
		return wire.End{Status: http.StatusOK}
	}
	var dial *engine.DialError
	var status *engine.StatusError
	var lost *lostError
	switch {
	case e.set.ctx.Err() != nil:
		refusal := failedRefusal("the home of engine %s has stopped", string(e.id))
		refusal.Code = wire.CodeNotHome
		return wire.End{Refusal: refusal}
	case errors.As(err, &lost):
		return e.handleCrash(r, now)
	case errors.As(err, &dial):
		e.set.fleet.EngineDown(e.id, now)
		return wire.End{Refusal: wire.Refuse(http.StatusServiceUnavailable, wire.CodeNoEngine, "engine %s cannot be reached", e.id)}
	case errors.As(err, &status):
		return wire.End{Refusal: statusRefusal(status)}
	case r.Context().Err() != nil:
		return wire.End{Refusal: &wire.Refusal{Status: statusClientClosedRequest, Code: wire.CodeBadRequest, Message: "cancelled", Outcome: wire.OutcomeFailed}}
	default:
		if _, err := e.client.Load(e.set.ctx); err != nil {
			return e.handleCrash(r, now)
		}
		return wire.End{Refusal: failedRefusal("engine %s cut the answer", string(e.id))}
	}
}

// handleCrash records a crash for all requests that ran on an engine that is down or has lost its streams. The requests of one crash
// detect it one after another. Only the first detection counts, and only for the requests that ran when its connection broke, since later
// ones may have started after the crash.
func (e *Engine) handleCrash(r *run.Run, now time.Time) wire.End {
	e.mu.Lock()
	if own, ok := e.active[r]; ok && !own.crashRecorded {
		crashedAt := own.truncatedAt
		if crashedAt.IsZero() {
			crashedAt = now
		}
		for other, a := range e.active {
			if a.startedAt.After(crashedAt) {
				continue
			}
			a.crashRecorded = true
			e.set.suspects.RecordCrash(other.Fingerprint, e.id, now)
		}
	}
	e.mu.Unlock()
	e.set.fleet.EngineDown(e.id, now)
	refusal := failedRefusal("engine %s lost the request", string(e.id))
	refusal.Crashed = e.set.suspects.CrashedEngines(r.Fingerprint)
	return wire.End{Refusal: refusal}
}

// toLostError converts the error of a resume to a lostError if the engine could not be reached or did not have the stream.
func toLostError(err error) error {
	var dial *engine.DialError
	var status *engine.StatusError
	if errors.As(err, &dial) || errors.As(err, &status) {
		return &lostError{cause: err}
	}
	return err
}

// cancelAtEngine cancels a request that the engine may still run. The slot stays in use until the engine has answered.
func (e *Engine) cancelAtEngine(r *run.Run) {
	_ = e.client.Cancel(context.WithoutCancel(r.Context()), r.Submit.Request)
}

func (e *Engine) finish(r *run.Run, end wire.End, now time.Time) {
	e.mu.Lock()
	delete(e.active, r)
	if end.Refusal == nil {
		e.lengths.record(r.Submit.Organisation, r.Submit.Class, float64(r.NextOffset()))
	}
	e.dispatch(now)
	e.mu.Unlock()
	if end.Refusal != nil && end.Refusal.Outcome == wire.OutcomeNotRun {
		e.set.runs.Remove(r)
	}
	r.Finish(end, now)
	r.Cancel()
}

// statusRefusal converts an error status of the engine to a refusal. After 503 or 429 the engine has not run the request.
func statusRefusal(status *engine.StatusError) *wire.Refusal {
	switch {
	case status.Status == http.StatusServiceUnavailable || status.Status == http.StatusTooManyRequests:
		return wire.Refuse(status.Status, wire.CodeNoEngine, "the engine refused the request")
	case status.Status < http.StatusInternalServerError:
		return &wire.Refusal{Status: status.Status, Code: wire.CodeBadRequest, Message: engineMessage(status.Body), Outcome: wire.OutcomeFailed}
	default:
		return failedRefusal("the engine answered %s", http.StatusText(status.Status))
	}
}

func engineMessage(body []byte) string {
	var answer struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &answer) == nil && answer.Error.Message != "" {
		return answer.Error.Message
	}
	return string(bytes.ToValidUTF8(body[:min(len(body), 200)], nil))
}

func failedRefusal(format, arg string) *wire.Refusal {
	refusal := wire.Refuse(http.StatusBadGateway, wire.CodeEngine, format, arg)
	refusal.Outcome = wire.OutcomeFailed
	return refusal
}

// mayStillRun reports whether the engine may still run a request whose attempt ended with err.
func mayStillRun(err error) bool {
	var dial *engine.DialError
	var status *engine.StatusError
	return !errors.As(err, &dial) && !errors.As(err, &status)
}

// Error returns a message with the cause.
func (e *lostError) Error() string { return "engine lost the stream: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.cause }

func smoothGap(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(gapSmoothing*float64(sample-old))
}
