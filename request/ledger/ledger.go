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
	intentTimeout  = 4 * time.Second
	outcomeTimeout = 500 * time.Millisecond
	recordTimeout  = time.Minute
	answerTTL      = 10 * time.Minute
	maxAnswers     = 20_000
)

type (
	// Send hands a call to the service; it fails with *NotSentError only where nothing was sent.
	Send func(ctx context.Context, call wire.ServiceCall) (wire.ServiceAnswer, error)

	// Forward hands a call to the router that owns its intent.
	Forward func(ctx context.Context, owner ident.Router, call wire.ServiceCall) (wire.ServiceAnswer, error)

	// Alive reports whether an incarnation of a router still lives.
	Alive func(owner ident.Router, incarnation ident.Incarnation) bool

	// Dependencies are what the ledger shares with the rest of the router.
	Dependencies struct {
		Self        ident.Router
		Incarnation ident.Incarnation
		Store       store.Store
		Send        Send
		Forward     Forward
		Alive       Alive
		FaultPoint  func(step string, id ident.Request)
	}

	// NotSentError tells that a call did not reach any instance of its service.
	NotSentError struct{ Cause error }

	// Ledger holds the calls of this home router that are in progress or were answered lately.
	Ledger struct {
		Dependencies
		ctx        context.Context
		committer  *committer
		tasks      sync.WaitGroup
		mu         sync.Mutex
		calls      map[string]*entry
		issuedKeys map[string]time.Time
	}

	// entry is one key; its nonce stays the same until the call is sent, so that a lost write can be repeated.
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

// Error names the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// New returns a ledger whose work ends with ctx.
func New(ctx context.Context, p Dependencies) *Ledger {
	l := &Ledger{
		Dependencies: p, ctx: ctx, committer: newCommitter(p.Store),
		calls: make(map[string]*entry), issuedKeys: make(map[string]time.Time),
	}
	l.tasks.Go(func() { l.committer.loop(ctx) })
	return l
}

// Do runs the call once, or joins or repeats the answer of an earlier one with its key.
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

// Active returns how many calls are in progress.
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

// Sweep forgets old answers; the store still has them.
func (l *Ledger) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, e := range l.calls {
		life := answerTTL
		if IsIssued(e.call.Key) {
			life = IssuedKeyTTL
		}
		if !e.endedAt.IsZero() && now.Sub(e.endedAt) >= life {
			delete(l.calls, k)
		}
	}
	for k, at := range l.issuedKeys {
		if now.Sub(at) >= 2*IssuedKeyTTL {
			delete(l.issuedKeys, k)
		}
	}
}

// Wait returns once every task of the ledger has ended.
func (l *Ledger) Wait() { l.tasks.Wait() }

// join returns the entry of the call's key, a new one where there is none; an unsent entry starts again.
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

// execute carries one call from intent to answer.
func (l *Ledger) execute(e *entry) {
	if IsIssued(e.call.Key) {
		l.finish(e, l.send(e))
		return
	}
	mine := record{Owner: l.Self, Incarnation: l.Incarnation, Nonce: e.nonce, BodyHash: e.bodyHash, CreatedAtMs: time.Now().UnixMilli()}
	l.FaultPoint("intent", e.call.Request)
	result := l.committer.submit(l.ctx, &write{key: e.key, value: mine.encode(), deadline: time.Now().Add(intentTimeout)})
	if result.err != nil {
		l.finish(e, refuse(wire.Refuse(http.StatusServiceUnavailable, wire.CodeStore, "the intent could not be stored")))
		return
	}
	if !result.written {
		l.finishExisting(e, mine, result.found)
		return
	}
	l.sendAndRecord(e, mine, result.revision)
}

// finishExisting ends a call whose key the store has already.
func (l *Ledger) finishExisting(e *entry, mine record, found store.Entry) {
	theirs, err := decodeRecord(found.Value)
	switch {
	case err != nil:
		l.finish(e, unknown("the record of the key cannot be read"))
	case theirs.Nonce == mine.Nonce && !theirs.Done:
		l.sendAndRecord(e, theirs, found.Revision)
	case theirs.BodyHash != mine.BodyHash:
		l.finish(e, keyReused())
	case theirs.Done:
		l.markSent(e)
		l.finish(e, theirs.answer())
	case theirs.Owner != l.Self && l.Alive(theirs.Owner, theirs.Incarnation):
		l.finishForwarded(e, theirs.Owner)
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

// sendAndRecord sends a call whose intent is stored, and records its answer before it is passed on.
func (l *Ledger) sendAndRecord(e *entry, mine record, revision ident.Revision) {
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
	done := mine.withAnswer(answer)
	recorded := make(chan struct{})
	l.tasks.Go(func() {
		defer close(recorded)
		l.committer.submit(l.ctx, &write{key: e.key, value: done.encode(), revision: revision, deadline: time.Now().Add(recordTimeout)})
	})
	select {
	case <-recorded:
	case <-time.After(outcomeTimeout):
	}
	l.FaultPoint("outcomeRecorded", e.call.Request)
	l.finish(e, answer)
}

// send hands the call to the service; from here on it may have run.
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

// release deletes the intent of a call that was not sent, so that any router may run it.
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

// evict forgets some ended calls whose record the store has.
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
