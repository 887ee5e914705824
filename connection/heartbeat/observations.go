package heartbeat

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// observationAgeUnit is the precision of a rumour's age; ages up to four seconds take one byte in it.
const observationAgeUnit = 32 * time.Millisecond

// Observation is when another instance was last heard of; all instances use the same port for peers.
type Observation struct {
	IP  netip.Addr
	Age time.Duration
}

// PackObservations encodes rumours about IPv4 addresses in two or three bytes each: the distance from the last address, and the age,
// rounded up so that an instance never seems to have been heard of later than it was.
func PackObservations(list []Observation) []byte {
	list = slices.DeleteFunc(slices.Clone(list), func(r Observation) bool { return !r.IP.Is4() })
	slices.SortFunc(list, func(a, b Observation) int { return cmp.Compare(ipv4Number(a.IP), ipv4Number(b.IP)) })
	var packed []byte
	last := uint32(0)
	for _, r := range list {
		packed = binary.AppendUvarint(packed, uint64(ipv4Number(r.IP)-last))
		packed = binary.AppendUvarint(packed, uint64((max(r.Age, 0)+observationAgeUnit-1)/observationAgeUnit))
		last = ipv4Number(r.IP)
	}
	return packed
}

// UnpackObservations decodes what PackRumours wrote; it fails where the bytes are no rumours.
func UnpackObservations(packed []byte) ([]Observation, error) {
	var list []Observation
	last := uint64(0)
	for len(packed) > 0 {
		distance, n := binary.Uvarint(packed)
		if n <= 0 {
			return nil, errors.New("a rumour's address is broken")
		}
		packed = packed[n:]
		age, n := binary.Uvarint(packed)
		if n <= 0 {
			return nil, errors.New("a rumour's age is broken")
		}
		packed = packed[n:]
		last += distance
		if distance > 1<<32 || last >= 1<<32 || age > uint64(time.Hour/observationAgeUnit) {
			return nil, errors.New("a rumour is out of range")
		}
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], uint32(last))
		list = append(list, Observation{IP: netip.AddrFrom4(ip), Age: time.Duration(age) * observationAgeUnit})
	}
	return list, nil
}

func ipv4Number(ip netip.Addr) uint32 {
	bytes := ip.As4()
	return binary.BigEndian.Uint32(bytes[:])
}
