package suspects

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/version/engines"
)

// fleet is a few instances that exchange evidence at once.
type fleet struct {
	instances []*Tracker
	now       time.Time
	engine    engines.Key
}

func newFleet(size int) *fleet { return newFleetOf(size, PartPolicy()) }

func newFleetOf(size int, p Policy) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	for range size {
		f.instances = append(f.instances, NewTracker(p))
	}
	return f
}

// exchange sends all changed evidence to all instances, until none changes.
func (f *fleet) exchange() {
	for sent := true; sent; {
		sent = false
		for _, from := range f.instances {
			shared, first := from.TakeChanged()
			list := slices.Concat(shared, first)
			for _, to := range f.instances {
				if to != from {
					to.Merge(list, f.now)
				}
			}
			sent = sent || len(list) > 0
		}
	}
}

// crash makes the next engine crash while it runs one request of each list of parts, each from the next instance.
func (f *fleet) crash(requests ...[]string) { f.crashAtOnce(1, requests...) }

// crashAtOnce makes the next engines crash at the same time, each while it runs these requests.
func (f *fleet) crashAtOnce(count int, requests ...[]string) {
	for range count {
		f.engine++
		for i, names := range requests {
			f.instances[(int(f.engine)+i)%len(f.instances)].RecordCrash(ids(names), Crash{Engine: f.engine, At: f.now}, f.now)
		}
	}
	f.pass(600 * time.Millisecond)
}

func (f *fleet) answer(instance int, names ...string) {
	f.instances[instance].RecordAnswer(ids(names), f.now)
	f.pass(100 * time.Millisecond)
}

func (f *fleet) pass(d time.Duration) {
	f.exchange()
	f.now = f.now.Add(d)
}

// refused returns which of the requests are refused, and fails if the instances disagree.
func (f *fleet) refused(t *testing.T, requests ...[]string) []bool {
	t.Helper()
	var all []bool
	for _, names := range requests {
		first := f.instances[0].Refuses(ids(names), f.now)
		for i, n := range f.instances {
			if n.Refuses(ids(names), f.now) != first {
				t.Errorf("instance %d disagrees about %v", i, names)
			}
		}
		all = append(all, first)
	}
	return all
}

func ids(names []string) []ID {
	list := make([]ID, len(names))
	for i, name := range names {
		list[i] = NewPart(name)
	}
	return list
}

func TestCulprits(t *testing.T) {
	guilty, sound := []string{"shared", "guilty"}, []string{"shared", "sound"}
	tests := []struct {
		name    string
		happens func(f *fleet)
		asked   [][]string
		want    []bool
	}{
		{"three crashes on a part without answers", func(f *fleet) {
			f.answer(0, sound...)
			for range 3 {
				f.crash(guilty, sound)
			}
		}, [][]string{guilty, sound, {"other", "guilty"}}, []bool{true, false, true}},
		{"many crashes, and no answer on the shared part since", func(f *fleet) {
			f.answer(0, sound...)
			for range 8 {
				f.crash(guilty, sound, []string{"shared"})
			}
		}, [][]string{guilty, sound}, []bool{true, false}},
		{"two crashes", func(f *fleet) {
			f.crash(guilty)
			f.crash(guilty)
		}, [][]string{guilty}, []bool{false}},
		{"ordinary crashes under sound requests", func(f *fleet) {
			f.answer(1, "shared", "sound")
			for i := range 8 {
				f.crash([]string{"shared", fmt.Sprint("subject", i)}, sound)
				if i%3 == 2 {
					f.answer(0, sound...)
				}
			}
		}, [][]string{sound, {"shared", "subject7"}}, []bool{false, false}},
		{"a new sound part in the same crashes", func(f *fleet) {
			for range 4 {
				f.crash([]string{"new", "guilty"})
			}
		}, [][]string{{"new", "guilty"}, {"new", "sound"}, {"other", "guilty"}}, []bool{true, false, false}},
		{"a new sound part in some of the same crashes", func(f *fleet) {
			for range 3 {
				f.crash([]string{"new", "guilty"}, []string{"new", "sound"})
			}
			f.crash([]string{"other", "guilty"})
		}, [][]string{{"new", "guilty"}, {"new", "sound"}, {"other", "guilty"}}, []bool{true, false, true}},
		{"two ordinary crashes beside", func(f *fleet) {
			f.answer(0, sound...)
			for range 3 {
				f.crash(guilty, sound)
			}
			f.crash(sound)
			f.crash(sound)
		}, [][]string{guilty, sound}, []bool{true, false}},
		{"a part that was sound before", func(f *fleet) {
			f.answer(0, "late")
			for range 5 {
				f.crash([]string{"late"})
			}
		}, [][]string{{"late"}}, []bool{true}},
		{"all engines crash at once under a sound part", func(f *fleet) {
			f.answer(0, sound...)
			f.crashAtOnce(9, sound, []string{"shared", "other"})
		}, [][]string{sound, {"shared", "other"}}, []bool{false, false}},
		{"all engines crash at once under a new part", func(f *fleet) { f.crashAtOnce(9, sound) }, [][]string{sound}, []bool{false}},
		{"all engines crash twice under a sound part", func(f *fleet) {
			f.answer(0, sound...)
			f.crashAtOnce(9, sound)
			f.crashAtOnce(9, sound)
		}, [][]string{sound}, []bool{false}},
		{"several engines crash at once on a part, and one later", func(f *fleet) {
			f.answer(0, sound...)
			f.crashAtOnce(5, guilty, sound)
			f.crash(guilty, sound)
		}, [][]string{guilty, sound}, []bool{true, false}},
		{"an answer after the crashes", func(f *fleet) {
			for range 4 {
				f.crash(guilty)
			}
			f.answer(2, guilty...)
		}, [][]string{guilty}, []bool{false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(3)
			tt.happens(f)
			if got := f.refused(t, tt.asked...); !slices.Equal(got, tt.want) {
				t.Errorf("refused are %v, want %v, of %v", got, tt.want, tt.asked)
			}
		})
	}
}

