package send

import (
	"context"
	"sync"
	"time"

	"cicadastand.dev/core/state/clock"
)

// guard cancels a send whose engine makes no progress. Time that the caller
// takes to read does not count.
type guard struct {
	clock  clock.Service
	limit  time.Duration
	cancel context.CancelFunc

	mu     sync.Mutex
	last   time.Time
	paused bool
	hit    bool
}

// checksPerLimit is how often a guard looks within its limit.
const checksPerLimit = 4

// newGuard starts a guard. The first progress may take longer by extra, for the
// work that waits at the engine.
func newGuard(ctx context.Context, c clock.Service, limit, extra time.Duration) (context.Context, *guard) {
	ctx, cancel := context.WithCancel(ctx)
	g := &guard{clock: c, limit: limit, cancel: cancel, last: c.Now().Add(extra)}
	go g.run(ctx)
	return ctx, g
}

func (g *guard) run(ctx context.Context) {
	sub := g.clock.Subscribe(max(g.limit/checksPerLimit, time.Millisecond))
	defer sub.Stop()
	for {
		select {
		case <-sub.C():
			if g.expired() {
				g.cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (g *guard) expired() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hit = !g.paused && g.clock.Now().Sub(g.last) >= g.limit
	return g.hit
}

// pause says that the engine is not waited for.
func (g *guard) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = true
}

// progress says that the engine is waited for from now on.
func (g *guard) progress() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = false
	g.last = g.clock.Now()
}

// fired reports whether the guard cancelled the send.
func (g *guard) fired() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hit
}

func (g *guard) stop() { g.cancel() }
