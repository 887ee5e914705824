package ledger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/store"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	intentTimeout = 4 * time.Second
	// outcomeTimeout is how long an answer waits for its record; recordTimeout is how long the write is retried after that.
	outcomeTimeout = 500 * time.Millisecond
	recordTimeout  = time.Minute
	answerTTL      = 10 * time.Minute
	maxAnswers     = 20_000
)

type (
	// Send sends a call to the service. It returns a *NotSentError only if nothing was sent.
	Send func(ctx context.Context, call wire.ServiceCall) (wire.ServiceAnswer, error)

	// Forward sends a call to the router that owns its intent.
	Forward func(ctx context.Context, owner ident.Router, call wire.ServiceCall) (wire.ServiceAnswer, error)

	// Alive reports whether an incarnation of a router is still running.
	Alive func(owner ident.Router, incarnation ident.Incarnation) bool

	// Dependencies are the parts of the router that the ledger uses.
	Dependencies struct {
		Self        ident.Router
		Incarnation ident.Incarnation
		Store       store.Store
		Send        Send
		Forward     Forward
		Alive       Alive
		FaultPoint  func(step string, id ident.Request)
	}

	// NotSentError reports that a call did not reach any instance of its service.
	NotSentError struct{ Cause error }

	// Ledger holds the calls of this home router that are in progress or were answered recently. It is safe for concurrent use.
	Ledger struct {
		Dependencies
		ctx        context.Context
		committer  *committer
		tasks      sync.WaitGroup
		mu         sync.Mutex
		calls      map[string]*entry
		issuedKeys map[string]time.Time
	}

	// entry is the call of one key. Its nonce stays the same until the call is sent, so that a write with an unknown outcome can be
	// repeated.
	entry struct {
		key      string
		call     wire.ServiceCall
		bodyHash string
		nonce    string
		sent     bool
		done     chan struct{}
		answer   wire.ServiceAnswer
		endedAt  time.Time
	}
)

// Error returns a message with the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// New returns a ledger and starts its committer, which runs until ctx ends.
func New(ctx context.Context, deps Dependencies) *Ledger {
	l := &Ledger{
		Dependencies: deps, ctx: ctx, committer: newCommitter(deps.Store),
		calls: make(map[string]*entry), issuedKeys: make(map[string]time.Time),
	}
	l.tasks.Go(func() { l.committer.loop(ctx) })
	return l
}

// Do executes the call, or returns the answer of an earlier call with the same key, for which it waits if necessary.
func (l *Ledger) Do(ctx context.Context, call wire.ServiceCall, now time.Time) wire.ServiceAnswer {
	if IsIssued(call.Key) {
		if refusal := l.checkIssued(call.Key, now); refusal != nil {
			return refuse(refusal)
		}
	}
	e, joined := l.join(call)
	if e.bodyHash != bodyHash(call) {
		return keyReused()
	}
	if !joined {
		l.tasks.Go(func() { l.execute(e) })
	}
	select {
	case <-e.done:
		return e.answer
	case <-ctx.Done():
		return unknown("the call is still in progress")
	}
}

// Active returns the number of calls in progress.
func (l *Ledger) Active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.calls {
		if e.endedAt.IsZero() {
			n++
		}
	}
	return n
}

// Sweep removes expired answers from memory; the store still holds them. It also removes expired issued keys.
func (l *Ledger) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, e := range l.calls {
		ttl := answerTTL
		if IsIssued(e.call.Key) {
			ttl = IssuedKeyTTL
		}
		if !e.endedAt.IsZero() && now.Sub(e.endedAt) >= ttl {
			delete(l.calls, k)
		}
	}
	for k, at := range l.issuedKeys {
		if now.Sub(at) >= 2*IssuedKeyTTL {
			delete(l.issuedKeys, k)
		}
	}
}

// Wait blocks until every task of the ledger has ended.
func (l *Ledger) Wait() { l.tasks.Wait() }

// join returns the entry of the call's key and true. If there is none, or an earlier call with the same body has ended without being sent,
// it returns a new entry and false.
func (l *Ledger) join(call wire.ServiceCall) (*entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := storeKey(call)
	old, ok := l.calls[key]
	if ok && (old.endedAt.IsZero() || old.sent || old.answer.Refusal == nil) {
		return old, true
	}
	e := &entry{key: key, call: call, bodyHash: bodyHash(call), nonce: newNonce(), done: make(chan struct{})}
	if ok {
		e.nonce = old.nonce
	}
	if ok && old.bodyHash != e.bodyHash {
		return old, true
	}
	l.calls[key] = e
	return e, false
}

