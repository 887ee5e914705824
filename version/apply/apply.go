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
	// batchSize bounds the entries in one transaction.
	batchSize = 40
	// maxRetries bounds the retries of one transaction, retryDelay apart.
	maxRetries = 5
	retryDelay = 100 * time.Millisecond
)

type (
	// Entry is an entry of a list in the operators' API.
	Entry struct {
		Key      string          `json:"key"`
		Value    json.RawMessage `json:"value"`
		Revision ident.Revision  `json:"revision,omitempty"`
		// Unchanged says that the operator did not edit the entry.
		Unchanged bool `json:"unchanged,omitempty"`
	}

	// Request holds the whole of one list as edited by an operator.
	Request struct {
		// Prefix says which list it is: lists.PlanPrefix or lists.AllowancePrefix.
		Prefix string `json:"prefix"`
		// Base is the revision that the operator edited.
		Base     ident.Revision `json:"base"`
		Operator string         `json:"operator"`
		Entries  []Entry        `json:"entries"`
	}

	// Conflict is an entry that another operator has changed since the base revision, with its current value.
	Conflict struct {
		Key       string          `json:"key"`
		ChangedBy string          `json:"changedBy,omitempty"`
		Revision  ident.Revision  `json:"revision"`
		Value     json.RawMessage `json:"value,omitempty"`
	}

	// Result holds the committed entries and the conflicts.
	Result struct {
		// Revision is the revision of the last commit, or of the read before it if nothing was written.
		Revision  ident.Revision
		Entries   []wire.Entry
		Conflicts []Conflict
	}

	// InvalidError reports the first invalid entry; nothing was written.
	InvalidError struct{ Cause error }

	// OutcomeUnknownError reports the first entry of a transaction whose outcome is unknown because the store did not answer.
	OutcomeUnknownError struct {
		Key   string
		Cause error
	}

	// stamp holds the fields that are added to each written value. Its change ID shows whether a transaction without an answer was committed.
	stamp struct {
		ChangedBy   string `json:"changedBy,omitempty"`
		ChangedAtMs int64  `json:"changedAtMs,omitempty"`
		ChangeID    string `json:"changeId,omitempty"`
	}

	// change writes an entry, or deletes it if value is nil, provided that its revision is still base; base 0 means
	// that there must be no entry.
	change struct {
		key   string
		value []byte
		base  ident.Revision
	}
)

// Error returns the cause after "refused: ".
func (e *InvalidError) Error() string { return "refused: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// Error returns the entry and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("entry %s may or may not have been written: %s", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Apply commits the entries that differ from the store. If any entry conflicts at the start, it writes nothing and returns the conflicts.
// An entry that changes during the commits becomes a conflict too, while the other entries are written. Apply fails with *InvalidError,
// *OutcomeUnknownError, or an error of the store; the result then holds the entries written so far.
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

// checkEntries validates every entry in the same way as the routers do.
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

// checkReferences fails with an *lists.EntryError if a plan would have no allowance after the change.
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

// diff returns the changes to write, and the conflicts with changes made after the base revision. An entry that is not in the request is
// deleted, unless it was added or changed after the base.
func diff(r Request, current []store.Entry, now time.Time) ([]change, []Conflict) {
	changeStamp := stamp{ChangedBy: r.Operator, ChangedAtMs: now.UnixMilli(), ChangeID: string(ident.NewRequest())}
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
			changes = append(changes, change{key: c.Key, value: withStamp(e.Value, changeStamp), base: c.Revision})
		}
	}
	for _, e := range r.Entries {
		if !present[e.Key] && !e.Unchanged {
			changes = append(changes, change{key: e.Key, value: withStamp(e.Value, changeStamp)})
		}
	}
	return changes, conflicts
}

// commit writes a group in one transaction. If an entry has changed meanwhile, it writes the group entry by entry and adds the conflicts.
func (r *Result) commit(ctx context.Context, s store.Store, group []change) error {
	committed, err := r.tryCommit(ctx, s, group)
	if err != nil || committed {
		return err
	}
	for _, c := range group {
		committed, err := r.tryCommit(ctx, s, []change{c})
		if err != nil {
			return err
		}
		if committed {
			continue
		}
		current, err := s.Get(ctx, c.key)
		if err != nil {
			return err
		}
		r.Conflicts = append(r.Conflicts, conflictOf(current))
	}
	return nil
}

// tryCommit writes a group in one transaction and reports whether it was committed. After a lost answer it retries: the retry succeeds, or
// fails and returns the current value, which shows whether an earlier attempt was committed.
func (r *Result) tryCommit(ctx context.Context, s store.Store, group []change) (bool, error) {
	var t store.Txn
	for _, c := range group {
		t.Conditions = append(t.Conditions, store.Condition{Key: c.key, Revision: c.base})
		t.Puts = append(t.Puts, store.Put{Key: c.key, Value: c.value, Delete: c.value == nil})
	}
	sent := false
	for retries := 0; ; retries++ {
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
		case retries >= maxRetries || ctx.Err() != nil:
			if sent || isUnknown(err) {
				return false, &OutcomeUnknownError{Key: group[0].key, Cause: err}
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

// add records a committed group.
func (r *Result) add(group []change, revision ident.Revision) {
	r.Revision = max(r.Revision, revision)
	for _, c := range group {
		r.Entries = append(r.Entries, wire.Entry{Key: c.key, Value: c.value, Revision: revision})
	}
}

// wroteValue reports whether the store holds the value of this change; the change ID makes each value unique.
func wroteValue(c change, found []store.Entry) bool {
	for _, e := range found {
		if e.Key == c.key {
			return c.value != nil && bytes.Equal(e.Value, c.value)
		}
	}
	return c.value == nil
}

// foundRevision returns the revision of the change's entry in the store, or of the store if the entry was deleted.
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

// withStamp returns a value with its stamp replaced.
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

// sameContent reports whether two values are equal apart from their stamps.
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
