package load_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/load"
)

func work(n int) map[string]load.Work { return map[string]load.Work{"e": {Waiting: n}} }

func TestRequestLifecycle(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	r := table.Track("e", 2, 40, 50)
	is.Equal(table.Total(0)["e"].Waiting, 1)
	is.Equal(table.Total(0)["e"].TokensAhead(1), 0) // more urgent requests are not queued behind it
	is.Equal(table.Total(0)["e"].TokensAhead(2), 40)
	r.MarkRunning()
	is.Equal(table.Total(0)["e"], load.Work{Running: 1, Memory: 50})
	r.Done()
	r.Done()
	is.Equal(len(table.Total(0)), 0)
}

func TestAHubSumsItsDomainAndOtherDomains(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	table.Track("e", 0, 10, 0)
	table.UpdatePeer("a", load.ScopeHost, work(2), nil, 0)
	table.UpdatePeer("domain x", load.ScopeDomain, work(5), nil, 0)
	is.Equal(table.Total(0)["e"].Waiting, 8)
	is.Equal(table.DomainTotal(0)["e"].Waiting, 3)
	is.Equal(table.TotalExcept("a", 0)["e"].Waiting, 6)
}

func TestAHubsUpdateReplacesEarlierUpdates(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	table.UpdatePeer("a", load.ScopeHost, work(2), nil, 0)
	table.UpdatePeer("hub", load.ScopeOthers, work(7), nil, 0)
	is.Equal(table.Total(0)["e"].Waiting, 7)
	table.UpdatePeer("hub 2", load.ScopeOthers, work(6), nil, 0) // the hub has changed
	is.Equal(table.Total(0)["e"].Waiting, 6)
	table.UpdatePeer("a", load.ScopeHost, work(2), nil, 0) // this host has become the hub
	is.Equal(table.Total(0)["e"].Waiting, 2)
}

func TestPeersExpireAndAreRemoved(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	table.UpdatePeer("a", load.ScopeHost, work(2), nil, 0)
	is.Equal(table.Total(time.Second)["e"].Waiting, 2)
	is.Equal(len(table.Total(time.Second+1)), 0)
	table.UpdatePeer("a", load.ScopeHost, work(2), nil, 0)
	table.RemovePeer("a")
	is.Equal(len(table.Total(0)), 0)
}

// In the 60 ms between two updates of a host, its hub places several requests for it.
// Each placement must take the earlier ones into account.
func TestAReservationCountsUntilItExpires(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	table.Reserve("a", "e", 2, 1000, 0, 75*time.Millisecond)
	at := func(now time.Duration) load.Work { return table.AtEndpoints([]string{"e"}, now)[0] }
	is.Equal(at(0).Waiting, 1)
	is.Equal(at(0).TokensAhead(2), 1000)
	is.Equal(at(0).TokensAhead(1), 0)
	is.Equal(table.Total(0)["e"].Waiting, 1)
	is.Equal(table.TotalExcept("a", 0)["e"].Waiting, 0) // the host itself knows of the request
	is.Equal(table.TotalExcept("b", 0)["e"].Waiting, 1)
	is.Equal(at(75*time.Millisecond).Waiting, 0)
}

// An engine does not interrupt a prompt that it has started to compute.
func TestStartedPromptIsAheadOfMoreUrgentOnes(t *testing.T) {
	is := is.New(t)
	w := load.Work{Waiting: 2}
	w.Tokens[4] = 20_000
	is.Equal(w.TokensAhead(3), 0)
	is.Equal(w.TokensStarted(3), 5_000) // half of one of the two
	is.Equal(w.TokensStarted(4), 0)     // counted as queued
	is.Equal(load.Work{}.TokensStarted(0), 0)
}

// Hosts divide a limit among them by their parts of the demand, which they learn directly
// or through hubs.
func TestDemandIsSharedByTheHostsWhereItArises(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	is.Equal(table.DemandShare("s", 4, 0), 0.25) // no other host was heard
	for range 20 {
		table.RecordRequest("s", 0)
	}
	is.Equal(table.Demand(0)["s"], 10.0)
	table.UpdatePeer("a", load.ScopeHost, nil, load.Demand{"s": 10}, 0)
	table.UpdatePeer("domain x", load.ScopeDomain, nil, load.Demand{"s": 20}, 0)
	is.Equal(table.DemandShare("s", 4, 0), 0.25)
	is.Equal(table.DomainDemand(0)["s"], 20.0)
	is.Equal(table.DemandExcept("a", 0)["s"], 30.0)
	is.True(table.DemandShare("s", 4, 2*time.Second) < 0.25) // the others' last words hold for some seconds
	is.Equal(table.DemandShare("s", 4, time.Minute), 0.25)
}

// What hosts send to an endpoint with a request limit is summed over all of them, and
// decays.
func TestRatesOfRequestsAreSummedOverAllHosts(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	_, ok := table.Sent("e", 0)
	is.True(!ok)
	for range 3 {
		table.RecordSent("e", 0)
	}
	table.DropSent("e", 0)
	table.UpdatePeer("a", load.ScopeHost, map[string]load.Work{"e": {Sent: 2}}, nil, 0)
	table.UpdatePeer("domain x", load.ScopeDomain, map[string]load.Work{"e": {Sent: 5}}, nil, 0)
	perSecond, ok := table.Sent("e", 0)
	is.True(ok)
	is.Equal(perSecond, 8.0)
	is.Equal(table.DomainTotal(0)["e"].Sent, 3.0)
	is.Equal(table.TotalExcept("a", 0)["e"].Sent, 6.0)
	own := table.Own(time.Second)["e"].Sent
	is.True(own > 0.5 && own < 0.7) // 1/s decays with a time constant of 2 s
	is.Equal(len(table.Own(time.Minute)), 0)
}

// Hosts of the previous release send no memory. What a hub passes on must not count their
// requests as free.
func TestMemoryOfRequestsOfUnknownSizeIsEstimated(t *testing.T) {
	is := is.New(t)
	is.Equal(load.Work{Waiting: 1, Running: 2, Memory: 200, Unsized: 1}.EstimatedMemory(), 300)
	is.Equal(load.Work{Running: 2, Unsized: 2}.EstimatedMemory(), 0) // the receiver takes them as unsized too
	table := load.New(time.Second)
	table.Reserve("a", "e", 2, 1000, 70, 75*time.Millisecond)
	is.Equal(table.AtEndpoints([]string{"e"}, 0)[0].Memory, 70)
}