// execute stores the intent of a call, sends it and records its answer.
func (l *Ledger) execute(e *entry) {
	if IsIssued(e.call.Key) {
		l.finish(e, l.send(e))
		return
	}
	own := record{Owner: l.Self, Incarnation: l.Incarnation, Nonce: e.nonce, BodyHash: e.bodyHash, CreatedAtMs: time.Now().UnixMilli()}
	l.FaultPoint("intent", e.call.Request)
	result := l.committer.submit(l.ctx, &write{key: e.key, value: own.encode(), deadline: time.Now().Add(intentTimeout)})
	if result.err != nil {
		l.finish(e, refuse(wire.Refuse(http.StatusServiceUnavailable, wire.CodeStore, "the intent could not be stored")))
		return
	}
	if !result.written {
		l.finishExisting(e, own, result.found)
		return
	}
	l.sendAndRecord(e, own, result.revision)
}

// finishExisting ends a call whose key already has a record in the store.
func (l *Ledger) finishExisting(e *entry, own record, found store.Entry) {
	existing, err := decodeRecord(found.Value)
	switch {
	case err != nil:
		l.finish(e, unknown("the record of the key cannot be read"))
	case existing.Nonce == own.Nonce && !existing.Done:
		l.sendAndRecord(e, existing, found.Revision)
	case existing.BodyHash != own.BodyHash:
		l.finish(e, keyReused())
	case existing.Done:
		l.markSent(e)
		l.finish(e, existing.answer())
	case existing.Owner != l.Self && l.Alive(existing.Owner, existing.Incarnation):
		l.finishForwarded(e, existing.Owner)
	default:
		l.markSent(e)
		l.finish(e, unknown("the router that held the call is gone; it may have run and is not run again"))
	}
}

func (l *Ledger) finishForwarded(e *entry, owner ident.Router) {
	answer, err := l.Forward(l.ctx, owner, e.call)
	if err != nil {
		answer = unknown("the router that holds the call cannot be reached")
	}
	l.finish(e, answer)
}

// sendAndRecord sends a call whose intent is stored. It waits for the record of the answer for up to outcomeTimeout before it returns the
// answer to the caller.
func (l *Ledger) sendAndRecord(e *entry, own record, revision ident.Revision) {
	l.FaultPoint("intentWritten", e.call.Request)
	answer := l.send(e)
	l.FaultPoint("serviceAnswered", e.call.Request)
	if answer.Refusal != nil {
		if answer.Refusal.Outcome == wire.OutcomeNotRun {
			l.release(e, revision)
		}
		l.finish(e, answer)
		return
	}
	answered := own.withAnswer(answer)
	recorded := make(chan struct{})
	l.tasks.Go(func() {
		defer close(recorded)
		l.committer.submit(l.ctx, &write{key: e.key, value: answered.encode(), revision: revision, deadline: time.Now().Add(recordTimeout)})
	})
	select {
	case <-recorded:
	case <-time.After(outcomeTimeout):
	}
	l.FaultPoint("outcomeRecorded", e.call.Request)
	l.finish(e, answer)
}

// send sends the call to the service. The call may have run from then on, unless the error is a *NotSentError.
func (l *Ledger) send(e *entry) wire.ServiceAnswer {
	l.markSent(e)
	answer, err := l.Send(l.ctx, e.call)
	if err == nil {
		return answer
	}
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		l.mu.Lock()
		e.sent = false
		l.mu.Unlock()
		return refuse(wire.Refuse(http.StatusServiceUnavailable, wire.CodeNoEngine, "no instance of the service could be reached"))
	}
	return unknown("the answer of the service was lost; the call may have run and is not run again")
}

// release deletes the intent of a call that was not sent, so that any router may execute it.
func (l *Ledger) release(e *entry, revision ident.Revision) {
	l.committer.submit(l.ctx, &write{key: e.key, revision: revision, remove: true, deadline: time.Now().Add(outcomeTimeout)})
}

func (l *Ledger) markSent(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.sent = true
}

func (l *Ledger) finish(e *entry, answer wire.ServiceAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.answer = answer
	e.endedAt = time.Now()
	close(e.done)
	if len(l.calls) > maxAnswers {
		l.evict()
	}
}

// evict removes ended calls whose record is in the store until at most maxAnswers calls are left.
func (l *Ledger) evict() {
	for k, e := range l.calls {
		if len(l.calls) <= maxAnswers {
			return
		}
		if !e.endedAt.IsZero() && !IsIssued(e.call.Key) && e.answer.Refusal == nil {
			delete(l.calls, k)
		}
	}
}
