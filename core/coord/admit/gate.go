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

// Ask is a request for admission.
type Ask struct {
	Account string
	Rank    fleet.Rank
	// Weight is the account's share relative to others.
	Weight float64
	// Cost is the work of the request, in tokens.
	Cost float64
	// MaxWait is how long the request may wait and still meet its target.
	MaxWait time.Duration
	// Grace is how long a request may wait whose account has no other one waiting.
	Grace time.Duration
}

// Config sets up a gate.
type Config struct {
	Clock clock.Service
	LineConfig
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
	line  *Line
}

// New returns a gate.
func New(cfg Config) *Gate { return &Gate{clock: cfg.Clock, line: NewLine(cfg.LineConfig)} }

// SetCapacity changes how many requests may be at the engines at once.
func (g *Gate) SetCapacity(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.line.SetCapacity(n)
}

// SetFloor changes the share of dispatches kept for work that is not urgent.
func (g *Gate) SetFloor(floor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.line.SetFloor(floor)
}

// Enter waits for admission. It returns a pass that must be given back once, or
// ErrOverload, or the cause of ctx's end.
func (g *Gate) Enter(ctx context.Context, ask Ask) (*Pass, error) {
	ready := make(chan struct{})
	ticket, err := g.join(ask, ready)
	if err != nil {
		return nil, err
	}
	limit := g.clock.Once(ticket.MaxWait())
	defer limit.Stop()
	select {
	case <-ready:
		return &Pass{gate: g, rank: ask.Rank}, nil
	case <-limit.C():
		err = &ErrOverload{RetryAfter: g.retryAfter(ask.Rank), Reason: "the queue is too slow"}
	case <-ctx.Done():
		err = fmt.Errorf("wait for admission: %w", context.Cause(ctx))
	}
	if g.leave(ticket) {
		return &Pass{gate: g, rank: ask.Rank}, nil
	}
	return nil, err
}

// Pass is the right to be at the engines.
type Pass struct {
	gate *Gate
	rank fleet.Rank
	once sync.Once
}

// Done gives the pass back. Further calls have no effect.
func (p *Pass) Done() { p.once.Do(func() { p.gate.done(p.rank) }) }

// Stats counts what is at a gate.
type Stats struct {
	Capacity     int `json:"capacity"`
	UrgentInside int `json:"urgent-inside"`
	OtherInside  int `json:"other-inside"`
	UrgentQueued int `json:"urgent-queued"`
	OtherQueued  int `json:"other-queued"`
}

// Stats returns the current counts.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.line.Stats()
}

func (g *Gate) join(ask Ask, ready chan struct{}) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.line.Join(ask, g.clock.Now(), func() { close(ready) })
}

// leave takes a ticket out of the line. It reports true if the request was
// admitted at the same moment.
func (g *Gate) leave(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.line.Leave(t)
}

func (g *Gate) done(rank fleet.Rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.line.Done(rank, g.clock.Now())
}

func (g *Gate) retryAfter(rank fleet.Rank) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.line.DrainTime(rank, (*g.line.queues.of(rank)).len()+1, g.clock.Now())
}
