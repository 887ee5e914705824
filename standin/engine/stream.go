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
	// stream is one answer in progress, which goes on without its reader.
	stream struct {
		request     ident.Request
		entry       *Entry
		prompt      prompt
		firstToken  int
		priority    int
		slotGranted chan struct{}

		mu     sync.Mutex
		events []string
		// cutAfter is after how many events the connection is cut, once; 0 is never.
		cutAfter int
		outcome  Outcome
		changed  chan struct{}
		stopped  chan struct{}
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
	life := fault.CrashesBefore(r)
	e.mu.Lock()
	if e.host.Crashes() != life {
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
		s = e.startStream(id, p, from, r.Header.Get("X-Priority"))
	}
	e.mu.Unlock()
	if crash {
		time.Sleep(e.scaleDuration(e.config.DecodePerToken))
		e.crash(life)
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

// startStream logs a new stream; the lock is held.
func (e *Engine) startStream(id ident.Request, p prompt, from int, priority string) *stream {
	rank, _ := strconv.Atoi(priority)
	if id == "" {
		id = ident.NewRequest()
	}
	entry := &Entry{RequestID: id, ChatID: ident.Chat(p.User), Outcome: Running, PromptTokens: p.tokens}
	s := &stream{
		request: id, entry: entry, prompt: p, firstToken: from, priority: rank, slotGranted: make(chan struct{}),
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

// grantSlots gives free slots to the waiting streams of highest priority; the lock is held.
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

// runStream produces the answer's tokens at the engine's speed, whether anyone reads or not.
func (e *Engine) runStream(s *stream) {
	outcome := e.generateTokens(s)
	e.releaseSlot(s, outcome)
	s.stop(outcome)
	close(s.released)
}

// generateTokens emits the tokens, and returns how that ended.
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

// stopOutcome returns why the stream was stopped.
func (s *stream) stopOutcome() Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcome
}

// releaseSlot frees the stream's slot before anyone is told of its end, and forgets it after a while.
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

// waitWhileHung waits while the engine hangs, and reports false where the stream was stopped meanwhile.
func (e *Engine) waitWhileHung(s *stream) bool {
	const period = 10 * time.Millisecond
	for {
		e.mu.Lock()
		hang := e.faults.Hang
		e.mu.Unlock()
		if !hang {
			return true
		}
		if !s.sleep(period) {
			return false
		}
	}
}

// writeAnswer writes a stream from an offset on, or the whole answer as one body.
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

// takeCut reports once that the connection is to be cut here.
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

// sleep sleeps, and reports false where the stream was stopped.
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

// prepare counts the prompt's tokens, leaving out the part of the answer that is to be continued.
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
