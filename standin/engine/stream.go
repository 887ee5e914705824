package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/standin/fault"
)

const (
	bytesPerToken = 4
	maxBody       = 16 << 20
)

type (
	// stream is one answer in progress, which goes on without its reader.
	stream struct {
		request  ident.Request
		entry    *Entry
		prompt   prompt
		from     int
		priority int
		granted  chan struct{}

		mu     sync.Mutex
		events []string
		// cutAt is after how many events the connection is cut, once; 0 is never.
		cutAt   int
		outcome Outcome
		changed chan struct{}
		stopped chan struct{}
		// released is closed once the stream holds no slot.
		released chan struct{}
	}

	// prompt is what the engine reads of a request's body.
	prompt struct {
		Model     ident.Model       `json:"model"`
		Stream    bool              `json:"stream"`
		User      string            `json:"user"`
		MaxTokens int               `json:"max_tokens"`
		Messages  []json.RawMessage `json:"messages"`
		Continue  bool              `json:"continue_final_message"`
		tokens    int
		text      string
	}
)

// Token returns the i-th token of the answer to a prompt, so that callers can check what they got.
func Token(text string, i int) string {
	return fmt.Sprintf("%04x.%d ", uint16(xxhash.Sum64String(text)), i)
}

// PromptText returns the part of the messages that decides the answer.
func PromptText(messages []json.RawMessage) string {
	var b strings.Builder
	for _, m := range messages {
		var compact bytes.Buffer
		_ = json.Compact(&compact, m)
		b.Write(compact.Bytes())
	}
	return b.String()
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil || !slices.Contains(e.Models(), p.Model) {
		http.Error(w, `{"error":{"message":"unknown model or broken body"}}`, http.StatusBadRequest)
		return
	}
	p.read(e.shape.DefaultTokens)
	id := ident.Request(r.Header.Get("X-Request-Id"))
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	life := fault.LifeOf(r)
	e.mu.Lock()
	if e.host.Life() != life {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if e.faults.Leaving {
		e.mu.Unlock()
		http.Error(w, `{"error":{"message":"leaving"}}`, http.StatusServiceUnavailable)
		return
	}
	crash := e.faults.CrashOnBody != "" && bytes.Contains(body, []byte(e.faults.CrashOnBody))
	s, known := e.streams[id]
	if !known || id == "" {
		s = e.begin(id, p, from, r.Header.Get("X-Priority"))
	}
	e.mu.Unlock()
	if crash {
		time.Sleep(e.scaled(e.shape.DecodeToken))
		e.crash(life)
		panic(http.ErrAbortHandler)
	}
	if !known {
		go e.generate(s)
	}
	e.answer(w, r, s, from)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	s, ok := e.streams[ident.Request(r.PathValue("id"))]
	e.mu.Unlock()
	if !ok || from < s.from {
		http.Error(w, `{"error":{"message":"no such stream"}}`, http.StatusNotFound)
		return
	}
	e.answer(w, r, s, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams[ident.Request(r.PathValue("id"))]
	e.mu.Unlock()
	if ok {
		s.stop(Cancelled)
		select {
		case <-s.released:
		case <-r.Context().Done():
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// begin logs a new stream; the lock is held.
func (e *Engine) begin(id ident.Request, p prompt, from int, priority string) *stream {
	rank, _ := strconv.Atoi(priority)
	if id == "" {
		id = ident.NewRequest()
	}
	entry := &Entry{RequestID: id, ChatID: ident.Chat(p.User), Outcome: Running, PromptTokens: p.tokens}
	s := &stream{
		request: id, entry: entry, prompt: p, from: from, priority: rank, granted: make(chan struct{}),
		outcome: Running, changed: make(chan struct{}), stopped: make(chan struct{}), released: make(chan struct{}),
	}
	if e.faults.DropReply.Take() {
		s.cutAt = max((p.MaxTokens-from)/2, 1)
	}
	e.streams[id] = s
	e.log = append(e.log, entry)
	e.waiting = append(e.waiting, s)
	e.grant()
	return s
}

// grant gives free slots to the waiting streams of highest priority; the lock is held.
func (e *Engine) grant() {
	for e.running < e.shape.Slots && len(e.waiting) > 0 {
		best := 0
		for i, s := range e.waiting {
			if s.priority > e.waiting[best].priority {
				best = i
			}
		}
		s := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		e.running++
		e.peak = max(e.peak, e.running)
		s.entry.Started = time.Now()
		s.entry.StartedAtMs = s.entry.Started.UnixMilli()
		s.entry.CachedTokens = e.cache.use(s.prompt.text, s.prompt.tokens)
		close(s.granted)
	}
}

// generate produces the answer's tokens at the engine's speed, whether anyone reads or not.
func (e *Engine) generate(s *stream) {
	outcome := e.produce(s)
	e.release(s, outcome)
	s.stop(outcome)
	close(s.released)
}

// produce emits the tokens, and returns how that ended.
func (e *Engine) produce(s *stream) Outcome {
	select {
	case <-s.granted:
	case <-s.stopped:
		return s.ended()
	}
	e.mu.Lock()
	uncached := s.prompt.tokens - s.entry.CachedTokens
	delay := time.Duration(e.faults.DelayMs) * time.Millisecond
	e.mu.Unlock()
	if !s.wait(delay + e.scaled(time.Duration(uncached)*e.shape.PrefillToken)) {
		return s.ended()
	}
	for i := s.from; i < s.prompt.MaxTokens; i++ {
		if !s.wait(e.decodeTime()) || !e.unhung(s) {
			return s.ended()
		}
		s.emit(chunk(s.request, s.prompt.Model, Token(s.prompt.text, i), ""))
		e.mu.Lock()
		s.entry.Tokens++
		e.mu.Unlock()
	}
	s.emit(chunk(s.request, s.prompt.Model, "", "stop"))
	return Completed
}

// ended returns why the stream was stopped.
func (s *stream) ended() Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcome
}

// release frees the stream's slot before anyone is told of its end, and forgets it after a while.
func (e *Engine) release(s *stream, outcome Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.entry.Outcome = outcome
	s.entry.Ended = time.Now()
	s.entry.EndedAtMs = s.entry.Ended.UnixMilli()
	if e.streams[s.request] == s {
		if i := slices.Index(e.waiting, s); i >= 0 {
			e.waiting = slices.Delete(e.waiting, i, i+1)
		} else {
			e.running--
		}
		e.grant()
	}
	time.AfterFunc(streamRetention, func() { e.forget(s) })
}

func (e *Engine) forget(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.request] == s {
		delete(e.streams, s.request)
	}
}

func (e *Engine) decodeTime() time.Duration {
	e.mu.Lock()
	batch := e.running
	e.mu.Unlock()
	return e.scaled(time.Duration(float64(e.shape.DecodeToken) * (1 + e.shape.BatchSlowdown*float64(batch-1))))
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.SlowFactor > 0 {
		return time.Duration(float64(d) * e.faults.SlowFactor)
	}
	return d
}

// unhung waits while the engine hangs, and reports false where the stream was stopped meanwhile.
func (e *Engine) unhung(s *stream) bool {
	const period = 10 * time.Millisecond
	for {
		e.mu.Lock()
		hang := e.faults.Hang
		e.mu.Unlock()
		if !hang {
			return true
		}
		if !s.wait(period) {
			return false
		}
	}
}

// answer writes a stream from an offset on, or the whole answer as one body.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	next := from - s.from
	flusher, _ := w.(http.Flusher)
	for {
		s.mu.Lock()
		events, outcome, changed := s.events, s.outcome, s.changed
		s.mu.Unlock()
		if s.cut(next, len(events)) {
			panic(http.ErrAbortHandler)
		}
		if s.prompt.Stream {
			for ; next < len(events); next++ {
				_, _ = io.WriteString(w, "data: "+events[next]+"\n\n")
			}
			flusher.Flush()
		}
		switch outcome {
		case Running:
		case Completed:
			e.finish(w, s)
			return
		default:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) finish(w http.ResponseWriter, s *stream) {
	if s.prompt.Stream {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		return
	}
	var text strings.Builder
	for i := range s.prompt.MaxTokens {
		text.WriteString(Token(s.prompt.text, i))
	}
	fault.WriteJSON(w, completion(s.request, s.prompt, text.String()))
}

// cut reports once that the connection is to be cut here.
func (s *stream) cut(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutAt == 0 || to < s.cutAt || (s.prompt.Stream && from >= s.cutAt) {
		return false
	}
	s.cutAt = 0
	return true
}

func (s *stream) emit(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcome != Running {
		return
	}
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// stop ends the stream; only the first call counts.
func (s *stream) stop(o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcome != Running {
		return
	}
	s.outcome = o
	close(s.stopped)
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait sleeps, and reports false where the stream was stopped.
func (s *stream) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stopped:
		return false
	}
}

// read counts the prompt's tokens, leaving out the part of the answer that is to be continued.
func (p *prompt) read(defaultTokens int) {
	if p.Continue && len(p.Messages) > 0 {
		p.Messages = p.Messages[:len(p.Messages)-1]
	}
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultTokens
	}
	p.text = PromptText(p.Messages)
	p.tokens = len(p.text)/bytesPerToken + 1
}
