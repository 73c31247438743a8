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

// modelRouter is a router's own decision code with the replay as its shell.
type modelRouter struct {
	sim    *Sim
	policy route.Policy
	health *health.Table
	index  *index.Index
	prior  *route.HitRate
	lag    *admit.FirstTokenLatency
	line   *admit.Queue
	names  []string
	// life counts restarts; what an earlier life sent is not known to this one.
	life int
}

func newModelRouter(s *Sim) (*modelRouter, error) {
	policy, err := route.ByName(s.cfg.Policy)
	if err != nil {
		return nil, fmt.Errorf("build router: %w", err)
	}
	r := &modelRouter{sim: s, policy: policy}
	for _, e := range s.engines {
		r.names = append(r.names, e.name)
	}
	r.line = admit.NewQueue(admit.QueueConfig{
		Capacity:      ceil(float64(s.cfg.Engines*s.cfg.Slots) / float64(s.cfg.Routers)),
		OtherFloor:    s.cfg.OtherFloor,
		UrgentReserve: s.cfg.UrgentReserve,
		MaxQueue:      maxQueue,
	})
	r.forget()
	return r, nil
}

const (
	maxQueue = 1000
	// keptStore is the name under which the index knows the store of kept KV cache.
	keptStore = "(kept)"
)

// forget makes the router know nothing, as after a restart.
func (r *modelRouter) forget() {
	cfg := health.DefaultConfig()
	cfg.ReportLag = r.sim.cfg.ReportLag
	r.health = health.New(cfg)
	r.index = index.New(index.DefaultConfig())
	r.prior = route.NewHitRate()
	r.lag = &admit.FirstTokenLatency{}
	r.life++
}

func (r *modelRouter) reported(e *modelEngine, rep report) {
	name := fmt.Sprint(rep.incarnation)
	taken := r.health.RecordReport(e.name, health.Report{
		Incarnation: name, Running: rep.running, Queued: rep.queued, QueuedTokens: rep.tokens,
	}, r.sim.clock())
	if taken {
		r.index.SetIncarnation(e.name, name)
	}
	r.line.SetCapacity(r.capacity())
}

// heard takes the cache events that were not lost on the way.
func (r *modelRouter) heard(e *modelEngine, events []cacheEvent) {
	if !r.sim.cfg.CacheEvents {
		return
	}
	for _, ev := range events {
		if r.sim.rng.Float64() < r.sim.cfg.LoseEvents {
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

// capacity is how many requests the router may have at the engines.
func (r *modelRouter) capacity() int {
	total := 0.0
	slots := float64(r.sim.cfg.Slots) * r.sim.cfg.Overcommit
	for _, name := range r.names {
		s := r.health.Get(name)
		total += admit.HostShare(slots, float64(s.OwnReported), float64(s.OtherRequests), r.sim.cfg.Routers)
	}
	return ceil(total)
}

// offer asks for admission.
func (r *modelRouter) offer(c *call) {
	rank := c.req.Stream.Rank
	if rank == "" {
		rank = fleet.RankOther
	}
	ask := admit.Request{
		Account: c.req.Stream.Account, Rank: rank, Weight: 1,
		Cost: float64(c.tokens + c.req.Stream.MaxTokens), MaxWait: r.lag.MaxWait(rank, r.sim.target(rank)), MaxWaitWithoutBacklog: admit.MaxWaitWithoutBacklog(r.sim.target(rank)),
	}
	ticket, err := r.line.Enqueue(ask, r.sim.clock(), func() { r.send(c) })
	if err != nil {
		r.sim.refused(c, "overload")
		return
	}
	r.sim.after(ticket.MaxWait(), func() {
		if !r.line.Remove(ticket) {
			r.sim.refused(c, "overload")
		}
	})
}

func (r *modelRouter) send(c *call) {
	if c.demand == nil {
		c.demand = r.index.CountRequest(c.chain, r.sim.clock())
	}
	c.kept = 0
	if r.sim.cfg.ImportRate > 0 {
		c.kept = r.index.ExpectedPieces(c.chain, []string{keptStore}, r.sim.clock())[0]
	}
	held := r.index.ExpectedPieces(c.chain, r.names, r.sim.clock())
	candidates := make([]route.Candidate, len(r.names))
	for i, name := range r.names {
		s := r.health.Get(name)
		candidates[i] = route.Candidate{
			Name: name, Slots: r.sim.cfg.Slots, PrefillRate: r.sim.cfg.PrefillRate,
			Running: s.Requests(), QueuedTokens: s.QueuedTokens(), ServiceTime: s.ServiceTime, CachedPieces: held[i],
		}
	}
	req := route.Request{Chain: c.chain, Tokens: c.tokens, PlacementIndex: route.PlacementIndex(c.demand, len(r.names)), OwnerHitRate: r.prior.Value(), OffloadedPieces: c.kept, ImportRate: r.sim.cfg.ImportRate}
	c.engine = r.policy.Choose(req, candidates)
	c.owned = len(c.chain) > 0 && route.Owner(c.chain[req.PlacementIndex], candidates) == c.engine
	c.held = held[c.engine]
	c.sentAt = r.sim.now
	c.imports = 0
	if r.sim.cfg.ImportRate > 0 {
		c.imports = len(c.chain)
	}
	c.exports = 0
	if n := index.RequestedAtLeast(c.demand, r.sim.cfg.ExportAfter); r.sim.cfg.ImportRate > 0 && float64(n) > c.kept {
		c.exports = n
	}
	c.life = r.life
	r.sim.note(c)
	c.prompt = health.Prompt{Tokens: c.tokens, UncachedTokens: max(0, c.tokens-int(max(held[c.engine], c.kept)*prefix.PieceTokens))}
	r.health.RequestSent(r.names[c.engine], c.prompt)
	r.index.Expect(r.names[c.engine], c.chain, r.sim.clock())
	r.sim.engines[c.engine].arrive(c)
}

func (r *modelRouter) firstToken(c *call) {
	name := r.names[c.engine]
	if c.life == r.life {
		r.health.RequestDequeued(name, c.prompt)
	}
	r.lag.Add(rankOf(c), r.sim.now-c.sentAt)
	r.health.RecordCacheMiss(name, health.Prompt{Tokens: c.tokens, UncachedTokens: c.tokens - (c.cached+c.imported)*prefix.PieceTokens})
	incarnation := fmt.Sprint(r.sim.engines[c.engine].incarnation)
	if r.health.RecordIncarnation(name, incarnation) {
		r.index.SetIncarnation(name, incarnation)
	}
	if c.owned {
		r.prior.Observe(len(c.chain), c.held, c.cached)
	}
	if c.imported > 0 {
		r.index.Confirm(keptStore, "", c.chain[:c.cached+c.imported], r.sim.clock())
	}
	if c.kept > float64(c.cached) {
		r.index.Observe(keptStore, c.chain, c.cached+c.imported, r.sim.clock())
	}
	if c.exports > 0 {
		r.index.Confirm(keptStore, "", c.chain[:c.exports], r.sim.clock())
	}
	r.index.Observe(name, c.chain, c.cached, r.sim.clock())
	r.index.Confirm(name, incarnation, c.chain, r.sim.clock())
}

func (r *modelRouter) finished(c *call) {
	if c.life == r.life {
		r.health.RequestFinished(r.names[c.engine], r.sim.now-c.sentAt)
	}
	r.line.Release(rankOf(c), r.sim.clock())
}

// lost sends a call again whose engine crashed.
func (r *modelRouter) lost(c *call) {
	name := r.names[c.engine]
	if c.life == r.life {
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
