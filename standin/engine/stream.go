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
	maxBodyBytes  = 16 << 20
)

type (
	// stream is one answer in progress. It continues if the client disconnects.
	stream struct {
		request ident.Request
		entry   *Entry
		prompt  prompt
		// firstToken is the index of the first generated token; it is above 0 if the request resumes an answer.
		firstToken  int
		priority    int
		slotGranted chan struct{}

		mu     sync.Mutex
		events []string
		// cutAfter is the number of events after which the connection is closed once; 0 means never.
		cutAfter int
		outcome  Outcome
		changed  chan struct{}
		stopped  chan struct{}
		// released is closed once the stream has released its slot.
		released chan struct{}
	}

	// prompt holds the fields of a request body that the engine uses.
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

// Token returns the i-th token of the answer to a prompt, counted from 0. It is deterministic, so that clients can check the
// answer.
func Token(text string, i int) string {
	return fmt.Sprintf("%04x.%d ", uint16(xxhash.Sum64String(text)), i)
}

// PromptText returns the text of the messages that determines the answer: their JSON without insignificant white space.
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
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil || !slices.Contains(e.Models(), p.Model) {
		http.Error(w, `{"error":{"message":"unknown model or broken body"}}`, http.StatusBadRequest)
		return
	}
	p.prepare(e.config.DefaultTokens)
	id := ident.Request(r.Header.Get("X-Request-Id"))
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	crashes := fault.CrashesBefore(r)
	e.mu.Lock()
	if e.host.Crashes() != crashes {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if e.faults.Leaving {
		e.mu.Unlock()
		http.Error(w, `{"error":{"message":"leaving"}}`, http.StatusServiceUnavailable)
		return
	}
	crashOnBody := e.faults.CrashOnBody != "" && bytes.Contains(body, []byte(e.faults.CrashOnBody))
	s, known := e.streams[id]
	if !known || id == "" {
		s = e.startStream(id, p, from, r.Header.Get("X-Priority"))
	}
	e.mu.Unlock()
	if crashOnBody {
		time.Sleep(e.scaleDuration(e.config.DecodePerToken))
		e.crash(crashes)
		panic(http.ErrAbortHandler)
	}
	if !known {
		go e.runStream(s)
	}
	e.writeAnswer(w, r, s, from)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	s, ok := e.streams[ident.Request(r.PathValue("id"))]
	e.mu.Unlock()
	if !ok || from < s.firstToken {
		http.Error(w, `{"error":{"message":"no such stream"}}`, http.StatusNotFound)
		return
	}
	e.writeAnswer(w, r, s, from)
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

// startStream logs and queues a new stream. The caller must hold e.mu.
func (e *Engine) startStream(id ident.Request, p prompt, from int, priority string) *stream {
	priorityValue, _ := strconv.Atoi(priority)
	if id == "" {
		id = ident.NewRequest()
	}
	entry := &Entry{RequestID: id, ChatID: ident.Chat(p.User), Outcome: Running, PromptTokens: p.tokens}
	s := &stream{
		request: id, entry: entry, prompt: p, firstToken: from, priority: priorityValue, slotGranted: make(chan struct{}),
		outcome: Running, changed: make(chan struct{}), stopped: make(chan struct{}), released: make(chan struct{}),
	}
	if e.faults.DropReply.Consume() {
		s.cutAfter = max((p.MaxTokens-from)/2, 1)
	}
	e.streams[id] = s
	e.log = append(e.log, entry)
	e.waiting = append(e.waiting, s)
	e.grantSlots()
	return s
}

// grantSlots assigns free slots to the waiting streams, highest priority first. The caller must hold e.mu.
func (e *Engine) grantSlots() {
	for e.running < e.config.Slots && len(e.waiting) > 0 {
		best := 0
		for i, s := range e.waiting {
			if s.priority > e.waiting[best].priority {
				best = i
			}
		}
		s := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		e.running++
		e.peakRunning = max(e.peakRunning, e.running)
		s.entry.Started = time.Now()
		s.entry.StartedAtMs = s.entry.Started.UnixMilli()
		s.entry.CachedTokens = e.cache.lookupAndInsert(s.prompt.text, s.prompt.tokens)
		close(s.slotGranted)
	}
}

// runStream generates the answer at the speed of the engine, whether or not a client reads it.
func (e *Engine) runStream(s *stream) {
	outcome := e.generateTokens(s)
	e.releaseSlot(s, outcome)
	s.stop(outcome)
	close(s.released)
}

// generateTokens emits the tokens and returns the outcome.
func (e *Engine) generateTokens(s *stream) Outcome {
	select {
	case <-s.slotGranted:
	case <-s.stopped:
		return s.stopOutcome()
	}
	e.mu.Lock()
	uncached := s.prompt.tokens - s.entry.CachedTokens
	delay := time.Duration(e.faults.DelayMs) * time.Millisecond
	e.mu.Unlock()
	if !s.sleep(delay + e.scaleDuration(time.Duration(uncached)*e.config.PrefillPerToken)) {
		return s.stopOutcome()
	}
	for i := s.firstToken; i < s.prompt.MaxTokens; i++ {
		if !s.sleep(e.decodeTime()) || !e.waitWhileHung(s) {
			return s.stopOutcome()
		}
		s.emit(chunk(s.request, s.prompt.Model, Token(s.prompt.text, i), ""))
		e.mu.Lock()
		s.entry.Tokens++
		e.mu.Unlock()
	}
	s.emit(chunk(s.request, s.prompt.Model, "", "stop"))
	return Completed
}

// stopOutcome returns the outcome with which the stream was stopped.
func (s *stream) stopOutcome() Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcome
}

// releaseSlot releases the slot of a stream and removes the stream after streamRetention. It must be called before clients see
// the end of the stream, so that the slot is free when they do.
func (e *Engine) releaseSlot(s *stream, outcome Outcome) {
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
		e.grantSlots()
	}
	time.AfterFunc(streamRetention, func() { e.removeStream(s) })
}

