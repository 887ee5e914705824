package metrics

import (
	"cmp"
	"expvar"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

// latencyBounds are the upper bounds of the buckets of a latency histogram; the last bucket has none.
var latencyBounds = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

type (
	// Registry are the counters and latency histograms of an entry instance, bounded in number and served as text and as expvar.
	Registry struct {
		mu        sync.Mutex
		counters  expvar.Map
		latencies boundedSeries[latency]
		gauges    map[string]func() float64
	}

	// latency is the histogram of one organisation and class.
	latency struct {
		buckets   []atomic.Int64
		sumMicros atomic.Int64
	}
)

// NewRegistry returns metrics without series.
func NewRegistry() *Registry {
	t := &Registry{latencies: make(boundedSeries[latency]), gauges: make(map[string]func() float64)}
	t.counters.Init()
	return t
}

// Add adds to a counter.
func (t *Registry) Add(counter string, n int64) { t.counters.Add(counter, n) }

// Gauge registers a value that is read when the metrics are.
func (t *Registry) Gauge(name string, value func() float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gauges[name] = value
}

// Observe records how long a request took.
func (t *Registry) Observe(org ident.Organisation, class ident.Class, took time.Duration) {
	t.mu.Lock()
	l := t.latencies.getOrCreate(seriesKey{org, class}, func() *latency { return &latency{buckets: make([]atomic.Int64, len(latencyBounds)+1)} })
	t.mu.Unlock()
	at, _ := slices.BinarySearch(latencyBounds, took)
	l.buckets[at].Add(1)
	l.sumMicros.Add(took.Microseconds())
}

// WriteTo writes all metrics as text, a line for each value, and returns the writer's error.
func (t *Registry) WriteTo(w io.Writer) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted := &countingWriter{w: w}
	t.counters.Do(func(kv expvar.KeyValue) { counted.print("vanillaroute_%s_total %s\n", kv.Key, kv.Value.String()) })
	for _, name := range sortedKeys(t.gauges, cmp.Compare[string]) {
		counted.print("vanillaroute_%s %s\n", name, strconv.FormatFloat(t.gauges[name](), 'g', -1, 64))
	}
	for _, key := range sortedKeys(t.latencies, func(a, b seriesKey) int {
		return cmp.Or(cmp.Compare(a.org, b.org), cmp.Compare(a.class, b.class))
	}) {
		t.latencies[key].write(counted, fmt.Sprintf("organisation=%q,class=%q", key.org, key.class))
	}
	return counted.n, counted.err
}

// String returns the counters as JSON, for expvar.
func (t *Registry) String() string { return t.counters.String() }

func (l *latency) write(w *countingWriter, labels string) {
	sum := int64(0)
	for i := range l.buckets {
		sum += l.buckets[i].Load()
		bound := "+Inf"
		if i < len(latencyBounds) {
			bound = strconv.FormatFloat(latencyBounds[i].Seconds(), 'g', -1, 64)
		}
		w.print("vanillaroute_request_seconds_bucket{%s,le=%q} %d\n", labels, bound, sum)
	}
	w.print("vanillaroute_request_seconds_sum{%s} %g\n", labels, time.Duration(l.sumMicros.Load()*int64(time.Microsecond)).Seconds())
	w.print("vanillaroute_request_seconds_count{%s} %d\n", labels, sum)
}

// countingWriter counts what is written, up to the first error.
type countingWriter struct {
	w   io.Writer
	n   int64
	err error
}

func (c *countingWriter) print(format string, args ...any) {
	if c.err != nil {
		return
	}
	n, err := fmt.Fprintf(c.w, format, args...)
	c.n += int64(n)
	c.err = err
}

func sortedKeys[K comparable, V any](m map[K]V, order func(a, b K) int) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, order)
	return keys
}
