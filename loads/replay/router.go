package replay

import (
	"fmt"
	"time"

	"cicadastand.dev/core/coord/admit"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/index"
	"cicadastand.dev/core/state/prefix"
)

// simRouter is a simulated router. It uses the admission and routing code of the
// real one, without its network side.
type simRouter struct {
	sim               *Sim
	policy            route.Policy
	health            *health.Table
	index             *index.Index
	hitRate           *route.HitRate
	firstTokenLatency *admit.FirstTokenLatency
	queue             *admit.Queue
	names             []string
	// generation counts restarts. Calls of an earlier generation are unknown to the
	// tables of the current one.
	generation int
}

func newSimRouter(s *Sim) (*simRouter, error) {
	policy, err := route.ByName(s.cfg.Policy)
	if err != nil {
		return nil, fmt.Errorf("build router: %w", err)
	}
	r := &simRouter{sim: s, policy: policy}
	for _, e := range s.engines {
		r.names = append(r.names, e.name)
	}
	r.queue = admit.NewQueue(admit.QueueConfig{
		Capacity:      ceilAtLeastOne(float64(s.cfg.Engines*s.cfg.Slots) / float64(s.cfg.Routers)),
		OtherFloor:    s.cfg.OtherFloor,
		UrgentReserve: s.cfg.UrgentReserve,
		MaxQueue:      maxQueue,
	})
	r.reset()
	return r, nil
}

const (
	maxQueue = 1000
	// kvStoreName is the name of the KV cache store in the index, as if it were one
	// more engine.
	kvStoreName = "(kept)"
)

// reset discards the router's state, as a restart does. The admission queue stays.
func (r *simRouter) reset() {
	cfg := health.DefaultConfig()
	cfg.ReportLag = r.sim.cfg.ReportLag
	r.health = health.New(cfg)
	r.index = index.New(index.DefaultConfig())
	r.hitRate = route.NewHitRate()
	r.firstTokenLatency = &admit.FirstTokenLatency{}
	r.generation++
}

func (r *simRouter) handleReport(e *simEngine, rep report) {
	name := fmt.Sprint(rep.incarnation)
	now := r.sim.clock()
	taken := r.health.RecordReport(e.name, health.Report{
		Incarnation: name, Running: rep.running, Queued: rep.queued, QueuedTokens: rep.queuedTokens,
	}, now, now)
	if taken {
		r.index.SetIncarnation(e.name, name)
	}
	r.queue.SetCapacity(r.capacity())
}

// handleCacheEvents applies the cache events to the index, except for a random
// share of them that counts as lost.
func (r *simRouter) handleCacheEvents(e *simEngine, events []cacheEvent) {
	if !r.sim.cfg.CacheEvents {
		return
	}
	for _, ev := range events {
		if r.sim.rng.Float64() < r.sim.cfg.EventLossShare {
			continue
		}
		incarnation := fmt.Sprint(ev.incarnation)
		if ev.stored {
			r.index.Confirm(e.name, incarnation, []prefix.Key{ev.key}, clockStart.Add(ev.at))
		} else {
			r.index.Evict(e.name, incarnation, ev.key)
		}
	}
}

// capacity returns the maximum number of requests that the router may have in flight.
func (r *simRouter) capacity() int {
	total := 0.0
	slots := float64(r.sim.cfg.Slots) * r.sim.cfg.Overcommit
	for _, name := range r.names {
		s := r.health.Get(name)
		total += admit.HostShare(slots, float64(s.OwnReported), float64(s.OtherRequests), r.sim.cfg.Routers)
	}
	return ceilAtLeastOne(total)
}

// enqueue adds a call to the admission queue, and rejects it if the queue is full or
// the wait gets too long.
func (r *simRouter) enqueue(c *call) {
	rank := c.req.Stream.Rank
	if rank == "" {
		rank = fleet.RankOther
	}
	req := admit.Request{
		Account: c.req.Stream.Account, Rank: rank, Weight: 1,
		Cost: float64(c.tokens + c.req.Stream.MaxTokens), MaxWait: r.firstTokenLatency.MaxWait(rank, r.sim.firstTokenTarget(rank)), MaxWaitWithoutBacklog: admit.MaxWaitWithoutBacklog(r.sim.firstTokenTarget(rank)),
	}
	waiter, err := r.queue.Enqueue(req, r.sim.clock(), func() { r.send(c) })
	if err != nil {
		r.sim.reject(c, "overload")
		return
	}
	r.sim.after(waiter.MaxWait(), func() {
		if !r.queue.Remove(waiter) {
			r.sim.reject(c, "overload")
		}
	})
}

