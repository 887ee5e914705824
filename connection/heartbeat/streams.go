package heartbeat

import (
	"net/netip"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/request/streams"
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/wire"
)

const (
	// streamDatagram is the first byte of a datagram with a StreamMessage. No encoded Message begins with it.
	streamDatagram = 0xc1
	// streamBytes is what a beginning takes in a datagram beside its version.
	streamBytes = 14
	// MaxVersionBytes bounds the versions in messages. Streams of longer ones are not told.
	MaxVersionBytes = 200
)

type (
	// StreamMessage tells and asks at which versions streams began.
	StreamMessage struct {
		// Told are beginnings for the receiver to collect, and Answered those that it has asked for.
		Told, Answered []StreamBeginning
		Asked          []streams.ID
	}

	// StreamBeginning is streams.Beginning in a message.
	StreamBeginning struct {
		ID      streams.ID
		Version engines.Version
	}
)

// SplitBeginnings splits beginnings into lists that fit in a datagram.
func SplitBeginnings(list []streams.Beginning) [][]StreamBeginning {
	var lists [][]StreamBeginning
	size := MaxDatagramBytes
	for _, b := range list {
		if len(b.Version) > MaxVersionBytes {
			continue
		}
		if size += streamBytes + len(b.Version); size > MaxDatagramBytes {
			lists, size = append(lists, nil), streamBytes+len(b.Version)
		}
		last := &lists[len(lists)-1]
		*last = append(*last, StreamBeginning(b))
	}
	return lists
}

// EncodeBeginnings encodes a list of beginnings for the store.
func EncodeBeginnings(list []StreamBeginning) []byte { return wire.Encode(list) }

// DecodeBeginnings decodes what EncodeBeginnings has encoded. It fails on malformed input.
func DecodeBeginnings(body []byte) ([]StreamBeginning, error) {
	return wire.Decode[[]StreamBeginning](body)
}

// Encode returns the datagram of a message.
func (m StreamMessage) Encode() []byte { return append([]byte{streamDatagram}, wire.Encode(m)...) }

// OnStreams sets what is called for each StreamMessage with the address of its sender. It is called before Run.
func (c *Conn) OnStreams(handle func(from string, m StreamMessage)) { c.onStreams = handle }

// receiveStreams decodes the datagram of a StreamMessage and passes it on. It returns false if the datagram is none.
func (c *Conn) receiveStreams(body []byte, from netip.AddrPort) (bool, error) {
	if len(body) == 0 || body[0] != streamDatagram {
		return false, nil
	}
	m, err := wire.Decode[StreamMessage](body[1:])
	if err != nil {
		return true, errors.Wrapf(err, "decode beginnings of streams from %s", from)
	}
	if c.onStreams != nil {
		c.onStreams(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), m)
	}
	return true, nil
}
