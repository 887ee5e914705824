package placing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// maxOver is the share of arrivals at engines over the bound that the platform allows.
	maxOver = 0.03
	// firstTokenTarget is the target of the platform's most urgent streams.
	firstTokenTarget = 400 * time.Millisecond
)

type (
	// workload describes the traffic of a simulated fleet whose instances exchange a few heartbeats a second.
	workload struct {
		instances, engines int
		// requestsPerSecond is the rate of all requests, and hotShare the share of them for the hot subject.
		requestsPerSecond float64
		hotShare          float64
		// hotFrom is when the subject becomes hot. Arrivals in the five seconds after it count, or those after a third of the run if it is 0.
		hotFrom        time.Duration
		subjects       int
		generationTime time.Duration
		// longShare is the share of subjects with small prompts whose answers take longTime, and skew the exponent that makes low subjects frequent.
		longShare float64
		longTime  time.Duration
		skew      float64
		// cold makes the arrivals of the first five seconds count, in which no engine has read a prompt before.
		cold bool
		// slowestFactor is the duration of work at the slowest engine relative to the fastest; engines do not report their slowness.
		slowestFactor float64
		// withoutLoads is the share of messages without loads and holders, because the control budget does not cover them.
		withoutLoads float64
		// smallShare is the share of subjects with small prompts, and moveSmallFirst the setting of that name.
		smallShare     float64
		moveSmallFirst bool
		// burstSize is the number of requests that arrive together. Bursts are rarer accordingly, so requestsPerSecond stays the mean rate.
		burstSize float64
	}

	outcome struct {
		// over is the share of arrivals at engines that run more than factor times the mean load plus three. cached is the share of prompts held by the
		// chosen engine or by its source, among those that any engine had read.
		over, cached float64
		// overWithItself is the same share with the arriving request among those that the engine runs.
		overWithItself float64
		// readTokens is what the engines read, and inTime the share of answers that began within firstTokenTarget.
		readTokens, inTime float64
	}

	completion struct {
		at        time.Time
		engine    ident.Engine
		placement *Placement
	}

	// surgeMessage tells one instance of surges that another one has seen.
	surgeMessage struct {
		at       time.Time
		to       *Table
		subjects []PartID
	}

	// firstToken is the start of an answer, with which the engine reports its load.
	firstToken struct {
		at        time.Time
		table     *Table
		engine    engines.Engine
		placement *Placement
	}
)

