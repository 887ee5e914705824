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

// callAtMostOnce hands an unrepeatable call to the home of its key, and to the next home where that one is lost.
func (r *Router) callAtMostOnce(ctx context.Context, call wire.ServiceCall) wire.ServiceAnswer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callDeadline)
	defer cancel()
	handed := false
	for ctx.Err() == nil {
		to := r.ledgerHome(call)
		if to == r.self || to == "" {
			return unknownIfHandedOver(r.ledger.Do(ctx, call, time.Now()), handed)
		}
		reply, err := r.pool.Call(ctx, to, wire.Call{Service: &call})
		if err == nil && reply.Service != nil {
			return unknownIfHandedOver(*reply.Service, handed)
		}
		var unreachable *peer.UnreachableError
		if !errors.As(err, &unreachable) {
			handed = true
		}
		r.requestProbe(to)
		if ledger.IsIssued(call.Key) {
			return unknownIfHandedOver(outcomeUnknownAnswer(), handed)
		}
		pause.For(ctx, tickPeriod)
	}
	return outcomeUnknownAnswer()
}

// ledgerHome returns the router that keeps the record of a key: the one that minted it, or one of a few chosen by hash.
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

// sendToInstance sends a call to an instance; another one is tried only where nothing was run.
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

// callIdempotent sends a call to one instance after another until one answers.
func (r *Router) callIdempotent(ctx context.Context, call wire.ServiceCall) wire.ServiceAnswer {
	handed := false
	candidates := r.fleet.View().ServiceCandidates(call.Service, string(call.Request), maxServiceAttempts)
	for _, i := range candidates {
		answer, err := r.services.Call(ctx, i.Address, call)
		if err == nil {
			return answer
		}
		var notRun *service.NotRunError
		handed = handed || !errors.As(err, &notRun)
	}
	refusal := wire.Refuse(http.StatusServiceUnavailable, wire.CodeNoEngine, "no instance of the service answered")
	return unknownIfHandedOver(wire.ServiceAnswer{Refusal: refusal}, handed)
}

// forwardToOwner hands a call to the router that owns its intent.
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

// ownerAlive reports whether the life of the router that wrote an intent still lasts.
func (r *Router) ownerAlive(owner ident.Router, incarnation ident.Incarnation) bool {
	return r.fleet.IsSameIncarnation(owner, incarnation)
}

// unknownIfHandedOver withdraws a "not run" once an earlier home may have been handed the call.
func unknownIfHandedOver(a wire.ServiceAnswer, handed bool) wire.ServiceAnswer {
	if a.Refusal == nil || !handed || a.Refusal.Outcome != wire.OutcomeNotRun {
		return a
	}
	told := *a.Refusal
	told.Outcome = wire.OutcomeUnknown
	a.Refusal = &told
	return a
}

func outcomeUnknownAnswer() wire.ServiceAnswer {
	refusal := wire.Refuse(http.StatusGatewayTimeout, wire.CodeUnknown, "the router that holds the call cannot be reached; the call may have run")
	refusal.Outcome = wire.OutcomeUnknown
	return wire.ServiceAnswer{Refusal: refusal}
}
