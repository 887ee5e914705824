// Package boottime reads a clock that also counts the time in which the machine was suspended.
package boottime
