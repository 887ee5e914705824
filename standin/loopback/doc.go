// Package loopback hands out loopback networks, so that programs of several runs at once listen on fixed ports without meeting.
package loopback
