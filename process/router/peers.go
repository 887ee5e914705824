package router

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/peer"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/process/budget"
	"github.com/vanillaroute/vanillaroute/request/relay"
	"github.com/vanillaroute/vanillaroute/wire"
)

// submitTo submits a request to the home router of an engine, which may be this router.
func (r *Router) submitTo(ctx context.Context, to ident.Router, submit wire.Submit) (relay.Source, error) {
	if to == r.self || to == "" {
		run, refusal := r.homes.Submit(submit, time.Now())
		if refusal != nil {
			return relay.Refused(refusal), nil
		}
		return relay.Local(run, submit.FirstOffset), nil
	}
	conn, err := r.pool.Conn(ctx, to)
	if err != nil {
		return nil, err
	}
	submit.Loads = append(slices.Clone(submit.Loads), r.modelLoads(submit.Model)...)
	s, err := conn.Open(ctx, wire.KindSubmit, wire.Encode(submit))
	if err != nil {
		return nil, err
	}
	return relay.Remote(s, submit.FirstOffset), nil
}

// servePeer handles one stream that a peer has opened.
func (r *Router) servePeer(ctx context.Context, from ident.Router, s *peer.Stream, first wire.Frame) {
	switch first.Kind {
	case wire.KindSubmit:
		r.serveSubmit(ctx, s, first.Body)
	case wire.KindCall:
		r.serveCall(ctx, s, first.Body)
	case wire.KindGossip:
		r.serveGossip(ctx, s, first.Body)
	default:
		r.log.Warn("unexpected frame from peer " + string(from))
	}
}

// refuseStream answers the first frame of a stream above the bound. The request has not run; another home may take it. Heartbeats get no answer.
func refuseStream(first wire.Frame) (wire.Kind, []byte, bool) {
	const message = "the router has too many streams of this peer"
	switch first.Kind {
	case wire.KindSubmit:
		return wire.KindEnd, wire.Encode(wire.End{Refusal: wire.Refuse(http.StatusServiceUnavailable, wire.CodeNoEngine, message)}), true
	case wire.KindCall:
		refusal := wire.Refuse(http.StatusServiceUnavailable, wire.CodeOverloaded, message)
		reply := wire.Reply{Refusal: refusal}
		if call, err := wire.Decode[wire.Call](first.Body); err == nil && call.Service != nil {
			reply.Service = &wire.ServiceAnswer{Refusal: refusal}
		}
		return wire.KindReply, wire.Encode(reply), true
	}
	return 0, nil, false
}

func (r *Router) serveSubmit(ctx context.Context, s *peer.Stream, body []byte) {
	submit, err := wire.Decode[wire.Submit](body)
	if err != nil {
		return
	}
	run, refusal := r.homes.Submit(submit, time.Now())
	if refusal != nil {
		_ = s.Send(ctx, wire.KindEnd, wire.Encode(wire.End{Refusal: refusal}))
		return
	}
	relay.Serve(ctx, s, run, submit.FirstOffset, func() []wire.RouterLoad { return r.modelLoads(submit.Model) })
}

// modelLoads returns this router's load of a model to attach to a message, or nil if the control budget does not cover it.
func (r *Router) modelLoads(m ident.Model) []wire.RouterLoad {
	now := time.Now()
	load := r.homes.LocalLoad(m, now)
	if !r.budget.Spend(budget.RequestLoads, len(wire.Encode(load)), now) {
		return nil
	}
	return []wire.RouterLoad{load}
}

func (r *Router) serveCall(ctx context.Context, s *peer.Stream, body []byte) {
	call, err := wire.Decode[wire.Call](body)
	if err != nil {
		return
	}
	reply := r.answerCall(ctx, call)
	encoded := wire.Encode(reply)
	if kind, control := controlKind(call); control {
		r.budget.Spend(kind, len(encoded)+wire.HeaderBytes, time.Now())
	}
	_ = s.Send(ctx, wire.KindReply, encoded)
}

