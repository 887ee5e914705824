// Package streams remembers at which software versions of their engines streams began.
package streams
