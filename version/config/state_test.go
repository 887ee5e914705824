package config_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/version/config"
	"github.com/vanillaroute/vanillaroute/version/lists"
	"github.com/vanillaroute/vanillaroute/wire"
	"pgregory.net/rapid"
)

// init fixes the seed of the random cases; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func planEntry(t interface{ Fatal(...any) }, org string, plan ident.Plan, revision ident.Revision) wire.Entry {
	p := lists.PlanEntry{Organisation: ident.Organisation(org), Plan: plan, KeyHashes: []string{lists.HashKey("key of " + org)}}
	value, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return wire.Entry{Key: p.Key(), Value: value, Revision: revision}
}

// TestRoutersConvergeInAnyOrder applies the same changes to two routers in random orders. The second router gets only some of
// them, each twice, and the others when it compares buckets with the first.
func TestRoutersConvergeInAnyOrder(t *testing.T) {
	now := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		var changes []wire.Entry
		model := make(map[string]wire.Entry)
		for revision := range rapid.IntRange(1, 30).Draw(t, "changes") {
			org := fmt.Sprint("org-", rapid.IntRange(0, 5).Draw(t, "org"))
			e := planEntry(t, org, ident.Plan(fmt.Sprint("plan-", revision)), ident.Revision(revision+1))
			if rapid.Bool().Draw(t, "deleted") {
				e.Value = nil
			}
			changes = append(changes, e)
			model[e.Key] = e
		}
		a, b := config.New(), config.New()
		for _, e := range rapid.Permutation(changes).Draw(t, "orderA") {
			a.Apply([]wire.Entry{e}, now)
		}
		for _, e := range rapid.Permutation(changes).Draw(t, "orderB") {
			if rapid.Bool().Draw(t, "delivered") {
				before := b.Revision(e.Key)
				b.Apply([]wire.Entry{e, e}, now)
				if b.Revision(e.Key) < before {
					t.Fatalf("revision of %s decreased from %d to %d", e.Key, before, b.Revision(e.Key))
				}
			}
		}
		differing := config.DifferingBuckets(a.Checksums(), b.Checksums())
		b.Apply(a.Newer(differing, b.RevisionsIn(differing)), now)
		if a.Digest().Checksum != b.Digest().Checksum {
			t.Fatalf("digests differ after comparing %d buckets", len(differing))
		}
		for key, want := range model {
			if got := a.Revision(key); got != want.Revision {
				t.Fatalf("%s: revision %d, want %d", key, got, want.Revision)
			}
		}
		for _, e := range b.Entries() {
			if string(e.Value) != string(model[e.Key].Value) {
				t.Fatalf("%s differs from the last change", e.Key)
			}
		}
	})
}

func TestInvalidEntryKeepsTheLastValidOne(t *testing.T) {
	now := time.Unix(0, 0)
	s := config.New()
	good := planEntry(t, "a", "p", 1)
	bad := wire.Entry{Key: good.Key, Value: []byte(`{"organisation":"a"}`), Revision: 2}
	s.Apply([]wire.Entry{good, bad}, now)
	plan, ok := s.Authenticate("key of a")
	if !ok || plan.Plan != "p" {
		t.Errorf("got %v, %v, want the last valid entry", plan, ok)
	}
	if r := s.Rejected(); len(r) != 1 || r[0].Revision != 2 {
		t.Errorf("got %v, want the invalid entry reported", r)
	}
}

func TestKeyOfADeletedOrganisationIsRejected(t *testing.T) {
	now := time.Unix(0, 0)
	s := config.New()
	e := planEntry(t, "a", "p", 1)
	s.Apply([]wire.Entry{e}, now)
	s.Apply([]wire.Entry{{Key: e.Key, Revision: 2}}, now)
	if _, ok := s.Authenticate("key of a"); ok {
		t.Error("the key of a deleted organisation is still accepted")
	}
	s.Apply([]wire.Entry{e}, now)
	if _, ok := s.Authenticate("key of a"); ok {
		t.Error("an old revision restored a deleted entry")
	}
}

func TestApplyAllDeletesEntriesMissingFromTheStore(t *testing.T) {
	now := time.Unix(0, 0)
	s := config.New()
	old, newer := planEntry(t, "old", "p", 1), planEntry(t, "newer", "p", 9)
	s.Apply([]wire.Entry{old, newer}, now)
	s.ApplyAll(nil, 5, now)
	if _, ok := s.Authenticate("key of old"); ok {
		t.Error("an entry missing from the store is still in force")
	}
	if _, ok := s.Authenticate("key of newer"); !ok {
		t.Error("an entry newer than the read of the store was dropped")
	}
}
