package capacity_test

import (
	"os"
	"strings"
	"testing"

	"github.com/vanillaroute/vanillaroute/standin/capacity"
	"github.com/vanillaroute/vanillaroute/standin/measure"
)

func TestPageMatchesRecordedSlopes(t *testing.T) {
	slopes, err := measure.Read("../../docs/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	p, err := capacity.Compute(capacity.TargetFleet, slopes)
	if err != nil {
		t.Fatal(err)
	}
	var tables strings.Builder
	if err := capacity.Render(&tables, p, slopes); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := capacity.Replace(string(page), tables.String())
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != want {
		t.Error("docs/CAPACITY.md differs from what the slopes give; run `go run . capacity`")
	}
}

func TestMissingSlopeIsAnError(t *testing.T) {
	if _, err := capacity.Compute(capacity.TargetFleet, nil); err == nil {
		t.Error("no error without slopes")
	}
}
