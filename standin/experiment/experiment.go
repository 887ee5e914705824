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

// Routers is the policy of the routers themselves.
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
	// Row is what one policy did in one scenario.
	Row struct {
		Scenario Name          `json:"scenario"`
		Policy   replay.Policy `json:"policy"`
		Requests int           `json:"requests"`
		Answered int           `json:"answered"`
		Refused  int           `json:"refused"`
		Broken   int           `json:"broken"`
		// Unexpected counts the outcomes that are not the stated ones.
		Unexpected int `json:"notKept"`
		// Good counts the answers whose first token came in time.
		Good int `json:"good"`
		// GoodRate is good answers in a second over the trace's length.
		GoodRate float64 `json:"goodRate"`
		// CacheReuse is the share of prompt tokens that the engines had cached.
		CacheReuse float64 `json:"cacheReuse"`
		// PeakRunning is the most requests that an engine ran at once, and OverBound how many starts broke the bound.
		PeakRunning int `json:"peakRunning"`
		OverBound   int `json:"overBound"`
		// ExtraLoad is how many more requests the engines began than callers sent.
		ExtraLoad  float64                   `json:"extraLoad"`
		FirstToken map[ident.Class]Quantiles `json:"firstToken"`
		Total      Quantiles                 `json:"total"`
		// FirstTokenTimes are the times to the first token of all answered chats, for plots.
		FirstTokenTimes []time.Duration `json:"-"`
		// Slowest are the chats whose first tokens came last, with when they were due.
		Slowest []string `json:"slowest,omitempty"`
		// Errors are some of the broken requests.
		Errors []string `json:"errors,omitempty"`
	}

	// Quantiles are in milliseconds.
	Quantiles struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}
)

// Run carries out one scenario under one policy, with stand-ins of its own.
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

// Summarise judges the results of a trace of some length from the callers' ends.
func Summarise(results []replay.Result, d time.Duration) Row {
	const keptErrors = 5
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
		if r.Err != nil && !r.Refused() && len(row.Errors) < keptErrors {
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

// slowest returns the kiosk chats that waited longest.
func slowest(results []replay.Result) []string {
	const kept = 60
	var kiosk []replay.Result
	for _, r := range results {
		if r.Err == nil && r.Request.Class == "interactive" {
			kiosk = append(kiosk, r)
		}
	}
	slices.SortFunc(kiosk, func(a, b replay.Result) int { return cmp.Compare(b.FirstToken, a.FirstToken) })
	var list []string
	for _, r := range kiosk[:min(kept, len(kiosk))] {
		list = append(list, fmt.Sprintf("due at %d ms: %d ms", r.Request.AtMs, r.FirstToken.Milliseconds()))
	}
	return list
}

// addEngineStats adds what the engines' own logs tell.
func (r *Row) addEngineStats(s *site.Site, results []replay.Result) {
	prompt, cached, began := 0, 0, 0
	for _, e := range s.Engines {
		for _, entry := range e.Log() {
			if entry.Started.IsZero() {
				continue
			}
			began++
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
		r.ExtraLoad = float64(began-sent) / float64(sent)
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
