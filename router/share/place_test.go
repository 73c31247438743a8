package share_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cicadastand.dev/core/coord/hubs"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/origin"
	"cicadastand.dev/core/coord/pause"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/room"
	"cicadastand.dev/core/coord/speed"
	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/kvmap"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/router/share"
)

// emptyStore is the state of a store that was never read.
type emptyStore struct{}

func (emptyStore) Published() (feed.ReadMark, bool) { return feed.ReadMark{}, false }

func (emptyStore) Endpoints() (map[string]*site.Endpoint, uint64, feed.ReadMark, bool) {
	return nil, 0, feed.ReadMark{}, false
}

func (emptyStore) Records() []feed.Record { return nil }

func (emptyStore) ReceiveRecords([]feed.Record, feed.ReadMark, string) {}

func (emptyStore) ReceivePublished(feed.ReadMark) {}

func (emptyStore) ReceiveOffer(feed.ReadMark) {}

func (emptyStore) RecordsArrive(time.Duration) {}

func (emptyStore) ReceiveEndpoints(map[string]*site.Endpoint, feed.ReadMark) {}

// domainHosts returns 14 hosts of one failure domain. The first one has the fastest
// link, so it is the hub.
func domainHosts(t *testing.T) []feed.Host {
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
	return hosts
}

// services starts the hub and one other host of a failure domain.
func services(t *testing.T) (hub, member *share.Service) {
	hosts := domainHosts(t)
	return startHost(t, hosts, 0, metrics.NewSet()), startHost(t, hosts, 1, metrics.NewSet())
}

// startHost starts the service of one host.
func startHost(t *testing.T, hosts []feed.Host, at int, set *metrics.Set) *share.Service {
	t.Helper()
	return startHostWithSpeeds(t, hosts, at, set, speed.New(speed.Config{}))
}

func startHostWithSpeeds(t *testing.T, hosts []feed.Host, at int, set *metrics.Set, speeds *speed.Table) *share.Service {
	t.Helper()
	return startHostWith(t, hosts, at, set, speeds, emptyStore{})
}

func startHostWith(t *testing.T, hosts []feed.Host, at int, set *metrics.Set, speeds *speed.Table, store share.StoreState) *share.Service {
	t.Helper()
	return start(t, hosts, at, set, speeds, store, hubTable(hosts, at))
}

// startHostWithHubs starts the service of one host, which uses a table of hubs.
func startHostWithHubs(t *testing.T, hosts []feed.Host, at int, set *metrics.Set, table *hubs.Table) *share.Service {
	t.Helper()
	return start(t, hosts, at, set, speed.New(speed.Config{}), emptyStore{}, table)
}

// hubTable returns the table of hubs of one host.
func hubTable(hosts []feed.Host, at int) *hubs.Table {
	table := hubs.New(hubs.Config{Self: hosts[at], RetryAfter: time.Second})
	for _, h := range hosts {
		table.Add(h)
	}
	return table
}

