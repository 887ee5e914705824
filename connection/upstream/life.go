package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// refusalTimeout bounds the connection attempt that checks whether an engine's process is still listening.
	refusalTimeout = 30 * time.Millisecond
	// healthTimeout bounds a question for an engine's health.
	healthTimeout = 100 * time.Millisecond
)

// What a question for an engine's health shows.
const (
	// Silent engines have not answered in time.
	Silent Life = iota
	// Alive engines have answered.
	Alive
	// ResetByPeer means that the connection was accepted and then ended without an answer: the engine is ending, or has as many connections as it accepts.
	ResetByPeer
	// Ended engines refuse connections, or another engine answers at their address.
	Ended
)

// Life says whether an engine's process still runs.
type Life uint8

// ConnectionRefused reports whether an address refuses a connection attempt. It returns false if there is no reply within 30 ms.
func ConnectionRefused(ctx context.Context, address string) bool {
	c, err := dial(ctx, address, refusalTimeout)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, unix.ECONNREFUSED)
}

// AskHealth asks an engine for its health, at a path and over a connection of its own. isEngine reports whether the header of the answer is that of the
// engine.
func AskHealth(ctx context.Context, address, path string, isEngine func(http.Header) bool) Life {
	return askHealth(ctx, address, path, healthTimeout, isEngine)
}

func askHealth(ctx context.Context, address, path string, timeout time.Duration, isEngine func(http.Header) bool) Life {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := dial(ctx, address, timeout)
	if err != nil {
		return lifeAfter(err)
	}
	defer func() { _ = c.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	defer context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })()
	resp, _, err := c.roundTrip(&Request{Method: http.MethodGet, Target: path, Host: address, Matches: func(http.Header) bool { return true }})
	if err != nil {
		return lifeAfter(err)
	}
	_ = resp.Body.Close()
	if isEngine(resp.Header) {
		return Alive
	}
	return Ended
}

// lifeAfter returns what a question that failed with an error shows. A connection that the peer resets directly after accepting it can fail with
// ECONNRESET in the connection attempt already, so the errors of the attempt and those of the connection are classified alike.
func lifeAfter(err error) Life {
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return Ended
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE):
		return ResetByPeer
	}
	return Silent
}
