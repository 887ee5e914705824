package mirror

import (
	"slices"
	"strconv"
	"testing"

	"github.com/vanillaroute/vanillaroute/ident"
	"pgregory.net/rapid"
)

func entry(key string, revision ident.Revision) Entry {
	return Entry{Key: key, Value: []byte(strconv.FormatInt(int64(revision), 10)), Revision: revision}
}

func TestApplyIgnoresOlderRevisions(t *testing.T) {
	m := New()
	m.Apply(Delta{Full: true, Entries: []Entry{entry("a", 5)}, Revision: 5})
	m.Apply(Delta{Entries: []Entry{entry("a", 8)}, Revision: 8})
	tests := []struct {
		name  string
		delta Delta
	}{
		{"older changes", Delta{Entries: []Entry{entry("a", 7)}, Revision: 7}},
		{"an older full read", Delta{Full: true, Entries: []Entry{entry("a", 5)}, Revision: 6}},
		{"an older entry at a newer revision", Delta{Entries: []Entry{entry("a", 6)}, Revision: 9}},
		{"an older deletion", Delta{Entries: []Entry{{Key: "a", Revision: 7, Deleted: true}}, Revision: 9}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if changed := m.Apply(tt.delta); len(changed) > 0 {
				t.Fatalf("applied %v", changed)
			}
			if e, ok := m.Get("a"); !ok || e.Revision != 8 {
				t.Fatalf("got entry %+v, want revision 8", e)
			}
		})
	}
}

func TestFullReadDeletesMissingEntries(t *testing.T) {
	m := New()
	m.Apply(Delta{Full: true, Entries: []Entry{entry("a", 1), entry("b", 2)}, Revision: 2})
	changed := m.Apply(Delta{Full: true, Entries: []Entry{entry("b", 2)}, Revision: 9})
	if len(changed) != 1 || !changed[0].Deleted || changed[0].Key != "a" {
		t.Fatalf("got changes %+v, want the deletion of a", changed)
	}
	follower := New()
	follower.Apply(Delta{Full: true, Entries: []Entry{entry("a", 1), entry("b", 2)}, Revision: 2})
	follower.Apply(m.Since(2))
	if _, ok := follower.Get("a"); ok {
		t.Fatal("a replica that applied the delta still has the entry")
	}
}

// TestDeletionOfAnUnknownKeyIsPassedOn guards against an entry that stays in a replica for good: a replica that gets only the deletion of an entry,
// since a delta holds the last change of each key, must pass it on to those that got the entry.
func TestDeletionOfAnUnknownKeyIsPassedOn(t *testing.T) {
	first, second, third := New(), New(), New()
	for _, m := range []*Mirror{first, second, third} {
		m.Apply(Delta{Full: true, Entries: []Entry{entry("a", 1)}, Revision: 1})
	}
	first.Apply(Delta{Entries: []Entry{entry("engine", 2)}, Revision: 2})
	third.Apply(first.Since(1))
	first.Apply(Delta{Entries: []Entry{{Key: "engine", Revision: 3, Deleted: true}}, Revision: 3})
	second.Apply(first.Since(1))
	third.Apply(second.Since(2))
	if _, ok := third.Get("engine"); ok {
		t.Error("the entry is still in the third replica")
	}
	if again := second.Apply(first.Since(1)); len(again) > 0 {
		t.Errorf("the deletion is applied twice: %+v", again)
	}
}

func TestChangesBeforeAFullReadAreIgnored(t *testing.T) {
	m := New()
	m.Apply(Delta{Entries: []Entry{entry("a", 4)}, Revision: 4})
	if _, _, loaded := m.State(); loaded {
		t.Fatal("the replica counts as loaded without a full read")
	}
}

func TestConfirmOfAnotherRevision(t *testing.T) {
	tests := []struct {
		name     string
		revision ident.Revision
		want     bool
	}{
		{"same revision", 5, true},
		{"older revision, already applied", 4, true},
		{"newer revision, not applied yet", 6, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New()
			m.Apply(Delta{Full: true, Revision: 5})
			m.Confirm(tt.revision, 900)
			if _, confirmedAt, _ := m.State(); (confirmedAt == 900) != tt.want {
				t.Fatalf("confirmed at %d", confirmedAt)
			}
		})
	}
}

// TestReplicasConverge applies random changes to one replica, copies deltas to a second one at random times, and compares the two at the
// end.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := New(), New()
		first.Apply(Delta{Full: true, Revision: 1})
		revision := ident.Revision(1)
		for range rapid.IntRange(1, 3*maxLogEntries).Draw(t, "changes") {
			revision++
			e := entry("k"+strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "key")), revision)
			e.Deleted = rapid.IntRange(0, 4).Draw(t, "deleted") == 0
			first.Apply(Delta{Entries: []Entry{e}, Revision: revision})
			if rapid.IntRange(0, 50).Draw(t, "follows") == 0 {
				at, _, _ := second.State()
				second.Apply(first.Since(at))
			}
		}
		at, _, _ := second.State()
		second.Apply(first.Since(at))
		want, got := first.List(""), second.List("")
		if len(want) != len(got) {
			t.Fatalf("%d entries, want %d", len(got), len(want))
		}
		for i := range want {
			if want[i].Key != got[i].Key || want[i].Revision != got[i].Revision {
				t.Fatalf("entry %+v, want %+v", got[i], want[i])
			}
		}
	})
}

// TestReplicasConvergeThroughEachOther guards against entries that stay in a replica for good, whichever replicas the others fetch deltas from and
// whenever they read the whole store.
func TestReplicasConvergeThroughEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := New()
		store.Apply(Delta{Full: true, Revision: 1})
		replicas := []*Mirror{New(), New(), New(), New()}
		for _, m := range replicas {
			m.Apply(Delta{Full: true, Revision: 1})
		}
		revision := ident.Revision(1)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			to := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")]
			at, _, _ := to.State()
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				to.Apply(Delta{Full: true, Entries: store.List(""), Revision: revision})
			case 1, 2:
				to.Apply(store.Since(at))
			case 3, 4, 5:
				to.Apply(replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "peer")].Since(at))
			default:
				revision++
				e := entry("k"+strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "key")), revision)
				_, known := store.Get(e.Key)
				e.Deleted = known && rapid.Bool().Draw(t, "deleted")
				store.Apply(Delta{Entries: []Entry{e}, Revision: revision})
			}
		}
		replicas[0].Apply(Delta{Full: true, Entries: store.List(""), Revision: revision})
		for i, m := range replicas[1:] {
			at, _, _ := m.State()
			m.Apply(replicas[i].Since(at))
			want, got := store.List(""), m.List("")
			if !slices.EqualFunc(want, got, func(a, b Entry) bool { return a.Key == b.Key && a.Revision == b.Revision }) {
				t.Fatalf("replica %d holds %+v, want %+v", i+1, got, want)
			}
		}
	})
}

// TestSinceReturnsOnlyTheLastChangeOfEachKey guards against sending every value of a key that changes often: configurations are large.
func TestSinceReturnsOnlyTheLastChangeOfEachKey(t *testing.T) {
	m := New()
	m.Apply(Delta{Full: true, Revision: 1})
	for revision := ident.Revision(2); revision <= 50; revision++ {
		m.Apply(Delta{Entries: []Entry{entry("configuration", revision)}, Revision: revision})
	}
	lag := m.Since(5)
	if len(lag.Entries) != 1 || lag.Entries[0].Revision != 50 || string(lag.Entries[0].Value) != "50" {
		t.Fatalf("got %+v, want only revision 50", lag.Entries)
	}
}
