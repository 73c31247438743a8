package admit_test

import (
	"testing"

	"pgregory.net/rapid"

	"cicadastand.dev/core/coord/admit"
)

// Hosts with any demand and any number of requests in flight follow their shares
// round by round. They must come to use at least 90 % of the slots that the demand
// can fill, and exceed the slots by at most 5 %.
func TestHostSharesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := float64(rapid.IntRange(1, 64).Draw(t, "slots"))
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		demand := rapid.SliceOfN(rapid.Float64Range(0, 100), hosts, hosts).Draw(t, "demand")
		own := rapid.SliceOfN(rapid.Float64Range(0, 20), hosts, hosts).Draw(t, "own")
		totalDemand := 0.0
		for _, d := range demand {
			totalDemand += d
		}
		for range 200 {
			total := sum(own)
			next := make([]float64, hosts)
			for i := range own {
				next[i] = min(demand[i], admit.HostShare(slots, own[i], total-own[i], hosts))
			}
			own = next
		}
		if total := sum(own); total > slots*1.05 || total < min(slots, totalDemand)*0.9 {
			t.Fatalf("%v hosts with demand %v have %v requests in flight at %v slots", hosts, demand, own, slots)
		}
	})
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
