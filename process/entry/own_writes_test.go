package entry

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/suspects"
	"github.com/vanillaroute/vanillaroute/version/mirror"
)

// lossyStore loses the answers of writes while loses is set, and executes these only when they are repeated by late.
type lossyStore struct {
	Store
	entries  map[string]mirror.Entry
	revision ident.Revision
	loses    bool
	late     []func()
	renewed  []string
}

func (s *lossyStore) PutWithLease(_ context.Context, key string, value []byte, after ident.Revision, _ time.Duration) (Lease, error) {
	put := func() (Lease, error) {
		if after != AnyRevision && s.entries[key].Revision != after {
			return Lease{}, errors.New("conflict")
		}
		s.revision++
		s.entries[key] = mirror.Entry{Key: key, Value: value, Revision: s.revision}
		return Lease{ID: string(value) + time.Duration(s.revision).String(), Revision: s.revision}, nil
	}
	if s.loses {
		s.late = append(s.late, func() { _, _ = put() })
		return Lease{}, errors.New("no answer")
	}
	return put()
}

func (s *lossyStore) RenewLease(_ context.Context, lease string) error {
	s.renewed = append(s.renewed, lease)
	return nil
}

// executeLate executes the writes whose answers were lost.
func (s *lossyStore) executeLate() {
	for _, write := range s.late {
		write()
	}
	s.late = nil
}

// newWithStore returns an instance without a network whose replica is that of an empty store, and a function that brings the replica up to date.
func newWithStore(t *testing.T) (*Instance, *lossyStore, func()) {
	t.Helper()
	n, _ := newOffline(0)
	store := &lossyStore{entries: make(map[string]mirror.Entry), revision: 1}
	n.platform.Store, n.self = store, "10.0.0.1:7300"
	n.crashes = suspects.NewCrashes()
	update := func() {
		var all []mirror.Entry
		for _, e := range store.entries {
			all = append(all, e)
		}
		n.mirror.Apply(mirror.Delta{Full: true, Entries: all, Revision: store.revision})
	}
	update()
	return n, store, update
}

// TestLateWriteOfACulpritUndoesNoNewerOne guards against requests that are refused because the store executes a write late that a newer one has replaced.
func TestLateWriteOfACulpritUndoesNoNewerOne(t *testing.T) {
	n, store, update := newWithStore(t)
	culprit := suspects.Culprit{7}
	prefix := n.platform.Keys.Culprits
	store.loses = true
	if err := n.storeCulprit(t.Context(), prefix, suspects.DueCulprit{Culprit: culprit}); err == nil {
		t.Fatal("the answer is not lost")
	}
	store.loses = false
	for _, cleared := range []bool{false, true} {
		if err := n.storeCulprit(t.Context(), prefix, suspects.DueCulprit{Culprit: culprit, Cleared: cleared}); err != nil {
			t.Fatal(err)
		}
		update()
	}
	store.executeLate()
	if got := string(store.entries[prefix+culprit.String()].Value); got != valueCleared {
		t.Errorf("the store holds %q", got)
	}
}

// TestRegistrationIsRenewedAfterALateWrite guards against an instance whose registration ends, because a write that the store executed late has put it under
// a lease that nobody renews.
func TestRegistrationIsRenewedAfterALateWrite(t *testing.T) {
	n, store, update := newWithStore(t)
	// The first registration of an instance comes before it knows what the store holds.
	n.mirror = mirror.New()
	var lease Lease
	store.loses = true
	if err := n.renewRegistration(t.Context(), &lease); err == nil {
		t.Fatal("the answer is not lost")
	}
	store.loses = false
	update()
	for range 2 {
		if err := n.renewRegistration(t.Context(), &lease); err != nil {
			t.Fatal(err)
		}
		update()
	}
	if len(store.renewed) != 1 || store.renewed[0] != lease.ID {
		t.Errorf("renewed are %v, want %s", store.renewed, lease.ID)
	}
	store.executeLate()
	update()
	if err := n.renewRegistration(t.Context(), &lease); err != nil {
		t.Fatal(err)
	}
	if e := store.entries[n.platform.Keys.Instances]; e.Revision != lease.Revision {
		t.Errorf("the entry has revision %d, and the lease that is renewed %d", e.Revision, lease.Revision)
	}
}
