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

// MaxCrashesPerRequest is how many engines one request may crash.
const MaxCrashesPerRequest = 2

// ExpectedAnswer returns the text that the engine stand-ins answer to a chat.
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

// Executions counts how often each key's call ran at any instance.
func Executions(desks []*service.Service) map[string]int {
	var log []service.Entry
	for _, d := range desks {
		log = append(log, d.Log()...)
	}
	return countExecutions(log)
}

// DuplicateExecutions returns the keys whose call ran more than once.
func DuplicateExecutions(desks []*service.Service) []string {
	return describeDuplicates(Executions(desks))
}

// DuplicateExecutionsInLog returns the keys whose call ran more than once by the logs of all instances together.
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

// StartedAfter returns the requests that an engine started after a time.
func StartedAfter(e *engine.Engine, after time.Time) []engine.Entry {
	var late []engine.Entry
	for _, entry := range e.Log() {
		if entry.Started.After(after) {
			late = append(late, entry)
		}
	}
	return late
}

// BoundViolation is a moment at which an engine ran more than its bound.
type BoundViolation struct {
	Engine  string
	At      time.Time
	Running int
	Bound   int
}

// runningChange is a start or an end of a request at an engine.
type runningChange struct {
	at     time.Time
	engine int
	delta  int
}

// MinListedEnginesFunc returns the fewest engines that the platform's list showed within a time.
type MinListedEnginesFunc func(from, to time.Time) int

// BoundViolations returns the starts that brought an engine above ceil(loadBound × mean), where a mean under one counts as
// one; it is the highest of the time within settle before the start, since routers see one another's load, and the
// list, late.
func BoundViolations(engines []*engine.Engine, listed MinListedEnginesFunc, loadBound float64, settle time.Duration) []BoundViolation {
	changes := timeline(engines)
	running := make([]int, len(engines))
	total := 0
	type moment struct {
		at    time.Time
		total int
	}
	var past []moment
	var excess []BoundViolation
	for _, c := range changes {
		running[c.engine] += c.delta
		total += c.delta
		past = append(past, moment{c.at, total})
		if c.delta < 0 {
			continue
		}
		highest := total
		for i := len(past) - 1; i >= 0; i-- {
			highest = max(highest, past[i].total)
			if c.at.Sub(past[i].at) > settle {
				break
			}
		}
		count := max(1, listed(c.at.Add(-settle), c.at))
		bound := ceil(loadBound * max(1, float64(highest)/float64(count)))
		if running[c.engine] > bound {
			excess = append(excess, BoundViolation{string(engines[c.engine].Config().ID), c.at, running[c.engine], bound})
		}
	}
	return excess
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
