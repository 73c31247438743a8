package share

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cicadastand.dev/core/coord/hubs"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/pause"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/room"
	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/kvmap"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

// failingStore is the state of a store whose last read failed.
type failingStore struct{ StoreState }

func (failingStore) Published() (feed.ReadMark, bool) { return feed.ReadMark{Next: 7}, false }

func (failingStore) Records() []feed.Record { return nil }

func (failingStore) Endpoints() (map[string]*site.Endpoint, uint64, feed.ReadMark, bool) {
	return nil, 0, feed.ReadMark{}, false
}

// noLease is the lease of a host that never holds it.
type noLease struct{}

func (noLease) HeldGrant() int64 { return 0 }

func (noLease) HearGrant(string, int64) {}

// While the store rejects a host, its hub does not send it the records again that it has:
// a configuration with many routes would fill a slow link.
func TestStatusNamesRecordsOfAFailedRead(t *testing.T) {
	is := is.New(t)
	self := feed.Host{Name: "h", Address: "127.0.0.1:1"}
	s := New(Config{
		Clock: clock.Real{}, Self: self, Hubs: hubs.New(hubs.Config{Self: self}), Store: failingStore{}, Mirror: mirror.New(), Loads: load.New(time.Second),
		Poison: poison.New(poison.Config{Retention: time.Second}), Taint: taint.New(taint.Config{Retention: time.Second}), CacheIndex: kvmap.New(), PlacementUpdates: kvmap.NewOutbox(), Pauses: pause.New(), Room: room.New(), Lease: noLease{},
		Interval: time.Second, Logger: hclog.NewNullLogger(), Metrics: metrics.NewSet(),
	})
	is.Equal(s.baseStatus("hub").GetPublishedNext(), int64(7))
}

// Without the memory of other hosts' requests, placement would take full engines for empty
// ones.
func TestWorkMessagesCarryMemory(t *testing.T) {
	is := is.New(t)
	work := map[string]load.Work{"e": {Running: 2, Memory: 500}, "old": {Running: 3, Unsized: 3}}
	is.Equal(workFrom(workMessage(work)), work)
}
