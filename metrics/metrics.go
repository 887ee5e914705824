package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/vanillaroute/vanillaroute/ident"
)

const (
	// MaxSeries is the maximum number of histogram series. The last one is shared by all pairs of organisation and class
	// that have none of their own.
	MaxSeries = 256

	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
	overflowLabel     = "other"
)

type (
	// Metrics holds the histograms and counters of one router.
	Metrics struct {
		mu       sync.Mutex
		series   boundedSeries[series]
		counters expvar.Map
	}

	// Summary summarises one histogram, in milliseconds.
	Summary struct {
		Count  int64   `json:"count"`
		MeanMs float64 `json:"meanMs"`
		P50Ms  float64 `json:"p50Ms"`
		P95Ms  float64 `json:"p95Ms"`
		P99Ms  float64 `json:"p99Ms"`
		MaxMs  float64 `json:"maxMs"`
	}

	// Series holds the histograms of one organisation and class.
	Series struct {
		Organisation ident.Organisation `json:"organisation"`
		Class        ident.Class        `json:"class"`
		QueueTime    Summary            `json:"queueTime"`
		FirstToken   Summary            `json:"firstToken"`
		TokenGap     Summary            `json:"tokenGap"`
		Total        Summary            `json:"total"`
	}

	seriesKey struct {
		org   ident.Organisation
		class ident.Class
	}

	// boundedSeries holds at most MaxSeries values. Further pairs of organisation and class share one value.
	boundedSeries[V any] map[seriesKey]*V

	series struct {
		mu                                     sync.Mutex
		queueTime, firstToken, tokenGap, total *hdrhistogram.Histogram
	}
)

// New returns empty metrics.
func New() *Metrics {
	m := &Metrics{series: make(boundedSeries[series])}
	m.counters.Init()
	return m
}

// Add adds n to a counter.
func (m *Metrics) Add(counter string, n int64) { m.counters.Add(counter, n) }

// Counter returns the value of a counter, or 0 if it does not exist.
func (m *Metrics) Counter(counter string) int64 {
	v, ok := m.counters.Get(counter).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

// QueueTime records how long a request waited for a slot.
func (m *Metrics) QueueTime(org ident.Organisation, class ident.Class, d time.Duration) {
	m.seriesOf(org, class).record(func(s *series) *hdrhistogram.Histogram { return s.queueTime }, d)
}

// FirstToken records the time from arrival to the first token.
func (m *Metrics) FirstToken(org ident.Organisation, class ident.Class, d time.Duration) {
	m.seriesOf(org, class).record(func(s *series) *hdrhistogram.Histogram { return s.firstToken }, d)
}

// TokenGap records the time between two consecutive tokens.
func (m *Metrics) TokenGap(org ident.Organisation, class ident.Class, d time.Duration) {
	m.seriesOf(org, class).record(func(s *series) *hdrhistogram.Histogram { return s.tokenGap }, d)
}

// Total records the time from arrival to the end of the answer.
func (m *Metrics) Total(org ident.Organisation, class ident.Class, d time.Duration) {
	m.seriesOf(org, class).record(func(s *series) *hdrhistogram.Histogram { return s.total }, d)
}

// Snapshot returns summaries of all series, in no particular order.
func (m *Metrics) Snapshot() []Series {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Series, 0, len(m.series))
	for k, s := range m.series {
		s.mu.Lock()
		list = append(list, Series{
			Organisation: k.org, Class: k.class,
			QueueTime: summarise(s.queueTime), FirstToken: summarise(s.firstToken),
			TokenGap: summarise(s.tokenGap), Total: summarise(s.total),
		})
		s.mu.Unlock()
	}
	return list
}

// String returns counters and series as JSON for expvar.
func (m *Metrics) String() string {
	body, err := json.Marshal(struct {
		Counters json.RawMessage `json:"counters"`
		Series   []Series        `json:"series"`
	}{json.RawMessage(m.counters.String()), m.Snapshot()})
	if err != nil {
		return "{}"
	}
	return string(body)
}

func (m *Metrics) seriesOf(org ident.Organisation, class ident.Class) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.series.getOrCreate(seriesKey{org, class}, func() *series {
		return &series{queueTime: histogram(), firstToken: histogram(), tokenGap: histogram(), total: histogram()}
	})
}

// getOrCreate returns the value of a pair and creates it if necessary. It returns the shared value if the limit is reached.
func (b boundedSeries[V]) getOrCreate(key seriesKey, create func() *V) *V {
	v, ok := b[key]
	if !ok && len(b) >= MaxSeries-1 {
		key = seriesKey{overflowLabel, overflowLabel}
		v, ok = b[key]
	}
	if !ok {
		v = create()
		b[key] = v
	}
	return v
}

func (s *series) record(histogramOf func(*series) *hdrhistogram.Histogram, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = histogramOf(s).RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func summarise(h *hdrhistogram.Histogram) Summary {
	ms := func(micros int64) float64 { return float64(micros) / float64(time.Millisecond/time.Microsecond) }
	return Summary{
		Count: h.TotalCount(), MeanMs: h.Mean() / float64(time.Millisecond/time.Microsecond),
		P50Ms: ms(h.ValueAtQuantile(50)), P95Ms: ms(h.ValueAtQuantile(95)), P99Ms: ms(h.ValueAtQuantile(99)), MaxMs: ms(h.Max()),
	}
}
