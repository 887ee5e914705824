package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
)

type (
	// Store is the part of the platform's key-value service that the routers use.
	Store interface {
		// List returns the entries under a prefix and the store revision at which they were read.
		List(ctx context.Context, prefix string) ([]Entry, ident.Revision, error)
		// Get returns one entry. An entry that does not exist has revision 0.
		Get(ctx context.Context, key string) (Entry, error)
		// Commit executes a transaction. It returns *OutcomeUnknownError if the transaction may have taken effect.
		Commit(ctx context.Context, t Txn) (Result, error)
		// Grant creates a lease that ends after ttl unless it is renewed.
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		// KeepAlive renews a lease. It returns ErrLeaseLost if the lease has ended.
		KeepAlive(ctx context.Context, id Lease) error
		// Watch calls changes with the changes under a prefix, starting at revision from, until ctx ends or the watch fails.
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

	// Change is an entry that was written, or deleted if Deleted is set.
	Change struct {
		Entry
		Deleted bool
	}

	// Condition requires that the last change of an entry has Revision, or that the entry does not exist if Revision is 0.
	Condition struct {
		Key      string
		Revision ident.Revision
	}

	// Put writes a value, or deletes the key if Delete is set.
	Put struct {
		Key    string
		Value  []byte
		Lease  Lease
		Delete bool
	}

	// Txn writes all its puts if all its conditions hold. Otherwise it reads the keys of the conditions.
	Txn struct {
		Conditions []Condition
		Puts       []Put
	}

	// Result is the result of a transaction. Found holds the entries of the conditions' keys if the conditions did not hold.
	Result struct {
		Succeeded bool
		Revision  ident.Revision
		Found     []Entry
	}

	// OutcomeUnknownError means that a call was sent but its answer was lost, so that it may have taken effect.
	OutcomeUnknownError struct{ Cause error }

	// UnavailableError means that a call was not executed.
	UnavailableError struct{ Cause error }
)

// ErrLeaseLost means that a lease has ended.
var ErrLeaseLost = errors.New("lease lost")

// Error returns a message that includes the cause.
func (e *OutcomeUnknownError) Error() string { return "answer of the store lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Error returns a message that includes the cause.
func (e *UnavailableError) Error() string { return "store unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
