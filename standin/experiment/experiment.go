package experiment

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/connection/instances"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/replay"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/standin/check"
	"github.com/vanillaroute/vanillaroute/standin/embedded"
	"github.com/vanillaroute/vanillaroute/standin/site"
)

// Routers is the policy that sends requests through the routers.
const Routers replay.Policy = "vanillaroute"

const (
	routerCount     = 3
	loadBound       = 1.25
	loadSettleTime  = time.Second
	requestTimeout  = 15 * time.Second
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	firstTokenLimit = 1900 * time.Millisecond
)

type (
	// Row holds the results of a policy in a scenario.
	Row struct {
		Scenario Name          `json:"scenario"`
		Policy   replay.Policy `json:"policy"`
		Requests int           `json:"requests"`
		// Answered, Refused and Broken count the requests by result. A broken request failed in another way than by a refusal.
		Answered int `json:"answered"`
		Refused  int `json:"refused"`
		Broken   int `json:"broken"`
		// Unexpected counts the outcomes that the trace does not expect.
		Unexpected int `json:"notKept"`
		// Good counts the chat answers whose first token came within firstTokenLimit.
		Good int `json:"good"`
		// GoodRate is the number of good answers per second of the trace.
		GoodRate float64 `json:"goodRate"`
		// CacheReuse is the share of prompt tokens that were in the prefix caches of the engines.
		CacheReuse float64 `json:"cacheReuse"`
		// PeakRunning is the maximum number of requests that an engine ran at once, and OverBound the number of starts that
		// exceeded the load bound.
		PeakRunning int `json:"peakRunning"`
		OverBound   int `json:"overBound"`
		// ExtraLoad is the number of chats that the engines started beyond those sent, as a share of those sent. Refused chats
		// are not counted as sent.
		ExtraLoad  float64                   `json:"extraLoad"`
		FirstToken map[ident.Class]Quantiles `json:"firstToken"`
		Total      Quantiles                 `json:"total"`
		// FirstTokenTimes are the times to the first token of all answered chats, for the plots.
		FirstTokenTimes []time.Duration `json:"-"`
		// Slowest describes the interactive chats with the longest times to the first token and when they were due.
		Slowest []string `json:"slowest,omitempty"`
		// Errors are the errors of the first broken requests.
		Errors []string `json:"errors,omitempty"`
	}

	// Quantiles are the quantiles of a time in milliseconds.
	Quantiles struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}
)

// Run runs a scenario with a policy on a site of its own.
func Run(ctx context.Context, s Scenario, policy replay.Policy) (Row, error) {
	count := routerCount
	if policy != Routers {
		count = 0
	}
	d, err := embedded.Start(siteConfig(), embedded.Options{Routers: count, AdjustSettings: func(v *settings.Settings) { v.Routing.LoadBound = loadBound }})
	if err != nil {
		return Row{}, err
	}
	defer d.Close()
	target, closeTarget, err := openTarget(d, policy, s.Mix.Seed)
	if err != nil {
		return Row{}, err
	}
	defer closeTarget()
	ctx, cancel := context.WithTimeout(ctx, s.Mix.Duration+requestTimeout)
	defer cancel()
	var events sync.WaitGroup
	eventCtx, stopEvents := context.WithTimeout(ctx, s.Mix.Duration)
	events.Go(func() { s.Events(eventCtx, d.Site) })
	results := replay.Run(ctx, replay.Generate(s.Mix), target)
	stopEvents()
	events.Wait()
	row := Summarise(results, s.Mix.Duration)
	row.Scenario, row.Policy = s.Name, policy
	row.addEngineStats(d.Site, results)
	return row, nil
}

func openTarget(d *embedded.Deployment, policy replay.Policy, seed uint64) (replay.Target, func(), error) {
	if policy != Routers {
		b, err := replay.NewBaseline(policy, d.Site.Config.Model, instances.New(d.Site.InstancesAddress()).List, check.ExpectedAnswer, seed)
		if err != nil {
			return nil, nil, errors.Wrap(err, "start baseline")
		}
		return b, b.Close, nil
	}
	keys := make(map[ident.Organisation]string)
	for _, o := range d.Site.Organisations {
		keys[o.Name] = o.Key
	}
	r := replay.NewRouters(d.Site.Config.Model, d.Addresses(), keys, check.ExpectedAnswer)
	return r, r.Close, nil
}

// Summarise returns the row of the results of a trace with duration d, as the clients see them.
func Summarise(results []replay.Result, d time.Duration) Row {
	const maxErrors = 5
	row := Row{Requests: len(results), FirstToken: make(map[ident.Class]Quantiles)}
	byClass := make(map[ident.Class]*hdrhistogram.Histogram)
	total := newHistogram()
	for _, r := range results {
		switch {
		case r.Err == nil:
			row.Answered++
		case r.Refused():
			row.Refused++
		default:
			row.Broken++
		}
		if !r.MeetsExpectation() {
			row.Unexpected++
		}
		if r.Err != nil && !r.Refused() && len(row.Errors) < maxErrors {
			row.Errors = append(row.Errors, r.Err.Error())
		}
		if r.Err != nil || r.Request.Kind != replay.Chat {
			continue
		}
		if r.FirstToken <= firstTokenLimit {
			row.Good++
		}
		row.FirstTokenTimes = append(row.FirstTokenTimes, r.FirstToken)
		h, ok := byClass[r.Request.Class]
		if !ok {
			h = newHistogram()
			byClass[r.Request.Class] = h
		}
		_ = h.RecordValue(r.FirstToken.Microseconds())
		_ = total.RecordValue(r.Total.Microseconds())
	}
	row.Slowest = slowest(results)
	for class, h := range byClass {
		row.FirstToken[class] = quantiles(h)
	}
	row.Total = quantiles(total)
	row.GoodRate = float64(row.Good) / d.Seconds()
	return row
}

// slowest describes the interactive chats with the longest times to the first token.
func slowest(results []replay.Result) []string {
	const maxListed = 60
	var interactive []replay.Result
	for _, r := range results {
		if r.Err == nil && r.Request.Class == "interactive" {
			interactive = append(interactive, r)
		}
	}
	slices.SortFunc(interactive, func(a, b replay.Result) int { return cmp.Compare(b.FirstToken, a.FirstToken) })
	var list []string
	for _, r := range interactive[:min(maxListed, len(interactive))] {
		list = append(list, fmt.Sprintf("due at %d ms: %d ms", r.Request.AtMs, r.FirstToken.Milliseconds()))
	}
	return list
}

// addEngineStats adds the figures from the logs of the engines.
func (r *Row) addEngineStats(s *site.Site, results []replay.Result) {
	prompt, cached, started := 0, 0, 0
	for _, e := range s.Engines {
		for _, entry := range e.Log() {
			if entry.Started.IsZero() {
				continue
			}
			started++
			prompt += entry.PromptTokens
			cached += entry.CachedTokens
			r.PeakRunning = max(r.PeakRunning, entry.PeakRunning)
		}
	}
	sent := 0
	for _, result := range results {
		if result.Request.Kind == replay.Chat && !result.Refused() {
			sent++
		}
	}
	if prompt > 0 {
		r.CacheReuse = float64(cached) / float64(prompt)
	}
	if sent > 0 {
		r.ExtraLoad = float64(started-sent) / float64(sent)
	}
	r.OverBound = len(check.BoundViolations(s.Engines, s.MinListedEngines, loadBound, loadSettleTime))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}
