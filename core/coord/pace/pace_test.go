package pace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/pace"
)

// mostIn returns the highest number of times within a span; times are in order.
func mostIn(times []time.Duration, span time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last]-times[first] > span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Hosts with uneven demand send to an endpoint whatever it permits, after pauses in which
// they send nothing. The platform allows one and a half times the limit, and 5 requests, in
// any 4 s.
func TestHostsTogetherKeepTheLimit(t *testing.T) {
	const (
		step = 5 * time.Millisecond
		span = 4 * time.Second
	)
	for _, hosts := range []int{1, 3, 6, 12, 300} {
		for _, limit := range []float64{0, 1, 3.5, 20, 200} {
			t.Run(fmt.Sprint(hosts, " hosts, ", limit, " per second"), func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(uint64(hosts), uint64(limit)))
				shares, all := make([]float64, hosts), 0.0
				for i := range shares {
					shares[i] = 0.2 + random.Float64()
					all += shares[i]
				}
				tables := make([]*pace.Table, hosts)
				for i := range tables {
					tables[i] = pace.New()
					tables[i].Name("e", limit, 0, 0)
				}
				var sent []time.Duration
				for now := time.Duration(0); now < 30*time.Second; now += step {
					if now%(10*time.Second) > 7*time.Second {
						continue // no traffic
					}
					for i, table := range tables {
						for table.Take("e", shares[i]/all, now) {
							sent = append(sent, now)
						}
					}
				}
				most := mostIn(sent, span)
				t.Log(len(sent), "sent,", most, "in 4 s")
				is.True(float64(most) <= 1.5*limit*span.Seconds()+5)
				is.True(float64(len(sent)) > 0.6*21*limit) // the limit is made use of
			})
		}
	}
}

// The share of a host grows while it waits for a permit: the permit is issued earlier.
func TestPermitsFollowTheShare(t *testing.T) {
	is := is.New(t)
	table := pace.New()
	table.Name("e", 1, 0, 0)
	before := table.Wait("e", 0.01, 0) // a permit in 100 s
	after := table.Wait("e", 1, 0)
	is.True(after <= time.Second)
	is.True(before >= 99*after)
	wait, ok := table.Reserve("e", 1, 0, 2*time.Second)
	is.True(ok && wait == after)
	_, ok = table.Reserve("e", 1, 0, after) // the next permit is a second later
	is.True(!ok)
	table.Return("e")
	is.Equal(table.Wait("e", 1, 0), after)
}

func TestAnEarlierRequestsResponseDoesNotEndTheLimit(t *testing.T) {
	is := is.New(t)
	table := pace.New()
	_, ok := table.Name("e", 2, 10*time.Second, 11*time.Second)
	is.True(ok)
	_, ok = table.Lift("e", 9*time.Second) // sent before, received later
	is.True(!ok)
	_, ok = table.Name("e", 3, 8*time.Second, 12*time.Second)
	is.True(!ok)
	c, ok := table.Lift("e", 12*time.Second)
	is.True(ok)
	is.Equal(c, pace.Change{Endpoint: "e", Since: 11 * time.Second})
	is.True(table.Take("e", 0.001, 12*time.Second))
}
