package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// blockedAfter is the time after which a write to the caller counts as blocked. A write that is not takes microseconds.
	blockedAfter = 20 * time.Millisecond
	// roomInterval is how often a stream asks the budget for room that others may have returned.
	roomInterval = 50 * time.Millisecond
	// maxUnread is the time for which an engine's answer may remain unread before its failure is not the engine's: engines cut off answers that remain
	// unread for some seconds.
	maxUnread = time.Second
)

// streamRelay relays the streamed answer of one attempt. The goroutine of the request reads an event and writes it, until a write is blocked. From then
// on another one reads, and is the only one to use the state of the attempt and of the engine; that of the request only writes what is queued, and goes
// on once the other has ended.
type streamRelay struct {
	*exchange
	ctx      context.Context
	cancel   context.CancelFunc
	resp     *upstream.Response
	engine   engines.Engine
	inFlight *placing.Placement
	timer    *abandonTimer
	events   *eventReader
	queue    *eventQueue
	// unread is how long the reading side has waited for room during the current event, and longestUnread the most of it for any event.
	unread, longestUnread time.Duration
	// outcome is how the reading side ended, and panicked the value of its panic. unwatch ends the watch for the caller's leaving.
	outcome  streamEnd
	panicked any
	unwatch  func() bool
}

// streamEnd is how reading the answer of an engine ended: as a complete stream or with a result of the attempt.
type streamEnd struct {
	complete bool
	result   result
}

// relayStream relays events as they arrive. If the stream breaks off, only complete events have been sent, so that another engine can
// resume after the last one.
func (x *exchange) relayStream(ctx context.Context, cancel context.CancelFunc, resp *upstream.Response, e engines.Engine, inFlight *placing.Placement, timer *abandonTimer) result {
	if resp.Header.Get(x.Names.ResponseSeal) == "" || resp.Header.Get("Content-Encoding") != "" {
		x.reason = "the answer lacks the engine's seal or is content-encoded"
		x.Table.RecordFailure(e, false, time.Now())
		return resultLost
	}
	s := &streamRelay{exchange: x, ctx: ctx, cancel: cancel, resp: resp, engine: e, inFlight: inFlight, timer: timer, queue: &eventQueue{kept: x.Memory.NewHolder()}}
	s.events = &eventReader{reader: bufio.NewReaderSize(resp.Body, eventBufferBytes), kept: s.queue, awaitRoom: s.awaitRoom}
	defer s.queue.close()
	defer s.queue.Release()
	blocked := time.AfterFunc(math.MaxInt64, s.readAhead)
	defer blocked.Stop()
	for {
		event, end := s.receive()
		if end != nil {
			return s.conclude(*end)
		}
		s.queue.startWrite(event)
		blocked.Reset(blockedAfter)
		err := x.sendEvent(event, true)
		ahead := s.queue.endWrite()
		blocked.Stop()
		switch {
		case ahead:
			return s.deliver(err)
		case err != nil:
			return s.endCancelled()
		}
	}
}

// receive reads the next event and checks it, or returns how the stream ended. The event is valid until the following call unless it is queued.
func (s *streamRelay) receive() ([]byte, *streamEnd) {
	if !s.answeringSince.IsZero() {
		s.startGapTimer()
	}
	event, err := s.events.next()
	s.timer.stop()
	s.longestUnread, s.unread = max(s.longestUnread, s.unread), 0
	if err != nil {
		end := s.finish(err, len(event))
		return nil, &end
	}
	if s.stream != nil && s.answeringSince.IsZero() && !s.stream.isContinuedBy(s.resp, event) {
		return nil, &streamEnd{result: s.failStream(errors.New("the engine's answer is no stream"), s.engine)}
	}
	now := time.Now()
	if s.answeringSince.IsZero() {
		s.answeringSince, s.progress.firstAt = now, now
		s.inFlight.PrefillDone(now)
		if s.hold != nil {
			s.hold.Read()
		}
		s.Table.RecordSuccess(s.engine, now)
	}
	s.progress.events++
	s.acquit(now)
	if !s.stream.follows(event) {
		return nil, &streamEnd{result: s.failStream(errors.New("the engine repeated an event"), s.engine)}
	}
	if s.stream == nil {
		s.beginStream(s.resp, s.engine)
	}
	if id, ok := eventID(event); ok {
		s.stream.last = id
	}
	return event, nil
}

