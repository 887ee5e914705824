package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const requestBytes = 12

type (
	// Router identifies a router process by the name in its settings.
	Router string
	// Engine identifies an engine or a service instance by its name in the instance list.
	Engine string
	// Organisation identifies a customer in the list of plans.
	Organisation string
	// Plan identifies an entry in the list of allowances.
	Plan string
	// Model identifies a model together with its adapter, as written in requests.
	Model string
	// Service identifies a service that requests are forwarded to: a service without a model, or a group of engines.
	Service string
	// ServiceID identifies a service in messages between instances. It is a 32-bit hash of the Service.
	ServiceID uint32
	// Domain identifies a failure domain.
	Domain string
	// Chat identifies a conversation whose prompt prefix may be cached on an engine.
	Chat string
	// Request identifies one request of a caller.
	Request string
	// Class identifies the class of a request, which determines how long it may wait and whether its answer counts as long.
	Class string
	// Incarnation distinguishes the runs of a router process. Its first value in a run is the start time, in nanoseconds since the
	// epoch.
	Incarnation uint64
	// Revision orders the changes to the configuration. The store increments it with each change.
	Revision int64
)

// Event identifies one event of a stream. Any router can resume the stream after it.
type Event struct {
	Home    Router
	Engine  Engine
	Request Request
	Offset  int
}

// ID returns the service's ServiceID.
func (s Service) ID() ServiceID { return ServiceID(xxhash.Sum64String(string(s))) }

// NewRequest returns a random request identifier.
func NewRequest() Request {
	var raw [requestBytes]byte
	_, _ = rand.Read(raw[:])
	return Request(hex.EncodeToString(raw[:]))
}

// String returns the event in the form of the id field of a server-sent event.
func (e Event) String() string {
	return string(e.Home) + "/" + string(e.Engine) + "/" + string(e.Request) + "/" + strconv.Itoa(e.Offset)
}

// ParseEvent parses the form that String returns. It returns an error for any other text.
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
