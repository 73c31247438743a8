// Package roll decides which engines load which weights. It compares what the
// fleet description asks for with what engines report, again and again, so an
// order that was lost, overtaken or undone by another is made up for.
package roll

import (
	"sort"

	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/state/fleet"
)

// Order asks an engine to load a version of a model, with an adapter on top.
type Order struct {
	Endpoint       fleet.Endpoint
	Model          string
	WeightsVersion string
	Adapter        string
}

// Input is what a plan is made from.
type Input struct {
	Fleet *fleet.Fleet
	// Status holds what is known of each endpoint by name.
	Status map[string]health.Status
	// InProgress names the endpoints that have an order of this host in progress.
	InProgress map[string]bool
}

// Plan returns the orders to give now, so that no more engines load at once than
// the fleet description allows. Engines are taken by name, so two hosts that both
// plan choose the same ones.
func Plan(in Input) []Order {
	engines := make([]fleet.Endpoint, 0, len(in.Fleet.Endpoints))
	available := in.Fleet.ConcurrentLoads
	for _, e := range in.Fleet.Endpoints {
		if e.Kind != fleet.KindEngine {
			continue
		}
		if in.InProgress[e.Name] || in.Status[e.Name].Report.Loading {
			available--
			continue
		}
		engines = append(engines, e)
	}
	sort.Slice(engines, func(i, j int) bool { return engines[i].Name < engines[j].Name })
	var out []Order
	for _, e := range engines {
		if len(out) >= available {
			break
		}
		if o, ok := nextOrder(in, e); ok {
			out = append(out, o)
		}
	}
	return out
}

// nextOrder returns the first order that an engine needs.
func nextOrder(in Input, e fleet.Endpoint) (Order, bool) {
	s := in.Status[e.Name]
	if s.State != health.Live || s.Report.Weights == nil {
		return Order{}, false
	}
	for _, name := range e.Serves {
		m, _ := in.Fleet.Model(name)
		if s.Report.Weights[name] != m.WeightsVersion || s.Report.Adapters[name] != m.Adapter {
			return Order{Endpoint: e, Model: name, WeightsVersion: m.WeightsVersion, Adapter: m.Adapter}, true
		}
	}
	return Order{}, false
}
