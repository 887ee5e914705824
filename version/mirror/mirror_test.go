package mirror

import (
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
	m.Apply(Delta{Full: true, Entries: []Entry{entry("a", 5)}, Revision: 5}, 100)
	m.Apply(Delta{Entries: []Entry{entry("a", 8)}, Revision: 8}, 200)
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
			if news := m.Apply(tt.delta, 300); len(news) > 0 {
				t.Fatalf("took %v", news)
			}
			if e, ok := m.Get("a"); !ok || e.Revision != 8 {
				t.Fatalf("the entry went back to %+v", e)
			}
		})
	}
}

func TestFullReadDeletesMissingEntries(t *testing.T) {
	m := New()
	m.Apply(Delta{Full: true, Entries: []Entry{entry("a", 1), entry("b", 2)}, Revision: 2}, 1)
	news := m.Apply(Delta{Full: true, Entries: []Entry{entry("b", 2)}, Revision: 9}, 2)
	if len(news) != 1 || !news[0].Deleted || news[0].Key != "a" {
		t.Fatalf("news are %+v", news)
	}
	other := New()
	other.Apply(Delta{Full: true, Entries: []Entry{entry("a", 1), entry("b", 2)}, Revision: 2}, 1)
	other.Apply(m.Since(2), 2)
	if _, ok := other.Get("a"); ok {
		t.Fatal("a replica that followed still has the entry")
	}
}

func TestChangesBeforeAFullReadAreIgnored(t *testing.T) {
	m := New()
	m.Apply(Delta{Entries: []Entry{entry("a", 4)}, Revision: 4}, 1)
	if _, _, loaded := m.State(); loaded {
		t.Fatal("changes alone count as a whole replica")
	}
}

func TestConfirmOfAnotherRevision(t *testing.T) {
	tests := []struct {
		name     string
		revision ident.Revision
		want     bool
	}{
		{"the same", 5, true},
		{"an older one, all of whose changes are here", 4, true},
		{"a newer one, which this replica lags", 6, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New()
			m.Apply(Delta{Full: true, Revision: 5}, 100)
			m.Confirm(tt.revision, 900)
			if _, proven, _ := m.State(); (proven == 900) != tt.want {
				t.Fatalf("proven at %d", proven)
			}
		})
	}
}

// TestReplicasConverge lets replicas of replicas follow drawn changes, with steps left out, and compares them in the end.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := New(), New()
		first.Apply(Delta{Full: true, Revision: 1}, 1)
		revision := ident.Revision(1)
		for range rapid.IntRange(1, 3*maxLogEntries).Draw(t, "changes") {
			revision++
			e := entry("k"+strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "key")), revision)
			e.Deleted = rapid.IntRange(0, 4).Draw(t, "deleted") == 0
			first.Apply(Delta{Entries: []Entry{e}, Revision: revision}, 1)
			if rapid.IntRange(0, 50).Draw(t, "follows") == 0 {
				at, _, _ := second.State()
				second.Apply(first.Since(at), 1)
			}
		}
		at, _, _ := second.State()
		second.Apply(first.Since(at), 1)
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

// TestSinceReturnsOnlyTheLastChangeOfEachKey: a storm of large values must not be sent whole.
func TestSinceReturnsOnlyTheLastChangeOfEachKey(t *testing.T) {
	m := New()
	m.Apply(Delta{Full: true, Revision: 1}, 1)
	for revision := ident.Revision(2); revision <= 50; revision++ {
		m.Apply(Delta{Entries: []Entry{entry("configuration", revision)}, Revision: revision}, 1)
	}
	lag := m.Since(5)
	if len(lag.Entries) != 1 || lag.Entries[0].Revision != 50 || string(lag.Entries[0].Value) != "50" {
		t.Fatalf("the lag is %+v", lag.Entries)
	}
}
