package entry

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/version/members"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// serveMetrics serves counters, gauges and histograms as text at /metrics, and the counters as expvar at /debug/vars.
func (n *Instance) serveMetrics(ctx context.Context, group *errgroup.Group, address string) error {
	n.registerGauges()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if _, err := n.metrics.WriteTo(w); err != nil {
			n.log.Debug("metrics not written", zap.Error(err))
		}
	})
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, "{\"vanillaroute\": %s, \"memstats\": %s}\n", n.metrics.String(), expvar.Get("memstats").String())
	})
	server := n.newServer(mux)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error { return n.serveOther(server, listener) })
	return nil
}

// registerGauges registers the gauges of the instance.
func (n *Instance) registerGauges() {
	n.metrics.Gauge("configuration_version", func() float64 {
		if c := n.snapshot.Load().configuration; c != nil {
			return float64(c.Version)
		}
		return 0
	})
	n.metrics.Gauge("configuration_age_seconds", func() float64 { return n.replicaAge(boottime.Now()).Seconds() })
	n.metrics.Gauge("engines_ready", func() float64 { return float64(n.snapshot.Load().engines.ReadyCount()) })
	n.metrics.Gauge("domains_evacuated", func() float64 { return float64(len(n.evacuated().Domains())) })
	n.metrics.Gauge("engines_evacuated", func() float64 { return float64(n.evacuatedEngines()) })
	n.metrics.Gauge("engines_cold", func() float64 { return float64(len(n.table.Colds(time.Now()))) })
	n.metrics.Gauge("engine_connections_in_use", func() float64 { return float64(n.client.Counts().InUse) })
	n.metrics.Gauge("engine_connections_idle", func() float64 { return float64(n.client.Counts().Idle) })
	n.metrics.Gauge("engine_connections_yielded", func() float64 { return float64(n.client.Counts().Yielded) })
	n.metrics.Gauge("instances_alive", func() float64 { return float64(len(n.members.Alive(boottime.Now())) + 1) })
	n.metrics.Gauge("members_unnamed", func() float64 { return float64(n.members.Unnamed()) })
	n.metrics.Gauge("peer_fetches", func() float64 { return float64(n.heartbeats.Fetches()) })
	n.metrics.Gauge("control_bytes_sent", func() float64 { return float64(n.controlBudget.Usage().Total()) })
	n.metrics.Gauge("control_bytes_refused", func() float64 { return float64(n.controlBudget.Usage().TotalRefused()) })
	n.metrics.Gauge("ready", func() float64 {
		if n.state() == members.Ready {
			return 1
		}
		return 0
	})
}
