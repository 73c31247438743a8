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

// TestRollOutEnds rolls a version out over engines that lose orders, restart with
// old weights and take orders from two hosts; no more than allowed load at once.
func TestRollOutEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet.Fleet{ConcurrentLoads: rapid.IntRange(1, 3).Draw(t, "at once"), Models: []fleet.Model{{Name: "m", WeightsVersion: "v2"}}}
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
				t.Fatalf("%d load and %d more are ordered, %d may", loading, len(orders), f.ConcurrentLoads)
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
				if round < 50 && rapid.IntRange(0, 20).Draw(t, "undone") == 0 {
					status[name] = health.Status{State: health.Live, Report: health.Report{Weights: map[string]string{"m": "v1"}}}
				}
			}
		}
		if left := roll.Plan(roll.Input{Fleet: f, Status: status}); len(left) > 0 {
			t.Fatalf("engines are still to be ordered: %v", left)
		}
	})
}

func TestOrdersInProgressCount(t *testing.T) {
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
