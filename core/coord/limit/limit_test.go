package limit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"cicadastand.dev/core/coord/limit"
	"cicadastand.dev/core/state/fleet"
)

func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Float64Range(0.1, 1e6).Draw(t, "total")
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) limit.Demand {
			return limit.Demand{Host: rapid.String().Draw(t, "host"), Amount: rapid.Float64Range(0, 1e6).Draw(t, "amount")}
		}), 1, 12).Draw(t, "demands")
		shares := limit.Split(total, demands)
		sum := 0.0
		totalDemand := lo.SumBy(demands, func(d limit.Demand) float64 { return d.Amount })
		even := total / float64(len(demands))
		for i, s := range shares {
			sum += s.Amount
			if s.Amount < min(demands[i].Amount, even)-1e-6*total {
				t.Fatalf("host %d demanded %f and got %f, less than an even share", i, demands[i].Amount, s.Amount)
			}
			if totalDemand <= total && s.Amount < demands[i].Amount-1e-6*total {
				t.Fatalf("host %d got less than its demand although the total suffices", i)
			}
		}
		if math.Abs(sum-total) > 1e-6*total {
			t.Fatalf("shares add up to %f, not %f", sum, total)
		}
	})
}

// TestOvershootIsBounded simulates hosts that spend their whole share and at times
// can't reach the allocator. Together they must not spend more than twice the limit
// plus the initial bursts.
func TestOvershootIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, tick = 100.0, 250 * time.Millisecond
		contract := &fleet.Contract{Account: "a", Limits: fleet.Limits{RequestsPerSecond: total, TokensPerSecond: 1e9, Concurrency: 1e6}}
		now := time.Unix(1000, 0)
		allocator := limit.NewAllocator(limit.DefaultAllocatorConfig())
		hosts := make([]*limit.Limiter, rapid.IntRange(1, 6).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = limit.NewLimiter()
			hosts[i].SetFallback(1 / float64(len(hosts)))
		}
		ticks := rapid.IntRange(20, 80).Draw(t, "ticks")
		spent := 0.0
		for n := range ticks {
			now = now.Add(tick)
			for i, h := range hosts {
				active := rapid.Bool().Draw(t, "active")
				for active && h.Acquire(contract, 0, now) == nil {
					h.Release("a")
					spent++
				}
				partitioned := rapid.IntRange(0, 3).Draw(t, "network partition") == 0
				if n%4 == 0 && !partitioned {
					for _, u := range h.TakeUsage(time.Second, now) {
						h.Grant("a", allocator.Report(fmt.Sprint(i), "a", u.RequestRate, total, now), now.Add(allocator.Lease()))
					}
				}
			}
		}
		span := float64(ticks) * tick.Seconds()
		if bound := 2*total*span + 2*total; spent > bound {
			t.Fatalf("%.0f requests in %.1f s, the bound is %.0f", spent, span, bound)
		}
	})
}

func TestErrLimitNamesTheResource(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := limit.NewLimiter()
	c := &fleet.Contract{Account: "a", Limits: fleet.Limits{RequestsPerSecond: 2, TokensPerSecond: 100, Concurrency: 2}}
	is.NoErr(l.Acquire(c, 50, now))
	err := l.Acquire(c, 60, now)
	is.Equal(err.(*limit.ErrLimit).Resource, limit.Tokens)
	is.NoErr(l.Acquire(c, 10, now)) // a rejected request is not charged
	is.Equal(l.Acquire(c, 1, now).(*limit.ErrLimit).Resource, limit.Concurrency)
	l.Release("a")
	is.Equal(l.Acquire(c, 1, now).(*limit.ErrLimit).Resource, limit.Requests)
	is.NoErr(l.Acquire(c, 1, now.Add(time.Second)))
	is.Equal(len(l.TakeUsage(time.Second, now)), 1)
}

func BenchmarkAcquire(b *testing.B) {
	l := limit.NewLimiter()
	c := &fleet.Contract{Account: "a", Limits: fleet.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e9, Concurrency: 1e6}}
	now := time.Unix(1000, 0)
	for b.Loop() {
		if l.Acquire(c, 1, now) == nil {
			l.Release("a")
		}
		now = now.Add(time.Microsecond)
	}
}

func BenchmarkReport(b *testing.B) {
	allocator := limit.NewAllocator(limit.DefaultAllocatorConfig())
	now := time.Unix(1000, 0)
	i := 0
	for b.Loop() {
		allocator.Report(fmt.Sprint(i%24), "a", 5, 100, now)
		i++
	}
}
