package idle

import (
	"time"

	"github.com/vanillaroute/vanillaroute/sizelimit"
)

// The reasons for which connections are closed or not accepted.
const (
	// ReasonNoPlace is a new connection above MaxConns while all others have requests.
	ReasonNoPlace Reason = "noPlace"
	// ReasonYielded is an idle connection or an incomplete head that was closed to make room.
	ReasonYielded Reason = "yielded"
	// ReasonHeadTooLarge is a head above MaxHeadBytes, answered with 431.
	ReasonHeadTooLarge Reason = "headTooLarge"
	// ReasonNoMemory is a head for which there is no memory, answered with 503.
	ReasonNoMemory Reason = "noMemory"
	// ReasonHeadTimeout is a head that was not complete within HeadTimeout.
	ReasonHeadTimeout Reason = "headTimeout"
	// ReasonUnread is an answer of which the caller has read nothing for WriteTimeout.
	ReasonUnread Reason = "unread"
)

type (
	// Reason says why a connection was closed or not accepted.
	Reason string

	// Limits bound the connections of one server. Zero means no bound. They may change while the server runs.
	Limits struct {
		// MaxConns is the number of connections that may be open.
		MaxConns int
		// MaxHeadBytes is the size of the head of a request, including the empty line at its end.
		MaxHeadBytes int64
		// FirstByteTimeout is how long a new connection may be silent, and HeadTimeout the time from the first byte of a head to its last one.
		FirstByteTimeout, HeadTimeout time.Duration
		// BodyTimeout is the time for a body, unless the handler sets a read deadline of its own.
		BodyTimeout time.Duration
		// IdleTimeout is how long a connection may be open without a request after an answer.
		IdleTimeout time.Duration
		// WriteTimeout is how long a caller may read nothing of an answer.
		WriteTimeout time.Duration
	}

	// Options are the dependencies of Conns.
	Options struct {
		// Limits returns the limits in force.
		Limits func() Limits
		// Memory bounds the bytes of heads, and may be nil.
		Memory *sizelimit.Budget
		// OnClose is called for each connection that a limit closes, and may be nil.
		OnClose func(Reason)
	}
)
