// Package clock provides the time and timers that all other packages use.
//
// Code that makes decisions never reads the system clock itself: it receives the
// time as an argument or uses a Service. Tests and simulations use a Fake instead
// of the real service.
package clock

import (
	"context"
	"time"
)

// Service provides the time and timers.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Subscribe delivers a tick every interval until the subscription is stopped.
	Subscribe(interval time.Duration) Subscription
	// Once delivers a single tick after delay, unless the subscription is stopped
	// before.
	Once(delay time.Duration) Subscription
}

// Boot provides the time since boot, for ages that must include the time during
// which the host is suspended.
type Boot interface {
	// Boot returns the time since the host started, including suspended time.
	Boot() time.Duration
}

// Subscription is a timer or a ticker.
type Subscription interface {
	// C returns the channel on which ticks are delivered. Ticks are dropped if the
	// receiver is slow.
	C() <-chan time.Time
	// Stop ends the subscription. It may be called more than once.
	Stop()
}

// Sleep waits for delay or until ctx ends, and returns the error of ctx.
func Sleep(ctx context.Context, s Service, delay time.Duration) error {
	sub := s.Once(delay)
	defer sub.Stop()
	select {
	case <-sub.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WithTimeout derives a context that is cancelled with the cause
// context.DeadlineExceeded after delay, as measured by the service.
func WithTimeout(ctx context.Context, s Service, delay time.Duration) (context.Context, context.CancelFunc) {
	derived, cancel := context.WithCancelCause(ctx)
	t := &timeout{sub: s.Once(delay), cancel: cancel}
	go t.run(derived)
	return derived, func() { cancel(context.Canceled) }
}

// timeout cancels a context when its timer fires.
type timeout struct {
	sub    Subscription
	cancel context.CancelCauseFunc
}

func (t *timeout) run(ctx context.Context) {
	defer t.sub.Stop()
	select {
	case <-t.sub.C():
		t.cancel(context.DeadlineExceeded)
	case <-ctx.Done():
	}
}
