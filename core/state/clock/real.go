package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Real is the Service backed by the machine's clock.
type Real struct{}

// New returns the service backed by the machine's clock.
func New() Real { return Real{} }

// Now returns the machine's time.
func (Real) Now() time.Time { return time.Now() }

// Subscribe delivers a tick each interval.
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

// Boot returns the time since the host started, suspended time included. It
// neither jumps with the time of day nor stands still while the host is frozen.
func (Real) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock is there on every Linux that the project supports.
		panic(fmt.Sprintf("clock: read boot time: %v", err))
	}
	return time.Duration(ts.Nano())
}
