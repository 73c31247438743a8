// Package pool keeps one admission gate for each model, as wide as what this
// host may have at the model's engines.
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

// Views gives the configuration in force.
type Views interface {
	View() *conf.View
}

// Hosts counts the hosts that share the engines.
type Hosts interface {
	ActiveCount() int
}

// Config says what a Pool works with.
type Config struct {
	Clock         clock.Service
	Views         Views
	Hosts         Hosts
	Health        *health.Table
	MaxQueue      int
	UrgentReserve float64
	// Overcommit is the factor of an engine's slots up to which requests are sent.
	Overcommit float64
	Interval   time.Duration
}

// Pool holds the gates. It is safe for concurrent use.
//
// Lock order: Pool.mu, then the lock of a gate.
type Pool struct {
	cfg   Config
	mu    sync.Mutex
	gates map[string]*admit.Gate
}

// New returns a pool without gates.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, gates: make(map[string]*admit.Gate)} }

// Gate returns the gate of a model.
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

// Stats returns the counts of each gate by model.
func (p *Pool) Stats() map[string]admit.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]admit.Stats, len(p.gates))
	for model, g := range p.gates {
		out[model] = g.Stats()
	}
	return out
}

// Run adapts the width of the gates until ctx ends.
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

func (p *Pool) updateGates() {
	f := p.cfg.Views.View().Fleet
	p.mu.Lock()
	defer p.mu.Unlock()
	for model, g := range p.gates {
		g.SetFloor(f.OtherFloor)
		g.SetCapacity(p.capacity(f, model))
	}
}

// capacity returns how many requests this host may have at the engines of a model.
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
