package callers

import (
	"bufio"
	"encoding/json"
	"net/http"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	writeTimeout = 30 * time.Second
	bufferBytes  = 4 << 10
)

// eventWriter writes an answer as server-sent events, or as one JSON body.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	buffer  *bufio.Writer
	stream  bool
	request ident.Request
	started bool
}

func newEventWriter(w http.ResponseWriter, stream bool, request ident.Request) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), buffer: bufio.NewWriterSize(w, bufferBytes), stream: stream, request: request}
}

// event writes and flushes one event. An error means that the caller has disconnected.
func (o *eventWriter) event(e ident.Event, data []byte) error {
	o.start()
	if !o.stream {
		_, err := o.w.Write(data)
		return err
	}
	o.field("id: ", e.String())
	o.field("data: ", string(data))
	_ = o.buffer.WriteByte('\n')
	return o.flush()
}

// finish writes the end mark of a stream, or the refusal: as an error response if no answer has begun, and as a last event otherwise.
func (o *eventWriter) finish(refusal *wire.Refusal) {
	switch {
	case refusal != nil && !o.started:
		setRequestHeader(o.w, o.request)
		writeRefusal(o.w, refusal)
	case refusal != nil:
		body, err := json.Marshal(refusalBody(refusal))
		if err != nil {
			return
		}
		o.field("data: ", string(body))
		_ = o.buffer.WriteByte('\n')
		_ = o.flush()
	case o.stream:
		o.start()
		o.field("data: ", "[DONE]")
		_ = o.buffer.WriteByte('\n')
		_ = o.flush()
	}
}

func (o *eventWriter) start() {
	if o.started {
		return
	}
	o.started = true
	setRequestHeader(o.w, o.request)
	kind := "application/json"
	if o.stream {
		kind = "text/event-stream"
		o.w.Header().Set("Cache-Control", "no-cache")
	}
	o.w.Header().Set("Content-Type", kind)
	o.w.WriteHeader(http.StatusOK)
}

func (o *eventWriter) field(name, value string) {
	_, _ = o.buffer.WriteString(name)
	_, _ = o.buffer.WriteString(value)
	_ = o.buffer.WriteByte('\n')
}

func (o *eventWriter) flush() error {
	_ = o.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := o.buffer.Flush(); err != nil {
		return err
	}
	return o.control.Flush()
}
