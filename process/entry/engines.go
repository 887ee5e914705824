package entry

import (
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"go.uber.org/zap"
)

const (
	// lapseReports is the number of reports after which the store removes the entry of a silent engine. The first one that is missed may have been due at
	// once, so entries lapse once the store has been away for one interval less.
	lapseReports = 3
	// heldReports is the number of intervals between reports for which an entry that may be outdated is held back: by then an engine has written it
	// again, or the store has removed it.
	heldReports = lapseReports + 1
)

// applyEngine applies a changed entry of an engine. An invalid entry names no engine.
func (n *Instance) applyEngine(entry mirror.Entry, confirmedAt boottime.Instant) {
	now, interval := boottime.Now(), n.settings.Load().engineReports()
	if entry.Deleted {
		n.registry.Remove(entry.Key, confirmedAt.Sub(n.storeAwayUntil) < lapseReports*interval, now)
		return
	}
	e, err := n.platform.Decoder.Engine(entry.Key, entry.Value)
	if err != nil {
		n.registry.Reject(entry.Key)
		n.logInvalidEntry(entry, err)
		return
	}
	if !n.registry.Put(entry.Key, e, heldReports*interval, now) {
		n.metrics.Add("engineEntriesHeld", 1)
		n.log.Warn("entry of an engine held back, as it may be outdated", zap.String("engine", string(e.ID)), zap.Int64("revision", int64(entry.Revision)), zap.Int64("startedAt", e.StartedAtMs), zap.Float64("sequence", e.Sequence), zap.Bool("draining", e.Draining))
		return
	}
	n.arrivedEngines[e.ID] = true
}

// listEngines lists the registered engines in a snapshot. The caller holds snapshotMu.
func (n *Instance) listEngines(next *snapshot) {
	all := n.registry.All()
	next.engines = engines.NewList(all)
	n.versions.Update(all, boottime.Now())
	// Logged after each change of the registered engines.
	n.log.Info("engines known", zap.Int("ready", next.engines.ReadyCount()), zap.Int("all", len(all)))
}

// acceptHeldEngines puts entries into force that were held back and still stand.
func (n *Instance) acceptHeldEngines(now boottime.Instant) {
	n.snapshotMu.Lock()
	defer n.snapshotMu.Unlock()
	accepted := n.registry.AcceptDue(now)
	if len(accepted) == 0 {
		return
	}
	for _, e := range accepted {
		n.arrivedEngines[e.ID] = true
	}
	next := *n.snapshot.Load()
	n.listEngines(&next)
	_, confirmedAt, _ := n.mirror.State()
	n.updateTable(&next, confirmedAt)
	n.snapshot.Store(&next)
}

// noteConfirmation records whether the store was away before a confirmation of the replica for so long that entries may have lapsed. The caller holds
// snapshotMu.
func (n *Instance) noteConfirmation(confirmedAt boottime.Instant) {
	_, last, loaded := n.mirror.State()
	away := time.Duration(lapseReports-1) * n.settings.Load().engineReports()
	if !loaded || confirmedAt.Sub(last) >= away {
		n.storeAwayUntil = max(n.storeAwayUntil, confirmedAt)
	}
}
