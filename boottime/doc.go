// Package boottime reads a monotonic clock that includes the time in which the machine was suspended.
package boottime
