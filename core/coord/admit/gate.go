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
}

// Config sets up a gate.
type Config struct {
	Clock clock.Service
	// Capacity is how many requests may be at the engines at once.
	Capacity int
	// OtherFloor is the share of dispatches kept for work that is not urgent.
	OtherFloor float64
	// UrgentReserve is the share of the capacity that only urgent work may use.
	UrgentReserve float64
	// MaxQueue bounds the waiters of one rank.
	MaxQueue int
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

// Gate admits requests up to its capacity.
//
// Lock order: Gate.mu is a leaf.
type Gate struct {
	cfg    Config
	mu     sync.Mutex
	queues rankPair[*fair]
	inside rankPair[int]
	credit float64
	order  uint64
	rates  rankPair[rate]
}

// New returns a gate.
func New(cfg Config) *Gate {
	g := &Gate{cfg: cfg}
	for i := range g.queues {
		g.queues[i] = newFair()
	}
	return g
}

// SetCapacity changes how many requests may be at the engines at once.
func (g *Gate) SetCapacity(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Capacity = n
	g.dispatch()
}

// SetFloor changes the share of dispatches kept for work that is not urgent.
func (g *Gate) SetFloor(floor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.OtherFloor = floor
}

// Enter waits for admission. It returns a pass that must be given back once, or
// ErrOverload, or the cause of ctx's end.
func (g *Gate) Enter(ctx context.Context, ask Ask) (*Pass, error) {
	w, err := g.join(ask)
	if err != nil {
		return nil, err
	}
	limit := g.cfg.Clock.Once(ask.MaxWait)
	defer limit.Stop()
	select {
	case <-w.ready:
		return &Pass{gate: g, rank: ask.Rank}, nil
	case <-limit.C():
		err = &ErrOverload{RetryAfter: g.retryAfter(ask.Rank), Reason: "the queue is too slow"}
	case <-ctx.Done():
		err = fmt.Errorf("wait for admission: %w", context.Cause(ctx))
	}
	if g.leave(w) {
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
	return Stats{
		Capacity:     g.cfg.Capacity,
		UrgentInside: *g.inside.of(fleet.RankUrgent),
		OtherInside:  *g.inside.of(fleet.RankOther),
		UrgentQueued: (*g.queues.of(fleet.RankUrgent)).len(),
		OtherQueued:  (*g.queues.of(fleet.RankOther)).len(),
	}
}

func (g *Gate) join(ask Ask) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	queue := *g.queues.of(ask.Rank)
	if queue.len() >= g.cfg.MaxQueue {
		return nil, &ErrOverload{RetryAfter: g.drainTime(ask.Rank, queue.len()), Reason: "the queue is full"}
	}
	if queue.len() > 0 {
		wait := g.drainTime(ask.Rank, queue.ahead(ask)+1)
		if wait > ask.MaxWait {
			return nil, &ErrOverload{RetryAfter: wait - ask.MaxWait, Reason: "the target can't be met"}
		}
	}
	g.order++
	w := &waiter{ask: ask, order: g.order, ready: make(chan struct{})}
	queue.push(w)
	g.dispatch()
	return w, nil
}

// leave takes a waiter out of its queue. It reports true if the waiter was
// admitted at the same moment.
func (g *Gate) leave(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.granted {
		return true
	}
	(*g.queues.of(w.ask.Rank)).remove(w)
	return false
}

func (g *Gate) done(rank fleet.Rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*g.inside.of(rank)--
	g.rates.of(rank).add(g.cfg.Clock.Now())
	g.dispatch()
}

// dispatch admits waiters while there is room; the caller holds the lock.
func (g *Gate) dispatch() {
	for {
		rank, ok := g.nextRank()
		if !ok {
			return
		}
		w := (*g.queues.of(rank)).pop()
		*g.inside.of(rank)++
		w.granted = true
		close(w.ready)
	}
}

// nextRank returns the rank to serve next. Urgent work goes first, but each
// urgent dispatch that passes over other work earns that work a credit.
func (g *Gate) nextRank() (fleet.Rank, bool) {
	urgent := (*g.queues.of(fleet.RankUrgent)).len() > 0
	other := (*g.queues.of(fleet.RankOther)).len() > 0
	total := *g.inside.of(fleet.RankUrgent) + *g.inside.of(fleet.RankOther)
	room := g.cfg.Capacity - total
	switch {
	case room <= 0 || !urgent && !other:
		return "", false
	case urgent && !other:
		return fleet.RankUrgent, true
	case !urgent:
		return fleet.RankOther, room > g.reserve()
	case g.credit >= 1:
		g.credit--
		return fleet.RankOther, true
	default:
		g.credit += g.cfg.OtherFloor / (1 - g.cfg.OtherFloor)
		return fleet.RankUrgent, true
	}
}

// reserve returns the part of the capacity that only urgent work may use.
func (g *Gate) reserve() int { return int(float64(g.cfg.Capacity) * g.cfg.UrgentReserve) }

func (g *Gate) retryAfter(rank fleet.Rank) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drainTime(rank, (*g.queues.of(rank)).len()+1)
}

// drainTime estimates how long n requests of a rank take to be admitted.
func (g *Gate) drainTime(rank fleet.Rank, n int) time.Duration {
	perSecond := g.rates.of(rank).perSecond(g.cfg.Clock.Now())
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}