func start(t *testing.T, hosts []feed.Host, at int, set *metrics.Set, speeds *speed.Table, store share.StoreState, table *hubs.Table) *share.Service {
	t.Helper()
	s := share.New(share.Config{
		Clock: clock.Real{}, Self: hosts[at], Hubs: table, Store: store, Mirror: limitedMirror(t), Loads: load.New(time.Second),
		Poison: poison.New(poison.Config{Retention: time.Second}), Taint: taint.New(taint.Config{Retention: time.Second}), CacheIndex: kvmap.New(), PlacementUpdates: kvmap.NewOutbox(), Pauses: pause.New(), Room: room.New(), Speeds: speeds, Lease: noLease{}, Serve: serveTeapot, Origins: noOrigins{},
		Interval: time.Second, Logger: hclog.NewNullLogger(), Metrics: set,
	})
	if err := s.Listen(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// serveTeapot serves the request of another host.
func serveTeapot(_ context.Context, req call.Forwarded, w http.ResponseWriter) error {
	w.WriteHeader(http.StatusTeapot)
	_, err := w.Write(append([]byte("answer to "), req.Body...))
	return err
}

// noOrigins knows where no stream began.
type noOrigins struct{}

func (noOrigins) KeepCopies([]feed.Origin) {}

func (noOrigins) State(string, feed.StreamKey) origin.Statement { return origin.Statement{} }

// noLease is the lease of a host that never holds it.
type noLease struct{}

func (noLease) HeldGrant() int64 { return 0 }

func (noLease) HearGrant(string, int64) {}

func query() place.Query {
	q := place.Query{Rank: 2}
	for i := range 3 {
		q.Candidates = append(q.Candidates, place.Candidate{Index: i, ID: fmt.Sprint("e", i), PrefillTokens: 2000, PrefillRate: 100_000, Slots: 8})
	}
	return q
}

// Without reservations, a hub would send all requests that arrive between two status
// messages to the same endpoint, since the load it knows doesn't include them yet.
func TestHubSpreadsConcurrentRequests(t *testing.T) {
	is := is.New(t)
	_, member := services(t)
	seen := make(map[int]int)
	for range 6 {
		decision, ok := member.Place(context.Background(), query())
		is.True(ok)
		seen[decision.Position]++
	}
	is.Equal(seen, map[int]int{0: 2, 1: 2, 2: 2})
}

func TestHostDecidesWithoutHub(t *testing.T) {
	is := is.New(t)
	hosts := domainHosts(t)
	unresponsive, err := net.Listen("tcp", hosts[0].Address) // accepts connections and never responds
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(unresponsive.Close()) })
	set := metrics.NewSet()
	member := startHost(t, hosts, 1, set)
	for range 100 { // most of these are not sent, since queries to the hub are paused
		_, ok := member.Place(context.Background(), query())
		is.True(!ok)
	}
	queries := set.GetOrCreateCounter("cicada_share_unplaced_total").Get()
	is.True(queries >= 2 && queries <= 6) // two per queryPause
}

// A request that waits in its host asks again and again. If each query reserved memory, other
// requests would not get the memory that becomes free.
func TestRequestThatIsNotSentReservesNothing(t *testing.T) {
	is := is.New(t)
	_, member := services(t)
	q := query()
	for i := range q.Candidates {
		q.Candidates[i].Memory, q.Candidates[i].Capacity = 6000, 10_000
	}
	q.Holds = true
	for range 3 {
		d, ok := member.Place(context.Background(), q)
		is.True(ok)
		is.Equal(d.Lacking, 0)
	}
	for range 6 { // all have one request of 6,000 tokens by now
		d, ok := member.Place(context.Background(), q)
		is.True(ok)
		is.Equal(d.Lacking, 3000)
	}
}

// A hub sends on to each host of its domain what the others have observed, in its replies.
func TestHubsPassOnObservationsOfSpeed(t *testing.T) {
	is := is.New(t)
	hosts := domainHosts(t)
	tables, members := make([]*speed.Table, 3), make([]*share.Service, 3)
	for i := range tables {
		tables[i] = speed.New(speed.Config{})
		members[i] = startHostWithSpeeds(t, hosts, i, metrics.NewSet(), tables[i])
	}
	e := speed.Endpoint{Incarnation: speed.Incarnation{Endpoint: "e"}, Slots: 4}
	for range 20 {
		tables[1].ObserveCall(speed.Sample{Service: "s", Endpoint: e, InProgress: 1, Took: time.Millisecond}, clock.Real{}.Boot())
	}
	until := time.Now().Add(10 * time.Second)
	for tables[2].Evaluate("s", []speed.Endpoint{e}, clock.Real{}.Boot()).Weight == 0 {
		is.True(time.Now().Before(until))
		members[1].Announce(context.Background())
		members[2].Announce(context.Background())
		time.Sleep(20 * time.Millisecond) // polls until the report has passed through the hub
	}
}
