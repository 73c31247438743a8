// Package roll plans the rollout of weights to engines. It repeatedly compares the
// desired state in the fleet description with the state that engines report, so that an
// order that was lost, reordered or overwritten by another one is issued again.
package roll

import (
	"sort"

	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/state/fleet"
)

// Order tells an engine to load a version of a model, with an adapter on top.
type Order struct {
	Endpoint       fleet.Endpoint
	Model          string
	WeightsVersion string
	Adapter        string
}

// Input is the state from which Plan computes orders.
type Input struct {
	Fleet *fleet.Fleet
	// Status holds the last known state of each endpoint by name.
	Status map[string]health.Status
	// InProgress holds the names of the endpoints with an order of this host in progress.
	InProgress map[string]bool
}

// Plan returns the orders to send now, so that no more engines load concurrently than
// the fleet description allows. Engines are processed in the order of their names, so
// that two hosts which plan at the same time choose the same ones.
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

// nextOrder returns the first order that an engine needs, if any.
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
