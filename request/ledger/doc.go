// Package ledger runs calls that must not repeat at most once: the intent is stored before the call is sent.
package ledger
