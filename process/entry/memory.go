package entry

import (
	"github.com/vanillaroute/vanillaroute/connection/heartbeat"
	"github.com/vanillaroute/vanillaroute/sizelimit"
)

const (
	// minMemory is the smallest memory for which the shares below leave an instance enough to run.
	minMemory = 64e6
	// headCost is the most memory that a byte of a head takes, in a head that consists of the smallest fields. At least half of peerBytes is free for the
	// first head of an idle instance.
	headCost = 2 * 75
	// otherListeners is the number of listeners beside that for callers, and otherConnections the most connections of each, which also get at most an
	// eighth of all connections.
	otherListeners   = 3
	otherConnections = 64
	// minConnections is the smallest number of connections of a listener.
	minConnections = 8
	// fetchDescriptors is the part of the descriptors that fetches of other instances may take, as a divisor: 320 of 4,100.
	fetchDescriptors = 12
)

// connections is the number of connections that may be open at the listener for callers, at each of the others, and for fetches of other instances.
type connections struct{ callers, other, fetches int }

// SoftMemoryLimit returns the limit for the memory of the Go runtime, in bytes. It fails if the memory of the machine is needed and cannot be read.
func (s *Settings) SoftMemoryLimit() (int64, error) {
	memory, err := s.memory()
	return sizelimit.SoftMemory(memory), err
}

// peerBytes returns the most bytes of callers and engines that are kept at a time.
func (s *Settings) peerBytes() (int64, error) {
	memory, err := s.memory()
	return sizelimit.PeerBytes(memory), err
}

// connections returns the bounds on connections, from the memory and the descriptors of the process.
func (s *Settings) connections() (connections, error) {
	memory, err := s.memory()
	if err != nil {
		return connections{}, err
	}
	descriptors, err := sizelimit.Descriptors()
	if err != nil {
		return connections{}, err
	}
	return divideConnections(memory, descriptors), nil
}

func divideConnections(memory, descriptors int64) connections {
	all := sizelimit.Connections(memory, descriptors)
	other := max(min(otherConnections, all/8), minConnections)
	fetches := max(min(heartbeat.MaxFetches, descriptors/fetchDescriptors), minConnections)
	return connections{callers: int(max(all-otherListeners*other, minConnections)), other: int(other), fetches: int(fetches)}
}

// memory returns the memory that the process may use, in bytes: what the settings name, or else what its resource limits and its machine leave it.
func (s *Settings) memory() (int64, error) {
	if named := s.Instance.Memory.Int64(); named > 0 {
		return named, nil
	}
	return sizelimit.AvailableMemory()
}
