package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/engine"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/pause"
	"github.com/vanillaroute/vanillaroute/sizelimit"
)

const maxLineBytes = 1 << 20

type (
	// Message is one message of a chat.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// Chat is a chat request whose answer is streamed.
	Chat struct {
		Model     ident.Model
		Chat      ident.Chat
		Class     ident.Class
		Messages  []Message
		MaxTokens int
	}

	// Event is one event of a streamed answer.
	Event struct {
		ID   ident.Event
		Text string
	}

	// Stream reads a streamed answer and resumes it after a lost connection. It is not safe for concurrent use.
	Stream struct {
		client      *Client
		ctx         context.Context
		chat        Chat
		lastEventID string
		nextOffset  int
		text        bytes.Buffer
		body        io.ReadCloser
		scanner     *bufio.Scanner
		attempts    int
		// Resumes is the number of lost connections after which the stream tried to resume.
		Resumes int
	}

	// OutOfOrderError reports an event whose offset is not the next one of the stream.
	OutOfOrderError struct {
		Got  ident.Event
		Want int
	}
)

var errStreamTruncated = errors.New("stream ended without the [DONE] event")

// Error returns the event that was received.
func (e *OutOfOrderError) Error() string {
	return "event " + e.Got.String() + " out of order"
}

// Stream sends a chat request. It returns an *Error, or the connection error of the last attempt.
func (c *Client) Stream(ctx context.Context, chat Chat) (*Stream, error) {
	s := &Stream{client: c, ctx: ctx, chat: chat}
	return s, s.connect()
}

// Text returns the text received so far.
func (s *Stream) Text() string { return s.text.String() }

// Close closes the connection of the stream.
func (s *Stream) Close() {
	if s.body != nil {
		_ = s.body.Close()
	}
}

// Next returns the next event and io.EOF after the last one. It resumes the stream at another router if the connection is lost.
func (s *Stream) Next() (Event, error) {
	for {
		e, err := s.readEvent()
		if err == nil || errors.Is(err, io.EOF) || !isRetryable(err) || s.ctx.Err() != nil {
			return e, err
		}
		var outOfOrder *OutOfOrderError
		if errors.As(err, &outOfOrder) {
			return e, err
		}
		s.Close()
		s.Resumes++
		if err := s.connect(); err != nil {
			return Event{}, err
		}
	}
}

// ReadAll reads the stream to its end and returns the text. On an error of Next it returns the text received so far with the error.
func (s *Stream) ReadAll() (string, error) {
	defer s.Close()
	for {
		_, err := s.Next()
		if errors.Is(err, io.EOF) {
			return s.Text(), nil
		}
		if err != nil {
			return s.Text(), err
		}
	}
}

func (s *Stream) connect() error {
	var last error
	for range maxAttempts {
		err := s.connectAt(s.client.routerForAttempt(s.ctx, s.chat.Chat, s.chat.Model, s.attempts))
		if err == nil || !isRetryable(err) || s.ctx.Err() != nil {
			return err
		}
		last = err
		s.attempts++
		pause.For(s.ctx, retryDelay)
	}
	return last
}

func (s *Stream) connectAt(address string) error {
	body, err := json.Marshal(struct {
		Model      ident.Model `json:"model"`
		Stream     bool        `json:"stream"`
		User       ident.Chat  `json:"user,omitempty"`
		MaxTokens  int         `json:"max_tokens,omitempty"`
		Messages   []Message   `json:"messages"`
		ResumeText string      `json:"resumeText,omitempty"`
	}{s.chat.Model, true, s.chat.Chat, s.chat.MaxTokens, s.chat.Messages, s.text.String()})
	if err != nil {
		return errors.Wrap(err, "encode chat")
	}
	req, err := s.client.newRequest(s.ctx, http.MethodPost, address+"/v1/chat/completions", body)
	if err != nil {
		return err
	}
	req.Header.Set("X-Class", string(s.chat.Class))
	if s.lastEventID != "" {
		req.Header.Set("Last-Event-ID", s.lastEventID)
	}
	resp, err := s.client.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "send chat")
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		respBody, err := sizelimit.ReadAll(resp.Body, maxResponseBytes)
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		if e := responseError(resp, respBody); e != nil {
			return e
		}
		return errors.Errorf("router answered %s", resp.Status)
	}
	s.body = resp.Body
	s.scanner = bufio.NewScanner(resp.Body)
	s.scanner.Buffer(nil, maxLineBytes)
	return nil
}

// readEvent returns the next event of the current connection.
func (s *Stream) readEvent() (Event, error) {
	var id string
	for s.scanner.Scan() {
		line := s.scanner.Text()
		switch {
		case len(line) > 4 && line[:4] == "id: ":
			id = line[4:]
		case line == "data: [DONE]":
			return Event{}, io.EOF
		case len(line) > 6 && line[:6] == "data: ":
			return s.acceptEvent(id, []byte(line[6:]))
		}
	}
	if err := s.scanner.Err(); err != nil {
		return Event{}, errors.Wrap(err, "read stream")
	}
	return Event{}, errStreamTruncated
}

// acceptEvent parses an event, checks that its offset is the next one and appends its text.
func (s *Stream) acceptEvent(id string, data []byte) (Event, error) {
	if e := parseError(data); e != nil {
		return Event{}, e
	}
	event, err := ident.ParseEvent(id)
	if err != nil {
		return Event{}, err
	}
	if event.Offset != s.nextOffset {
		return Event{}, &OutOfOrderError{Got: event, Want: s.nextOffset}
	}
	text, err := engine.Content(data)
	if err != nil {
		return Event{}, err
	}
	s.nextOffset++
	s.lastEventID = id
	s.text.WriteString(text)
	return Event{ID: event, Text: text}, nil
}
