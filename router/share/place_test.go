package share_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cicadastand.dev/core/coord/hubs"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/pause"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/kept"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/router/share"
)

// nothing is a store of which nothing was read.
type nothing struct{}

func (nothing) Published() (int64, time.Duration, bool) { return 0, 0, false }

func (nothing) Roster() (map[string]*site.Endpoint, uint64, time.Duration, bool) {
	return nil, 0, 0, false
}

func (nothing) Records() []feed.Record { return nil }

func (nothing) HeardRecords([]feed.Record, int64, time.Duration) {}

func (nothing) HeardPublished(int64, time.Duration) {}

func (nothing) HeardRoster(map[string]*site.Endpoint, time.Duration) {}

// domain returns the services of a hub and of one host of a domain of 14 hosts.
func domain(t *testing.T) (hub, member *share.Service) {
	t.Helper()
	var hosts []feed.Host
	for i := range 14 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		hosts = append(hosts, feed.Host{Name: fmt.Sprint("h", i), FailureDomain: "d", Address: listener.Addr().String()})
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
	hosts[0].LinkMbps = 200
	make1 := func(self feed.Host) *share.Service {
		table := hubs.New(hubs.Config{Self: self, RetryAfter: time.Second})
		for _, h := range hosts {
			table.Learn(h)
		}
		s := share.New(share.Config{
			Clock: clock.Real{}, Self: self, Hubs: table, Reads: nothing{}, Loads: load.New(time.Second),
			Poison: poison.New(poison.Config{Memory: time.Second}), Kept: kept.New(), News: kept.NewNews(), Pauses: pause.New(),
			Interval: time.Second, Logger: hclog.NewNullLogger(), Metrics: metrics.NewSet(),
		})
		if err := s.Listen(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return s
	}
	return make1(hosts[0]), make1(hosts[1])
}

func query() place.Query {
	q := place.Query{Rank: 2}
	for i := range 3 {
		q.Candidates = append(q.Candidates, place.Candidate{Index: i, ID: fmt.Sprint("e", i), Tokens: 2000, Rate: 100_000, Slots: 8})
	}
	return q
}

// Each decision of a hub counts in the next one, before any word of the hosts.
func TestAHubSpreadsWhatArrivesAtOnce(t *testing.T) {
	is := is.New(t)
	_, member := domain(t)
	seen := make(map[int]int)
	for range 6 {
		a, ok := member.Place(context.Background(), query())
		is.True(ok)
		seen[a.At]++
	}
	is.Equal(seen, map[int]int{0: 2, 1: 2, 2: 2})
}

func TestWithoutAHubAHostDecidesItself(t *testing.T) {
	is := is.New(t)
	hub, member := domain(t)
	hub.Close()
	started := time.Now()
	_, ok := member.Place(context.Background(), query())
	is.True(!ok)
	is.True(time.Since(started) < 250*time.Millisecond)
	started = time.Now()
	for range 100 { // a hub that did not answer is not asked for a time
		_, ok = member.Place(context.Background(), query())
		is.True(!ok)
	}
	is.True(time.Since(started) < 100*time.Millisecond)
}
