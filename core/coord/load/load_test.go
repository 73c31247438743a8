package load_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/load"
)

func work(n int) map[string]load.Work { return map[string]load.Work{"e": {Waiting: n}} }

func TestARequestWaitsRunsAndEnds(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	k := table.Begin("e", 2, 40)
	is.Equal(table.At(0)["e"].Waiting, 1)
	is.Equal(table.At(0)["e"].Ahead(1), 0) // more urgent work does not wait for it
	is.Equal(table.At(0)["e"].Ahead(2), 40)
	k.Started()
	is.Equal(table.At(0)["e"], load.Work{Running: 1})
	k.End()
	k.End()
	is.Equal(len(table.At(0)), 0)
}

func TestAHubCountsItsDomainOnceAndTheOthers(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	table.Begin("e", 0, 10)
	table.Told("a", load.Member, work(2), 0)
	table.Told("domain x", load.Domain, work(5), 0)
	is.Equal(table.At(0)["e"].Waiting, 8)
	is.Equal(table.OfDomain(0)["e"].Waiting, 3)
	is.Equal(table.Without("a", 0)["e"].Waiting, 6)
}

func TestTheHubsWordReplacesWhatWasHeardBefore(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	table.Told("a", load.Member, work(2), 0)
	table.Told("hub", load.Rest, work(7), 0)
	is.Equal(table.At(0)["e"].Waiting, 7)
	table.Told("hub 2", load.Rest, work(6), 0) // the hub has changed
	is.Equal(table.At(0)["e"].Waiting, 6)
	table.Told("a", load.Member, work(2), 0) // this host has become the hub
	is.Equal(table.At(0)["e"].Waiting, 2)
}

func TestASilentPeerIsForgotten(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	table.Told("a", load.Member, work(2), 0)
	is.Equal(table.At(time.Second)["e"].Waiting, 2)
	is.Equal(len(table.At(time.Second+1)), 0)
	table.Told("a", load.Member, work(2), 0)
	table.Left("a")
	is.Equal(len(table.At(0)), 0)
}

// Load pattern: in the 60 ms between two words of a host, a hub places some
// requests for it, and must count each of them for the next.
func TestAReservationCountsUntilTheHostsOwnWordShowsIt(t *testing.T) {
	is := is.New(t)
	table := load.New(time.Second)
	table.Reserve("a", "e", 2, 1000, 75*time.Millisecond)
	at := func(now time.Duration) load.Work { return table.Of([]string{"e"}, now)[0] }
	is.Equal(at(0).Waiting, 1)
	is.Equal(at(0).Ahead(2), 1000)
	is.Equal(at(0).Ahead(1), 0)
	is.Equal(table.At(0)["e"].Waiting, 1)
	is.Equal(table.Without("a", 0)["e"].Waiting, 0) // the host knows its own
	is.Equal(table.Without("b", 0)["e"].Waiting, 1)
	is.Equal(at(75*time.Millisecond).Waiting, 0)
}
