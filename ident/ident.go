package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const requestBytes = 12

type (
	// Router identifies a router process by the name in its settings.
	Router string
	// Engine identifies an engine or a plain service instance by its name in the list of instances.
	Engine string
	// Organisation identifies a customer in the plans list.
	Organisation string
	// Plan identifies an entry of the allowances list.
	Plan string
	// Model identifies a model together with its adapter, as callers write it.
	Model string
	// Service identifies a plain service that the routers forward to.
	Service string
	// Domain identifies a failure domain.
	Domain string
	// Chat identifies a conversation whose prompt prefix may be cached on an engine.
	Chat string
	// Request identifies one request of one caller.
	Request string
	// Class names the kind of work a request is, which decides its targets.
	Class string
	// Incarnation tells one life of a router process from the next, in nanoseconds since the epoch.
	Incarnation uint64
	// Revision orders the changes to the configuration, as counted by the store.
	Revision int64
)

// Event identifies one event of a stream, so that any router can resume the stream after it.
type Event struct {
	Home    Router
	Engine  Engine
	Request Request
	Offset  int
}

// NewRequest returns a random request identifier.
func NewRequest() Request {
	var raw [requestBytes]byte
	_, _ = rand.Read(raw[:])
	return Request(hex.EncodeToString(raw[:]))
}

// String returns the form that travels in the id field of a server-sent event.
func (e Event) String() string {
	return string(e.Home) + "/" + string(e.Engine) + "/" + string(e.Request) + "/" + strconv.Itoa(e.Offset)
}

// ParseEvent reads the form written by String, and fails on any other.
func ParseEvent(s string) (Event, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 4 {
		return Event{}, errors.Errorf("event id %q: expected home/engine/request/offset", s)
	}
	offset, err := strconv.Atoi(parts[3])
	if err != nil || offset < 0 {
		return Event{}, errors.Errorf("event id %q: offset is not a count", s)
	}
	if parts[2] == "" {
		return Event{}, errors.Errorf("event id %q: request is missing", s)
	}
	return Event{Home: Router(parts[0]), Engine: Engine(parts[1]), Request: Request(parts[2]), Offset: offset}, nil
}
