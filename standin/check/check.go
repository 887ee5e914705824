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

// MaxCrashes is how many engines one request may crash.
const MaxCrashes = 2

// Answer returns the text that the engine stand-ins answer to a chat.
func Answer(messages []caller.Message, tokens int) string {
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
	return executions(log)
}

// Doubled returns the keys whose call ran more than once.
func Doubled(desks []*service.Service) []string { return repeated(Executions(desks)) }

// DoubledIn returns the keys whose call ran more than once by the logs of all instances together.
func DoubledIn(log []service.Entry) []string { return repeated(executions(log)) }

func executions(log []service.Entry) map[string]int {
	runs := make(map[string]int)
	for _, e := range log {
		if e.IdempotencyKey != "" {
			runs[e.IdempotencyKey]++
		}
	}
	return runs
}

func repeated(runs map[string]int) []string {
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

// Excess is a moment at which an engine ran more than its bound.
type Excess struct {
	Engine  string
	At      time.Time
	Running int
	Bound   int
}

// change is a start or an end of a request at an engine.
type change struct {
	at     time.Time
	engine int
	step   int
}

// Listed returns the fewest engines that the platform's list showed within a time.
type Listed func(from, to time.Time) int

// OverBound returns the starts that brought an engine above ceil(loadBound × mean), where a mean under one counts as
// one; it is the highest of the time within settle before the start, since routers see one another's load, and the
// list, late.
func OverBound(engines []*engine.Engine, listed Listed, loadBound float64, settle time.Duration) []Excess {
	changes := timeline(engines)
	running := make([]int, len(engines))
	total := 0
	type moment struct {
		at    time.Time
		total int
	}
	var past []moment
	var excess []Excess
	for _, c := range changes {
		running[c.engine] += c.step
		total += c.step
		past = append(past, moment{c.at, total})
		if c.step < 0 {
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
			excess = append(excess, Excess{string(engines[c.engine].Shape().ID), c.at, running[c.engine], bound})
		}
	}
	return excess
}

func timeline(engines []*engine.Engine) []change {
	var changes []change
	for i, e := range engines {
		for _, entry := range e.Log() {
			if entry.Started.IsZero() {
				continue
			}
			changes = append(changes, change{entry.Started, i, 1})
			if !entry.Ended.IsZero() {
				changes = append(changes, change{entry.Ended, i, -1})
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
