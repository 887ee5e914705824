package forward

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/sizelimit"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// stallTimeoutFactor is the multiple of the route's target event gap after which a resumable stream moves to another engine.
	stallTimeoutFactor = 2.5
	eventBufferBytes   = 1 << 10
	maxEventBytes      = 256 << 10
	streamMediaType    = "text/event-stream"
)

type (
	// stream is the state of a streamed answer of which the caller has received a part.
	stream struct {
		control *http.ResponseController
		// status and mediaType are those of the answer that began the stream.
		status    int
		mediaType string
		// version is that of the engine that began the stream.
		version engines.Version
		// last is the id of the last event received whole. All events up to it are sent to the caller before another engine resumes after it.
		last string
		// lastAt is when the last event was sent to the caller.
		lastAt time.Time
	}

	// eventReader reads the events of a stream into one buffer.
	eventReader struct {
		reader *bufio.Reader
		kept   eventMemory
		event  []byte
		// awaitRoom waits after errQueueFull and reports whether there may be room.
		awaitRoom func() bool
	}

	// eventMemory is what the buffer of an event is charged to.
	eventMemory interface {
		Resize(bytes int64) error
		Release()
	}
)

// follows reports whether an event comes after the last one received. Numeric ids must increase; other ids are not compared.
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

// isContinuedBy reports whether an answer with that first event, nil if it has none, can be a later part of the stream. Any other answer, such
// as an engine's error, must not get into it. If the engine does not name the type of a stream, the event must have an id.
func (s *stream) isContinuedBy(resp *upstream.Response, firstEvent []byte) bool {
	mediaType := mediaTypeOf(resp)
	_, named := eventID(firstEvent)
	return mediaType == streamMediaType || named || (len(firstEvent) == 0 && mediaType == s.mediaType)
}

// mediaTypeOf returns the type of an answer's body in lower case, without parameters.
func mediaTypeOf(resp *upstream.Response) string {
	name, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// acquit records, once, that an engine has written an answer for longer than one that crashes on the request would: it does so as it begins.
func (x *exchange) acquit(now time.Time) {
	if !x.acquitted && now.Sub(x.answeringSince) > beginWindow {
		x.acquitted = true
		x.Crashes.RecordAnswer(x.subjects, true, now)
	}
}

// failStream records that an attempt that began a stream was lost, by a fault of the engine if the caller is still there.
func (x *exchange) failStream(err error, e engines.Engine) result {
	if x.r.Context().Err() == nil {
		x.Table.RecordFailure(e, false, time.Now())
	}
	return x.loseStream(err)
}

// loseStream ends an attempt that began a stream.
func (x *exchange) loseStream(err error) result {
	x.reason = "the stream broke off: " + err.Error()
	return resultLost
}

// beginStream writes the header of a streamed answer.
func (x *exchange) beginStream(resp *upstream.Response, e engines.Engine) {
	x.stream = &stream{control: http.NewResponseController(x.w), status: resp.Status, mediaType: mediaTypeOf(resp), version: e.Version}
	if x.Streams != nil && x.route.Resumable {
		x.Streams.Began(x.service, x.org, x.id, e.Version)
	}
	copyAnswerHeader(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.Status)
}

// sendEvent writes an event to the caller and flushes it unless another one follows at once.
func (x *exchange) sendEvent(event []byte, flush bool) error {
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	x.stream.lastAt = time.Now()
	if !flush {
		return nil
	}
	return x.stream.control.Flush()
}

// next reads one event up to and including its blank line. On an error it returns the bytes read so far. The event is valid until the following call.
func (r *eventReader) next() ([]byte, error) {
	if cap(r.event) > sizelimit.GrantedBytes {
		r.event = nil
		r.kept.Release()
	}
	r.event = r.event[:0]
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return r.event, err
		}
		if len(r.event) > maxEventBytes {
			return r.event, errors.New("event too large")
		}
		memoryErr := r.kept.Resize(int64(cap(r.event)))
		for errors.Is(memoryErr, errQueueFull) && r.awaitRoom() {
			memoryErr = r.kept.Resize(int64(cap(r.event)))
		}
		if memoryErr != nil {
			return r.event, memoryErr
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return r.event, nil
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
