package apply

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/store"
	"github.com/vanillaroute/vanillaroute/version/lists"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	batchSize  = 40
	maxRetries = 5
	retryDelay = 100 * time.Millisecond
)

type (
	// Entry is an entry of the lists as operators' tools see it.
	Entry struct {
		Key      string          `json:"key"`
		Value    json.RawMessage `json:"value"`
		Revision ident.Revision  `json:"revision,omitempty"`
		// Unchanged says that the operator left the entry as it was read.
		Unchanged bool `json:"unchanged,omitempty"`
	}

	// Request holds one whole list as an operator wants it, and the revision that the operator started from.
	Request struct {
		// Prefix is the start of the keys of the list.
		Prefix   string         `json:"prefix"`
		Base     ident.Revision `json:"base"`
		Operator string         `json:"operator"`
		Entries  []Entry        `json:"entries"`
	}

	// Conflict tells which entry another operator has changed meanwhile, and how.
	Conflict struct {
		Key       string          `json:"key"`
		ChangedBy string          `json:"changedBy,omitempty"`
		Revision  ident.Revision  `json:"revision"`
		Value     json.RawMessage `json:"value,omitempty"`
	}

	// Result tells which entries were committed and which were lost to another operator.
	Result struct {
		Revision  ident.Revision
		Entries   []wire.Entry
		Conflicts []Conflict
	}

	// InvalidError names the first entry that does not check; nothing was written.
	InvalidError struct{ Cause error }

	// UnknownError tells which entry may or may not have been written, when the store gave no answer.
	UnknownError struct {
		Key   string
		Cause error
	}

	// stamp is what a commit adds to a value, by which a lost answer is read back.
	stamp struct {
		ChangedBy   string `json:"changedBy,omitempty"`
		ChangedAtMs int64  `json:"changedAtMs,omitempty"`
		ChangeID    string `json:"changeId,omitempty"`
	}

	change struct {
		key   string
		value []byte
		base  ident.Revision
	}
)

