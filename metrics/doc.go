// Package metrics holds counters, gauges and histograms per organisation and class, served through expvar and as text.
package metrics
