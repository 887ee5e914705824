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

// latencyBounds are the upper bounds of the buckets of a latency histogram. One more bucket without a bound follows.
var latencyBounds = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

type (
	// Registry holds the counters, gauges and latency histograms of an entry instance, served as text and through expvar.
	// The number of histograms is limited to MaxSeries.
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

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{latencies: make(boundedSeries[latency]), gauges: make(map[string]func() float64)}
	r.counters.Init()
	return r
}

// Add adds n to a counter.
func (r *Registry) Add(counter string, n int64) { r.counters.Add(counter, n) }

// Gauge registers a function that returns the value of a gauge when the metrics are read.
func (r *Registry) Gauge(name string, value func() float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[name] = value
}

// Observe records the duration of a request.
func (r *Registry) Observe(org ident.Organisation, class ident.Class, took time.Duration) {
	r.mu.Lock()
	l := r.latencies.getOrCreate(seriesKey{org, class}, func() *latency { return &latency{buckets: make([]atomic.Int64, len(latencyBounds)+1)} })
	r.mu.Unlock()
	at, _ := slices.BinarySearch(latencyBounds, took)
	l.buckets[at].Add(1)
	l.sumMicros.Add(took.Microseconds())
}

// WriteTo writes all metrics as text, one line per value. It returns the number of bytes written and the writer's error.
func (r *Registry) WriteTo(w io.Writer) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &countingWriter{w: w}
	r.counters.Do(func(kv expvar.KeyValue) { out.print("vanillaroute_%s_total %s\n", kv.Key, kv.Value.String()) })
	for _, name := range sortedKeys(r.gauges, cmp.Compare[string]) {
		out.print("vanillaroute_%s %s\n", name, strconv.FormatFloat(r.gauges[name](), 'g', -1, 64))
	}
	for _, key := range sortedKeys(r.latencies, func(a, b seriesKey) int {
		return cmp.Or(cmp.Compare(a.org, b.org), cmp.Compare(a.class, b.class))
	}) {
		r.latencies[key].write(out, fmt.Sprintf("organisation=%q,class=%q", key.org, key.class))
	}
	return out.n, out.err
}

// String returns the counters as JSON for expvar.
func (r *Registry) String() string { return r.counters.String() }

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

// countingWriter counts the bytes written and keeps the first error.
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