func (e *Engine) removeStream(s *stream) {
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
	return e.scaleDuration(time.Duration(float64(e.config.DecodePerToken) * (1 + e.config.BatchSlowdown*float64(batch-1))))
}

func (e *Engine) scaleDuration(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.SlowFactor > 0 {
		return time.Duration(float64(d) * e.faults.SlowFactor)
	}
	return d
}

// waitWhileHung blocks while the Hang fault is set and returns false if the stream was stopped.
func (e *Engine) waitWhileHung(s *stream) bool {
	const pollInterval = 10 * time.Millisecond
	for {
		e.mu.Lock()
		hang := e.faults.Hang
		e.mu.Unlock()
		if !hang {
			return true
		}
		if !s.sleep(pollInterval) {
			return false
		}
	}
}

// writeAnswer writes the events of a stream from an offset on, or the complete answer as one body if streaming is off.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	next := from - s.firstToken
	flusher, _ := w.(http.Flusher)
	for {
		s.mu.Lock()
		events, outcome, changed := s.events, s.outcome, s.changed
		s.mu.Unlock()
		if s.takeCut(next, len(events)) {
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
			e.writeEnd(w, s)
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

func (e *Engine) writeEnd(w http.ResponseWriter, s *stream) {
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

// takeCut reports whether to close the connection instead of writing the events from (inclusive) to to (exclusive), because the
// DropReply fault applies to the stream. It returns true at most once for a stream.
func (s *stream) takeCut(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutAfter == 0 || to < s.cutAfter || (s.prompt.Stream && from >= s.cutAfter) {
		return false
	}
	s.cutAfter = 0
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

// stop ends the stream with an outcome; later calls have no effect.
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

// sleep waits for the duration and returns false if the stream was stopped meanwhile.
func (s *stream) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stopped:
		return false
	}
}

// prepare sets the defaults and counts the prompt tokens, without the partial answer that a resumed request contains.
func (p *prompt) prepare(defaultTokens int) {
	if p.Continue && len(p.Messages) > 0 {
		p.Messages = p.Messages[:len(p.Messages)-1]
	}
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultTokens
	}
	p.text = PromptText(p.Messages)
	p.tokens = len(p.text)/bytesPerToken + 1
}
