package clock

import "golang.org/x/sys/unix"

// Boot returns a clock that reads the time since the machine started. Unlike the
// zero Clock, it advances while the machine is suspended, so that ages measured
// with it are never too small.
func Boot() Clock { return Clock{Read: readBoot} }

func readBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had CLOCK_BOOTTIME since 2.6.39, so this is not expected.
		return Clock{}.Now()
	}
	return Millis(t.Sec*1000 + t.Nsec/1_000_000)
}