// simulate plays the traffic.
func (w workload) simulate(t *testing.T, factor float64, seed uint64) outcome {
	t.Helper()
	const span, heartbeatPeriod, fanOut, maxLoads, maxHolders = 15 * time.Second, 250 * time.Millisecond, 2, 8, 16
	const surgeFanOut, messageDelay = 3, 5 * time.Millisecond
	const tokensPerMilli = 38.0
	draws := rand.New(rand.NewPCG(seed, 1))
	all := engines.NewList(list(llm, w.engines))
	tables := make([]*Table, w.instances)
	for i := range tables {
		tables[i] = New(Policy{LoadBound: 1.5, MoveSmallFirst: w.moveSmallFirst})
	}
	slowness := make(map[ident.Engine]float64)
	for i, e := range all.OfService(llm) {
		slowness[e.ID] = 1 + max(w.slowestFactor-1, 0)*float64(i)/float64(w.engines)
	}
	loads := make(map[ident.Engine]int)
	read := make(map[string]map[ident.Engine]bool)
	var running []completion
	// readUntil is when an engine has read all prompts sent to it, one after another.
	readUntil := make(map[ident.Engine]time.Time)
	var answers []firstToken
	var surgeMessages []surgeMessage
	sent, arrivals, above, aboveWithItself, hits, prompts, readTokens, inTime := 0, 0, 0, 0, 0, 0, 0, 0
	step := time.Duration(float64(time.Second) / w.requestsPerSecond)
	nextHeartbeat, now := start, start
	sendSurges := func(from *Table) {
		if subjects := from.TakeNewSurges(); len(subjects) > 0 {
			for range surgeFanOut {
				surgeMessages = append(surgeMessages, surgeMessage{now.Add(messageDelay), tables[draws.IntN(len(tables))], subjects})
			}
		}
	}
	arrive := func() {
		sent++
		number := draws.IntN(w.subjects)
		if w.skew > 0 {
			number = int(math.Pow(draws.Float64(), w.skew) * float64(w.subjects))
		}
		subject, sizes, generationTime := fmt.Sprint("s", number), []int{2500, 6000, 500}, w.generationTime
		if w.longShare > 0 && number%int(1/w.longShare) == 0 {
			sizes, generationTime = []int{100, 500, 110}, w.longTime
		}
		if float64(number) < w.smallShare*float64(w.subjects) {
			sizes = []int{300, 400, 100}
		}
		if draws.Float64() < w.hotShare && !now.Before(start.Add(w.hotFrom)) {
			subject = "hot"
		}
		table := tables[draws.IntN(len(tables))]
		parts := NewParts([]string{fmt.Sprint("first", sizes[0]), subject, fmt.Sprint("own", sent)}, sizes, "m")
		choice, placement, ok := table.Choose(all, Request{Service: llm, Parts: parts, Instances: w.instances}, now)
		if !ok {
			t.Fatal("no engine was chosen")
		}
		sendSurges(table)
		load, mean := loads[choice.Engine.ID], float64(len(running))/float64(w.engines)
		if w.counted(now, span) {
			arrivals++
			if len(read[subject]) > 0 {
				prompts++
			}
			source, _ := all.Get(choice.Source)
			if read[subject][choice.Engine.ID] || read[subject][source.ID] {
				hits++
			}
			if float64(load) > factor*mean+3 {
				above++
			}
			if float64(load+1) > factor*mean+3 {
				aboveWithItself++
			}
		}
		slow := slowness[choice.Engine.ID]
		unread := totalTokens(parts) - choice.FetchedTokens
		if read[subject][choice.Engine.ID] {
			unread = parts[len(parts)-1].Tokens
		}
		if read[subject] == nil {
			read[subject] = make(map[ident.Engine]bool)
		}
		read[subject][choice.Engine.ID] = true
		loads[choice.Engine.ID]++
		begin := now
		if until := readUntil[choice.Engine.ID]; until.After(now) {
			begin = until
		}
		first := begin.Add(time.Duration(slow * float64(unread) / tokensPerMilli * float64(time.Millisecond)))
		readUntil[choice.Engine.ID] = first
		if w.counted(now, span) {
			readTokens += unread
			if first.Sub(now) <= firstTokenTarget {
				inTime++
			}
		}
		duration := time.Duration((0.5 + draws.Float64()) * slow * float64(generationTime))
		running = append(running, completion{at: first.Add(duration), engine: choice.Engine.ID, placement: placement})
		answers = append(answers, firstToken{at: first, table: table, engine: choice.Engine, placement: placement})
	}
	for ; now.Before(start.Add(span)); now = now.Add(step) {
		running = slices.DeleteFunc(running, func(e completion) bool {
			if e.at.After(now) {
				return false
			}
			loads[e.engine]--
			e.placement.End()
			return true
		})
		answers = slices.DeleteFunc(answers, func(a firstToken) bool {
			if a.at.After(now) {
				return false
			}
			a.placement.PrefillDone(now)
			a.table.RecordNotice(a.engine.Key, Notice{Load: &Report{Running: loads[a.engine.ID]}}, now)
			return true
		})
		for len(surgeMessages) > 0 && !surgeMessages[0].at.After(now) {
			m := surgeMessages[0]
			surgeMessages = surgeMessages[1:]
			m.to.MergeSurges(m.subjects, now)
			sendSurges(m.to)
		}
		for ; !nextHeartbeat.After(now); nextHeartbeat = nextHeartbeat.Add(heartbeatPeriod) {
			for i, from := range tables {
				// Heartbeats carry loads and holders, their answers loads only.
				for message := range 2 * fanOut {
					to := tables[draws.IntN(len(tables))]
					to.MergeRunning(from.Running(now), now)
					if draws.Float64() < w.withoutLoads {
						continue
					}
					to.SetRemoteLoads(fmt.Sprint("instance-", i), from.LocalLoads(now), now)
					to.MergeReportedLoads(from.ReportedLoads(now.Add(-600*time.Millisecond), maxLoads))
					if message < fanOut {
						to.MergeHolders(from.RecentHolders(now.Add(-1200*time.Millisecond), maxHolders))
					}
				}
			}
		}
		if w.burstSize <= 1 || draws.Float64() < 1/w.burstSize {
			for range max(int(w.burstSize), 1) {
				arrive()
			}
		}
	}
	return outcome{over: float64(above) / float64(arrivals), overWithItself: float64(aboveWithItself) / float64(arrivals), cached: float64(hits) / float64(prompts), readTokens: float64(readTokens), inTime: float64(inTime) / float64(arrivals)}
}

