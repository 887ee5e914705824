package suspects

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/version/engines"
)

// TestRequestsAreToldApart guards against requests without a body that share one ID, and against one request with two.
func TestRequestsAreToldApart(t *testing.T) {
	base := NewRequest("museum", "GET", "h.example", "/p/x", nil)
	tests := []struct {
		name string
		id   ID
		same bool
	}{
		{"sent again", NewRequest("museum", "GET", "h.example", "/p/x", []byte{}), true},
		{"another organisation", NewRequest("trust", "GET", "h.example", "/p/x", nil), false},
		{"another method", NewRequest("museum", "POST", "h.example", "/p/x", nil), false},
		{"another host", NewRequest("museum", "GET", "i.example", "/p/x", nil), false},
		{"another target", NewRequest("museum", "GET", "h.example", "/p/x?q=1", nil), false},
		{"a body", NewRequest("museum", "GET", "h.example", "/p/x", []byte("b")), false},
		{"fields that run together", NewRequest("museumGET", "", "h.example", "/p/x", nil), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if (tt.id == base) != tt.same {
				t.Errorf("got %s and %s", tt.id, base)
			}
		})
	}
}

// TestLostAnswersAndEndsOfEngines guards against evidence that is missing because the answer was lost, or not waited for, before the end of the engine
// became known, and against suspecting requests whose answers were lost for other reasons.
func TestLostAnswersAndEndsOfEngines(t *testing.T) {
	const engine, other = engines.Key(1), engines.Key(2)
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// ended is the engine that is found to have ended, foundAfter how long after the loss, and toldLate how much later this instance is told.
		ended                engines.Key
		foundAfter, toldLate time.Duration
		// endFirst says that the end is recorded before the loss.
		endFirst bool
		want     int
	}{
		{"at once", engine, 0, 0, false, 1},
		{"within the window", engine, crashWindow - time.Millisecond, 0, false, 1},
		{"found before the loss is noticed", engine, -10 * time.Millisecond, 0, false, 1},
		{"known before the loss is noticed", engine, -10 * time.Millisecond, 0, true, 1},
		{"known long before the loss", engine, -crashWindow, 0, true, 0},
		{"another instance found it", engine, 10 * time.Millisecond, 2 * crashWindow, false, 1},
		{"too late", engine, crashWindow, 0, false, 0},
		{"another engine", other, 0, 0, false, 0},
		{"another engine, known before", other, 0, 0, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCrashes()
			found := start.Add(tt.foundAfter)
			steps := []func(){
				func() { c.RecordLost(engine, Subjects{Request: 7, Parts: []ID{8, 9}}, start) },
				func() { c.RecordEnd(EngineEnd{Engine: tt.ended, At: found}, found.Add(tt.toldLate)) },
			}
			if tt.endFirst {
				slices.Reverse(steps)
			}
			for _, step := range steps {
				step()
			}
			_, requests := c.Requests.TakeChanged()
			_, parts := c.Parts.TakeChanged()
			if len(requests) != tt.want || len(parts) != 2*tt.want || len(c.TakeEnds()) != 1 || len(c.TakeEnds()) != 0 {
				t.Errorf("evidence on requests is %v, on parts %v", requests, parts)
			}
		})
	}
}

// TestSuspectedRequests guards against requests that crash a third engine once two crashes are known, and against refusing sound ones that were at
// the same engines.
func TestSuspectedRequests(t *testing.T) {
	guilty, sound := []string{"guilty"}, []string{"sound"}
	tests := []struct {
		name    string
		happens func(f *fleet)
		want    []bool
	}{
		{"one crash", func(f *fleet) { f.crash(guilty) }, []bool{false, false}},
		{"two crashes", func(f *fleet) {
			f.crash(guilty, sound)
			f.crash(guilty)
		}, []bool{true, false}},
		{"two crashes at once", func(f *fleet) { f.crashAtOnce(2, guilty) }, []bool{true, false}},
		{"a sound request at the same two engines", func(f *fleet) {
			f.crash(guilty, sound)
			f.crash(guilty, sound)
		}, []bool{false, false}},
		{"a sound request at two of three crashed engines", func(f *fleet) {
			f.crash(guilty, sound)
			f.crash(guilty, sound)
			f.crash(guilty)
		}, []bool{true, false}},
		{"another one crashes the same engines and one more", func(f *fleet) {
			for range 3 {
				f.crash(guilty, []string{"other"})
			}
			f.crash([]string{"other"})
		}, []bool{true, false}},
		{"a sound request that was answered, at all engines", func(f *fleet) {
			f.answer(1, "sound")
			f.crashAtOnce(3, guilty, sound)
		}, []bool{true, false}},
		{"all engines crash at once under sound requests", func(f *fleet) {
			f.answer(0, "sound")
			f.crashAtOnce(9, sound)
		}, []bool{false, false}},
		{"an answer after two crashes", func(f *fleet) {
			f.crash(guilty)
			f.crash(guilty)
			f.answer(2, "guilty")
		}, []bool{false, false}},
		{"a request that was answered before it crashes engines", func(f *fleet) {
			f.answer(0, "guilty")
			f.crashAtOnce(3, guilty)
			f.crash(guilty)
		}, []bool{true, false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleetOf(3, RequestPolicy())
			tt.happens(f)
			if got := f.refused(t, guilty, sound); !slices.Equal(got, tt.want) {
				t.Errorf("refused are %v, want %v", got, tt.want)
			}
		})
	}
}

