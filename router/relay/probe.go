package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadastand.dev/router/conns"
)

// probeTick is the time between two looks for services to which a connection is tried.
const probeTick = 100 * time.Millisecond

// RunProbes tries connections to the services that this host is cut off from, until ctx ends.
func (r *Relay) RunProbes(ctx context.Context) {
	tick := r.cfg.Clock.Subscribe(probeTick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		for _, service := range r.cfg.Reach.TakeProbes(r.cfg.Clock.Boot()) {
			p := &reachProbe{r: r, service: service}
			go p.run(ctx)
		}
	}
}

// reachProbe is one trial of a connection.
type reachProbe struct {
	r       *Relay
	service string
}

func (p *reachProbe) run(ctx context.Context) { p.r.tryConnection(ctx, p.service) }

// tryConnection opens a connection to an endpoint of a service, and reports whether it could.
func (r *Relay) tryConnection(ctx context.Context, service string) bool {
	list := r.cfg.Mirror.View().ByService[service]
	if len(list) == 0 {
		return false
	}
	e := list[rand.IntN(len(list))]
	if err := r.cfg.Conns.Probe(ctx, conns.Target{Incarnation: e.ID, Address: e.Address}); err != nil {
		r.cfg.Reach.RecordUnreachable(service, e.ID, r.cfg.Clock.Boot())
		r.cfg.Logger.Debug("endpoint is not reached", "service", service, "endpoint", e.ID, "error", err)
		return false
	}
	r.cfg.Reach.RecordReached(service, r.cfg.Clock.Boot())
	return true
}

// confirmTime is how long a host without requests of its own is taken to reach a service.
const confirmTime = time.Second

// confirmReach reports whether this host reaches a service. One that has sent it nothing lately
// may be cut off and not know it: the first request would wait on a connection without a path.
func (r *Relay) confirmReach(ctx context.Context, service string) bool {
	return r.cfg.Reach.ReachedWithin(service, confirmTime, r.cfg.Clock.Boot()) || r.tryConnection(ctx, service)
}
