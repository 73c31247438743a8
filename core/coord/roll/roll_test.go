package roll_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/roll"
	"cicadastand.dev/core/state/fleet"
)

// Rolls out a version to engines that lose orders, and that return to old weights after a
// restart or an order of another host. The rollout must complete, and no more engines
// than allowed may load concurrently.
func TestRolloutCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet.Fleet{ConcurrentLoads: rapid.IntRange(1, 3).Draw(t, "concurrent loads"), Models: []fleet.Model{{Name: "m", WeightsVersion: "v2"}}}
		status := make(map[string]health.Status)
		for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
			name := fmt.Sprintf("e%d", i)
			f.Endpoints = append(f.Endpoints, fleet.Endpoint{Name: name, Kind: fleet.KindEngine, Serves: []string{"m"}})
			status[name] = health.Status{State: health.Live, Report: health.Report{Weights: map[string]string{"m": "v1"}}}
		}
		for round := range 100 {
			orders := roll.Plan(roll.Input{Fleet: f, Status: status})
			loading := 0
			for _, s := range status {
				if s.Report.Loading {
					loading++
				}
			}
			if loading+len(orders) > f.ConcurrentLoads {
				t.Fatalf("%d engines are loading and %d more are ordered, the limit is %d", loading, len(orders), f.ConcurrentLoads)
			}
			for _, o := range orders {
				if round < 50 && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					continue
				}
				status[o.Endpoint.Name] = health.Status{State: health.Live, Report: health.Report{Loading: true, Weights: map[string]string{"m": "v1"}}}
			}
			for name, s := range status {
				if s.Report.Loading && rapid.Bool().Draw(t, "done") {
					status[name] = health.Status{State: health.Live, Report: health.Report{Weights: map[string]string{"m": "v2"}}}
				}
				if round < 50 && rapid.IntRange(0, 20).Draw(t, "reverted") == 0 {
					status[name] = health.Status{State: health.Live, Report: health.Report{Weights: map[string]string{"m": "v1"}}}
				}
			}
		}
		if left := roll.Plan(roll.Input{Fleet: f, Status: status}); len(left) > 0 {
			t.Fatalf("rollout did not complete, orders left: %v", left)
		}
	})
}

func TestOrdersInProgressCountTowardsLimit(t *testing.T) {
	is := is.New(t)
	f := &fleet.Fleet{ConcurrentLoads: 1, Models: []fleet.Model{{Name: "m", WeightsVersion: "v2", Adapter: "a"}}}
	f.Endpoints = []fleet.Endpoint{{Name: "e1", Kind: fleet.KindEngine, Serves: []string{"m"}}, {Name: "e2", Kind: fleet.KindEngine, Serves: []string{"m"}}}
	live := health.Status{State: health.Live, Report: health.Report{Weights: map[string]string{"m": "v2"}}}
	status := map[string]health.Status{"e1": live, "e2": live}
	orders := roll.Plan(roll.Input{Fleet: f, Status: status})
	is.Equal(len(orders), 1) // the adapter is missing
	is.Equal(orders[0].Adapter, "a")
	is.Equal(len(roll.Plan(roll.Input{Fleet: f, Status: status, InProgress: map[string]bool{"e1": true}})), 0)
}
