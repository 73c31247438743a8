// Package admit implements admission control for requests to engines. Requests
// are admitted by rank and, within a rank, by weighted fair queueing over the
// client accounts. A request that can't meet its latency target is rejected
// without waiting.
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

// Request describes a request that asks for admission.
type Request struct {
	Account string
	Rank    fleet.Rank
	// Weight is the account's share of the dispatches relative to other accounts.
	Weight float64
	// Cost is the size of the request in tokens.
	Cost float64
	// MaxWait is how long the request may be queued and still meet its latency target.
	MaxWait time.Duration
	// MaxWaitWithoutBacklog replaces a lower MaxWait if the account has no other
	// request in the queue.
	MaxWaitWithoutBacklog time.Duration
}

// Config configures a Gate.
type Config struct {
	Clock clock.Service
	QueueConfig
}

// ErrOverload reports a request that was rejected because it would miss its
// latency target.
type ErrOverload struct {
	// RetryAfter is the estimated time until the queue is short enough.
	RetryAfter time.Duration
	Reason     string
}

// Error returns the reason and the time after which to retry.
func (e *ErrOverload) Error() string {
	return fmt.Sprintf("overload: %s, retry after %s", e.Reason, e.RetryAfter)
}

// IsErrOverload reports whether err holds an ErrOverload.
func IsErrOverload(err error) bool {
	var target *ErrOverload
	return errors.As(err, &target)
}

// Gate blocks callers until their requests are admitted by a Queue. It is safe
// for concurrent use.
//
// Lock order: Gate.mu is a leaf.
type Gate struct {
	clock clock.Service
	mu    sync.Mutex
	queue *Queue
}

// New returns a gate with an empty queue.
func New(cfg Config) *Gate { return &Gate{clock: cfg.Clock, queue: NewQueue(cfg.QueueConfig)} }

// SetCapacity sets how many requests may be in flight at the engines.
func (g *Gate) SetCapacity(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetCapacity(n)
}

// SetFloor sets the minimum share of dispatches that go to requests of
// fleet.RankOther.
func (g *Gate) SetFloor(floor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetFloor(floor)
}

// Acquire waits for admission. It returns a permit that the caller must release,
// ErrOverload if the request is rejected, or the cause of ctx's cancellation.
func (g *Gate) Acquire(ctx context.Context, req Request) (*Permit, error) {
	ready := make(chan struct{})
	waiter, err := g.enqueue(req, ready)
	if err != nil {
		return nil, err
	}
	timeout := g.clock.Once(waiter.MaxWait())
	defer timeout.Stop()
	select {
	case <-ready:
		return &Permit{gate: g, rank: req.Rank}, nil
	case <-timeout.C():
		err = &ErrOverload{RetryAfter: g.retryAfter(req.Rank), Reason: "the queue is too slow"}
	case <-ctx.Done():
		err = fmt.Errorf("wait for admission: %w", context.Cause(ctx))
	}
	if g.remove(waiter) {
		return &Permit{gate: g, rank: req.Rank}, nil
	}
	return nil, err
}

// Permit allows one request to be in flight at the engines.
type Permit struct {
	gate *Gate
	rank fleet.Rank
	once sync.Once
}

// Release returns the permit to the gate. Further calls have no effect.
func (p *Permit) Release() { p.once.Do(func() { p.gate.release(p.rank) }) }

// Stats holds the capacity of a gate and the number of requests in flight and queued.
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

// remove takes a waiter out of the queue. It reports true if the request was
// admitted in the meantime.
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