func (r *Router) answerCall(ctx context.Context, call wire.Call) wire.Reply {
	now := time.Now()
	switch {
	case call.Service != nil:
		answer := r.ledger.Do(ctx, *call.Service, now)
		return wire.Reply{Service: &answer}
	case call.Share != nil:
		return r.grantShare(*call.Share, now)
	case call.Probe != nil:
		return wire.Reply{Probe: &wire.ProbeReply{Reached: r.ping(ctx, call.Probe.Target)}}
	case call.Entries != nil:
		return wire.Reply{Entries: r.answerEntries(*call.Entries)}
	case call.Publish != nil:
		r.config.Apply(call.Publish.Entries, now)
		return wire.Reply{}
	case call.Overflow != nil:
		r.homes.RecordOverflow(call.Overflow.From, call.Overflow.To, call.Overflow.Chat)
		return wire.Reply{}
	case call.Status:
		status := r.localStatus(now)
		return wire.Reply{Status: &status}
	default:
		return wire.Reply{Refusal: wire.Refuse(http.StatusBadRequest, wire.CodeBadRequest, "unknown call")}
	}
}

// callControl sends a call and charges control traffic to the budget. It returns errOverBudget if the budget is exhausted.
func (r *Router) callControl(ctx context.Context, to ident.Router, call wire.Call) (wire.Reply, error) {
	kind, ok := controlKind(call)
	if ok && !r.budget.Spend(kind, len(wire.Encode(call))+wire.HeaderBytes, time.Now()) {
		return wire.Reply{}, errOverBudget
	}
	return r.pool.Call(ctx, to, call)
}

// controlKind returns the budget kind of a call, and false if the call is not control traffic.
func controlKind(call wire.Call) (budget.Kind, bool) {
	switch {
	case call.Service != nil || call.Status:
		return 0, false
	case call.Publish != nil || call.Entries != nil:
		return budget.Urgent, true
	case call.Probe != nil:
		return budget.Membership, true
	default:
		return budget.AllowanceShares, true
	}
}

func (r *Router) grantShare(req wire.ShareRequest, now time.Time) wire.Reply {
	entry, ok := r.config.PlanOf(req.Organisation)
	if !ok {
		return wire.Reply{Refusal: wire.Refuse(http.StatusNotFound, wire.CodeForbidden, "the organisation is not known here")}
	}
	allowance, ok := r.config.Allowance(entry.Plan)
	if !ok {
		return wire.Reply{Refusal: wire.Refuse(http.StatusNotFound, wire.CodeForbidden, "the plan is not known here")}
	}
	grant := r.allocator.Allocate(req, allowance, now)
	return wire.Reply{Share: &grant}
}

// requestShare asks the organisation's home router, which may be this router, for a share of its allowance.
func (r *Router) requestShare(ctx context.Context, req wire.ShareRequest) (wire.ShareGrant, error) {
	to := r.fleet.View().HomeOfKey("limits\x00" + string(req.Organisation))
	var reply wire.Reply
	if to == r.self || to == "" {
		reply = r.grantShare(req, time.Now())
	} else {
		var err error
		if reply, err = r.callControl(ctx, to, wire.Call{Share: &req}); err != nil {
			return wire.ShareGrant{}, err
		}
	}
	if reply.Share == nil {
		return wire.ShareGrant{}, errNoShare
	}
	return *reply.Share, nil
}

// notifyOverflow notifies the home of an engine that another engine took one of its chats.
func (r *Router) notifyOverflow(to ident.Router, note wire.OverflowNotice) {
	if to == r.self {
		r.homes.RecordOverflow(note.From, note.To, note.Chat)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.workCtx, gossipTimeout)
		defer cancel()
		_, _ = r.callControl(ctx, to, wire.Call{Overflow: &note})
	}()
}

func (r *Router) localStatus(now time.Time) wire.StatusReply {
	digest := r.config.Digest()
	return wire.StatusReply{
		Router: r.self, Ready: r.Ready(), Leaving: r.leaving.Load(), Revision: digest.Highest, Sum: digest.Checksum,
		Engines: r.homes.Status(now),
	}
}

// fleetStatus returns the status of this router and of every live router that answers.
func (r *Router) fleetStatus(ctx context.Context) []wire.StatusReply {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	list := []wire.StatusReply{r.localStatus(time.Now())}
	for _, i := range r.fleet.View().Routers() {
		if ident.Router(i.ID) == r.self {
			continue
		}
		reply, err := r.pool.Call(ctx, ident.Router(i.ID), wire.Call{Status: true})
		if err == nil && reply.Status != nil {
			list = append(list, *reply.Status)
		}
	}
	return list
}
