package entry

import (
	"math"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/connection/forward"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/members"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"go.uber.org/zap"
)

// currentSnapshot returns what decides about a request: the configuration, the engines, the age of the replica, and the size of the fleet.
func (n *Instance) currentSnapshot() forward.Snapshot {
	// Read before the snapshot, which may become newer but not older than this age.
	age := n.replicaAge(boottime.Now())
	if age < 0 {
		age = math.MaxInt64
	}
	s := n.snapshot.Load()
	return forward.Snapshot{
		Configuration: s.configuration, Engines: s.engines, ConfirmedAge: age, Instances: n.members.Count(), Sharers: n.sharerCount(),
		Evacuated: n.evacuated(), EvacuationsUnknown: !n.knowsEvacuations(boottime.Now()),
	}
}

// apply applies changes of the store, current at confirmedAt, to the replica and then to the snapshot, and reports whether anything changed. The
// replica is confirmed last, so that no request is judged by the old snapshot with the new age.
func (n *Instance) apply(d mirror.Delta, confirmedAt boottime.Instant) bool {
	n.snapshotMu.Lock()
	defer n.snapshotMu.Unlock()
	n.noteConfirmation(confirmedAt)
	defer n.mirror.Confirm(d.Revision, confirmedAt)
	changed := n.mirror.Apply(d)
	n.loadedAt.CompareAndSwap(0, int64(boottime.Now()))
	return n.applyChanged(changed, confirmedAt)
}

// applyChanged applies changed entries of the replica, which was current at confirmedAt, to the snapshot, and reports whether there are any. The caller
// holds snapshotMu.
func (n *Instance) applyChanged(changed []mirror.Entry, confirmedAt boottime.Instant) bool {
	if len(changed) == 0 {
		return false
	}
	behind := n.endLag(boottime.Now())
	last := n.snapshot.Load()
	next := *last
	enginesChanged, instancesChanged := false, false
	for _, e := range changed {
		switch {
		case e.Key == n.platform.Keys.Configuration:
			n.applyConfiguration(&next, e, behind)
		case strings.HasPrefix(e.Key, n.platform.Keys.Engines):
			n.applyEngine(e, confirmedAt)
			enginesChanged = true
		case strings.HasPrefix(e.Key, n.platform.Keys.Culprits):
			n.applyCulprit(e)
		case n.platform.Keys.Versions != "" && strings.HasPrefix(e.Key, n.platform.Keys.Versions):
			n.versions.Mark(ident.Service(strings.TrimPrefix(e.Key, n.platform.Keys.Versions)), !e.Deleted)
		case strings.HasPrefix(e.Key, n.platform.Keys.Instances):
			delete(n.registered, e.Key)
			instancesChanged = true
			if e.Deleted {
				continue
			}
			if peer, ok := n.peerIn(e); ok {
				n.registered[e.Key] = peer
				n.members.Add(peer, boottime.Now())
			}
		case n.platform.Keys.Evacuations != "" && strings.HasPrefix(e.Key, n.platform.Keys.Evacuations):
			n.applyEvacuation(&next, e, time.Now())
		}
	}
	if enginesChanged {
		n.listEngines(&next)
	}
	if instancesChanged {
		n.nameMembers()
	}
	n.logEmptyEvacuations(last, &next)
	n.recordEvacuationEnds(last, &next, time.Now())
	if enginesChanged || next.configuration != n.snapshot.Load().configuration {
		n.updateTable(&next, confirmedAt)
	}
	n.snapshot.Store(&next)
	return true
}

// confirm records that the store held nothing newer than revision at confirmedAt, after any apply in progress.
func (n *Instance) confirm(revision ident.Revision, confirmedAt boottime.Instant) {
	n.snapshotMu.Lock()
	defer n.snapshotMu.Unlock()
	n.noteConfirmation(confirmedAt)
	n.mirror.Confirm(revision, confirmedAt)
}

// applyConfiguration puts a configuration into force if it is valid and not older than the one in force, and logs for how long the replica was
// behind. A deleted or invalid entry leaves the last configuration in force.
func (n *Instance) applyConfiguration(next *snapshot, entry mirror.Entry, behind time.Duration) {
	if entry.Deleted {
		return
	}
	c, err := n.platform.Decoder.Configuration(entry.Value)
	if err != nil {
		n.logInvalidEntry(entry, err)
		return
	}
	if next.configuration != nil && c.Version < next.configuration.Version {
		n.log.Warn("ignored a configuration older than the one in force", zap.Int64("version", int64(c.Version)), zap.Int64("inForce", int64(next.configuration.Version)))
		return
	}
	next.configuration = c
	n.log.Info("configuration in force", zap.Int64("version", int64(c.Version)), zap.Int64("revision", int64(entry.Revision)), zap.Duration("behindMs", behind))
}

// endLag returns how long this replica was behind that of a peer before the last change, and 0 if it was not.
func (n *Instance) endLag(now boottime.Instant) time.Duration {
	if since := n.behindSince.Swap(0); since > 0 {
		return now.Sub(boottime.Instant(since))
	}
	return 0
}

// peerIn returns the peer address in the entry of another instance, and false if it is this instance's own or no instance can have it.
func (n *Instance) peerIn(entry mirror.Entry) (string, bool) {
	peer := string(entry.Value)
	at, err := netip.ParseAddrPort(peer)
	if err != nil || at.Port() == 0 || at.Addr().Zone() != "" || at.Addr().IsUnspecified() || at.Addr().IsMulticast() {
		n.logInvalidEntry(entry, errors.New("the value is no address of an instance"))
		return "", false
	}
	return peer, peer != n.self
}

// logInvalidEntry logs an invalid entry; since each revision is applied once, it is logged once.
func (n *Instance) logInvalidEntry(entry mirror.Entry, err error) {
	n.log.Warn("invalid entry in the store", zap.String("key", entry.Key), zap.Int64("revision", int64(entry.Revision)), zap.Error(err))
}

// state returns Stopping after the stop has begun, and Starting while there is no configuration recent enough to accept keys or it is not known what is
// evacuated.
func (n *Instance) state() members.State {
	switch {
	case n.stop.Load().Closing:
		return members.Stopping
	case n.snapshot.Load().configuration == nil || n.replicaAge(boottime.Now()) > n.settings.Load().maxKeyAge() || !n.knowsEvacuations(boottime.Now()):
		return members.Starting
	}
	return members.Ready
}

// readyHandler answers the platform's readiness check: 200 if the instance is ready, and 503 if not.
func (n *Instance) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.state() != members.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// directoryHandler answers callers that ask for the addresses of instances.
func (n *Instance) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.DirectoryPath, func(w http.ResponseWriter, _ *http.Request) {
		n.platform.WriteDirectory(w, n.addresses(), min(addressValidity, max(n.settings.Load().Bounds.MaxAddressValidity.Std(), time.Second)))
	})
	return mux
}

// addresses returns the caller addresses of the ready instances, or of the starting ones if none is ready.
func (n *Instance) addresses() []string {
	self := n.settings.Load().Instance.Callers.String()
	var ready, starting []string
	if s := n.state(); s == members.Ready {
		ready = append(ready, self)
	} else if s == members.Starting {
		starting = append(starting, self)
	}
	for _, m := range n.members.Alive(boottime.Now()) {
		switch m.State {
		case members.Ready:
			ready = append(ready, m.CallerAddress)
		case members.Starting:
			starting = append(starting, m.CallerAddress)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return starting
}
