package entry

import (
	"math"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// minMemory is the smallest memory for which the shares below leave an instance enough to run.
	minMemory = 64e6
	// runtimeMemoryShare is the share of its memory at which the process collects garbage as often as it must to stay below it. The rest is for the program
	// itself and for what the kernel counts to the process.
	runtimeMemoryShare = 0.7
	// peerBytesShare is the share of its memory that the bytes of callers and engines may take.
	peerBytesShare = 0.2
)

// SoftMemoryLimit returns the limit for the memory of the Go runtime, in bytes. It fails if the memory of the machine is needed and cannot be read.
func (s *Settings) SoftMemoryLimit() (int64, error) {
	memory, err := s.memory()
	return int64(runtimeMemoryShare * float64(memory)), err
}

// peerBytes returns the most bytes of callers and engines that are kept at a time.
func (s *Settings) peerBytes() (int64, error) {
	memory, err := s.memory()
	return int64(peerBytesShare * float64(memory)), err
}

// memory returns the memory that the process may use, in bytes: what the settings name, or else what its resource limits and its machine leave it.
func (s *Settings) memory() (int64, error) {
	if named := s.Instance.Memory.Int64(); named > 0 {
		return named, nil
	}
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
