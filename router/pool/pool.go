// Package pool holds one admission gate per model. The capacity of a gate is the number
// of requests that this host may have in flight at the model's engines.
package pool

import (
	"context"
	"math"
	"sync"
	"time"

	"cicadastand.dev/core/coord/admit"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/fleet"
)

// Views returns the current configuration.
type Views interface {
	View() *conf.View
}

// Hosts returns the number of active hosts, which share the engines.
type Hosts interface {
	ActiveCount() int
}

// Config configures a Pool.
type Config struct {
	Clock         clock.Service
	Views         Views
	Hosts         Hosts
	Health        *health.Table
	MaxQueue      int
	UrgentReserve float64
	// Overcommit is the ratio of the requests that may be sent to an engine to its slots.
	Overcommit float64
	// Interval is the time between updates of the capacities.
	Interval time.Duration
}

// Pool holds the admission gates. It is safe for concurrent use.
//
// Lock order: Pool.mu, then the lock of a gate.
type Pool struct {
	cfg   Config
	mu    sync.Mutex
	gates map[string]*admit.Gate
}

// New returns a pool without gates.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, gates: make(map[string]*admit.Gate)} }

// Gate returns the gate of a model and creates it on first use.
func (p *Pool) Gate(model string) *admit.Gate {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.gates[model]
	if !ok {
		f := p.cfg.Views.View().Fleet
		g = admit.New(admit.Config{
			Clock: p.cfg.Clock,
			QueueConfig: admit.QueueConfig{
				Capacity:      p.capacity(f, model),
				OtherFloor:    f.OtherFloor,
				UrgentReserve: p.cfg.UrgentReserve,
				MaxQueue:      p.cfg.MaxQueue,
			},
		})
		p.gates[model] = g
	}
	return g
}

// Stats returns the statistics of the gates by model.
func (p *Pool) Stats() map[string]admit.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]admit.Stats, len(p.gates))
	for model, g := range p.gates {
		out[model] = g.Stats()
	}
	return out
}

// Run updates the capacity of the gates at each interval until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	tick := p.cfg.Clock.Subscribe(p.cfg.Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			p.updateGates()
		case <-ctx.Done():
			return
		}
	}
}

// updateGates applies the current configuration, engine health and number of hosts.
func (p *Pool) updateGates() {
	f := p.cfg.Views.View().Fleet
	p.mu.Lock()
	defer p.mu.Unlock()
	for model, g := range p.gates {
		g.SetFloor(f.OtherFloor)
		g.SetCapacity(p.capacity(f, model))
	}
}

// capacity returns how many requests this host may have in flight at the engines of a
// model. It is at least 1.
func (p *Pool) capacity(f *fleet.Fleet, model string) int {
	hosts := p.cfg.Hosts.ActiveCount()
	total := 0.0
	for _, e := range f.Serving(fleet.KindEngine, model) {
		s := p.cfg.Health.Get(e.Name)
		if s.State != health.Live {
			continue
		}
		slots := float64(e.Slots) * p.cfg.Overcommit
		total += admit.HostShare(slots, float64(s.OwnReported), float64(s.OtherRequests), hosts)
	}
	return max(1, int(math.Ceil(total)))
}
