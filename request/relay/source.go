package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/peer"
	"github.com/vanillaroute/vanillaroute/request/run"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// Window is the maximum number of events that a home sends without an acknowledgement from the entry router.
	Window = 128

	ackEvery   = 32
	eventLimit = 64
)

type (
	// Source is the stream of an answer from a home router.
	Source interface {
		// Next returns the next events or the end. It returns run.ErrSilent if the engine has been silent for too long, after which it can be called again,
		// and another error if the home was lost.
		Next(ctx context.Context) ([][]byte, *wire.End, error)
		// Acknowledge reports the number of events delivered so far.
		Acknowledge(n int)
		// Close ends reading. With cancel it also cancels the run, for use if no other reader follows.
		Close(cancel bool)
	}

	localSource struct {
		run      *run.Run
		next     int
		silences run.Silences
	}

	remoteSource struct {
		stream *peer.Stream
		acked  int
		ended  bool
	}

	refusedSource struct{ refusal *wire.Refusal }
)

// Local returns the source of a run at this router. The caller has already attached a reader to the run.
func Local(r *run.Run, from int) Source { return &localSource{run: r, next: from} }

// Remote returns the source of a run at another router.
func Remote(s *peer.Stream, from int) Source { return &remoteSource{stream: s, acked: from} }

// Refused returns a source that ends at once with a refusal.
func Refused(r *wire.Refusal) Source { return refusedSource{refusal: r} }

func (s *localSource) Next(ctx context.Context) ([][]byte, *wire.End, error) {
	events, end, err := s.run.Wait(ctx, s.next, eventLimit, &s.silences)
	s.next += len(events)
	return events, end, err
}

func (s *localSource) Acknowledge(int) {}

func (s *localSource) Close(cancel bool) {
	s.run.Detach(time.Now())
	if cancel {
		s.run.Cancel()
	}
}

func (s *remoteSource) Next(ctx context.Context) ([][]byte, *wire.End, error) {
	f, err := s.stream.Receive(ctx)
	if err != nil {
		return nil, nil, err
	}
	if f.Kind == wire.KindSilent {
		return nil, nil, run.ErrSilent
	}
	if f.Kind == wire.KindEnd {
		s.ended = true
		end, err := wire.Decode[wire.End](f.Body)
		return nil, &end, err
	}
	events, err := wire.Decode[wire.Events](f.Body)
	return events.Items, nil, err
}

func (s *remoteSource) Acknowledge(n int) {
	if n-s.acked < ackEvery {
		return
	}
	s.acked = n
	_ = s.stream.Send(context.Background(), wire.KindAck, wire.Encode(wire.Ack{Delivered: n}))
}

func (s *remoteSource) Close(cancel bool) {
	if !s.ended {
		_ = s.stream.Send(context.Background(), wire.KindCancel, wire.Encode(wire.Cancel{StopRun: cancel}))
	}
	s.stream.Close()
}

func (s refusedSource) Next(context.Context) ([][]byte, *wire.End, error) {
	return nil, &wire.End{Refusal: s.refusal}, nil
}

func (refusedSource) Acknowledge(int) {}

func (refusedSource) Close(bool) {}

// Serve sends the events of a run to the entry router that requested it, within the window, until either side ends. The end carries the
// loads.
func Serve(ctx context.Context, s *peer.Stream, r *run.Run, from int, loads func() []wire.RouterLoad) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	acks := make(chan int, 1)
	go func() {
		defer cancel()
		readAcks(ctx, s, r, acks)
	}()
	defer func() { r.Detach(time.Now()) }()
	sent, passed := from, from
	var silences run.Silences
	for {
		for sent-passed >= Window {
			select {
			case passed = <-acks:
			case <-ctx.Done():
				return
			}
		}
		select {
		case passed = <-acks:
		default:
		}
		events, end, err := r.Wait(ctx, sent, min(eventLimit, Window-(sent-passed)), &silences)
		if errors.Is(err, run.ErrSilent) {
			if s.Send(ctx, wire.KindSilent, nil) != nil {
				return
			}
			continue
		}
		if err != nil {
			return
		}
		if end != nil {
			last := *end
			last.Loads = loads()
			_ = s.Send(ctx, wire.KindEnd, wire.Encode(last))
			return
		}
		if s.Send(ctx, wire.KindEvents, wire.Encode(wire.Events{FirstOffset: sent, Items: events})) != nil {
			return
		}
		sent += len(events)
	}
}

// readAcks keeps the latest acknowledgement for the sender, and cancels the run on request of the entry router.
func readAcks(ctx context.Context, s *peer.Stream, r *run.Run, acks chan int) {
	for {
		f, err := s.Receive(ctx)
		if err != nil {
			return
		}
		switch f.Kind {
		case wire.KindCancel:
			if c, err := wire.Decode[wire.Cancel](f.Body); err == nil && c.StopRun {
				r.Cancel()
			}
			return
		case wire.KindAck:
			ack, err := wire.Decode[wire.Ack](f.Body)
			if err != nil {
				return
			}
			select {
			case <-acks:
			default:
			}
			acks <- ack.Delivered
		}
	}
}
