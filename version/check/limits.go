package check

import (
	"time"

	"github.com/vanillaroute/vanillaroute/version/routing"
)

// mostBytes is the largest plausible bound of a header or body: an instance of 184 MB cannot hold several requests of more.
const mostBytes = 64 << 20

// Contradictions returns the limits that contradict each other or that no instance can hold.
func Contradictions(c routing.Content) []Finding {
	var list findings
	for i, r := range c.Routes {
		place := Place{Kind: Route, Index: i, Part: Timeout}
		// A timeout of 0 stands for the default of the instances.
		for _, target := range []struct {
			name string
			time time.Duration
		}{
			{"target time", r.TargetFirstByte}, {"target of the longest pause", r.TargetEventGap},
		} {
			if r.Timeout > 0 && r.Timeout < target.time {
				list.add(Warning, place, "the timeout of route %q, %s, is below its %s of %s", r.Name, r.Timeout, target.name, target.time)
			}
		}
	}
	for i, s := range c.Services {
		if s.Warmup != nil && s.Warmup.PerSecond == 0 && s.Warmup.Span > 0 {
			list.add(Warning, Place{Kind: Service, Index: i, Part: WarmupRate}, "engines of service %q take hardly any request for %s after their start, as the warm-up rate is 0", s.Name, s.Warmup.Span)
		}
	}
	for _, limit := range []struct {
		part  Part
		name  string
		bytes int64
	}{
		{HeaderLimit, "header", c.Limits.MaxHeaderBytes}, {BodyLimit, "body", c.Limits.MaxBodyBytes},
	} {
		if limit.bytes > mostBytes {
			list.add(Warning, Place{Kind: Limits, Part: limit.part}, "the %s limit of %d bytes is above 64 MB, which an instance may not have memory for", limit.name, limit.bytes)
		}
	}
	return list
}
