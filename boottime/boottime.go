package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the machine was booted; the zero value is before all others.
type Instant time.Duration

// Now returns the present instant.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return Instant(t.Nano())
}

// Sub returns the time from an earlier instant to this one.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant a time later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
