package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/tomlfile"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/version/mirror"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const (
	evacuationPrefix = "evacuated/"
	enginePrefix     = "engines/"
)

// domainDecoder decodes the value of an engine as its failure domain, and "?" as one that cannot be read.
type domainDecoder struct{ Decoder }

func (domainDecoder) Engine(key string, value []byte) (engines.Engine, error) {
	return engines.Engine{ID: ident.Engine(key), Service: "s", Domain: ident.Domain(value)}, nil
}

func (domainDecoder) Evacuation(key string, value []byte) (ident.Domain, error) {
	domain := strings.TrimPrefix(key, evacuationPrefix)
	if domain == "" || strings.Contains(domain, "/") {
		return "", errors.New("no domain")
	}
	if string(value) == "?" {
		return ident.Domain(domain), errors.New("no value")
	}
	return ident.Domain(domain), nil
}

// newOffline returns an instance with an engine in domain "a", without a network, and its log.
func newOffline(bound time.Duration) (*Instance, *observer.ObservedLogs) {
	core, logged := observer.New(zap.InfoLevel)
	n := &Instance{mirror: mirror.New(), registry: engines.NewRegistry(), registered: make(map[string]string), arrivedEngines: make(map[ident.Engine]bool), table: placing.New(placing.Policy{}), log: zap.New(core), platform: Platform{
		Decoder: domainDecoder{}, Keys: Keys{Configuration: "configuration", Engines: enginePrefix, Instances: "instances/", Evacuations: evacuationPrefix, Culprits: "culprits/"},
	}}
	s := &Settings{}
	s.Bounds.Evacuate = tomlfile.NewDuration(bound)
	n.settings.Store(s)
	n.snapshot.Store(&snapshot{engines: engines.NewList(nil)})
	return n, logged
}

// TestEvacuationsAreTheNewestKnown guards against evacuations that are lost, however they reach the replica, and against ones that stay in force after
// their withdrawal. A change is logged once.
func TestEvacuationsAreTheNewestKnown(t *testing.T) {
	put := func(revision ident.Revision, key, value string) mirror.Entry {
		return mirror.Entry{Key: key, Value: []byte(value), Revision: revision}
	}
	engine := put(2, enginePrefix+"1", "a")
	full := func(revision ident.Revision, entries ...mirror.Entry) mirror.Delta {
		return mirror.Delta{Full: true, Entries: append(entries, engine), Revision: revision}
	}
	changes := func(revision ident.Revision, entries ...mirror.Entry) mirror.Delta {
		return mirror.Delta{Entries: entries, Revision: revision}
	}
	evacuated := put(5, evacuationPrefix+"a", "{}")
	withdrawn := mirror.Entry{Key: evacuated.Key, Revision: 6, Deleted: true}
	tests := []struct {
		name   string
		deltas []mirror.Delta
		// prefix are the entries of evacuations at prefixAt, which are read after the deltas, unless prefixAt is 0.
		prefix       []mirror.Entry
		prefixAt     ident.Revision
		isEvacuated  bool
		wasWithdrawn bool
		// invalid and empty are the numbers of logged invalid entries and domains without engines.
		invalid, empty int
	}{
		{"full read", []mirror.Delta{full(5, evacuated)}, nil, 0, true, false, 0, 0},
		{"watch", []mirror.Delta{full(4), changes(5, evacuated)}, nil, 0, true, false, 0, 0},
		{"watch before the engine is known", []mirror.Delta{{Full: true, Revision: 1}, changes(5, engine, evacuated)}, nil, 0, true, false, 0, 0},
		{"peer after the watch", []mirror.Delta{full(4), changes(5, evacuated), full(5, evacuated)}, nil, 0, true, false, 0, 0},
		{"older full read of a peer after the watch", []mirror.Delta{full(4), changes(5, evacuated), full(4)}, nil, 0, true, false, 0, 0},
		{"withdrawn", []mirror.Delta{full(5, evacuated), changes(6, withdrawn)}, nil, 0, false, true, 0, 0},
		{"withdrawn, and an older change of a peer", []mirror.Delta{full(5, evacuated), changes(6, withdrawn), changes(5, evacuated)}, nil, 0, false, true, 0, 0},
		{"missing in a full read", []mirror.Delta{full(5, evacuated), full(9)}, nil, 0, false, true, 0, 0},
		{"evacuated again", []mirror.Delta{full(5, evacuated), changes(6, withdrawn), changes(7, put(7, evacuated.Key, "{}"))}, nil, 0, true, false, 0, 0},
		{"unreadable value", []mirror.Delta{full(4), changes(5, put(5, evacuated.Key, "?"))}, nil, 0, true, false, 1, 0},
		{"overwritten by an unreadable value, twice heard of", []mirror.Delta{full(5, evacuated), changes(6, put(6, evacuated.Key, "?")), changes(6, put(6, evacuated.Key, "?"))}, nil, 0, true, false, 1, 0},
		{"keys without a domain", []mirror.Delta{full(5, put(4, evacuationPrefix, "{}"), put(5, evacuationPrefix+"a/b", "{}"))}, nil, 0, false, false, 2, 0},
		{"domain without engines", []mirror.Delta{full(5, evacuated), changes(7, put(7, evacuationPrefix+"b", "{}")), changes(8, put(8, evacuationPrefix+"b", "{}"))}, nil, 0, true, false, 0, 1},
		{"read before the other entries", []mirror.Delta{full(4)}, []mirror.Entry{evacuated}, 8, true, false, 0, 0},
		{"withdrawal read before the other entries", []mirror.Delta{full(5, evacuated)}, nil, 8, false, true, 0, 0},
		{"read before a later change arrived", []mirror.Delta{full(5, evacuated), changes(6, withdrawn)}, []mirror.Entry{evacuated}, 5, false, true, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, logged := newOffline(time.Second)
			for _, d := range tt.deltas {
				n.apply(d, boottime.Now())
			}
			if tt.prefixAt > 0 {
				before, _, _ := n.mirror.State()
				n.applyChanged(n.mirror.ApplyPrefix(evacuationPrefix, tt.prefix, tt.prefixAt), boottime.Now())
				if after, _, _ := n.mirror.State(); after != before {
					t.Errorf("the revision of the replica is %d, was %d", after, before)
				}
			}
			set := n.evacuated()
			if set.Contains("a") != tt.isEvacuated || set.WithdrawnAt("a").IsZero() == tt.wasWithdrawn {
				t.Errorf("evacuated are %v, withdrawn at %s", set.Domains(), set.WithdrawnAt("a"))
			}
			counts := map[string]int{"invalid entry in the store": tt.invalid, "evacuated failure domain without engines": tt.empty}
			if tt.wasWithdrawn {
				counts["evacuation withdrawn"], counts["failure domain evacuated"] = 1, 1
			}
			for message, want := range counts {
				if got := logged.FilterMessage(message).Len(); got != want {
					t.Errorf("logged %q %d times, want %d", message, got, want)
				}
			}
			n.settings.Store(&Settings{})
			if n.evacuated() != nil || !n.knowsEvacuations(boottime.Now()) {
				t.Error("evacuations have an effect without a bound")
			}
		})
	}
}

