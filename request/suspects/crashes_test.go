package suspects

import (
	"slices"
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
		want                 int
	}{
		{"at once", engine, 0, 0, 1},
		{"within the window", engine, crashWindow - time.Millisecond, 0, 1},
		{"found before the loss is noticed", engine, -10 * time.Millisecond, 0, 1},
		{"another instance found it", engine, 10 * time.Millisecond, 2 * crashWindow, 1},
		{"too late", engine, crashWindow, 0, 0},
		{"another engine", other, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCrashes()
			c.RecordLost(engine, Subjects{Request: 7, Parts: []ID{8, 9}}, start)
			found := start.Add(tt.foundAfter)
			if n := c.RecordEnd(EngineEnd{Engine: tt.ended, At: found}, found.Add(tt.toldLate)); n != tt.want {
				t.Errorf("%d requests are suspected", n)
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
		{"a sound request at two of three crashed engines", func(f *fleet) {
			f.crash(guilty, sound)
			f.crash(guilty, sound)
			f.crash(guilty)
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