// TestCulpritWaitsForObjections guards against refusing a part that engines of another instance have answered, before that instance can say so.
func TestCulpritWaitsForObjections(t *testing.T) {
	f := newFleet(2)
	f.instances[1].RecordAnswer(ids([]string{"sound"}), f.now)
	f.now = f.now.Add(time.Second)
	for e := range engines.Key(PartPolicy().Unanswered.Crashes) {
		f.instances[0].RecordCrash(ids([]string{"sound"}), Crash{Engine: e, At: f.now}, f.now)
	}
	if f.instances[0].Refuses(ids([]string{"sound"}), f.now.Add(PartPolicy().ObjectionTime-time.Millisecond)) {
		t.Error("refused before others could object")
	}
	f.exchange()
	if f.instances[0].Refuses(ids([]string{"sound"}), f.now.Add(time.Second)) {
		t.Error("refused in spite of an objection")
	}
}

// TestCulpritOfOthersIsNotCleared guards against clearing a stored culprit on an instance that knows only some of its crashes.
func TestCulpritOfOthersIsNotCleared(t *testing.T) {
	f := newFleet(1)
	f.crashAtOnce(2*PartPolicy().Unanswered.Crashes, []string{"guilty"})
	f.instances[0].SetStored(ids([]string{"guilty"}), f.now)
	if due := f.instances[0].Due(time.Minute, f.now); len(due) > 0 || !f.instances[0].Refuses(ids([]string{"guilty"}), f.now) {
		t.Errorf("the culprit is not refused, or due are %v", due)
	}
}

// TestStoredCulprits checks what is due for the store, that a restarted instance refuses what the store holds, and that a wrong entry is cleared.
func TestStoredCulprits(t *testing.T) {
	f := newFleet(1)
	for range 3 {
		f.crash([]string{"guilty"})
	}
	due := f.instances[0].Due(time.Minute, f.now)
	if len(due) != 1 || due[0].Cleared {
		t.Fatalf("due are %v", due)
	}
	c, err := ParseCulprit(due[0].Culprit.String())
	if err != nil || !slices.Equal(c, due[0].Culprit) {
		t.Fatalf("parsed %v, %v", c, err)
	}
	f.instances[0].SetStored(c, f.now)
	if due := f.instances[0].Due(time.Minute, f.now); len(due) > 0 {
		t.Fatalf("due are %v although it is stored", due)
	}
	restarted := newFleet(1)
	p := restarted.instances[0]
	p.SetStored(c, restarted.now)
	restarted.now = restarted.now.Add(2 * time.Minute)
	if due := p.Due(time.Minute, restarted.now); len(due) > 0 {
		t.Fatalf("due are %v although no request came", due)
	}
	if !p.Refuses(ids([]string{"a", "guilty"}), restarted.now) {
		t.Fatal("a restarted instance does not refuse what the store holds")
	}
	if due := p.Due(time.Minute, restarted.now); len(due) != 1 || due[0].Cleared {
		t.Fatalf("due are %v although requests still come", due)
	}
	p.RecordAnswer(ids([]string{"guilty"}), restarted.now)
	if due := p.Due(time.Minute, restarted.now); p.Refuses(c, restarted.now) || len(due) != 1 || !due[0].Cleared {
		t.Fatalf("a refuted culprit is refused, or due are %v", due)
	}
	p.RemoveStored(c, restarted.now)
	if due := p.Due(time.Minute, restarted.now); p.Refuses(c, restarted.now) || len(due) > 0 {
		t.Fatalf("a culprit that has left the store is refused, or due are %v", due)
	}
	f.instances[0].RemoveStored(c, f.now)
	if due := f.instances[0].Due(time.Minute, f.now); f.instances[0].Refuses(c, f.now) || len(due) > 0 {
		t.Fatalf("a culprit that operators removed is refused, or due are %v", due)
	}
	for _, text := range []string{"", "a-", "!"} {
		if c, err := ParseCulprit(text); err == nil {
			t.Errorf("%q is parsed as %v", text, c)
		}
	}
}
