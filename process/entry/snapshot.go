package entry

import (
	"cmp"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/connection/forward"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/members"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"go.uber.org/zap"
)

// currentSnapshot returns what requests are decided on at this moment.
func (n *Instance) currentSnapshot() forward.Snapshot {
	now := boottime.Now()
	w := n.snapshot.Load()
	age := n.replicaAge(now)
	if age < 0 {
		age = math.MaxInt64
	}
	return forward.Snapshot{Configuration: w.configuration, Engines: w.engines, ConfirmedAge: age, Instances: n.members.Count()}
}

// apply takes changes of the store into the replica and into what requests are decided on.
func (n *Instance) apply(d mirror.Delta, proven boottime.Instant) bool {
	n.snapshotMu.Lock()
	defer n.snapshotMu.Unlock()
	news := n.mirror.Apply(d, proven)
	if len(news) == 0 {
		return false
	}
	next := *n.snapshot.Load()
	enginesChanged := false
	for _, e := range news {
		switch {
		case e.Key == n.platform.Keys.Configuration:
			n.applyConfiguration(&next, e)
		case strings.HasPrefix(e.Key, n.platform.Keys.Engines):
			n.applyEngine(e)
			enginesChanged = true
		case strings.HasPrefix(e.Key, n.platform.Keys.Instances) && !e.Deleted && string(e.Value) != n.self:
			n.members.Add(string(e.Value), boottime.Now())
		}
	}
	if enginesChanged {
		next.engines = engines.NewList(slices.SortedFunc(maps.Values(n.decodedEngines), func(a, b engines.Engine) int { return cmp.Compare(a.ID, b.ID) }))
		n.log.Info("engines known", zap.Int("ready", next.engines.ReadyCount()), zap.Int("all", len(n.decodedEngines)))
	}
	n.snapshot.Store(&next)
	return true
}

// applyConfiguration takes the configuration where it can be read and is newer than the one in force.
func (n *Instance) applyConfiguration(next *snapshot, entry mirror.Entry) {
	if entry.Deleted {
		return
	}
	c, err := n.platform.Decoder.Configuration(entry.Value)
	if err != nil {
		n.logInvalidEntry(entry, err)
		return
	}
	if next.configuration != nil && c.Version < next.configuration.Version {
		n.log.Warn("an older configuration is not taken", zap.Int64("version", int64(c.Version)), zap.Int64("inForce", int64(next.configuration.Version)))
		return
	}
	next.configuration = c
	n.log.Info("configuration in force", zap.Int64("version", int64(c.Version)), zap.Int64("revision", int64(entry.Revision)))
}

// applyEngine takes a changed entry of an engine; one that cannot be read names none.
func (n *Instance) applyEngine(entry mirror.Entry) {
	delete(n.decodedEngines, entry.Key)
	if entry.Deleted {
		return
	}
	e, err := n.platform.Decoder.Engine(entry.Key, entry.Value)
	if err != nil {
		n.logInvalidEntry(entry, err)
		return
	}
	n.decodedEngines[entry.Key] = e
}

// logInvalidEntry logs an entry that cannot be read; each of its revisions comes once.
func (n *Instance) logInvalidEntry(entry mirror.Entry, err error) {
	n.log.Warn("an entry of the store cannot be read", zap.String("key", entry.Key), zap.Int64("revision", int64(entry.Revision)), zap.Error(err))
}

func (n *Instance) state() members.State {
	switch {
	case n.stopping.Load():
		return members.Stopping
	case n.snapshot.Load().configuration == nil || n.replicaAge(boottime.Now()) > n.settings.Load().maxKeyAge():
		return members.Starting
	}
	return members.Ready
}

func (n *Instance) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.state() != members.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// directoryHandler answers callers that ask which addresses to use: the ready instances, or all living ones where none is ready.
func (n *Instance) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.DirectoryPath, func(w http.ResponseWriter, _ *http.Request) {
		n.platform.WriteDirectory(w, n.addresses(), min(addressValidity, max(n.settings.Load().Bounds.MaxAddressValidity.Std(), time.Second)))
	})
	return mux
}

func (n *Instance) addresses() []string {
	self := n.settings.Load().Instance.Callers.String()
	var ready, living []string
	if s := n.state(); s == members.Ready {
		ready = append(ready, self)
	} else if s == members.Starting {
		living = append(living, self)
	}
	for _, m := range n.members.Alive(boottime.Now()) {
		switch m.State {
		case members.Ready:
			ready = append(ready, m.CallerAddress)
		case members.Starting:
			living = append(living, m.CallerAddress)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return living
}
