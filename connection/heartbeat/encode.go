package heartbeat

import (
	"cmp"

	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/wire"
)

type (
	// surgeExtension, partExtension, limitExtension, crashExtension, demandExtension, loadExtension, holderExtension, coldExtension and workExtension
	// follow the message in a datagram, in this order. An instance of an earlier version ignores those that it does not know, whereas it rejects a
	// Message with another number of fields.
	surgeExtension struct {
		Surges []placing.PartID
	}

	partExtension struct {
		Parts []Evidence
	}

	limitExtension struct {
		Limits []Limit
	}

	crashExtension struct {
		Requests []Evidence
		Ends     []EngineEnd
	}

	demandExtension struct {
		Demands []Demand
	}

	loadExtension struct {
		// Packed is encoded by packLoads.
		Packed []byte
	}

	holderExtension struct {
		// Packed is encoded by packHolders.
		Packed []byte
	}
)

// Encode returns the datagram of a heartbeat. A message that exceeds MaxDatagramBytes first loses its changes, then half of its holders
// at a time, and last its loads and observations. Of the extensions, those of the loads, holders, cold engines and works are counted.
func Encode(m Message) []byte {
	body, loads, holders := encodeMessage(m)
	extensions := []struct {
		value any
		empty bool
	}{
		{surgeExtension{Surges: m.Surges}, len(m.Surges) == 0},
		{partExtension{Parts: m.Parts}, len(m.Parts) == 0},
		{limitExtension{Limits: m.Limits}, len(m.Limits) == 0},
		{crashExtension{Requests: m.Requests, Ends: m.Ends}, len(m.Requests)+len(m.Ends) == 0},
		{demandExtension{Demands: m.Demands}, len(m.Demands) == 0},
		{loadExtension{Packed: loads}, len(loads) == 0},
		{holderExtension{Packed: holders}, len(holders) == 0},
		{coldExtension{Colds: m.Colds, Sharers: m.Sharers}, !m.hasCold()},
		{workExtension{Works: m.Works}, len(m.Works) == 0},
	}
	for len(extensions) > 0 && extensions[len(extensions)-1].empty {
		extensions = extensions[:len(extensions)-1]
	}
	for _, e := range extensions {
		body = append(body, wire.Encode(e.value)...)
	}
	return body
}

// Decode decodes the datagram of a heartbeat. It fails on malformed input.
func Decode(body []byte) (Message, error) {
	m, rest, err := wire.DecodeFirst[Message](body)
	decoders := []func() error{
		func() error { return decodeExtension(&rest, func(e surgeExtension) { m.Surges = e.Surges }) },
		func() error { return decodeExtension(&rest, func(e partExtension) { m.Parts = e.Parts }) },
		func() error { return decodeExtension(&rest, func(e limitExtension) { m.Limits = e.Limits }) },
		func() error {
			return decodeExtension(&rest, func(e crashExtension) { m.Requests, m.Ends = e.Requests, e.Ends })
		},
		func() error { return decodeExtension(&rest, func(e demandExtension) { m.Demands = e.Demands }) },
		func() error {
			var loadErr error
			err := decodeExtension(&rest, func(e loadExtension) { loadErr = unpackLoads(e.Packed, &m) })
			return cmp.Or(err, loadErr)
		},
		func() error {
			var holderErr error
			err := decodeExtension(&rest, func(e holderExtension) { holderErr = unpackHolders(e.Packed, &m) })
			return cmp.Or(err, holderErr)
		},
		func() error {
			return decodeExtension(&rest, func(e coldExtension) { m.Colds, m.Sharers = e.Colds, e.Sharers })
		},
		func() error { return decodeExtension(&rest, func(e workExtension) { m.Works = e.Works }) },
	}
	for _, decode := range decoders {
		if err != nil || len(rest) == 0 {
			break
		}
		err = decode()
	}
	return m, err
}

// decodeExtension decodes the first extension of rest, passes it to set, and leaves the others in rest.
func decodeExtension[T any](rest *[]byte, set func(T)) error {
	e, after, err := wire.DecodeFirst[T](*rest)
	*rest = after
	if err == nil {
		set(e)
	}
	return err
}

// encodeMessage encodes a message without its extensions, its loads and its holders.
func encodeMessage(m Message) (body, loads, holders []byte) {
	works := workBytes(m)
	encode := func() bool {
		loads, holders = packLoads(m), packHolders(m.Holders)
		without := m
		without.LocalLoads, without.ReportedLoads, without.Holders = nil, nil, nil
		body = wire.Encode(without)
		return len(body)+len(loads)+len(holders)+m.coldBytes()+works <= MaxDatagramBytes
	}
	if encode() {
		return body, loads, holders
	}
	m.Changes, m.HasChanges = nil, false
	for !encode() && len(m.Holders)+len(m.Observations)+len(m.LocalLoads)+len(m.ReportedLoads) > 0 {
		m.Holders = m.Holders[:len(m.Holders)/2]
		if len(m.Holders) == 0 {
			m.LocalLoads, m.ReportedLoads, m.Observations = nil, nil, nil
		}
	}
	return body, loads, holders
}