// counted reports whether an arrival at a time is part of the result.
func (w workload) counted(now time.Time, span time.Duration) bool {
	const window = 5 * time.Second
	if w.hotFrom == 0 && !w.cold {
		return now.After(start.Add(span / 3))
	}
	since := now.Sub(start.Add(w.hotFrom))
	return since >= 0 && since < window
}

// TestManyInstancesKeepLoadBound guards against overloaded engines in a fleet whose instances learn of each other's choices late and only
// in part. The platform allows 3 in 100 arrivals above twice the mean load plus three. The target for cache reuse is 95 in 100 of that of
// rendezvous hashing without a bound, which finds all prompts cached.
func TestManyInstancesKeepLoadBound(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates 40,000 requests, too many for the race detector")
	}
	tests := []struct {
		name   string
		load   workload
		cached float64
	}{
		{"nine instances, even", workload{instances: 9, engines: 9, requestsPerSecond: 70, subjects: 100, generationTime: 800 * time.Millisecond}, 0.95},
		{"nine instances, one hot subject", workload{instances: 9, engines: 9, requestsPerSecond: 100, hotShare: 0.25, subjects: 100, generationTime: 800 * time.Millisecond}, 0.95},
		{"77 instances, even", workload{instances: 77, engines: 140, requestsPerSecond: 800, subjects: 1500, generationTime: 800 * time.Millisecond}, 0.95},
		{"77 instances, one hot subject", workload{instances: 77, engines: 140, requestsPerSecond: 800, hotShare: 0.1, subjects: 1500, generationTime: 800 * time.Millisecond}, 0.95},
		{"77 instances, a fifth about one subject", workload{instances: 77, engines: 140, requestsPerSecond: 800, hotShare: 0.2, subjects: 1500, generationTime: 800 * time.Millisecond}, 0.95},
		{"77 instances, a subject becomes hot", workload{instances: 77, engines: 140, requestsPerSecond: 800, hotShare: 0.11, hotFrom: 5 * time.Second, subjects: 1500, generationTime: 400 * time.Millisecond}, 0.9},
		{"nine instances, a subject becomes hot", workload{instances: 9, engines: 9, requestsPerSecond: 70, hotShare: 0.3, hotFrom: 5 * time.Second, subjects: 100, generationTime: 800 * time.Millisecond}, 0.9},
		{"89 instances, all cold", workload{instances: 89, engines: 140, requestsPerSecond: 740, subjects: 1250, generationTime: 300 * time.Millisecond, cold: true, slowestFactor: 2.5, burstSize: 3}, 0.9},
		{"89 instances, a seventh become about one subject in bursts", workload{instances: 89, engines: 140, requestsPerSecond: 740, hotShare: 0.14, hotFrom: 5 * time.Second, subjects: 1250, generationTime: 400 * time.Millisecond, slowestFactor: 2.5, burstSize: 3}, 0.9},
		{"89 instances, a quarter become about one subject in bursts", workload{instances: 89, engines: 140, requestsPerSecond: 740, hotShare: 0.25, hotFrom: 5 * time.Second, subjects: 1250, generationTime: 400 * time.Millisecond, slowestFactor: 2.5, burstSize: 3}, 0.9},
		{"89 instances, all cold, a seventh about one subject", workload{instances: 89, engines: 140, requestsPerSecond: 740, hotShare: 0.14, subjects: 1250, generationTime: 300 * time.Millisecond, cold: true, slowestFactor: 2.5, burstSize: 3}, 0.9},
		{"nine instances, all cold", workload{instances: 9, engines: 9, requestsPerSecond: 60, subjects: 100, generationTime: 600 * time.Millisecond, cold: true, slowestFactor: 2.5, burstSize: 3}, 0.9},
		{"89 instances, long answers, loads in a quarter of the messages", workload{instances: 89, engines: 196, requestsPerSecond: 840, subjects: 1500, generationTime: 800 * time.Millisecond, slowestFactor: 1.3, withoutLoads: 0.75}, 0.95},
		{"295 instances, long answers, loads in a quarter of the messages", workload{instances: 295, engines: 320, requestsPerSecond: 1350, subjects: 2500, generationTime: 800 * time.Millisecond, slowestFactor: 1.3, withoutLoads: 0.75}, 0.95},
		{"77 instances, few subjects", workload{instances: 77, engines: 140, requestsPerSecond: 800, hotShare: 0.05, subjects: 60, generationTime: 800 * time.Millisecond}, 0.95},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := tt.load.simulate(t, 2, 7)
			t.Logf("%.1f in 100 above the bound, %.0f in 100 prompts cached", 100*o.over, 100*o.cached)
			if o.over > maxOver {
				t.Errorf("%.1f in 100 arrivals above the bound", 100*o.over)
			}
			if o.cached < tt.cached {
				t.Errorf("%.0f in 100 prompts cached, want %.0f", 100*o.cached, 100*tt.cached)
			}
		})
	}
}

