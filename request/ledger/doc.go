// Package ledger executes non-idempotent calls at most once. It stores the intent of a call before it sends the call.
package ledger
