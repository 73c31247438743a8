package share_test

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"cicadastand.dev/core/coord/quota"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

// accountLimit is the limit of the account "a". Two of 14 hosts report to their hub in the tests,
// so it fills its bucket with 200 units per second.
var accountLimit = site.Limit{Rate: 1400, Burst: 1400, Unit: site.UnitRequests}

// limitedMirror returns the state of a host that knows the limit of the account "a".
func limitedMirror(t *testing.T) *mirror.Mirror {
	t.Helper()
	c, err := site.New(site.Spec{Version: 1, Routes: []*site.Route{{Name: "all"}}, Accounts: map[string]*site.Account{"key": {Name: "a", Limit: accountLimit}}})
	if err != nil {
		t.Fatal(err)
	}
	m := mirror.New()
	m.SetConfig(c)
	return m
}

// A host asks its hub for each request until it has a grant, then for none; and for none that it
// knows the hub would reject.
func TestHostAsksItsHubOnlyIfItHasTo(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	hosts := domainHosts(t)
	set := metrics.NewSet()
	hub, member := startHost(t, hosts, 0, metrics.NewSet()), startHost(t, hosts, 1, set)
	asked := set.GetOrCreateCounter("cicada_quota_asked_total")
	exchange := func() {
		hub.Announce(ctx)
		member.Announce(ctx)
		time.Sleep(30 * time.Millisecond) // two status messages a host in 60 ms
	}
	for range 50 { // fills the bucket
		exchange()
		is.Equal(member.Spend(ctx, "a", accountLimit, 1).Action, quota.Admit)
	}
	is.True(asked.Get() > 0)
	exchange()
	is.Equal(member.Spend(ctx, "a", accountLimit, 1).By, quota.ByGrant)
	before := asked.Get()
	is.Equal(member.Spend(ctx, "a", accountLimit, 5000).By, "h0") // more than the grant
	for range 1000 {
		d := member.Spend(ctx, "a", accountLimit, 5000)
		is.Equal(d.Action, quota.Reject)
		is.True(d.By == "h0" && d.Wait > 10*time.Second)
	}
	is.True(asked.Get() <= before+5)
}

// A hub that does not answer holds no request up for longer than a query, and the host admits no
// more than its part of half of the limit.
func TestHostWithoutHubSpendsItsPart(t *testing.T) {
	is := is.New(t)
	hosts := domainHosts(t)
	set := metrics.NewSet()
	member := startHost(t, hosts, 1, set)
	admitted := 0
	begun := time.Now()
	for time.Since(begun) < 2*time.Second {
		d := member.Spend(context.Background(), "a", accountLimit, 1)
		is.Equal(d.By, quota.ByFallback)
		if d.Action == quota.Admit {
			admitted++
		}
		time.Sleep(time.Millisecond)
	}
	is.True(admitted > 25 && admitted < 160) // 50 per second and a burst of 50
	is.True(set.GetOrCreateCounter("cicada_quota_asked_total").Get() < 20)
}