// TestLateMessagesAcquitNoCulprit guards against an answer that seems to be later with each message until it acquits a culprit, and against messages
// without end.
func TestLateMessagesAcquitNoCulprit(t *testing.T) {
	for _, transit := range []time.Duration{time.Millisecond, 60 * time.Millisecond, 2 * time.Second} {
		t.Run(transit.String(), func(t *testing.T) {
			from, to, now := NewTracker(RequestPolicy()), NewTracker(RequestPolicy()), time.Unix(1000, 0)
			id := []ID{7}
			from.RecordAnswer(id, now)
			for e := range engines.Key(4) {
				now = now.Add(400 * time.Millisecond)
				from.RecordCrash(id, Crash{Engine: e + 1, At: now}, now)
			}
			messages := 0
			for shared, _ := from.TakeChanged(); len(shared) > 0 && messages < 100; shared, _ = from.TakeChanged() {
				messages++
				// Messages carry ages.
				for i := range shared {
					shared[i].AnsweredAt = shared[i].AnsweredAt.Add(transit)
					for j := range shared[i].Crashes {
						shared[i].Crashes[j].At = shared[i].Crashes[j].At.Add(transit)
					}
				}
				now = now.Add(transit)
				to.Merge(shared, now)
				from, to = to, from
			}
			if messages > 4 || !from.Refuses(id, now) || !to.Refuses(id, now) {
				t.Errorf("after %d messages refused are %t and %t", messages, from.Refuses(id, now), to.Refuses(id, now))
			}
		})
	}
}

// BenchmarkRefuses measures the check of a request that is not suspected after a crash has brought evidence on many others.
func BenchmarkRefuses(b *testing.B) {
	for _, subjects := range []int{200, 4000} {
		b.Run(strconv.Itoa(subjects), func(b *testing.B) {
			tracker, start := NewTracker(RequestPolicy()), time.Unix(1000, 0)
			for i := range subjects {
				for c := range 2 {
					at := start.Add(time.Duration(c) * time.Second)
					tracker.RecordCrash([]ID{ID(i + 1)}, Crash{Engine: engines.Key(1 + (i+c*7)%140), At: at}, at)
				}
			}
			for b.Loop() {
				tracker.outdated = true
				tracker.Refuses([]ID{ID(subjects + 1)}, start)
			}
		})
	}
}

// BenchmarkDetermine measures the check of a suspected one.
func BenchmarkDetermine(b *testing.B) {
	tracker, start := NewTracker(RequestPolicy()), time.Unix(1000, 0)
	for i := range 1000 {
		for c := range 2 {
			at := start.Add(time.Duration(c) * time.Second)
			tracker.RecordCrash([]ID{ID(i + 1)}, Crash{Engine: engines.Key(1 + (i+c*7)%140), At: at}, at)
		}
	}
	for b.Loop() {
		tracker.outdated = true
		tracker.Refuses([]ID{1}, start)
	}
}

// TestOnlyRefusedRequestsAreStored guards against an entry in the store for each request that was at two crashed engines and never comes again.
func TestOnlyRefusedRequestsAreStored(t *testing.T) {
	f := newFleetOf(2, RequestPolicy())
	f.crashAtOnce(2, []string{"guilty"})
	if due := f.instances[0].Due(time.Minute, f.now); len(due) > 0 {
		t.Errorf("due are %v before the request came again", due)
	}
	f.refused(t, []string{"guilty"})
	if due := f.instances[0].Due(time.Minute, f.now); len(due) != 1 {
		t.Errorf("due are %v after it was refused", due)
	}
}

// TestStoredRequestIsNotClearedByPartialEvidence guards against an instance that clears a request which crashes engines, since it knows of more crashes
// under a sound one.
func TestStoredRequestIsNotClearedByPartialEvidence(t *testing.T) {
	f := newFleetOf(1, RequestPolicy())
	guilty, sound := []string{"guilty"}, []string{"sound"}
	f.crash(guilty, sound)
	f.crash(guilty, sound)
	f.crash(sound)
	f.instances[0].SetStored(ids(guilty), f.now)
	if due := f.instances[0].Due(time.Minute, f.now); len(due) > 0 || !f.instances[0].Refuses(ids(guilty), f.now) {
		t.Errorf("the stored request is not refused, or due are %v", due)
	}
}
