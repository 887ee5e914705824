package heartbeat

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/request/placing"
	"github.com/vanillaroute/vanillaroute/version/engines"
)

const (
	// packedAgeMillis is the precision of the ages in packed loads. Ages up to half a second take one byte.
	packedAgeMillis = 4
	// keyBytes is the size of a packed key.
	keyBytes = 4
)

// errPackedLoads is returned for malformed packed loads.
var errPackedLoads = errors.New("malformed loads")

// loadReader reads packed loads. After an error it returns zeros.
type loadReader struct {
	packed []byte
	failed bool
}

// packLoads encodes Running, LocalLoads and ReportedLoads of a message. It returns nil if there are none, unless holders, cold engines or works follow: no
// version decodes an empty extension.
func packLoads(m Message) []byte {
	if m.LocalLoads == nil && !m.hasCold() && len(m.Running)+len(m.ReportedLoads)+len(m.Holders)+len(m.Works) == 0 {
		return nil
	}
	packed := binary.AppendUvarint(nil, uint64(len(m.Running)))
	for _, l := range m.Running {
		packed = appendCount(binary.BigEndian.AppendUint32(packed, uint32(l.Service)), l.Requests)
	}
	// 0 says that the loads are left out.
	if m.LocalLoads == nil {
		packed = append(packed, 0)
	} else {
		packed = binary.AppendUvarint(packed, uint64(len(m.LocalLoads))+1)
	}
	for _, k := range slices.Sorted(maps.Keys(m.LocalLoads)) {
		packed = appendCount(binary.BigEndian.AppendUint32(packed, uint32(k)), m.LocalLoads[k])
	}
	packed = binary.AppendUvarint(packed, uint64(len(m.ReportedLoads)))
	for _, l := range m.ReportedLoads {
		packed = appendAge(appendCount(binary.BigEndian.AppendUint32(packed, uint32(l.Engine)), l.Requests), l.Age)
	}
	// Earlier versions expect the holders here.
	return append(packed, 0)
}

// packHolders encodes holders in runs of those with the same engine and age: a prompt's parts are read by one engine at one time. It returns nil if there
// are none.
func packHolders(list []PartHolder) []byte {
	var packed []byte
	for len(list) > 0 {
		first := list[0]
		run := 1
		for run < len(list) && list[run].Engine == first.Engine && list[run].Age/packedAgeMillis == first.Age/packedAgeMillis {
			run++
		}
		packed = appendCount(appendAge(binary.BigEndian.AppendUint32(packed, uint32(first.Engine)), first.Age), run)
		for _, h := range list[:run] {
			packed = binary.BigEndian.AppendUint32(packed, uint32(h.Part))
		}
		list = list[run:]
	}
	return packed
}

// unpackHolders is the reverse of packHolders, and adds the holders to the message. It fails on malformed input.
func unpackHolders(packed []byte, m *Message) error {
	r := &loadReader{packed: packed}
	for len(r.packed) > 0 && !r.failed {
		engine, age := engines.Key(r.key()), r.age()
		for range r.length() {
			m.Holders = append(m.Holders, PartHolder{Part: placing.PartID(r.key()), Engine: engine, Age: age})
		}
	}
	if r.failed {
		return errPackedLoads
	}
	return nil
}

// unpackLoads sets the fields that packLoads encodes. It fails on malformed input.
func unpackLoads(packed []byte, m *Message) error {
	r := &loadReader{packed: packed}
	for range r.length() {
		m.Running = append(m.Running, ServiceLoad{Service: ident.ServiceID(r.key()), Requests: r.count()})
	}
	if n := r.length(); n > 0 {
		m.LocalLoads = make(map[engines.Key]int, n-1)
		for range n - 1 {
			key := engines.Key(r.key())
			m.LocalLoads[key] = r.count()
		}
	}
	for range r.length() {
		m.ReportedLoads = append(m.ReportedLoads, Load{Engine: engines.Key(r.key()), Requests: r.count(), Age: r.age()})
	}
	for range r.length() {
		m.Holders = append(m.Holders, PartHolder{Part: placing.PartID(r.key()), Engine: engines.Key(r.key()), Age: r.age()})
	}
	if r.failed || len(r.packed) > 0 {
		return errPackedLoads
	}
	return nil
}

func appendCount(to []byte, count int) []byte { return binary.AppendUvarint(to, uint64(max(count, 0))) }

func appendAge(to []byte, age Millis) []byte {
	return binary.AppendUvarint(to, uint64(max(age, 0)/packedAgeMillis))
}

func (r *loadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.packed)
	if r.failed || n <= 0 {
		r.failed = true
		return 0
	}
	r.packed = r.packed[n:]
	return v
}

// length returns the length of a list, each element of which takes a byte or more.
func (r *loadReader) length() int {
	n := r.uvarint()
	if n > uint64(len(r.packed))+1 {
		r.failed = true
		return 0
	}
	return int(n)
}

func (r *loadReader) key() uint32 {
	if r.failed || len(r.packed) < keyBytes {
		r.failed = true
		return 0
	}
	key := binary.BigEndian.Uint32(r.packed)
	r.packed = r.packed[keyBytes:]
	return key
}

func (r *loadReader) count() int { return int(min(r.uvarint(), math.MaxInt32)) }

func (r *loadReader) age() Millis {
	return Millis(min(r.uvarint(), math.MaxInt32) * packedAgeMillis)
}
