package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/peer"
	"github.com/vanillaroute/vanillaroute/connection/service"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/request/ledger"
	"github.com/vanillaroute/vanillaroute/version/fleet"
	"github.com/vanillaroute/vanillaroute/version/rank"
	"github.com/vanillaroute/vanillaroute/wire"
)

var errNoInstance = errors.New("no instance of the service is live")

// callAtMostOnce sends a non-idempotent call to the home of its key. If that router is lost, it retries at the next home
// until callDeadline. It does not retry if a router issued the key, since only that router keeps the record of the key.
func (r *Router) callAtMostOnce(ctx context.Context, call wire.ServiceCall) wire.ServiceAnswer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callDeadline)
	defer cancel()
	mayHaveRun := false
	for ctx.Err() == nil {
		to := r.ledgerHome(call)
		if to == r.self || to == "" {
			return unknownIfMayHaveRun(r.ledger.Do(ctx, call, time.Now()), mayHaveRun)
		}
		reply, err := r.pool.Call(ctx, to, wire.Call{Service: &call})
		if err == nil && reply.Service != nil {
			return unknownIfMayHaveRun(*reply.Service, mayHaveRun)
		}
		var unreachable *peer.UnreachableError
		if !errors.As(err, &unreachable) {
			mayHaveRun = true
		}
		r.requestProbe(to)
		if ledger.IsIssued(call.Key) {
			return unknownIfMayHaveRun(outcomeUnknownAnswer(), mayHaveRun)
		}
		pause.For(ctx, tickPeriod)
	}
	return outcomeUnknownAnswer()
}

// ledgerHome returns the router that keeps the record of a key: the router that issued the key, or for other keys one of
// ledgerRouters chosen by hash.
func (r *Router) ledgerHome(call wire.ServiceCall) ident.Router {
	if ledger.IsIssued(call.Key) {
		return ledger.IssuedBy(call.Key)
	}
	members := rank.EqualWeights(r.fleet.View().RoutersFor("ledger", ledgerRouters), func(i fleet.Instance) string { return i.ID })
	best := rank.Best(string(call.Organisation)+"\x00"+call.Key, members)
	if best < 0 {
		return r.self
	}
	return ident.Router(members[best].Name)
}

// sendToInstance sends a call to an instance of its service. It tries another instance only if the call has not run.
func (r *Router) sendToInstance(ctx context.Context, call wire.ServiceCall) (wire.ServiceAnswer, error) {
	cause := errNoInstance
	for _, i := range r.fleet.View().ServiceCandidates(call.Service, call.Key, maxServiceAttempts) {
		r.homes.FaultPoint("sent", call.Request)
		answer, err := r.services.Call(ctx, i.Address, call)
		var notRun *service.NotRunError
		if !errors.As(err, &notRun) {
			return answer, err
		}
		cause = err
	}
	return wire.ServiceAnswer{}, &ledger.NotSentError{Cause: cause}
}

// callIdempotent sends a call to up to maxServiceAttempts instances until one answers.
func (r *Router) callIdempotent(ctx context.Context, call wire.ServiceCall) wire.ServiceAnswer {
	mayHaveRun := false
	candidates := r.fleet.View().ServiceCandidates(call.Service, string(call.Request), maxServiceAttempts)
	for _, i := range candidates {
		answer, err := r.services.Call(ctx, i.Address, call)
		if err == nil {
			return answer
		}
		var notRun *service.NotRunError
		mayHaveRun = mayHaveRun || !errors.As(err, &notRun)
	}
	refusal := wire.Refuse(http.StatusServiceUnavailable, wire.CodeNoEngine, "no instance of the service answered")
	return unknownIfMayHaveRun(wire.ServiceAnswer{Refusal: refusal}, mayHaveRun)
}

// forwardToOwner forwards a call to the router that wrote its intent.
func (r *Router) forwardToOwner(ctx context.Context, owner ident.Router, call wire.ServiceCall) (wire.ServiceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	reply, err := r.pool.Call(ctx, owner, wire.Call{Service: &call})
	if err != nil {
		return wire.ServiceAnswer{}, err
	}
	if reply.Service == nil {
		return wire.ServiceAnswer{}, errNoReply
	}
	return *reply.Service, nil
}

// ownerAlive reports whether the router that wrote an intent is still alive in the same incarnation.
func (r *Router) ownerAlive(owner ident.Router, incarnation ident.Incarnation) bool {
	return r.fleet.IsSameIncarnation(owner, incarnation)
}

// unknownIfMayHaveRun changes the outcome of a refusal from "not run" to "unknown" if an earlier attempt may have run the call.
func unknownIfMayHaveRun(a wire.ServiceAnswer, mayHaveRun bool) wire.ServiceAnswer {
	if a.Refusal == nil || !mayHaveRun || a.Refusal.Outcome != wire.OutcomeNotRun {
		return a
	}
	refusal := *a.Refusal
	refusal.Outcome = wire.OutcomeUnknown
	a.Refusal = &refusal
	return a
}

func outcomeUnknownAnswer() wire.ServiceAnswer {
	refusal := wire.Refuse(http.StatusGatewayTimeout, wire.CodeUnknown, "the router that holds the call cannot be reached; the call may have run")
	refusal.Outcome = wire.OutcomeUnknown
	return wire.ServiceAnswer{Refusal: refusal}
}
