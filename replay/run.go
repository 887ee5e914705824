package replay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/caller"
	"github.com/vanillaroute/vanillaroute/ident"
)

const bookingService ident.Service = "desk"

type (
	// Target executes requests. Send calls onFirstToken when the first token arrives.
	Target interface {
		Send(ctx context.Context, q Request, onFirstToken func()) error
	}

	// ExpectedAnswerFunc returns the complete answer to a chat with the given number of answer tokens.
	ExpectedAnswerFunc func(messages []caller.Message, tokens int) string

	// Result is the result of a request. Its times count from the time at which the request was due, so that they include
	// any delay in sending it.
	Result struct {
		Request    Request
		FirstToken time.Duration
		Total      time.Duration
		Err        error
	}

	// Routers is a target that sends requests to a fleet of routers with one client for each organisation.
	Routers struct {
		model          ident.Model
		expectedAnswer ExpectedAnswerFunc
		clients        map[ident.Organisation]*caller.Client
	}

	// IncompleteAnswerError reports an answer that differs from the expected one; Got and Want are lengths in bytes.
	IncompleteAnswerError struct {
		Got, Want int
	}
)

// Error returns a fixed message without the lengths.
func (e *IncompleteAnswerError) Error() string { return "answer differs from the expected one" }

// NewRouters returns a target that sends requests to the routers at the addresses with each organisation's API key, and
// checks the answers against expected.
func NewRouters(model ident.Model, addresses []string, keys map[ident.Organisation]string, expected ExpectedAnswerFunc) *Routers {
	r := &Routers{model: model, expectedAnswer: expected, clients: make(map[ident.Organisation]*caller.Client)}
	for org, key := range keys {
		r.clients[org] = caller.New(addresses, key)
	}
	return r
}

// Close closes idle connections.
func (r *Routers) Close() {
	for _, c := range r.clients {
		c.Close()
	}
}

// Send executes a request and checks that its answer is complete.
func (r *Routers) Send(ctx context.Context, q Request, onFirstToken func()) error {
	c, ok := r.clients[q.Organisation]
	if !ok {
		return errors.Errorf("no key for organisation %q", q.Organisation)
	}
	switch q.Kind {
	case Booking:
		_, err := c.Do(ctx, caller.Call{Service: bookingService, Method: http.MethodPost, Path: "/bookings", Key: q.Key, Body: []byte(`{"tour":"workshop"}`)})
		return err
	case Catalogue:
		_, err := c.Do(ctx, caller.Call{Service: bookingService, Method: http.MethodGet, Path: "/catalogue"})
		return err
	}
	messages := q.Messages()
	s, err := c.Stream(ctx, caller.Chat{Model: r.model, Chat: q.Chat, Class: q.Class, Messages: messages, MaxTokens: q.MaxTokens})
	if err != nil {
		return err
	}
	if _, err := s.Next(); err != nil {
		s.Close()
		return err
	}
	onFirstToken()
	text, err := s.ReadAll()
	if err != nil {
		return err
	}
	return checkComplete(text, r.expectedAnswer(messages, q.MaxTokens))
}

// Run sends every request when it is due, regardless of the earlier ones, and returns a result for each.
func Run(ctx context.Context, trace []Request, t Target) []Result {
	results := make([]Result, len(trace))
	var group sync.WaitGroup
	start := time.Now()
	for i, q := range trace {
		due := start.Add(q.At())
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
		}
		group.Go(func() {
			result := Result{Request: q}
			result.Err = t.Send(ctx, q, func() { result.FirstToken = time.Since(due) })
			result.Total = time.Since(due)
			results[i] = result
		})
	}
	group.Wait()
	return results
}

// MeetsExpectation reports whether the outcome is the one that the trace expects.
func (r Result) MeetsExpectation() bool {
	if r.Err == nil {
		return true
	}
	return r.Request.Expect == AnsweredOrRefused && r.Refused()
}

// Refused reports whether the request was refused without being run.
func (r Result) Refused() bool {
	var routerErr *caller.Error
	return errors.As(r.Err, &routerErr) && routerErr.Outcome == "notRun"
}

func checkComplete(text, want string) error {
	if text != want {
		return &IncompleteAnswerError{Got: len(text), Want: len(want)}
	}
	return nil
}
