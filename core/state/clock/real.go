package clock

import "time"

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
