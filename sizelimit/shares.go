package sizelimit

import (
	"math"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// runtimeMemoryShare is the share of its memory at which a process collects garbage as often as it must to stay below it. The rest is for the program
	// itself and for what the kernel counts to the process.
	runtimeMemoryShare = 0.7
	// programMemory is kept for the program itself on small machines: its pages take some 17 MB, and the runtime exceeds its limit for a moment while garbage
	// collection gets little processor time. With 28 MB, a process of 64 MB reached 66.8 MB beside other load.
	programMemory = 36e6
	// peerBytesShare is the share of its memory that the bytes of callers and engines may take.
	peerBytesShare = 0.2
	// connectionShare is the share of its memory that callers' connections may take, and connectionBytes what one takes: buffers, stacks, and
	// GrantedBytes each for its head, its body and its answer.
	connectionShare = 0.15
	connectionBytes = 56 << 10
	// reservedDescriptors are those for the store, other instances, listeners and files.
	reservedDescriptors = 200
)

// SoftMemory returns the limit for the memory of the Go runtime of a process that may use memory, both in bytes.
func SoftMemory(memory int64) int64 {
	return min(int64(runtimeMemoryShare*float64(memory)), max(memory-programMemory, 0))
}

// PeerBytes returns the most bytes of callers and engines that a process keeps at a time, from its memory in bytes.
func PeerBytes(memory int64) int64 { return int64(peerBytesShare * float64(memory)) }

// Connections returns how many connections of callers may be open, from the memory in bytes and the limit of descriptors of a process. Half of the
// descriptors are for engines: a request needs one there too.
func Connections(memory, descriptors int64) int64 {
	return min(int64(connectionShare*float64(memory))/connectionBytes, (descriptors-reservedDescriptors)/2)
}

// Descriptors returns the limit of descriptors of this process.
func Descriptors() (int64, error) {
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return 0, errors.Wrap(err, "read the limit of descriptors")
	}
	return int64(min(files.Cur, math.MaxInt32)), nil
}

// AvailableMemory returns the memory in bytes that the resource limits of this process and its machine leave it.
func AvailableMemory() (int64, error) {
	var machine unix.Sysinfo_t
	if err := unix.Sysinfo(&machine); err != nil {
		return 0, errors.Wrap(err, "read the memory of the machine")
	}
	memory := machine.Totalram * uint64(machine.Unit)
	for _, resource := range []int{unix.RLIMIT_AS, unix.RLIMIT_DATA} {
		var limit unix.Rlimit
		if err := unix.Getrlimit(resource, &limit); err != nil {
			return 0, errors.Wrap(err, "read the resource limits of the process")
		}
		memory = min(memory, limit.Cur)
	}
	return int64(min(memory, math.MaxInt64)), nil
}

// MemoryFits reports whether a process may use memory in bytes. If what is available cannot be read, it may.
func MemoryFits(memory int64) bool {
	available, err := AvailableMemory()
	return err != nil || memory <= available
}
