package heartbeat

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// observationAgeUnit is the precision of an observation's age. Ages up to four seconds then take one byte.
const observationAgeUnit = 32 * time.Millisecond

// Observation is the time since the sender last received a heartbeat from another instance. It has no port because all instances use
// the same one for peers.
type Observation struct {
	IP  netip.Addr
	Age time.Duration
}

// PackObservations encodes the observations of IPv4 addresses, usually in two or three bytes each: the difference from the previous address
// and the age. The age is rounded up so that an instance never seems more recently alive than it was.
func PackObservations(list []Observation) []byte {
	list = slices.DeleteFunc(slices.Clone(list), func(o Observation) bool { return !o.IP.Is4() })
	slices.SortFunc(list, func(a, b Observation) int { return cmp.Compare(ipv4Number(a.IP), ipv4Number(b.IP)) })
	var packed []byte
	last := uint32(0)
	for _, o := range list {
		packed = binary.AppendUvarint(packed, uint64(ipv4Number(o.IP)-last))
		packed = binary.AppendUvarint(packed, uint64((max(o.Age, 0)+observationAgeUnit-1)/observationAgeUnit))
		last = ipv4Number(o.IP)
	}
	return packed
}

// UnpackObservations decodes the result of PackObservations. It fails on malformed input.
func UnpackObservations(packed []byte) ([]Observation, error) {
	var list []Observation
	last := uint64(0)
	for len(packed) > 0 {
		distance, n := binary.Uvarint(packed)
		if n <= 0 {
			return nil, errors.New("malformed address of an observation")
		}
		packed = packed[n:]
		age, n := binary.Uvarint(packed)
		if n <= 0 {
			return nil, errors.New("malformed age of an observation")
		}
		packed = packed[n:]
		last += distance
		if distance > 1<<32 || last >= 1<<32 || age > uint64(time.Hour/observationAgeUnit) {
			return nil, errors.New("observation out of range")
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
