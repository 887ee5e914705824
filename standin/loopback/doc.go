// Package loopback allocates loopback networks, so that several test runs on a host can listen on fixed ports without conflicts.
package loopback
