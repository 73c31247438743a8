// Package admit decides when a request may go to the engines: by rank, fairly
// over accounts inside a rank, and early with a refusal when its target can't
// be met.
package admit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/fleet"
)

// Request is a request for admission.
type Request struct {
	Account string
	Rank    fleet.Rank
	// Weight is the account's share relative to others.
	Weight float64
	// Cost is the work of the request, in tokens.
	Cost float64
	// MaxWait is how long the request may wait and still meet its target.
	MaxWait time.Duration
	// MaxWaitWithoutBacklog is how long a request may wait whose account has no other one waiting.
	MaxWaitWithoutBacklog time.Duration
}

// Config sets up a gate.
type Config struct {
	Clock clock.Service
	QueueConfig
}

// ErrOverload reports a request that would miss its target.
type ErrOverload struct {
	// RetryAfter is when the queue will have drained.
	RetryAfter time.Duration
	Reason     string
}

// Error gives the reason.
func (e *ErrOverload) Error() string {
	return fmt.Sprintf("overload: %s, retry after %s", e.Reason, e.RetryAfter)
}

// IsErrOverload reports whether err holds an ErrOverload.
func IsErrOverload(err error) bool {
	var target *ErrOverload
	return errors.As(err, &target)
}

// Gate lets callers wait in a line. It is safe for concurrent use.
//
// Lock order: Gate.mu is a leaf.
type Gate struct {
	clock clock.Service
	mu    sync.Mutex
	queue *Queue
}

// New returns a gate.
func New(cfg Config) *Gate { return &Gate{clock: cfg.Clock, queue: NewQueue(cfg.QueueConfig)} }

// SetCapacity changes how many requests may be at the engines at once.
func (g *Gate) SetCapacity(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetCapacity(n)
}

// SetFloor changes the share of dispatches kept for work that is not urgent.
func (g *Gate) SetFloor(floor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetFloor(floor)
}

// Acquire waits for admission. It returns a permit that must be given back once, or
// ErrOverload, or the cause of ctx's end.
func (g *Gate) Acquire(ctx context.Context, req Request) (*Permit, error) {
	ready := make(chan struct{})
	waiter, err := g.enqueue(req, ready)
	if err != nil {
		return nil, err
	}
	limit := g.clock.Once(waiter.MaxWait())
	defer limit.Stop()
	select {
	case <-ready:
		return &Permit{gate: g, rank: req.Rank}, nil
	case <-limit.C():
		err = &ErrOverload{RetryAfter: g.retryAfter(req.Rank), Reason: "the queue is too slow"}
	case <-ctx.Done():
		err = fmt.Errorf("wait for admission: %w", context.Cause(ctx))
	}
	if g.remove(waiter) {
		return &Permit{gate: g, rank: req.Rank}, nil
	}
	return nil, err
}

// Permit is the right to be at the engines.
type Permit struct {
	gate *Gate
	rank fleet.Rank
	once sync.Once
}

// Release gives the permit back. Further calls have no effect.
func (p *Permit) Release() { p.once.Do(func() { p.gate.release(p.rank) }) }

// Stats counts what is at a gate.
type Stats struct {
	Capacity       int `json:"capacity"`
	UrgentInFlight int `json:"urgent-inside"`
	OtherInFlight  int `json:"other-inside"`
	UrgentQueued   int `json:"urgent-queued"`
	OtherQueued    int `json:"other-queued"`
}

// Stats returns the current counts.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Stats()
}

func (g *Gate) enqueue(req Request, ready chan struct{}) (*Waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Enqueue(req, g.clock.Now(), func() { close(ready) })
}

// remove takes a waiter out of the line. It reports true if the request was
// admitted at the same moment.
func (g *Gate) remove(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Remove(w)
}

func (g *Gate) release(rank fleet.Rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Release(rank, g.clock.Now())
}

func (g *Gate) retryAfter(rank fleet.Rank) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.DrainTime(rank, (*g.queue.ranks.of(rank)).len()+1, g.clock.Now())
}