// finish records what a read error says of the engine. The stream is complete only if it ended with EOF, with no partial event read. It may end
// without an event of this attempt if earlier attempts brought all of them, unless the answer has neither length nor chunks: the engine may then
// have crashed before the first event.
func (s *streamRelay) finish(err error, partialBytes int) streamEnd {
	mayEnd := !s.answeringSince.IsZero() || (s.resp.Framed && s.stream != nil && s.stream.isContinuedBy(s.resp, nil))
	if errors.Is(err, io.EOF) && partialBytes == 0 && mayEnd {
		if s.mayBeCut(s.ctx, s.resp, s.engine) {
			return streamEnd{result: s.failStream(errors.New("the engine has ended, and the stream with the connection"), s.engine)}
		}
		s.recordAnswered(true)
		s.observe(s.engine)
		return streamEnd{complete: true}
	}
	var noMemory *sizelimit.BudgetError
	switch {
	case s.queue.isClosed():
		// The attempt was cancelled because the caller left.
		s.recordLost(s.engine, time.Now())
		return streamEnd{result: s.loseStream(err)}
	case errors.As(err, &noMemory) || errors.Is(err, errQueueFull):
		return streamEnd{result: s.loseStream(err)}
	}
	s.checkCrashed(s.ctx, s.engine)
	if s.longestUnread >= maxUnread {
		return streamEnd{result: s.loseStream(err)}
	}
	return streamEnd{result: s.failStream(err, s.engine)}
}

// startGapTimer starts the timer for the next event if another engine may resume the stream, which takes an id of its last event.
func (s *streamRelay) startGapTimer() {
	if s.route.Resumable && s.mayTryAnother(s.runs, s.sends) && s.route.TargetEventGap > 0 && s.stream != nil && s.stream.last != "" {
		s.timer.start(time.Duration(stallTimeoutFactor*float64(s.route.TargetEventGap)), time.Now())
	}
}

// readAhead reads events into the queue to the end of the answer if a write to the caller is blocked. It is called in a goroutine of its own. The
// engine has then done its part, so it is released although the caller may read for longer.
func (s *streamRelay) readAhead() {
	if !s.queue.begin() {
		return
	}
	s.events.event = nil
	s.Metrics.Add("streamsReadAhead", 1)
	s.unwatch = context.AfterFunc(s.r.Context(), s.queue.close)
	defer s.queue.end()
	defer func() {
		if cause := recover(); cause != nil {
			s.panicked = fmt.Sprintf("%v\n%s", cause, debug.Stack())
			s.cancel()
		}
	}()
	for {
		event, end := s.receive()
		if end != nil {
			s.outcome = *end
			break
		}
		s.events.event = nil
		s.queue.push(event)
	}
	s.queue.Release()
	s.inFlight.End()
	s.release()
	_ = s.resp.Body.Close()
	s.resp.Body = http.NoBody
}

// awaitRoom waits until the caller has read a part of the queue, or for a short time in which others may return memory. It returns false if the attempt
// has ended.
func (s *streamRelay) awaitRoom() bool {
	s.timer.stop()
	defer s.startGapTimer()
	if s.longestUnread == 0 && s.unread == 0 {
		s.Metrics.Add("streamsQueueFull", 1)
	}
	began := time.Now()
	defer func() { s.unread += time.Since(began) }()
	select {
	case <-s.queue.written:
	case <-time.After(roomInterval):
	case <-s.ctx.Done():
		return false
	}
	return true
}

// deliver writes what is queued to the caller until the reading side has ended. The first event in the queue was just written, with the result err.
func (s *streamRelay) deliver(err error) result {
	unflushed := false
	s.queue.removeFirst()
	for err == nil {
		event, ended := s.queue.first()
		switch {
		case event != nil:
			err = s.sendEvent(event, false)
			s.queue.removeFirst()
			unflushed = true
		case unflushed:
			err = s.stream.control.Flush()
			unflushed = false
		case ended:
			return s.join()
		default:
			<-s.queue.arrived
		}
	}
	s.queue.close()
	s.cancel()
	return s.join()
}

// join waits for the end of the reading side and ends the attempt.
func (s *streamRelay) join() result {
	for {
		if _, ended := s.queue.first(); ended {
			break
		}
		<-s.queue.arrived
	}
	s.unwatch()
	s.queuedBytes = max(s.queuedBytes, s.queue.peak)
	switch {
	case s.panicked != nil:
		panic(s.panicked)
	case s.queue.isClosed():
		return s.endCancelled()
	}
	return s.conclude(s.outcome)
}

// conclude ends the attempt after all events were written.
func (s *streamRelay) conclude(end streamEnd) result {
	if end.complete {
		s.logEnd(outcomeAnswered, http.StatusOK)
		return resultAnswered
	}
	return end.result
}

func (s *streamRelay) endCancelled() result {
	s.reason = "the caller left"
	s.logEnd(outcomeCancelled, 0)
	return resultAnswered
}
