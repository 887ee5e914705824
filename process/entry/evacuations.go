package entry

import (
	"context"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/evacuation"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"go.uber.org/zap"
)

const (
	// evacuationMargin is subtracted from the evacuation bound: a request may take that long from the choice of its engine until it arrives there.
	evacuationMargin = 500 * time.Millisecond
	// newestDelay is how long an instance that has got a replica hears from its peers before it takes the replica for the newest one. In that time it
	// sends four rounds of pings.
	newestDelay = time.Second
	// confirmedShare is the fraction of the evacuation bound within which the replica of a starting instance must have been confirmed. The rest of the
	// bound is left for the next confirmation, which brings what was evacuated since.
	confirmedShare = 0.5
)

// evacuated returns the evacuated failure domains, or nil if the settings have no bound for evacuations.
func (n *Instance) evacuated() *evacuation.Set {
	if n.settings.Load().Bounds.Evacuate.Std() <= 0 {
		return nil
	}
	return n.snapshot.Load().evacuated
}

// applyEvacuation applies a changed entry of an evacuated failure domain. A value that cannot be read evacuates the domain all the same.
func (n *Instance) applyEvacuation(next *snapshot, entry mirror.Entry, now time.Time) {
	domain, err := n.platform.Decoder.Evacuation(entry.Key, entry.Value)
	isUsed := n.settings.Load().Bounds.Evacuate.Std() > 0
	if err != nil && !entry.Deleted && isUsed {
		n.logInvalidEntry(entry, err)
	}
	if domain == "" || next.evacuated.Contains(domain) == !entry.Deleted {
		return
	}
	message := "failure domain evacuated"
	if entry.Deleted {
		message, next.evacuated = "evacuation withdrawn", next.evacuated.Without(domain, now)
	} else {
		next.evacuated = next.evacuated.With(domain)
	}
	if isUsed {
		n.log.Info(message, zap.String("failureDomain", string(domain)), zap.Int64("revision", int64(entry.Revision)))
	}
}

// logEmptyEvacuations logs the failure domains that were evacuated between two snapshots and have no engines.
func (n *Instance) logEmptyEvacuations(last, next *snapshot) {
	if n.settings.Load().Bounds.Evacuate.Std() <= 0 {
		return
	}
	for _, d := range next.evacuated.Domains() {
		if !last.evacuated.Contains(d) && next.enginesIn(d) == 0 {
			n.log.Warn("evacuated failure domain without engines", zap.String("failureDomain", string(d)))
		}
	}
}

// recordEvacuationEnds tells the table of the failure domains whose evacuation was withdrawn: their engines count as cold.
func (n *Instance) recordEvacuationEnds(last, next *snapshot, now time.Time) {
	if n.settings.Load().Bounds.Evacuate.Std() <= 0 {
		return
	}
	for _, d := range last.evacuated.Domains() {
		if !next.evacuated.Contains(d) {
			n.table.RecordEvacuationEnd(next.engines, d, now)
		}
	}
}

// enginesIn returns the number of engines in a failure domain, draining ones included.
func (s *snapshot) enginesIn(d ident.Domain) int {
	count := 0
	for _, e := range s.engines.All() {
		if e.Domain == d {
			count++
		}
	}
	return count
}

// evacuatedEngines returns the number of engines in evacuated failure domains.
func (n *Instance) evacuatedEngines() int {
	all := n.snapshot.Load().engines.All()
	return len(all) - len(n.evacuated().Remaining(all))
}

// knowsEvacuations reports whether this instance knows what was evacuated before it started. From then on, changes reach it in time. Its replica may come
// from a peer that has lost the store, so it must have been confirmed recently or, while the store does not answer, be the newest known one.
func (n *Instance) knowsEvacuations(now boottime.Instant) bool {
	bound := n.settings.Load().Bounds.Evacuate.Std()
	if bound <= 0 || n.evacuationsKnown.Load() {
		return true
	}
	revision, age := n.replica(now)
	if age < 0 {
		return false
	}
	loadedFor := now.Sub(boottime.Instant(n.loadedAt.Load()))
	isNewest := n.storeUnreachable.Load() && loadedFor >= newestDelay && revision >= ident.Revision(n.newestRevision.Load())
	if age > time.Duration(confirmedShare*float64(bound)) && !isNewest {
		return false
	}
	if !n.evacuationsKnown.Swap(true) {
		n.log.Info("evacuations known", zap.Int("failureDomains", len(n.evacuated().Domains())), zap.Duration("configurationAgeMs", age), zap.Bool("storeUnreachable", n.storeUnreachable.Load()))
	}
	return true
}

// hearRevision records the revision of a peer's replica.
func (n *Instance) hearRevision(r ident.Revision) {
	for {
		known := n.newestRevision.Load()
		if int64(r) <= known || n.newestRevision.CompareAndSwap(known, int64(r)) {
			return
		}
	}
}

// readEvacuations reads the entries of evacuations and applies them to the replica, if there is one: a full read of all entries, whose result is applied at
// its end, may take longer than the bound for evacuations.
func (n *Instance) readEvacuations(ctx context.Context) error {
	if _, _, loaded := n.mirror.State(); !loaded || n.platform.Keys.Evacuations == "" || n.settings.Load().Bounds.Evacuate.Std() <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var entries []mirror.Entry
	var revision ident.Revision
	for after, more := "", true; more; {
		n.metrics.Add("storeReads", 1)
		page, err := n.platform.Store.Read(ctx, n.platform.Keys.Evacuations, after)
		if err != nil {
			return err
		}
		if after == "" {
			revision = page.Revision
		}
		entries = append(entries, page.Entries...)
		more = page.More && len(page.Entries) > 0
		if more {
			after = entries[len(entries)-1].Key
		}
	}
	n.snapshotMu.Lock()
	defer n.snapshotMu.Unlock()
	_, confirmedAt, _ := n.mirror.State()
	n.applyChanged(n.mirror.ApplyPrefix(n.platform.Keys.Evacuations, entries, revision), confirmedAt)
	return nil
}

// isEvacuated reports whether the failure domain of an engine is evacuated now.
func (n *Instance) isEvacuated(e engines.Engine) bool { return n.evacuated().Contains(e.Domain) }