// Error names the cause.
func (e *InvalidError) Error() string { return "refused: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// Error names the entry and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("entry %s may or may not have been written: %s", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Apply commits what differs from the store; it fails with *InvalidError or *UnknownError, or as the store does.
func Apply(ctx context.Context, s store.Store, r Request, now time.Time) (Result, error) {
	if r.Prefix != lists.PlanPrefix && r.Prefix != lists.AllowancePrefix {
		return Result{}, &InvalidError{Cause: errors.Errorf("prefix %q names neither list", r.Prefix)}
	}
	if err := checkEntries(r); err != nil {
		return Result{}, &InvalidError{Cause: err}
	}
	current, revision, err := s.List(ctx, lists.Prefix)
	if err != nil {
		return Result{}, err
	}
	if err := checkReferences(r, current); err != nil {
		return Result{}, &InvalidError{Cause: err}
	}
	changes, conflicts := diff(r, current, now)
	result := Result{Revision: revision, Conflicts: conflicts}
	if len(conflicts) > 0 {
		return result, nil
	}
	for len(changes) > 0 {
		group := changes[:min(batchSize, len(changes))]
		changes = changes[len(group):]
		if err := result.commit(ctx, s, group); err != nil {
			return result, err
		}
	}
	return result, nil
}

// checkEntries reads every entry as the routers will.
func checkEntries(r Request) error {
	seen := make(map[string]bool)
	for _, e := range r.Entries {
		if !strings.HasPrefix(e.Key, r.Prefix) {
			return errors.Errorf("entry %q is not of the list", e.Key)
		}
		if seen[e.Key] {
			return errors.Errorf("entry %q stands twice", e.Key)
		}
		seen[e.Key] = true
		if _, _, err := lists.DecodeValue(e.Key, e.Value); err != nil {
			return err
		}
	}
	return nil
}

// checkReferences refuses a change after which a plan would have no allowance.
func checkReferences(r Request, current []store.Entry) error {
	var f lists.File
	add := func(key string, value []byte) {
		plan, allowance, err := lists.DecodeValue(key, value)
		switch {
		case err != nil:
		case plan != nil:
			f.Plans = append(f.Plans, *plan)
		default:
			f.Allowances = append(f.Allowances, *allowance)
		}
	}
	wanted := make(map[string]bool)
	for _, e := range r.Entries {
		wanted[e.Key] = true
		add(e.Key, e.Value)
	}
	for _, e := range current {
		ofList := strings.HasPrefix(e.Key, r.Prefix)
		if !ofList || (!wanted[e.Key] && e.Revision > r.Base) {
			add(e.Key, e.Value)
		}
	}
	return f.CheckReferences()
}

// diff returns what must be written, and what another operator changed after the base.
func diff(r Request, current []store.Entry, now time.Time) ([]change, []Conflict) {
	mark := stamp{ChangedBy: r.Operator, ChangedAtMs: now.UnixMilli(), ChangeID: string(ident.NewRequest())}
	wanted := make(map[string]Entry, len(r.Entries))
	for _, e := range r.Entries {
		wanted[e.Key] = e
	}
	var changes []change
	var conflicts []Conflict
	present := make(map[string]bool)
	for _, c := range current {
		if !strings.HasPrefix(c.Key, r.Prefix) {
			continue
		}
		present[c.Key] = true
		e, ok := wanted[c.Key]
		switch {
		case ok && (e.Unchanged || sameContent(e.Value, c.Value)):
		case !ok && c.Revision > r.Base:
		case c.Revision > r.Base:
			conflicts = append(conflicts, conflictOf(c))
		case !ok:
			changes = append(changes, change{key: c.Key, base: c.Revision})
		default:
			changes = append(changes, change{key: c.Key, value: withStamp(e.Value, mark), base: c.Revision})
		}
	}
	for _, e := range r.Entries {
		if !present[e.Key] && !e.Unchanged {
			changes = append(changes, change{key: e.Key, value: withStamp(e.Value, mark)})
		}
	}
	return changes, conflicts
}

// commit writes a group in one transaction; where that loses a race, entry by entry.
func (r *Result) commit(ctx context.Context, s store.Store, group []change) error {
	held, err := r.tryCommit(ctx, s, group)
	if err != nil || held {
		return err
	}
	for _, c := range group {
		held, err := r.tryCommit(ctx, s, []change{c})
		if err != nil {
			return err
		}
		if held {
			continue
		}
		now, err := s.Get(ctx, c.key)
		if err != nil {
			return err
		}
		r.Conflicts = append(r.Conflicts, conflictOf(now))
	}
	return nil
}

// tryCommit writes a group, and reads a lost answer back until the store tells what became of it.
func (r *Result) tryCommit(ctx context.Context, s store.Store, group []change) (bool, error) {
	var t store.Txn
	for _, c := range group {
		t.Conditions = append(t.Conditions, store.Condition{Key: c.key, Revision: c.base})
		t.Puts = append(t.Puts, store.Put{Key: c.key, Value: c.value, Delete: c.value == nil})
	}
	sent := false
	for tries := 0; ; tries++ {
		result, err := s.Commit(ctx, t)
		switch {
		case err == nil && result.Succeeded:
			r.add(group, result.Revision)
			return true, nil
		case err == nil && sent && wroteValue(group[0], result.Found):
			r.add(group, foundRevision(group[0], result))
			return true, nil
		case err == nil:
			return false, nil
		case tries >= maxRetries || ctx.Err() != nil:
			if sent || isUnknown(err) {
				return false, &UnknownError{Key: group[0].key, Cause: err}
			}
			return false, err
		}
		sent = sent || isUnknown(err)
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

func (r *Result) add(group []change, revision ident.Revision) {
	r.Revision = max(r.Revision, revision)
	for _, c := range group {
		r.Entries = append(r.Entries, wire.Entry{Key: c.key, Value: c.value, Revision: revision})
	}
}

// wroteValue reports whether the store holds what this change wrote; values differ by their change id.
func wroteValue(c change, found []store.Entry) bool {
	for _, e := range found {
		if e.Key == c.key {
			return c.value != nil && bytes.Equal(e.Value, c.value)
		}
	}
	return c.value == nil
}

func foundRevision(c change, result store.Result) ident.Revision {
	for _, e := range result.Found {
		if e.Key == c.key {
			return e.Revision
		}
	}
	return result.Revision
}

func isUnknown(err error) bool {
	var unknown *store.OutcomeUnknownError
	return errors.As(err, &unknown)
}

func conflictOf(e store.Entry) Conflict {
	var s stamp
	_ = json.Unmarshal(e.Value, &s)
	return Conflict{Key: e.Key, ChangedBy: s.ChangedBy, Revision: e.Revision, Value: e.Value}
}

// withStamp adds the stamp to a value.
func withStamp(value json.RawMessage, s stamp) []byte {
	fields := fieldsWithoutStamp(value)
	for name, v := range map[string]any{"changedBy": s.ChangedBy, "changedAtMs": s.ChangedAtMs, "changeId": s.ChangeID} {
		raw, err := json.Marshal(v)
		if err == nil {
			fields[name] = raw
		}
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return value
	}
	return out
}

// sameContent compares two values without their stamps.
func sameContent(a, b []byte) bool {
	x, errX := json.Marshal(fieldsWithoutStamp(a))
	y, errY := json.Marshal(fieldsWithoutStamp(b))
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

func fieldsWithoutStamp(value []byte) map[string]json.RawMessage {
	fields := make(map[string]json.RawMessage)
	_ = json.Unmarshal(value, &fields)
	delete(fields, "changedBy")
	delete(fields, "changedAtMs")
	delete(fields, "changeId")
	return fields
}
