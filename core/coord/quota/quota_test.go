package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/quota"
	"cicadastand.dev/core/state/site"
)

// newPool returns the pool of a system with one domain.
func newPool(limit *site.Limit) *quota.Pool {
	return quota.NewPool(quota.PoolConfig{
		Domain:  "d",
		Domains: func() []string { return []string{"d"} },
		Members: func() int { return 1 },
		Limit:   func(account string) (site.Limit, bool) { return *limit, account == "a" },
		Report:  func(quota.Change) {},
	})
}

func newSpender() *quota.Spender {
	return quota.NewSpender(quota.SpenderConfig{Hosts: func() int { return 2 }, Random: func() float64 { return 1 }})
}

// level returns the level of the account's bucket.
func level(p *quota.Pool, now time.Duration) float64 {
	return math.Round(p.Charge("a", -1e-9, now).Level*1e6) / 1e6
}

// Status messages are lost, repeated and overtaken by later ones, and hosts restart. Units that
// are charged twice would be missing, units that are not would be spent twice.
func TestSpentUnitsAreChargedOnce(t *testing.T) {
	is := is.New(t)
	limit := site.Limit{Rate: 100, Burst: 1000}
	p := newPool(&limit)
	now := time.Duration(0)
	report := func(total float64) float64 {
		now += 60 * time.Millisecond
		before := level(p, now)
		p.Receive("h", []quota.Use{{Account: "a", Demand: 100, Spent: total}}, now)
		return before - level(p, now)
	}
	for range 200 { // fills the bucket
		report(50)
	}
	near := func(got, want float64) { is.Helper(); is.True(got > want-0.01 && got < want+0.01) }
	near(report(80), 30)
	near(report(80), 0)   // repeated
	near(report(100), 20) // one message between was lost
	near(report(90), 0)   // overtaken by the one before
	near(report(110), 10)
	near(report(5), 0) // restarted
	near(report(9), 0)
	near(report(12), 3)
	near(report(1e9), 60) // what the host was granted for 1.5 s; the rest is of another hub's grants
}

// An account far from its limit is charged without a message for each request, and for no longer
// than the grant is valid.
func TestGrantsAreSpentWithoutAsking(t *testing.T) {
	is := is.New(t)
	limit := site.Limit{Rate: 1000, Burst: 1000}
	p, s := newPool(&limit), newSpender()
	asked := 0
	now := time.Duration(0)
	for ; now < 5*time.Second; now += 20 * time.Millisecond {
		if now == 4*time.Second {
			asked = 0
		}
		if now%(60*time.Millisecond) == 0 {
			s.Receive("hub", p.Receive("h", s.Uses(now), now), now, now)
		}
		if s.Take("a", limit, 1, now).Action == quota.Ask {
			asked++
			p.Charge("a", 1, now)
		}
	}
	is.Equal(asked, 0)
	is.Equal(s.Take("a", limit, 1, now+2*time.Second).Action, quota.Ask) // nothing was heard since
	limit.Rate = 500
	is.Equal(s.Take("a", limit, 1, now).Action, quota.Ask) // granted by another limit
}

// A request that has not run gets its units back, from the hub that charged it.
func TestUnitsAreReturned(t *testing.T) {
	is := is.New(t)
	limit := site.Limit{Rate: 10, Burst: 100}
	p, s := newPool(&limit), newSpender()
	for now := time.Duration(0); now <= 20*time.Second; now += time.Second {
		p.Refresh(now)
	}
	now := 20 * time.Second
	d := s.Settle("a", limit, "hub", p.Charge("a", 80, now), 80, now)
	is.Equal(level(p, now), 20.0)
	s.Return("a", d, 80, now)
	is.Equal(s.TakeReturned(), map[quota.Return]float64{{Hub: "hub", Account: "a"}: 80})
	is.Equal(len(s.TakeReturned()), 0)
	is.Equal(p.Charge("a", -80, now).Level, 100.0)
	is.True(p.Charge("b", 1, now).Unknown)
}

// A hub that takes over, or was frozen, does not know what was spent before.
func TestBucketsStartEmpty(t *testing.T) {
	is := is.New(t)
	limit := site.Limit{Rate: 10, Burst: 100}
	p := newPool(&limit)
	p.Refresh(0)
	is.Equal(level(p, time.Second), 10.0) // of an account first seen after a second
	is.True(level(p, time.Minute) < 0.01)
	limit = site.Limit{Rate: 10, Burst: 1}
	for now := time.Minute; now < 2*time.Minute; now += time.Second {
		p.Refresh(now)
	}
	is.Equal(level(p, 2*time.Minute), 1.0) // a reduced burst
}

// An account asks for four times its limit, with requests of 200, 2,400 and 12,000 units. Charged
// in the order of arrival, each size had the same part served; a limit has room for nearly all of
// the small requests.
func TestSmallRequestsFitFirstAboveTheLimit(t *testing.T) {
	is := is.New(t)
	limit := site.Limit{Rate: 500_000, Burst: 500_000}
	p := newPool(&limit)
	sizes := map[float64]int{200: 100, 2_400: 400, 12_000: 85} // requests per second
	asked, charged := make(map[float64]int), make(map[float64]int)
	spent, now := 0.0, time.Duration(0)
	for ; now < 6*time.Second; now += 10 * time.Millisecond {
		if now%(60*time.Millisecond) == 0 {
			p.Receive("h", []quota.Use{{Account: "a", Demand: 4 * limit.Rate}}, now)
			p.Refresh(now)
		}
		for size, perSecond := range sizes {
			for n := int(now.Milliseconds()) * perSecond / 1000; n < (int(now.Milliseconds())+10)*perSecond/1000; n++ {
				asked[size]++
				if p.Charge("a", size, now).Charged {
					charged[size]++
					spent += size
				}
			}
		}
	}
	is.True(charged[200] > asked[200]*9/10)
	is.True(charged[12_000] < asked[12_000]/10)
	is.True(spent > 0.9*limit.Rate*now.Seconds()) // nothing of the limit is lost
	is.True(spent <= limit.Rate*now.Seconds()+limit.Burst)
}