// TestShortAnswersKeepLoadBound guards against engines that most prompts prefer and that look like the others as soon as their last report is old: in a
// large fleet an answer ends before the instances learn of it.
func TestShortAnswersKeepLoadBound(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates too many requests for the race detector")
	}
	for _, w := range []workload{
		{instances: 62, engines: 60, requestsPerSecond: 420, subjects: 150, skew: 2, generationTime: 60 * time.Millisecond, longShare: 0.125, longTime: 1100 * time.Millisecond, slowestFactor: 1.5, burstSize: 3},
		{instances: 62, engines: 60, requestsPerSecond: 420, subjects: 300, skew: 2.5, generationTime: 60 * time.Millisecond, longShare: 0.125, longTime: 1100 * time.Millisecond, slowestFactor: 2.5, burstSize: 3},
		{instances: 62, engines: 60, requestsPerSecond: 300, subjects: 150, skew: 2, generationTime: 60 * time.Millisecond, longShare: 0.125, longTime: 2 * time.Second, slowestFactor: 1.5, burstSize: 4},
	} {
		o := w.simulate(t, 2, 7)
		t.Logf("%d subjects: %.2f in 100 above the bound, %.2f with the request itself, %.0f k tokens read", w.subjects, 100*o.over, 100*o.overWithItself, o.readTokens/1e3)
		if o.overWithItself > maxOver {
			t.Errorf("%.1f in 100 arrivals above the bound", 100*o.overWithItself)
		}
	}
}

// TestSmallPromptsMoveFirst guards against engines that read large prompts again because they were near the load bound for a moment, while small prompts,
// which cost little elsewhere, stayed: the answers behind them began late.
func TestSmallPromptsMoveFirst(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates too many requests for the race detector")
	}
	for _, w := range []workload{
		{instances: 75, engines: 60, requestsPerSecond: 500, subjects: 600, smallShare: 0.7, generationTime: 800 * time.Millisecond, slowestFactor: 1.3, withoutLoads: 0.5},
		{instances: 62, engines: 60, requestsPerSecond: 500, subjects: 600, smallShare: 0.5, generationTime: 500 * time.Millisecond, slowestFactor: 1.3, withoutLoads: 0.5, burstSize: 3},
	} {
		before := w.simulate(t, 2, 7)
		w.moveSmallFirst = true
		after := w.simulate(t, 2, 7)
		t.Logf("%d instances: %.0f and %.0f k tokens read, %.1f and %.1f in 100 begun in time, %.1f and %.1f above the bound", w.instances,
			before.readTokens/1e3, after.readTokens/1e3, 100*before.inTime, 100*after.inTime, 100*before.over, 100*after.over)
		// The last two answers in a hundred depend on the draws.
		if after.readTokens > 0.95*before.readTokens || after.inTime < before.inTime-0.02 {
			t.Error("small prompts do not move first")
		}
		if after.over > maxOver {
			t.Errorf("%.1f in 100 arrivals above the bound", 100*after.over)
		}
	}
}
