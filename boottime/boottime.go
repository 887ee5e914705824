package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the machine was booted, in nanoseconds. The zero value is earlier than all others.
type Instant time.Duration

// Now returns the current instant. It panics if the kernel does not provide the clock.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return Instant(t.Nano())
}

// Sub returns the duration from an earlier instant to this one.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
