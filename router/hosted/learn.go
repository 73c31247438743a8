package hosted

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/speed"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

// learnInterval is the time between two evaluations of the endpoints' learned capacity. The
// estimates that it limits change by a factor of 1.5 a second at most.
const learnInterval = 500 * time.Millisecond

// learn evaluates the learned capacity of endpoints until ctx ends.
func (h *Host) learn(ctx context.Context) {
	tick := h.cfg.Clock.Subscribe(learnInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			for service, list := range h.mirror.View().ByService {
				h.evaluateSpeeds(service, list)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) evaluateSpeeds(service string, list []*site.Endpoint) {
	if h.cfg.FixedCapacity {
		return
	}
	sum := h.speeds.Evaluate(service, lo.Map(list, func(e *site.Endpoint, _ int) speed.Endpoint {
		return speed.Endpoint{Incarnation: speed.Incarnation{Endpoint: e.ID, StartedMs: e.Started.UnixMilli()}, Slots: e.Slots}
	}), h.cfg.Clock.Boot())
	on := 0.0
	if sum.On {
		on = 1
	}
	// The gauges are per service, since there may be hundreds of endpoints.
	for name, value := range map[string]float64{"used": on, "slowest": sum.Slowest, "fastest": sum.Fastest, "limited": float64(sum.Limited), "weight": sum.Weight} {
		h.metrics.GetOrCreateGauge(fmt.Sprintf("cicada_speed_%s{service=%q}", name, service), nil).Set(value)
	}
	if sum.Switched {
		h.cfg.Logger.Info("use of learned capacity changed", "service", service, "on", sum.On)
	}
	for _, c := range sum.Changes {
		h.cfg.Logger.Info("learned capacity of endpoint changed", "service", service, "endpoint", c.Endpoint, "from", hundredths(c.From.Relative), "to", hundredths(c.To.Relative),
			"comfortable", c.To.Comfortable, "weight", hundredths(c.Weight))
	}
}

// hundredths rounds a number for logs.
func hundredths(x float64) float64 { return math.Round(100*x) / 100 }

// isListed reports whether an incarnation of an endpoint is listed.
func isListed(view *mirror.View, e speed.Incarnation) bool {
	listed := view.Endpoints[e.Endpoint]
	return listed != nil && listed.Started.UnixMilli() == e.StartedMs
}
