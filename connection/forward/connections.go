package forward

import (
	"github.com/vanillaroute/vanillaroute/connection/upstream"
	"github.com/vanillaroute/vanillaroute/ident"
)

// findUsedUp records the engines to which all connections of this instance are in use. They are left out of the choice: an attempt at each of them would take
// a line of the log, and a token of a cold engine.
func (x *exchange) findUsedUp() {
	x.usedUp = x.usedUpIn(x.snapshot)
	if len(x.usedUp) > 0 {
		x.Metrics.Add("engineConnectionsUsedUp", 1)
	}
}

// usedUpIn returns the engines of a snapshot to which all connections of this instance are in use.
func (x *exchange) usedUpIn(s Snapshot) []ident.Engine {
	bound := s.MaxConns(x.service)
	if bound == 0 {
		return nil
	}
	full := x.Client.FullAt(bound)
	if len(full) == 0 {
		return nil
	}
	var list []ident.Engine
	for _, e := range s.Engines.OfService(x.service) {
		if full[e.Address] {
			list = append(list, e.ID)
		}
	}
	return list
}

// handleUsedUp records that the last connection to the chosen engine was taken after the choice. The engine has not failed.
func (x *exchange) handleUsedUp(err *upstream.FullError) result {
	x.reason = err.Error()
	x.Metrics.Add("engineConnectionsUsedUp", 1)
	return resultNotRun
}

// explainUsedUp sets verdict and the time to return if engines were left out because all connections to them are in use: a usual answer frees one.
func (x *exchange) explainUsedUp() {
	if len(x.usedUp) == 0 {
		return
	}
	x.verdict, x.acceptedIn = "all connections to the engines are in use", x.expectedTime
	x.Metrics.Add("engineConnectionsRefused", 1)
}
