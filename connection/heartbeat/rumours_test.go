package heartbeat

import (
	"net/netip"
	"testing"
	"time"
)

func rumour(ip string, age time.Duration) Rumour {
	return Rumour{IP: netip.MustParseAddr(ip), Age: age}
}

func TestRumoursSurvivePacking(t *testing.T) {
	tests := []struct {
		name   string
		list   []Rumour
		want   []Rumour
		atMost int
	}{
		{"none", nil, nil, 0},
		{"ages round up", []Rumour{rumour("10.1.0.4", 33*time.Millisecond)}, []Rumour{rumour("10.1.0.4", 64*time.Millisecond)}, 6},
		{
			"in the order of addresses", []Rumour{rumour("10.2.0.4", time.Second), rumour("10.1.0.4", 0), rumour("10.1.0.5", 64*time.Millisecond)},
			[]Rumour{rumour("10.1.0.4", 0), rumour("10.1.0.5", 64*time.Millisecond), rumour("10.2.0.4", 1024*time.Millisecond)}, 13,
		},
		{"the last address", []Rumour{rumour("255.255.255.255", 0)}, []Rumour{rumour("255.255.255.255", 0)}, 6},
		{"no room for IPv6", []Rumour{rumour("::1", 0)}, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			packed := PackRumours(tt.list)
			if len(packed) > tt.atMost {
				t.Errorf("%d bytes", len(packed))
			}
			got, err := UnpackRumours(packed)
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

func FuzzUnpackRumours(f *testing.F) {
	f.Add([]byte{})
	f.Add(PackRumours([]Rumour{rumour("10.1.0.4", time.Second), rumour("10.1.0.5", 0)}))
	f.Add([]byte{255})
	f.Fuzz(func(t *testing.T, packed []byte) {
		list, err := UnpackRumours(packed)
		if err != nil {
			return
		}
		again, err := UnpackRumours(PackRumours(list))
		if err != nil || len(again) != len(list) {
			t.Fatalf("%v became %v, %v", list, again, err)
		}
	})
}
