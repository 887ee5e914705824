package peer

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/wire"
)

// The reasons for which connections are closed and streams refused.
const (
	// ReasonUnread is a connection whose peer has read nothing for WriteTimeout.
	ReasonUnread Reason = "peerUnread"
	// ReasonStreams is a stream above the bound.
	ReasonStreams Reason = "peerStreams"
)

const (
	// MaxStreams bounds the streams that a peer has open on a connection. Each is a request of one of the peer's callers, a second attempt of one, or
	// control traffic. A router with 536 MB has 1,402 connections of callers, and one with 8,192 descriptors 3,996.
	MaxStreams = 4096
	// gossipStreams are those beyond the bound that only heartbeats may open, of which a peer has a few at a time. A peer without answers to its heartbeats
	// takes this router for dead.
	gossipStreams = 64
	// chunkBytes is the most that is written with one deadline. A TLS connection can't continue after a deadline, also if a part was written.
	chunkBytes = 16 << 10
)

type (
	// Reason says why a connection was closed or a stream refused.
	Reason string

	// Limits bound what a peer can make a router keep. Zero means no bound.
	Limits struct {
		// WriteTimeout is how long a peer may read nothing of what is sent to it.
		WriteTimeout time.Duration
		// Streams is the number of streams that a peer may have open on a connection.
		Streams int
		// Refusal returns the frame that answers the first frame of a stream above Streams, and false if it gets none. It may be nil.
		Refusal func(first wire.Frame) (wire.Kind, []byte, bool)
		// OnLimit is called for each connection closed and each stream refused. It may be nil.
		OnLimit func(Reason)
	}

	// deadlineConn is a connection whose writes fail after WriteTimeout without progress.
	deadlineConn struct {
		net.Conn
		limits Limits
	}
)

// admit reports whether a peer that has open streams may open another one with a frame of a kind.
func (l Limits) admit(open int, kind wire.Kind) bool {
	bound := l.Streams
	if kind == wire.KindGossip {
		bound += gossipStreams
	}
	return l.Streams == 0 || open < bound
}

func (l Limits) report(reason Reason) {
	if l.OnLimit != nil {
		l.OnLimit(reason)
	}
}

// Write writes p in chunks. It fails if the peer reads nothing for the limit.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if c.limits.WriteTimeout <= 0 {
		return c.Conn.Write(p)
	}
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout)); err != nil {
			return written, err
		}
		count, err := c.Conn.Write(p[written:min(written+chunkBytes, len(p))])
		written += count
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case count == 0:
			c.limits.report(ReasonUnread)
			return written, err
		}
	}
	return written, nil
}
