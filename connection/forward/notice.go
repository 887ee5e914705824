package forward

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/request/placing"
)

// retryAfterName names the field with the time for which an engine that refuses a request takes no more from the same instance, in seconds.
const retryAfterName = "Retry-After"

// notice returns what an answer says about its engine.
func (n *HeaderNames) notice(resp *upstream.Response) placing.Notice {
	notice := placing.Notice{Limit: n.limit(resp)}
	if report, ok := n.ParseLoad(resp.Header.Get(n.Load)); ok {
		notice.Load = &report
	}
	if leaving, err := strconv.ParseBool(resp.Header.Get(n.Leaving)); err == nil {
		notice.Leaving = leaving
	}
	if resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests {
		notice.PausedFor = seconds(resp.Header.Get(retryAfterName))
	}
	return notice
}

// limit returns the limit that an answer names, 0 if the answer says that there is none, and nil if it does not tell: a failure without a limit does
// not say that the engine has none.
func (n *HeaderNames) limit(resp *upstream.Response) *placing.RequestRate {
	text := resp.Header.Get(n.Limit)
	rate, err := strconv.ParseFloat(text, 32)
	var limit placing.RequestRate
	switch {
	case err == nil && rate >= 0 && !math.IsInf(rate, 0):
		limit = max(placing.RequestRate(rate), placing.MinLimit)
	case text != "" || resp.Status >= 300 || resp.Header.Get(n.ResponseSeal) == "":
		return nil
	}
	return &limit
}

// coldFor returns for how long an engine says that it stays cold, in milliseconds, and 0 if it does not say so.
func (n *HeaderNames) coldFor(h http.Header) time.Duration {
	ms, err := strconv.ParseFloat(h.Get(n.ColdFor), 64)
	if err != nil || !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms*float64(time.Millisecond), math.MaxInt64/2))
}

// seconds parses a number of seconds, which may have a fraction. It returns 0 if the text is invalid, and at most the longest duration.
func seconds(text string) time.Duration {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
}
