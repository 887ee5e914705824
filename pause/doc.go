// Package pause waits for a duration or until a context ends, whichever comes first.
package pause
