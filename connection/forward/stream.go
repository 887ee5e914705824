package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// stallTimeoutFactor is how many of a route's longest pauses a resumable stream waits at one engine.
	stallTimeoutFactor = 2.5
	eventBufferBytes   = 1 << 10
	maxEventBytes      = 1 << 20
)

// stream is an answer in events, of which the caller has a part.
type stream struct {
	control *http.ResponseController
	// last is the id of the last event that went to the caller.
	last string
}

// follows reports whether an event comes after the last one; ids increase, where they are numbers.
func (s *stream) follows(event []byte) bool {
	if s == nil || s.last == "" {
		return true
	}
	id, ok := eventID(event)
	if !ok {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(s.last, 10, 64)
	return err != nil || lastErr != nil || next > last
}

// relayStream passes events on as they come; a stream that breaks off is lost after its last whole event.
func (x *exchange) relayStream(ctx context.Context, resp *upstream.Response, e engines.Engine, work *placing.Placement, timer *time.Timer) result {
	if resp.Header.Get(x.Names.ResponseSeal) == "" || resp.Header.Get("Content-Encoding") != "" {
		x.reason = "the answer is not the engine's"
		x.Table.RecordFailure(e, false, time.Now())
		return resultLost
	}
	reader := bufio.NewReaderSize(resp.Body, eventBufferBytes)
	first := true
	for {
		event, err := readEvent(reader)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				x.checkCrashed(ctx, e)
			}
			return x.finishStream(err, len(event), e)
		}
		if first {
			first = false
			now := time.Now()
			work.PrefillDone(now)
			x.Table.RecordSuccess(e, now)
		}
		if !x.stream.follows(event) {
			return x.finishStream(errors.New("the engine sent an event again"), len(event), e)
		}
		x.resetGapTimer(timer)
		if err := x.sendEvent(resp, event); err != nil {
			x.reason = "the caller left"
			x.log(outcomeCancelled, 0)
			return resultAnswered
		}
	}
}

// finishStream tells a whole stream from one that broke off, perhaps in the middle of an event.
func (x *exchange) finishStream(err error, rest int, e engines.Engine) result {
	if errors.Is(err, io.EOF) && rest == 0 {
		if x.stream == nil {
			x.reason = "the stream was empty"
			return resultLost
		}
		x.crashes.markCleared(x.fingerprint)
		x.log(outcomeAnswered, http.StatusOK)
		return resultAnswered
	}
	x.reason = "the stream broke off: " + err.Error()
	if x.r.Context().Err() == nil {
		x.Table.RecordFailure(e, false, time.Now())
	}
	return resultLost
}

// resetGapTimer lets the attempt end where the next event is too late, if another engine could go on.
func (x *exchange) resetGapTimer(timer *time.Timer) {
	if !x.route.Resumable || !x.mayTryAnother(x.runs, x.sends) || x.route.TargetEventGap <= 0 {
		timer.Stop()
		return
	}
	timer.Reset(time.Duration(stallTimeoutFactor * float64(x.route.TargetEventGap)))
}

func (x *exchange) sendEvent(resp *upstream.Response, event []byte) error {
	if x.stream == nil {
		x.stream = &stream{control: http.NewResponseController(x.w)}
		copyAnswerHeader(x.w.Header(), resp.Header)
		x.w.WriteHeader(resp.Status)
	}
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	if id, ok := eventID(event); ok {
		x.stream.last = id
	}
	return x.stream.control.Flush()
}

// readEvent reads one event up to its blank line; with an error it returns the part of an event that came.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if len(event) > maxEventBytes {
			return event, errors.New("an event is too large")
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// eventID returns the value of an event's id field.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