// TestRestartedInstanceKnowsEvacuations guards against an instance that takes requests with a replica of a peer that has lost the store, and against one
// that takes none as long as the store is down.
func TestRestartedInstanceKnowsEvacuations(t *testing.T) {
	const bound = 5 * time.Second
	tests := []struct {
		name        string
		age, loaded time.Duration
		unreachable bool
		heard       ident.Revision
		known       bool
	}{
		{"confirmed", time.Second, 0, false, 9, true},
		{"confirmed so long ago that the next confirmation may come after the bound", 3 * bound / 4, time.Minute, false, 9, false},
		{"confirmed too long ago", 2 * bound, time.Minute, false, 9, false},
		{"store down", 2 * bound, time.Minute, true, 9, true},
		{"store down and the replica just got", 2 * bound, 0, true, 9, false},
		{"store down and a peer ahead", 2 * bound, time.Minute, true, 10, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, _ := newOffline(bound)
			now := boottime.Instant(time.Hour)
			if n.knowsEvacuations(now) {
				t.Fatal("an instance without a replica knows what is evacuated")
			}
			n.apply(mirror.Delta{Full: true, Revision: 9}, now.Add(-tt.age))
			n.loadedAt.Store(int64(now.Add(-tt.loaded)))
			n.storeUnreachable.Store(tt.unreachable)
			n.hearRevision(tt.heard)
			n.hearRevision(1)
			if n.knowsEvacuations(now) != tt.known {
				t.Fatalf("known is %t", !tt.known)
			}
			n.hearRevision(11)
			if n.knowsEvacuations(now.Add(time.Hour)) != tt.known {
				t.Error("a running instance does not keep what it knows, or a starting one takes an old replica for current")
			}
		})
	}
}

// TestScheduleMeetsTheEvacuationBound guards against changes that spread later than evacuations have to.
func TestScheduleMeetsTheEvacuationBound(t *testing.T) {
	for _, bound := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
		var s Settings
		s.Bounds.Contact, s.Bounds.Evacuate = tomlfile.NewDuration(time.Minute), tomlfile.NewDuration(bound)
		var without Settings
		without.Bounds.Contact = s.Bounds.Contact
		if got, most := s.schedule().WatchTimeout, without.schedule().WatchTimeout; got <= 0 || got > most || got > bound/6 {
			t.Errorf("a watch lasts %s with a bound of %s, and %s without one", got, bound, most)
		}
	}
}
