package send

import (
	"context"
	"sync"
	"time"

	"cicadastand.dev/core/state/clock"
)

// watchdog cancels an attempt whose engine sends no event within a time limit. Time
// that the caller takes to read does not count.
type watchdog struct {
	clock  clock.Service
	limit  time.Duration
	cancel context.CancelFunc

	mu         sync.Mutex
	last       time.Time
	paused     bool
	hasExpired bool
}

// checksPerLimit is the number of checks within the time limit.
const checksPerLimit = 4

// newWatchdog starts a watchdog. The limit for the first event is longer by extra, to
// allow for the requests that are queued at the engine.
func newWatchdog(ctx context.Context, c clock.Service, limit, extra time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watchdog{clock: c, limit: limit, cancel: cancel, last: c.Now().Add(extra)}
	go w.run(ctx)
	return ctx, w
}

func (w *watchdog) run(ctx context.Context) {
	sub := w.clock.Subscribe(max(w.limit/checksPerLimit, time.Millisecond))
	defer sub.Stop()
	for {
		select {
		case <-sub.C():
			if w.expired() {
				w.cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (w *watchdog) expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hasExpired = !w.paused && w.clock.Now().Sub(w.last) >= w.limit
	return w.hasExpired
}

// pause suspends the watchdog while an event is written to the caller.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
}

// restart resumes the watchdog with the full time limit.
func (w *watchdog) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = false
	w.last = w.clock.Now()
}

// fired reports whether the watchdog cancelled the attempt.
func (w *watchdog) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasExpired
}

func (w *watchdog) stop() { w.cancel() }
