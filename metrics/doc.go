// Package metrics keeps histograms per organisation and class, and counters, and publishes them through expvar.
package metrics
