package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/routing"
	"go.uber.org/zap"
)

const (
	// coldsPerMessage bounds the number of cold engines in a heartbeat.
	coldsPerMessage = 8
	// rosterConfirmation is the age of the replica up to which an instance that is not registered is removed from the roster in time.
	rosterConfirmation = 3 * time.Second
)

// updateTable tells the table which engines of a snapshot are registered and when the store confirmed that. Without a configuration, the warm-up rates
// are not known and the first list is yet to come. The caller holds snapshotMu.
func (n *Instance) updateTable(s *snapshot, confirmedAt boottime.Instant) {
	if s.configuration == nil {
		return
	}
	now := time.Now()
	n.table.SetConfirmed(now.Add(-boottime.Now().Sub(confirmedAt)))
	n.table.UpdateEngines(placing.EngineUpdate{
		Engines: s.engines, Arrived: n.arrivedEngines, FirstStart: n.settings.Load().Instance.FirstStart,
		Warmup: func(service ident.Service) *routing.Warmup { return s.configuration.Service(service).Warmup },
	}, now)
	n.arrivedEngines = make(map[ident.Engine]bool)
}

// shareWarmups tells the table which instances share the warm-up rates of engines, and when the store last confirmed the replica.
func (n *Instance) shareWarmups() {
	now, wall := boottime.Now(), time.Now()
	age := n.replicaAge(now)
	if age == heartbeat.Unconfirmed {
		return
	}
	n.snapshotMu.Lock()
	registered := slices.Collect(maps.Values(n.registered))
	n.snapshotMu.Unlock()
	n.roster.Update(registered, age < rosterConfirmation, now)
	n.rosterSize.Store(int64(len(n.roster.Names())))
	n.table.SetConfirmed(wall.Add(-age))
	n.table.SetSharers(placing.Sharers{Self: n.self, Names: n.roster.Names(), UnchangedFor: n.roster.UnchangedFor(now)}, wall)
	n.table.HearSharers(len(n.members.Alive(now))+1, wall)
}

// sharerCount returns the number of instances that divide the connections of engines: those that share warm-up rates, or those known in the last 30 s if
// these are more. The roster is not made before the first heartbeat, and the registrations in the store are incomplete after a restart of the fleet.
func (n *Instance) sharerCount() int {
	return max(int(n.rosterSize.Load()), n.members.Count())
}

// logColds logs the engines that have become cold or warm since the last call, and returns the cold ones. Those that are cold only because the store
// confirms nothing take one line together.
func (n *Instance) logColds(was map[engines.Key]placing.ColdReason) map[engines.Key]placing.ColdReason {
	now := time.Now()
	list := n.snapshot.Load().engines
	colds := make(map[engines.Key]placing.ColdReason)
	unconfirmed := 0
	for _, c := range n.table.Colds(now) {
		colds[c.Engine] = c.Reason
		if reason, ok := was[c.Engine]; ok && reason == c.Reason {
			continue
		}
		if c.Reason == placing.ColdUnconfirmed {
			unconfirmed++
			continue
		}
		e, _ := list.Get(c.Engine)
		n.metrics.Add("enginesCooled", 1)
		n.log.Info("engine cold", zap.String("engine", string(e.ID)), zap.Stringer("reason", c.Reason), zap.Duration("forMs", c.Until.Sub(now)))
	}
	if unconfirmed > 0 {
		n.log.Warn("engines count as cold, since the store does not confirm them", zap.Int("engines", unconfirmed))
	}
	for k, reason := range was {
		if _, cold := colds[k]; cold || reason == placing.ColdUnconfirmed {
			continue
		}
		if e, ok := list.Get(k); ok {
			n.log.Info("engine warm", zap.String("engine", string(e.ID)))
		}
	}
	return colds
}

// mergeColds records the cold engines in a heartbeat, and the length of the sender's list of sharers.
func (n *Instance) mergeColds(b heartbeat.Message, now time.Time) {
	colds := make([]placing.Cold, len(b.Colds))
	for i, c := range b.Colds {
		colds[i] = placing.Cold{Engine: c.Engine, Until: now.Add(c.Remaining.Duration())}
	}
	n.table.MergeColds(colds, now)
	if b.Sharers > 0 {
		n.table.HearSharers(b.Sharers, now)
	}
}

// localColds returns the cold engines that other instances are told of.
func (n *Instance) localColds(now time.Time) []heartbeat.ColdEngine {
	var list []heartbeat.ColdEngine
	for _, c := range n.table.LocalColds(coldsPerMessage, now) {
		list = append(list, heartbeat.ColdEngine{Engine: c.Engine, Remaining: heartbeat.MillisOf(c.Until.Sub(now))})
	}
	return list
}
