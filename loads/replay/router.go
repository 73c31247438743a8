package replay

import (
	"fmt"
	"time"

	"cicadastand.dev/core/coord/admit"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/index"
)

// modelRouter is a router's own decision code with the replay as its shell.
type modelRouter struct {
	sim    *Sim
	policy route.Policy
	health *health.Table
	index  *index.Index
	line   *admit.Line
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
	r.line = admit.NewLine(admit.LineConfig{
		Capacity:      ceil(float64(s.cfg.Engines*s.cfg.Slots) / float64(s.cfg.Routers)),
		OtherFloor:    s.cfg.OtherFloor,
		UrgentReserve: s.cfg.UrgentReserve,
		MaxQueue:      maxQueue,
	})
	r.forget()
	return r, nil
}

const maxQueue = 1000

// forget makes the router know nothing, as after a restart.
func (r *modelRouter) forget() {
	r.health = health.New(health.DefaultConfig())
	r.index = index.New(index.DefaultConfig())
	r.life++
}

func (r *modelRouter) reported(e *modelEngine, rep report) {
	name := fmt.Sprint(rep.incarnation)
	taken := r.health.Reported(e.name, health.Report{
		Incarnation: name, Running: rep.running, Queued: rep.queued, QueuedTokens: rep.tokens,
	}, r.sim.clock())
	if taken {
		r.index.SetIncarnation(e.name, name)
	}
	r.line.SetCapacity(r.capacity())
}

// capacity is what the other routers leave free, and always an even part.
func (r *modelRouter) capacity() int {
	total := 0.0
	slots := float64(r.sim.cfg.Slots)
	for _, name := range r.names {
		total += max(slots-float64(r.health.Get(name).Others), slots/float64(r.sim.cfg.Routers))
	}
	return ceil(total)
}

// offer asks for admission.
func (r *modelRouter) offer(c *call) {
	rank := c.req.Stream.Rank
	if rank == "" {
		rank = fleet.RankOther
	}
	ask := admit.Ask{
		Account: c.req.Stream.Account, Rank: rank, Weight: 1,
		Cost: float64(c.tokens + c.req.Stream.MaxTokens), MaxWait: r.sim.target(rank),
	}
	ticket, err := r.line.Join(ask, r.sim.clock(), func() { r.send(c) })
	if err != nil {
		r.sim.refused(c, "overload")
		return
	}
	r.sim.after(ask.MaxWait, func() {
		if !r.line.Leave(ticket) {
			r.sim.refused(c, "overload")
		}
	})
}

func (r *modelRouter) send(c *call) {
	held := r.index.Held(c.chain, r.names, r.sim.clock())
	candidates := make([]route.Candidate, len(r.names))
	for i, name := range r.names {
		s := r.health.Get(name)
		candidates[i] = route.Candidate{
			Name: name, Slots: r.sim.cfg.Slots, PrefillRate: r.sim.cfg.PrefillRate,
			Running: s.Running(), QueuedTokens: s.QueuedTokens(), ServiceTime: s.ServiceTime, Held: held[i],
		}
	}
	c.engine = r.policy.Choose(route.Request{Chain: c.chain, Tokens: c.tokens}, candidates)
	c.sentAt = r.sim.now
	c.life = r.life
	r.sim.note(c)
	r.health.Sent(r.names[c.engine], c.tokens)
	r.sim.engines[c.engine].arrive(c)
}

func (r *modelRouter) firstToken(c *call) {
	name := r.names[c.engine]
	if c.life == r.life {
		r.health.FirstToken(name, c.tokens)
	}
	incarnation := fmt.Sprint(r.sim.engines[c.engine].incarnation)
	if r.health.Answered(name, incarnation) {
		r.index.SetIncarnation(name, incarnation)
	}
	r.index.Observe(name, c.chain, c.cached, r.sim.clock())
	r.index.Confirm(name, incarnation, c.chain, r.sim.clock())
}

func (r *modelRouter) finished(c *call) {
	if c.life == r.life {
		r.health.Finished(r.names[c.engine], r.sim.now-c.sentAt)
	}
	r.line.Done(rankOf(c), r.sim.clock())
}

// lost sends a call again whose engine crashed.
func (r *modelRouter) lost(c *call) {
	name := r.names[c.engine]
	if c.life == r.life {
		if !c.started {
			r.health.FirstToken(name, c.tokens)
		}
		r.health.Finished(name, r.sim.now-c.sentAt)
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
