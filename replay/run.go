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
	// Target carries out one request; first is called with each event's arrival, the first one counting.
	Target interface {
		Send(ctx context.Context, q Request, first func()) error
	}

	// ExpectedAnswerFunc returns the whole answer to a chat of some tokens.
	ExpectedAnswerFunc func(messages []caller.Message, tokens int) string

	// Result is what became of a request; times count from when it was due.
	Result struct {
		Request    Request
		FirstToken time.Duration
		Total      time.Duration
		Err        error
	}

	// Routers is the target of a fleet of routers, one client for each organisation.
	Routers struct {
		model          ident.Model
		expectedAnswer ExpectedAnswerFunc
		clients        map[ident.Organisation]*caller.Client
	}

	// IncompleteAnswerError tells that an answer was not the whole one.
	IncompleteAnswerError struct {
		Got, Want int
	}
)

// Error names how much came, in bytes.
func (e *IncompleteAnswerError) Error() string { return "answer is not the whole one" }

// NewRouters returns a target of routers at addresses, with each organisation's key and the answers that are expected.
func NewRouters(model ident.Model, addresses []string, keys map[ident.Organisation]string, expect ExpectedAnswerFunc) *Routers {
	r := &Routers{model: model, expectedAnswer: expect, clients: make(map[ident.Organisation]*caller.Client)}
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

// Send carries out a request and checks that its answer is whole.
func (r *Routers) Send(ctx context.Context, q Request, first func()) error {
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
	first()
	text, err := s.ReadAll()
	if err != nil {
		return err
	}
	return checkComplete(text, r.expectedAnswer(messages, q.MaxTokens))
}

// Run sends every request when it is due, whatever became of the earlier ones, and returns a result for each.
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

// MeetsExpectation reports whether the outcome is the one that the trace states.
func (r Result) MeetsExpectation() bool {
	if r.Err == nil {
		return true
	}
	return r.Request.Expect == AnsweredOrRefused && r.Refused()
}

// Refused reports whether the request was refused as not run.
func (r Result) Refused() bool {
	var told *caller.Error
	return errors.As(r.Err, &told) && told.Outcome == "notRun"
}

func checkComplete(text, want string) error {
	if text != want {
		return &IncompleteAnswerError{Got: len(text), Want: len(want)}
	}
	return nil
}
