package clock

import (
	"context"
	"sync"
	"time"
)

// Deadline is the end of a context, which can be deferred. It limits calls whose duration
// depends on a size that somebody else decides: they may take as long as they make progress.
type Deadline struct {
	service Service
	cancel  context.CancelCauseFunc

	mu    sync.Mutex
	until time.Time
}

// WithDeadline derives a context that is cancelled with the cause context.DeadlineExceeded
// after delay, as measured by the service, unless the deadline is deferred.
func WithDeadline(ctx context.Context, s Service, delay time.Duration) (context.Context, *Deadline) {
	derived, cancel := context.WithCancelCause(ctx)
	d := &Deadline{service: s, cancel: cancel, until: s.Now().Add(delay)}
	go d.run(derived, s.Once(delay))
	return derived, d
}

// Defer lets the deadline pass after delay from now.
func (d *Deadline) Defer(delay time.Duration) {
	until := d.service.Now().Add(delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until = until
}

// Stop ends the context. It may be called more than once.
func (d *Deadline) Stop() { d.cancel(context.Canceled) }

// left returns the time until the deadline.
func (d *Deadline) left() time.Duration {
	now := d.service.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.until.Sub(now)
}

func (d *Deadline) run(ctx context.Context, sub Subscription) {
	for {
		select {
		case <-sub.C():
		case <-ctx.Done():
			sub.Stop()
			return
		}
		left := d.left()
		if left <= 0 {
			d.cancel(context.DeadlineExceeded)
			return
		}
		sub = d.service.Once(left)
	}
}
