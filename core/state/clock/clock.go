// Package clock provides the timer service that every part subscribes to.
//
// Decisions never read the wall clock themselves: they receive the time as an
// argument, or subscribe to a Service. A Fake stands in for the real service
// in tests and in other harnesses.
package clock

import (
	"context"
	"time"
)

// Service tells the time and wakes subscribers.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Subscribe delivers a tick each interval until the subscription stops.
	Subscribe(interval time.Duration) Subscription
	// Once delivers a single tick after delay, unless the subscription stops first.
	Once(delay time.Duration) Subscription
}

// Boot tells a time for ages that must count while the host is suspended.
type Boot interface {
	Boot() time.Duration
}

// Subscription is one subscriber's stream of ticks.
type Subscription interface {
	// C returns the channel on which ticks arrive. A slow subscriber misses ticks.
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

// WithTimeout derives a context that is cancelled with context.DeadlineExceeded
// as its cause once delay has passed on the service's time.
func WithTimeout(ctx context.Context, s Service, delay time.Duration) (context.Context, context.CancelFunc) {
	derived, cancel := context.WithCancelCause(ctx)
	t := &timeout{sub: s.Once(delay), cancel: cancel}
	go t.run(derived)
	return derived, func() { cancel(context.Canceled) }
}

// timeout cancels a context when its subscription fires.
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
