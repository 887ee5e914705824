package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
)

type (
	// Store is what the routers use of the platform's key-value service.
	Store interface {
		// List returns the entries under a prefix and the revision that they are of.
		List(ctx context.Context, prefix string) ([]Entry, ident.Revision, error)
		// Get returns one entry; an entry that does not exist has revision 0.
		Get(ctx context.Context, key string) (Entry, error)
		// Commit carries out a transaction; its error is *UnknownError where it may have taken effect.
		Commit(ctx context.Context, t Txn) (Result, error)
		// Grant creates a lease.
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		// KeepAlive renews a lease, and returns ErrLeaseLost where it has ended.
		KeepAlive(ctx context.Context, id Lease) error
		// Watch passes on the changes under a prefix from a revision on, until ctx ends or the watch breaks.
		Watch(ctx context.Context, prefix string, from ident.Revision, changes func([]Change)) error
	}

	// Lease identifies a lease of the store.
	Lease int64

	// Entry is a key with its value and the revision of its last change.
	Entry struct {
		Key      string
		Value    []byte
		Revision ident.Revision
	}

	// Change is an entry that was written, or deleted where Deleted is set.
	Change struct {
		Entry
		Deleted bool
	}

	// Condition must hold for a transaction: the entry's last change is of Revision, 0 for none.
	Condition struct {
		Key      string
		Revision ident.Revision
	}

	// Put writes a value, or deletes the key where Delete is set.
	Put struct {
		Key    string
		Value  []byte
		Lease  Lease
		Delete bool
	}

	// Txn writes all its puts if all its conditions hold, and otherwise reads the conditions' keys.
	Txn struct {
		Conditions []Condition
		Puts       []Put
	}

	// Result tells whether the conditions held, and if not, what the entries are.
	Result struct {
		Succeeded bool
		Revision  ident.Revision
		Found     []Entry
	}

	// OutcomeUnknownError tells that a call was sent and its answer was lost.
	OutcomeUnknownError struct{ Cause error }

	// UnavailableError tells that a call was not carried out.
	UnavailableError struct{ Cause error }
)

// ErrLeaseLost tells that a lease has ended.
var ErrLeaseLost = errors.New("lease lost")

// Error names the cause.
func (e *OutcomeUnknownError) Error() string { return "answer of the store lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Error names the cause.
func (e *UnavailableError) Error() string { return "store unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
