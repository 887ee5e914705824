package cmd

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/soak"
)

// TestSoakSeeds runs the soak with one regular seed and with each seed that ever failed. A subtest is named after the cause of
// the failure.
func TestSoakSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for half a minute")
	}
	tests := []struct {
		seed  uint64
		cause string
	}{
		{1, "regular run"},
		{300, "ordinary request treated as a suspect after two engine crashes with other causes, in a stream"},
		{320, "same cause as seed 300, with engines that lose answers"},
		{332, "same cause as seed 300, with an instance killed in between"},
		{341, "same cause as seed 300, for a non-idempotent request"},
		{1029, "SIGHUP to an instance that had just started ended it"},
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
			if !strings.Contains(out.String(), "no guarantee violated") {
				t.Fatalf("output: %q", out.String())
			}
		})
	}
}
