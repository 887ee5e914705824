package heartbeat

import (
	"github.com/vanillaroute/vanillaroute/version/engines"
	"github.com/vanillaroute/vanillaroute/wire"
)

// emptyExtensions is more than the extensions before that of cold engines take while they are empty, in bytes.
const emptyExtensions = 24

type (
	// ColdEngine is a cold engine, and the time until it is warm.
	ColdEngine struct {
		Engine    engines.Key
		Remaining Millis
	}

	// coldExtension follows holderExtension. Both fields are zero in services without a warm-up.
	coldExtension struct {
		Colds   []ColdEngine
		Sharers int
	}
)

// hasCold reports whether a message has the extension of cold engines.
func (m *Message) hasCold() bool { return len(m.Colds) > 0 || m.Sharers > 0 }

// coldBytes returns how many bytes of a datagram the extension of cold engines takes.
func (m *Message) coldBytes() int {
	if !m.hasCold() {
		return 0
	}
	return len(wire.Encode(coldExtension{Colds: m.Colds, Sharers: m.Sharers})) + emptyExtensions
}
