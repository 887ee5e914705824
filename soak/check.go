package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// check judges all calls by what their callers and the engines saw.
func (r *run) check() error {
	if len(r.executions.problems) > 0 {
		return &ViolationError{Guarantee: "what engines get", Detail: r.executions.problems[0], Seed: r.Seed}
	}
	for _, c := range r.callers.calls {
		if err := r.checkCall(c); err != nil {
			return err
		}
	}
	return r.checkRetries()
}

func (r *run) checkCall(c call) error {
	runs := r.executions.count(c.id)
	switch {
	case c.path == pathOnce && runs > 1:
		return r.violation("at most once", c, fmt.Sprintf("ran %d times", runs))
	case c.path == pathOnce && runs > 0 && meansNotRun(c.status):
		return r.violation("a refusal is true", c, fmt.Sprintf("status %d, but it ran", c.status))
	case runs > 2:
		return r.violation("engines of one request", c, fmt.Sprintf("ran %d times, the route allows 2", runs))
	case c.status == http.StatusOK && runs == 0:
		return r.violation("own answer", c, "a success, but no engine ran it")
	case c.key == validKey && (c.status == http.StatusUnauthorized || c.status == http.StatusNotFound):
		return r.violation("keys and routes in force", c, fmt.Sprintf("status %d", c.status))
	case c.key == revokedKey && !r.revokedAt.IsZero() && c.sent.After(r.revokedAt.Add(keyRevocationLimit)) && runs > 0:
		return r.violation("a revoked key ends", c, fmt.Sprintf("ran, sent %s after the revocation", c.sent.Sub(r.revokedAt)))
	}
	if wrong := c.bodyProblem(); wrong != "" {
		return r.violation("whole answers in order", c, wrong)
	}
	return nil
}

// checkRetries compares the runs with the requests of each window.
func (r *run) checkRetries() error {
	slices.SortFunc(r.executions.starts, time.Time.Compare)
	for i, from := range r.executions.starts {
		runs, requests := 0, 0
		for _, at := range r.executions.starts[i:] {
			if at.Sub(from) < retryWindow {
				runs++
			}
		}
		for _, c := range r.callers.calls {
			// A request may run a while after it was sent.
			if c.sent.After(from.Add(-callTimeout)) && c.sent.Before(from.Add(retryWindow)) {
				requests++
			}
		}
		if float64(runs-requests) > retryRatio*float64(requests)+retrySlack {
			return &ViolationError{Guarantee: "retry budget", Detail: fmt.Sprintf("%d runs of %d requests from %s on", runs, requests, from.Format(time.StampMilli)), Seed: r.Seed}
		}
	}
	return nil
}

// meansNotRun reports whether a status promises that the request has not run.
func meansNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
