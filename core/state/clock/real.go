package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Real is the Service backed by the system clock.
type Real struct{}

// New returns the service backed by the system clock.
func New() Real { return Real{} }

// Now returns the system time.
func (Real) Now() time.Time { return time.Now() }

// Subscribe delivers a tick every interval.
func (Real) Subscribe(interval time.Duration) Subscription {
	return ticker{t: time.NewTicker(interval)}
}

// Once delivers a single tick after delay.
func (Real) Once(delay time.Duration) Subscription {
	return timer{t: time.NewTimer(delay)}
}

type ticker struct{ t *time.Ticker }

func (t ticker) C() <-chan time.Time { return t.t.C }
func (t ticker) Stop()               { t.t.Stop() }

type timer struct{ t *time.Timer }

func (t timer) C() <-chan time.Time { return t.t.C }
func (t timer) Stop()               { t.t.Stop() }

// Boot returns the time since the host started, including suspended time. Unlike
// the time of day it is never adjusted, and unlike the monotonic clock it keeps
// counting while the host is suspended.
func (Real) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported Linux version has CLOCK_BOOTTIME.
		panic(fmt.Sprintf("clock: read boot time: %v", err))
	}
	return time.Duration(ts.Nano())
}
