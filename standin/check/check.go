package check

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/vanillaroute/vanillaroute/caller"
	"github.com/vanillaroute/vanillaroute/standin/engine"
	"github.com/vanillaroute/vanillaroute/standin/service"
)

// MaxCrashesPerRequest is the maximum number of engines that a single request may crash.
const MaxCrashesPerRequest = 2

// ExpectedAnswer returns the answer of the simulated engines to a chat, with the given number of tokens.
func ExpectedAnswer(messages []caller.Message, tokens int) string {
	var raw []json.RawMessage
	for _, m := range messages {
		if body, err := json.Marshal(m); err == nil {
			raw = append(raw, body)
		}
	}
	prompt := engine.PromptText(raw)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(engine.Token(prompt, i))
	}
	return text.String()
}

// Executions returns the number of executions for each idempotency key over all instances.
func Executions(services []*service.Service) map[string]int {
	var log []service.Entry
	for _, s := range services {
		log = append(log, s.Log()...)
	}
	return countExecutions(log)
}

// DuplicateExecutions describes the idempotency keys whose call ran more than once.
func DuplicateExecutions(services []*service.Service) []string {
	return describeDuplicates(Executions(services))
}

// DuplicateExecutionsInLog describes the idempotency keys whose call ran more than once, given the log entries of all instances.
func DuplicateExecutionsInLog(log []service.Entry) []string {
	return describeDuplicates(countExecutions(log))
}

func countExecutions(log []service.Entry) map[string]int {
	runs := make(map[string]int)
	for _, e := range log {
		if e.IdempotencyKey != "" {
			runs[e.IdempotencyKey]++
		}
	}
	return runs
}

func describeDuplicates(runs map[string]int) []string {
	var keys []string
	for k, n := range runs {
		if n > 1 {
			keys = append(keys, fmt.Sprintf("%s ran %d times", k, n))
		}
	}
	sort.Strings(keys)
	return keys
}

// StartedAfter returns the log entries of the requests that an engine started after the given time.
func StartedAfter(e *engine.Engine, after time.Time) []engine.Entry {
	var late []engine.Entry
	for _, entry := range e.Log() {
		if entry.Started.After(after) {
			late = append(late, entry)
		}
	}
	return late
}

// BoundViolation is the start of a request that brought the load of an engine above its bound.
type BoundViolation struct {
	Engine  string
	At      time.Time
	Running int
	Bound   int
}

// runningChange is the start (+1) or the end (-1) of a request at an engine.
type runningChange struct {
	at     time.Time
	engine int
	delta  int
}

// MinListedEnginesFunc returns the smallest number of engines in the platform's list between two times.
type MinListedEnginesFunc func(from, to time.Time) int

// BoundViolations returns the starts that brought the load of an engine above ceil(loadBound × max(1, mean)). The mean is the
// highest total load divided by the smallest number of listed engines, both within the settle time before the start, because
// routers see each other's load and the list of instances with a delay.
func BoundViolations(engines []*engine.Engine, minListed MinListedEnginesFunc, loadBound float64, settle time.Duration) []BoundViolation {
	changes := timeline(engines)
	running := make([]int, len(engines))
	total := 0
	type loadSample struct {
		at    time.Time
		total int
	}
	var samples []loadSample
	var violations []BoundViolation
	for _, c := range changes {
		running[c.engine] += c.delta
		total += c.delta
		samples = append(samples, loadSample{c.at, total})
		if c.delta < 0 {
			continue
		}
		highest := total
		for i := len(samples) - 1; i >= 0; i-- {
			highest = max(highest, samples[i].total)
			if c.at.Sub(samples[i].at) > settle {
				break
			}
		}
		listed := max(1, minListed(c.at.Add(-settle), c.at))
		bound := ceil(loadBound * max(1, float64(highest)/float64(listed)))
		if running[c.engine] > bound {
			violations = append(violations, BoundViolation{string(engines[c.engine].Config().ID), c.at, running[c.engine], bound})
		}
	}
	return violations
}

func timeline(engines []*engine.Engine) []runningChange {
	var changes []runningChange
	for i, e := range engines {
		for _, entry := range e.Log() {
			if entry.Started.IsZero() {
				continue
			}
			changes = append(changes, runningChange{entry.Started, i, 1})
			if !entry.Ended.IsZero() {
				changes = append(changes, runningChange{entry.Ended, i, -1})
			}
		}
	}
	sort.SliceStable(changes, func(a, b int) bool { return changes[a].at.Before(changes[b].at) })
	return changes
}

func ceil(f float64) int {
	n := int(f)
	if float64(n) < f {
		n++
	}
	return n
}
