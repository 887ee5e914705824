package cmd

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/soak"
)

// TestSoakSeeds replays seeds: a short drawn run, and each seed that ever failed, with its cause.
func TestSoakSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	tests := []struct {
		seed  uint64
		cause string
	}{
		{1, "none: the usual run"},
		{300, "a common request counted as a suspect after two engines had crashed for other reasons, in a stream"},
		{320, "the same, with engines that lose answers"},
		{332, "the same, with an instance killed in between"},
		{341, "the same, for a request that may not repeat"},
	}
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.cause, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			err := soak.Run(t.Context(), soak.Options{Seed: tt.seed, Duration: 8 * time.Second, Instances: 3, Binary: binary, Dir: t.TempDir(), Out: &out})
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(out.String(), "no promise broken") {
				t.Fatalf("said %q", out.String())
			}
		})
	}
}
