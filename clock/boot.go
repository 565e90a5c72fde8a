package clock

import "golang.org/x/sys/unix"

// Boot reads the time since the machine started. Unlike the zero Clock it
// goes on while the machine is suspended, so that ages measured by it are
// never too small.
func Boot() Clock { return Clock{Read: readBoot} }

func readBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has had this clock since 2.6.39.
		return Clock{}.Now()
	}
	return Millis(t.Sec*1000 + t.Nsec/1_000_000)
}
