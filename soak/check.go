package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// check compares the results of all calls with the executions at the engines. It returns the first violation.
func (r *run) check() error {
	if len(r.executions.problems) > 0 {
		return &ViolationError{Guarantee: "requests at engines", Detail: r.executions.problems[0], Seed: r.Seed}
	}
	select {
	case exit := <-r.exits:
		return &ViolationError{Guarantee: "processes run until they are stopped", Detail: exit, Seed: r.Seed}
	default:
	}
	for _, c := range r.callers.calls {
		if err := r.checkCall(c); err != nil {
			return err
		}
	}
	for _, check := range []func() error{r.checkCrashes, r.checkLimits, r.checkNotices, r.checkEvacuations, r.checkColdEngines} {
		if err := check(); err != nil {
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
		return r.violation("refused requests did not run", c, fmt.Sprintf("status %d, but it ran", c.status))
	case runs > 2:
		return r.violation("attempts per request", c, fmt.Sprintf("ran %d times, but the route allows 2 attempts", runs))
	case c.crashes != "" && c.status == http.StatusOK:
		return r.violation("successes come from engines", c, "success, but engines crash on it")
	case c.status == http.StatusOK && runs == 0:
		return r.violation("successes come from engines", c, "success, but no engine ran it")
	case c.key == validKey && (c.status == http.StatusUnauthorized || c.status == http.StatusNotFound):
		return r.violation("valid keys and routes", c, fmt.Sprintf("status %d", c.status))
	case c.key == revokedKey && !r.revokedAt.IsZero() && c.sentAt.After(r.revokedAt.Add(keyRevocationLimit)) && runs > 0:
		return r.violation("key revocation", c, fmt.Sprintf("ran, sent %s after the revocation", c.sentAt.Sub(r.revokedAt)))
	}
	if problem := c.bodyProblem(); problem != "" {
		return r.violation("complete and ordered answers", c, problem)
	}
	return nil
}

// checkRetries checks that in each retryWindow the requests at engines, run or not, exceed those of callers by no more than the retry budget.
func (r *run) checkRetries() error {
	visits := r.executions.visits
	slices.SortFunc(visits, func(a, b visit) int { return a.at.Compare(b.at) })
	for i, first := range visits {
		from, sends, requests := first.at, 0, 0
		for _, v := range visits[i:] {
			if v.at.Sub(from) < retryWindow {
				sends++
			}
		}
		for _, c := range r.callers.calls {
			// A request may run up to callTimeout after it was sent.
			if c.sentAt.After(from.Add(-callTimeout)) && c.sentAt.Before(from.Add(retryWindow)) {
				requests++
			}
		}
		if float64(sends-requests) > retryRatio*float64(requests)+retrySlack {
			return &ViolationError{Guarantee: "retry budget", Detail: fmt.Sprintf("%d requests at engines for %d requests in the window from %s", sends, requests, from.Format(time.StampMilli)), Seed: r.Seed}
		}
	}
	return nil
}

// meansNotRun reports whether a status guarantees that the request has not run.
func meansNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