func (r *simRouter) send(c *call) {
	if c.demand == nil {
		c.demand = r.index.CountRequest(c.chain, r.sim.clock())
	}
	c.offloadedPieces = 0
	if r.sim.cfg.ImportRate > 0 {
		c.offloadedPieces = r.index.ExpectedPieces(c.chain, []string{kvStoreName}, r.sim.clock())[0]
	}
	expectedPieces := r.index.ExpectedPieces(c.chain, r.names, r.sim.clock())
	candidates := make([]route.Candidate, len(r.names))
	for i, name := range r.names {
		s := r.health.Get(name)
		candidates[i] = route.Candidate{
			Name: name, Slots: r.sim.cfg.Slots, PrefillRate: r.sim.cfg.PrefillRate,
			Running: s.Requests(), QueuedTokens: s.QueuedTokens(), ServiceTime: s.ServiceTime, CachedPieces: expectedPieces[i],
		}
	}
	req := route.Request{Chain: c.chain, Tokens: c.tokens, PlacementIndex: route.PlacementIndex(c.demand, len(r.names)), OwnerHitRate: r.hitRate.Value(), OffloadedPieces: c.offloadedPieces, ImportRate: r.sim.cfg.ImportRate}
	c.engine = r.policy.Choose(req, candidates)
	c.sentToOwner = len(c.chain) > 0 && route.Owner(c.chain[req.PlacementIndex], candidates) == c.engine
	c.expectedPieces = expectedPieces[c.engine]
	c.sentAt = r.sim.now
	c.importLimit = 0
	if r.sim.cfg.ImportRate > 0 {
		c.importLimit = len(c.chain)
	}
	c.exportPieces = 0
	if n := index.RequestedAtLeast(c.demand, r.sim.cfg.ExportAfter); r.sim.cfg.ImportRate > 0 && float64(n) > c.offloadedPieces {
		c.exportPieces = n
	}
	c.generation = r.generation
	r.sim.recordAttempt(c)
	c.prompt = health.Prompt{Tokens: c.tokens, UncachedTokens: max(0, c.tokens-int(max(expectedPieces[c.engine], c.offloadedPieces)*prefix.PieceTokens))}
	r.health.RequestSent(r.names[c.engine], c.prompt)
	r.index.Expect(r.names[c.engine], c.chain, r.sim.clock())
	r.sim.engines[c.engine].arrive(c)
}

func (r *simRouter) firstToken(c *call) {
	name := r.names[c.engine]
	if c.generation == r.generation {
		r.health.RequestDequeued(name, c.prompt)
	}
	r.firstTokenLatency.Add(rankOf(c), r.sim.now-c.sentAt)
	r.health.RecordCacheMiss(name, health.Prompt{Tokens: c.tokens, UncachedTokens: c.tokens - (c.cachedPieces+c.importedPieces)*prefix.PieceTokens})
	incarnation := fmt.Sprint(r.sim.engines[c.engine].incarnation)
	if r.health.RecordIncarnation(name, incarnation) {
		r.index.SetIncarnation(name, incarnation)
	}
	if c.sentToOwner {
		r.hitRate.Observe(len(c.chain), c.expectedPieces, c.cachedPieces)
	}
	if c.importedPieces > 0 {
		r.index.Confirm(kvStoreName, "", c.chain[:c.cachedPieces+c.importedPieces], r.sim.clock())
	}
	if c.offloadedPieces > float64(c.cachedPieces) {
		r.index.Observe(kvStoreName, c.chain, c.cachedPieces+c.importedPieces, r.sim.clock())
	}
	if c.exportPieces > 0 {
		r.index.Confirm(kvStoreName, "", c.chain[:c.exportPieces], r.sim.clock())
	}
	r.index.Observe(name, c.chain, c.cachedPieces, r.sim.clock())
	r.index.Confirm(name, incarnation, c.chain, r.sim.clock())
}

func (r *simRouter) finished(c *call) {
	if c.generation == r.generation {
		r.health.RequestFinished(r.names[c.engine], r.sim.now-c.sentAt)
	}
	r.queue.Release(rankOf(c), r.sim.clock())
}

// retry sends a call again, 1 ms after its engine crashed.
func (r *simRouter) retry(c *call) {
	name := r.names[c.engine]
	if c.generation == r.generation {
		if !c.started {
			r.health.RequestDequeued(name, c.prompt)
		}
		r.health.RequestFinished(name, r.sim.now-c.sentAt)
	}
	c.started = false
	r.sim.after(time.Millisecond, func() { r.send(c) })
}

func rankOf(c *call) fleet.Rank {
	if c.req.Stream.Rank == fleet.RankUrgent {
		return fleet.RankUrgent
	}
	return fleet.RankOther
}
