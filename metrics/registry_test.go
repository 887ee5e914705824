package metrics

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

func TestRegistryWritesCountersGaugesAndHistograms(t *testing.T) {
	m := NewRegistry()
	m.Add("answered", 2)
	m.Gauge("configuration_version", func() float64 { return 7 })
	m.Observe("museum", "kiosk", 30*time.Millisecond)
	m.Observe("museum", "kiosk", time.Minute)
	var out strings.Builder
	if _, err := m.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"vanillaroute_answered_total 2\n", "vanillaroute_configuration_version 7\n",
		`vanillaroute_request_seconds_bucket{organisation="museum",class="kiosk",le="0.025"} 0`,
		`vanillaroute_request_seconds_bucket{organisation="museum",class="kiosk",le="0.05"} 1`,
		`vanillaroute_request_seconds_bucket{organisation="museum",class="kiosk",le="+Inf"} 2`,
		`vanillaroute_request_seconds_count{organisation="museum",class="kiosk"} 2`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
}

func TestSeriesAreBounded(t *testing.T) {
	m := NewRegistry()
	for i := range 10 * MaxSeries {
		m.Observe(ident.Organisation(fmt.Sprint(i)), "c", time.Second)
	}
	if n := len(m.latencies); n > MaxSeries {
		t.Fatalf("%d series", n)
	}
}
