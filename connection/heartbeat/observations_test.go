package heartbeat

import (
	"net/netip"
	"testing"
	"time"
)

func observation(ip string, age time.Duration) Observation {
	return Observation{IP: netip.MustParseAddr(ip), Age: age}
}

func TestObservationsRoundTrip(t *testing.T) {
	tests := []struct {
		name   string
		list   []Observation
		want   []Observation
		atMost int
	}{
		{"none", nil, nil, 0},
		{"age rounded up", []Observation{observation("10.1.0.4", 33*time.Millisecond)}, []Observation{observation("10.1.0.4", 64*time.Millisecond)}, 6},
		{
			"sorted by address", []Observation{observation("10.2.0.4", time.Second), observation("10.1.0.4", 0), observation("10.1.0.5", 64*time.Millisecond)},
			[]Observation{observation("10.1.0.4", 0), observation("10.1.0.5", 64*time.Millisecond), observation("10.2.0.4", 1024*time.Millisecond)}, 13,
		},
		{"highest address", []Observation{observation("255.255.255.255", 0)}, []Observation{observation("255.255.255.255", 0)}, 6},
		{"IPv6 left out", []Observation{observation("::1", 0)}, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			packed := PackObservations(tt.list)
			if len(packed) > tt.atMost {
				t.Errorf("%d bytes", len(packed))
			}
			got, err := UnpackObservations(packed)
			if err != nil || len(got) != len(tt.want) {
				t.Fatalf("got %v, %v", got, err)
			}
			for i := range got {
				if got[i] != tt.want[i] {
					t.Errorf("got %v, want %v", got[i], tt.want[i])
				}
			}
		})
	}
}

func FuzzUnpackObservations(f *testing.F) {
	f.Add([]byte{})
	f.Add(PackObservations([]Observation{observation("10.1.0.4", time.Second), observation("10.1.0.5", 0)}))
	f.Add([]byte{255})
	f.Fuzz(func(t *testing.T, packed []byte) {
		list, err := UnpackObservations(packed)
		if err != nil {
			return
		}
		again, err := UnpackObservations(PackObservations(list))
		if err != nil || len(again) != len(list) {
			t.Fatalf("%v became %v, %v", list, again, err)
		}
	})
}
