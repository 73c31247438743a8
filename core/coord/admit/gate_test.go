package admit_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/admit"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/fleet"
)

// gate wraps a Gate on a fake clock and records the order in which requests are admitted.
type gate struct {
	*admit.Gate
	clock *clock.Fake
	mu    sync.Mutex
	order []string
	done  sync.WaitGroup
}

func newGate(queue admit.QueueConfig) *gate {
	g := &gate{clock: clock.NewFake(time.Unix(1000, 0))}
	g.Gate = admit.New(admit.Config{Clock: g.clock, QueueConfig: queue})
	return g
}

func request(account string, rank fleet.Rank) admit.Request {
	return admit.Request{Account: account, Rank: rank, Weight: 1, Cost: 1, MaxWait: time.Minute}
}

// enqueue starts a request in a goroutine and returns once it is queued.
func (g *gate) enqueue(r admit.Request) {
	before := g.Stats()
	g.done.Add(1)
	go func() {
		defer g.done.Done()
		if permit, err := g.Acquire(context.Background(), r); err == nil {
			g.mu.Lock()
			g.order = append(g.order, r.Account)
			g.mu.Unlock()
			permit.Release()
		}
	}()
	for g.Stats() == before {
		time.Sleep(time.Millisecond) // until the goroutine's request is queued
	}
}

func (g *gate) counts() map[string]int {
	out := make(map[string]int)
	for _, a := range g.order[:min(10, len(g.order))] {
		out[a]++
	}
	return out
}

func TestLargeBacklogDoesNotDelayOtherAccounts(t *testing.T) {
	is := is.New(t)
	g := newGate(admit.QueueConfig{Capacity: 1, MaxQueue: 100})
	holder, err := g.Acquire(context.Background(), request("holder", fleet.RankOther))
	is.NoErr(err)
	for range 30 {
		g.enqueue(request("large", fleet.RankOther))
	}
	for range 5 {
		g.enqueue(request("small", fleet.RankOther))
	}
	holder.Release()
	g.done.Wait()
	is.Equal(g.counts()["small"], 5) // half of the first ten dispatches, although it was queued last
}

func TestUrgentRankFirstWithFloorForOtherRank(t *testing.T) {
	is := is.New(t)
	g := newGate(admit.QueueConfig{Capacity: 1, MaxQueue: 100, OtherFloor: 0.2})
	holder, err := g.Acquire(context.Background(), request("holder", fleet.RankUrgent))
	is.NoErr(err)
	for range 20 {
		g.enqueue(request("other", fleet.RankOther))
	}
	for range 20 {
		g.enqueue(request("urgent", fleet.RankUrgent))
	}
	holder.Release()
	g.done.Wait()
	is.Equal(g.counts(), map[string]int{"urgent": 8, "other": 2})
}

func TestReserveIsUsedByUrgentRankOnly(t *testing.T) {
	is := is.New(t)
	g := newGate(admit.QueueConfig{Capacity: 10, UrgentReserve: 0.2, MaxQueue: 100})
	for range 8 {
		_, err := g.Acquire(context.Background(), request("other", fleet.RankOther))
		is.NoErr(err)
	}
	g.enqueue(request("other", fleet.RankOther))
	_, err := g.Acquire(context.Background(), request("urgent", fleet.RankUrgent))
	is.NoErr(err)
	is.Equal(g.Stats().OtherQueued, 1)
	g.SetCapacity(100)
	g.done.Wait()
}

func TestFullQueueRejectsAndWaitersTimeOut(t *testing.T) {
	is := is.New(t)
	g := newGate(admit.QueueConfig{Capacity: 1, MaxQueue: 2})
	holder, err := g.Acquire(context.Background(), request("a", fleet.RankUrgent))
	is.NoErr(err)
	g.enqueue(request("a", fleet.RankUrgent))
	g.enqueue(request("a", fleet.RankUrgent))
	_, err = g.Acquire(context.Background(), request("a", fleet.RankUrgent))
	is.True(admit.IsErrOverload(err)) // the queue is full
	g.clock.Advance(time.Minute)      // both waiters reach MaxWait
	g.done.Wait()
	is.Equal(g.Stats().UrgentQueued, 0)
	holder.Release()
	is.Equal(g.Stats().UrgentInFlight, 0)
}

func TestCancelledCallerLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	g := newGate(admit.QueueConfig{Capacity: 1, MaxQueue: 10})
	holder, err := g.Acquire(context.Background(), request("a", fleet.RankUrgent))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = g.Acquire(ctx, request("a", fleet.RankUrgent))
	is.True(errors.Is(err, context.Canceled))
	is.Equal(g.Stats().UrgentQueued, 0)
	holder.Release()
	holder.Release() // a second release has no effect
	is.Equal(g.Stats().UrgentInFlight, 0)
}

func BenchmarkAcquire(b *testing.B) {
	g := admit.New(admit.Config{Clock: clock.New(), QueueConfig: admit.QueueConfig{Capacity: 1 << 30, MaxQueue: 1000}})
	for b.Loop() {
		permit, err := g.Acquire(context.Background(), request("a", fleet.RankUrgent))
		if err != nil {
			b.Fatal(err)
		}
		permit.Release()
	}
}
