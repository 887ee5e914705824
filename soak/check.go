package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// check judges all calls by what their callers and the engines saw.
func (r *run) check() error {
	if len(r.seen.wrong) > 0 {
		return &BrokenError{Promise: "what engines get", Detail: r.seen.wrong[0], Seed: r.Seed}
	}
	for _, c := range r.callers.calls {
		if err := r.checkCall(c); err != nil {
			return err
		}
	}
	return r.checkRetries()
}

func (r *run) checkCall(c call) error {
	runs := r.seen.ran(c.id)
	switch {
	case c.path == pathOnce && runs > 1:
		return r.broken("at most once", c, fmt.Sprintf("ran %d times", runs))
	case c.path == pathOnce && runs > 0 && refusal(c.status):
		return r.broken("a refusal is true", c, fmt.Sprintf("status %d, but it ran", c.status))
	case runs > 2:
		return r.broken("engines of one request", c, fmt.Sprintf("ran %d times, the route allows 2", runs))
	case c.status == http.StatusOK && runs == 0:
		return r.broken("own answer", c, "a success, but no engine ran it")
	case c.key == keptKey && (c.status == http.StatusUnauthorized || c.status == http.StatusNotFound):
		return r.broken("keys and routes in force", c, fmt.Sprintf("status %d", c.status))
	case c.key == revokedKey && !r.revoked.IsZero() && c.sent.After(r.revoked.Add(revocationTime)) && runs > 0:
		return r.broken("a revoked key ends", c, fmt.Sprintf("ran, sent %s after the revocation", c.sent.Sub(r.revoked)))
	}
	if wrong := c.wrongBody(); wrong != "" {
		return r.broken("whole answers in order", c, wrong)
	}
	return nil
}

// checkRetries compares the runs with the requests of each window.
func (r *run) checkRetries() error {
	slices.SortFunc(r.seen.starts, time.Time.Compare)
	for i, from := range r.seen.starts {
		runs, requests := 0, 0
		for _, at := range r.seen.starts[i:] {
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
			return &BrokenError{Promise: "retry budget", Detail: fmt.Sprintf("%d runs of %d requests from %s on", runs, requests, from.Format(time.StampMilli)), Seed: r.Seed}
		}
	}
	return nil
}

// refusal reports whether a status promises that the request has not run.
func refusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
