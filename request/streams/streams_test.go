package streams

import (
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/boottime"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

// TestUncertainBeginningsAreNotKnown guards against a stream that goes on at a version which may not have begun it.
func TestUncertainBeginningsAreNotKnown(t *testing.T) {
	own := NewID("s", "org", "r1")
	tests := []struct {
		name     string
		recorded []Beginning
		known    bool
	}{
		{"never recorded", nil, false},
		{"recorded", []Beginning{{own, "v1"}}, true},
		{"recorded twice", []Beginning{{own, "v1"}, {own, "v1"}}, true},
		{"recorded at two versions", []Beginning{{own, "v1"}, {own, "v2"}, {own, "v1"}}, false},
		{"of another organisation", []Beginning{{NewID("s", "other", "r1"), "v1"}}, false},
		{"of another service", []Beginning{{NewID("t", "org", "r1"), "v1"}}, false},
	}
	for _, tt := range tests {
		m := NewMemory()
		for _, b := range tt.recorded {
			m.Record(b, time.Now())
		}
		if v, known := m.VersionOf(own); known != tt.known || (known && v != "v1") {
			t.Errorf("%s: known: %t, at %q", tt.name, known, v)
		}
	}
}

// TestHeardBeginningsAreNotToldAgain guards against instances that tell each other all that they have heard, more each time that they start again, until
// the streams in progress were forgotten for want of room.
func TestHeardBeginningsAreNotToldAgain(t *testing.T) {
	start := time.Now()
	m := NewMemory()
	m.Record(Beginning{ID: 1, Version: "v1"}, start)
	m.RecordOwn(Beginning{ID: 2, Version: "v1"}, start)
	m.Record(Beginning{ID: 2, Version: "v1"}, start.Add(time.Second))
	if own := m.OwnSince(start.Add(-time.Second)); len(own) != 1 || own[0].ID != 2 {
		t.Errorf("told: %+v, want stream 2 only", own)
	}
	m.Record(Beginning{ID: 3, Version: "v1"}, start.Add(Retention))
	if _, known := m.VersionOf(1); known {
		t.Error("a stream is known for longer than its version counts")
	}
}

// TestVersionsCountUntilTheirStreamsHaveEnded guards against an instance that takes the only registered version for that of all streams.
func TestVersionsCountUntilTheirStreamsHaveEnded(t *testing.T) {
	engine := func(v engines.Version) engines.Engine { return engines.Engine{Service: "s", Version: v} }
	var v Versions
	at := func(s int) boottime.Instant { return boottime.Instant(time.Duration(s) * time.Second) }
	steps := []struct {
		second  int
		engines []engines.Engine
		marked  bool
		several bool
	}{
		{0, []engines.Engine{engine("v1"), engine("v1")}, false, false},
		{10, []engines.Engine{engine("v1"), engine("v2")}, false, true},
		{200, []engines.Engine{engine("v2")}, false, true},
		{200 + int(Retention.Seconds()) - 1, []engines.Engine{engine("v2")}, false, true},
		{200 + int(Retention.Seconds()), []engines.Engine{engine("v2")}, false, false},
		{300, []engines.Engine{engine("v2")}, true, true},
		{301, nil, false, false},
		{302, []engines.Engine{engine("v3")}, false, true},
	}
	for _, s := range steps {
		v.Update(s.engines, at(s.second))
		v.Mark("s", s.marked)
		if several := v.AreSeveral("s", at(s.second)); several != s.several {
			t.Errorf("second %d: several versions: %t", s.second, several)
		}
	}
}
