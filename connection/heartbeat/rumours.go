package heartbeat

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// rumourUnit is the precision of a rumour's age; ages up to four seconds take one byte in it.
const rumourUnit = 32 * time.Millisecond

// Rumour is when another instance was last heard of; all instances use the same port for peers.
type Rumour struct {
	IP  netip.Addr
	Age time.Duration
}

// PackRumours encodes rumours about IPv4 addresses in two or three bytes each: the distance from the last address, and the age,
// rounded up so that an instance never seems to have been heard of later than it was.
func PackRumours(list []Rumour) []byte {
	list = slices.DeleteFunc(slices.Clone(list), func(r Rumour) bool { return !r.IP.Is4() })
	slices.SortFunc(list, func(a, b Rumour) int { return cmp.Compare(number(a.IP), number(b.IP)) })
	var packed []byte
	last := uint32(0)
	for _, r := range list {
		packed = binary.AppendUvarint(packed, uint64(number(r.IP)-last))
		packed = binary.AppendUvarint(packed, uint64((max(r.Age, 0)+rumourUnit-1)/rumourUnit))
		last = number(r.IP)
	}
	return packed
}

// UnpackRumours decodes what PackRumours wrote; it fails where the bytes are no rumours.
func UnpackRumours(packed []byte) ([]Rumour, error) {
	var list []Rumour
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
		if distance > 1<<32 || last >= 1<<32 || age > uint64(time.Hour/rumourUnit) {
			return nil, errors.New("a rumour is out of range")
		}
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], uint32(last))
		list = append(list, Rumour{IP: netip.AddrFrom4(ip), Age: time.Duration(age) * rumourUnit})
	}
	return list, nil
}

func number(ip netip.Addr) uint32 {
	bytes := ip.As4()
	return binary.BigEndian.Uint32(bytes[:])
}
