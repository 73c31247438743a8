package watch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

// rejectingStore is a store that rejects all reads of this host.
type rejectingStore struct{ t *testing.T }

var errRejected = errors.New("request rejected")

func (rejectingStore) Published(context.Context, int64, time.Duration) (feed.Published, error) {
	return feed.Published{}, errRejected
}

func (rejectingStore) Entries(context.Context, int64) (feed.Entries, error) {
	return feed.Entries{}, errRejected
}

// Decode uses the length of a value as the version of the configuration.
func (c rejectingStore) Decode(records []feed.Record) feed.Published {
	p := feed.Published{Records: records}
	for _, r := range records {
		config, err := site.New(site.Spec{Version: int64(len(r.Value)), Routes: []*site.Route{{}}})
		if err != nil {
			c.t.Fatal(err)
		}
		p.Config = config
	}
	return p
}

func watcher(t *testing.T) (*Watcher, *mirror.Mirror) {
	local := mirror.New()
	return New(Config{
		Clock: clock.New(), Store: rejectingStore{t: t}, Mirror: local, Role: func() Role { return Member },
		Logger: hclog.NewNullLogger(), Metrics: metrics.NewSet(),
	}), local
}

func record(version int) []feed.Record {
	return []feed.Record{{Key: "config", Value: make([]byte, version)}}
}

// If the store rejects a host while a configuration is published, the host receives it
// from its hub. The age of the configuration counts from the start of the hub's read.
func TestRejectedHostReceivesConfigurationFromHub(t *testing.T) {
	is := is.New(t)
	w, local := watcher(t)
	w.ReceiveRecords(record(1), feed.ReadMark{Next: 5, Started: 10 * time.Second}, "hub")
	is.Equal(local.View().Config.Version, int64(1))
	w.ReceiveRecords(record(3), feed.ReadMark{Next: 7, Started: 12 * time.Second}, "hub")
	is.Equal(local.View().Config.Version, int64(3))
	read, ok := w.Published()
	is.True(ok)
	is.Equal(read, feed.ReadMark{Next: 7, Started: 12 * time.Second})
	is.Equal(len(w.Records()), 1) // a hub passes these on
	age, known := local.ConfigAge(15 * time.Second)
	is.True(known)
	is.Equal(age, 3*time.Second)
}

func TestOlderRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	w, local := watcher(t)
	w.ReceiveRecords(record(3), feed.ReadMark{Next: 7, Started: 10 * time.Second}, "hub")
	w.ReceiveRecords(record(2), feed.ReadMark{Next: 6, Started: 20 * time.Second}, "hub") // from a hub without the newest record
	is.Equal(local.View().Config.Version, int64(3))
	want := feed.ReadMark{Next: 7, Started: 10 * time.Second}
	read, _ := w.Published()
	is.Equal(read, want)
	w.ReceiveRecords(record(3), feed.ReadMark{Next: 7, Started: 5 * time.Second}, "hub") // same offset, older read
	read, _ = w.Published()
	is.Equal(read, want)
	w.applyPublished(feed.Published{Next: 6}, 20*time.Second, ownRead) // a read of this host that started before the newest record
	read, _ = w.Published()
	is.Equal(read, want)
}

// A hub reads the store only while it receives no recent read of the reader, however
// recent its own reads are. Otherwise hubs that have taken over once would never stop.
func TestAHubReadsOnlyWhileItReceivesNoRecentRead(t *testing.T) {
	is := is.New(t)
	w, _ := watcher(t)
	w.cfg.TakeoverAfter, w.cfg.DirectAfter = 1250*time.Millisecond, 1500*time.Millisecond
	now := w.cfg.Clock.Boot()
	w.ReceiveRecords(record(1), feed.ReadMark{Next: 5, Started: now - 2*time.Second}, "hub")
	is.True(w.shouldRead(w.publishedMark(), Hub, 0))
	w.applyPublished(feed.Published{Next: 5}, now, ownRead)
	is.True(w.shouldRead(w.publishedMark(), Hub, 0))                       // no other host reads for it
	is.True(!w.shouldRead(w.publishedMark(), Hub, time.Minute))            // but not more often than the reader would
	is.True(!w.shouldRead(w.publishedMark(), Member, 0))                   // its own read is recent
	w.ReceivePublished(feed.ReadMark{Next: 5, Started: now - time.Second}) // older than its own, but recent
	is.True(!w.shouldRead(w.publishedMark(), Hub, 0))
	is.True(w.shouldRead(w.publishedMark(), Reader, 0))
}

// Hosts pass on to other failure domains only what they have read themselves, so that no
// read is passed around in circles.
func TestReceivedReadsAreNotOwn(t *testing.T) {
	is := is.New(t)
	w, _ := watcher(t)
	now := w.cfg.Clock.Boot()
	w.applyPublished(feed.Published{Next: 5}, now, ownRead)
	w.applyEntries(feed.Entries{Complete: true, Endpoints: endpoints("a"), Next: 3}, now)
	published, _ := w.Published()
	_, _, entries, _ := w.Endpoints()
	is.True(published.Own && entries.Own)
	w.ReceivePublished(feed.ReadMark{Next: 5, Started: now + time.Second})
	w.ReceiveEndpoints(nil, feed.ReadMark{Started: now + time.Second})
	published, _ = w.Published()
	_, _, entries, _ = w.Endpoints()
	is.True(!published.Own && !entries.Own)
}

// outageStore fails the first reads and records for how long each read would wait.
type outageStore struct {
	rejectingStore
	failures int
	waits    []time.Duration
	done     context.CancelFunc
}

func (s *outageStore) Published(_ context.Context, _ int64, wait time.Duration) (feed.Published, error) {
	s.waits = append(s.waits, wait)
	if len(s.waits) <= s.failures {
		return feed.Published{}, errRejected
	}
	if len(s.waits) == s.failures+2 {
		s.done()
	}
	return feed.Published{Next: 1}, nil
}

// After an outage hosts need a current read before they accept keys again. A read that
// waits for a new record would give it half a second later.
func TestReadsAfterAFailureDoNotWait(t *testing.T) {
	is := is.New(t)
	w, _ := watcher(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := &outageStore{failures: 2, done: cancel}
	w.cfg.Store, w.cfg.PublishedWait = s, 500*time.Millisecond
	w.cfg.Role = func() Role { return Reader }
	w.RunPublished(ctx)
	is.Equal(s.waits, []time.Duration{500 * time.Millisecond, 0, 0, 500 * time.Millisecond})
}

// A restored store has an older configuration than the hosts until the operator writes it
// again. Until then no read proves that there is no newer one, and hosts pass on theirs.
func TestOlderConfigurationOfARestoredStoreIsNotTaken(t *testing.T) {
	is := is.New(t)
	w, local := watcher(t)
	published := func(version, era, next int64, started time.Duration) feed.Published {
		p := w.cfg.Store.Decode(record(int(version)))
		p.Era, p.Next = era, next
		is.True(w.applyPublished(p, started, ownRead))
		return p
	}
	published(3, 1, 7, 10*time.Second)
	published(2, 2, 4, 20*time.Second)
	is.Equal(local.View().Config.Version, int64(3))
	read, _ := w.Published()
	is.Equal(read, feed.ReadMark{Era: 2, Next: 4, Started: 20 * time.Second, Own: true})
	is.Equal(len(w.Records()[0].Value), 3)
	age, _ := local.ConfigAge(20 * time.Second)
	is.Equal(age, 10*time.Second)
	w.ReceivePublished(feed.ReadMark{Era: 1, Next: 7, Started: 21 * time.Second}) // from a host that lags
	read, _ = w.Published()
	is.Equal(read.Era, int64(2))
	published(3, 2, 5, 22*time.Second)
	age, _ = local.ConfigAge(22 * time.Second)
	is.Equal(age, time.Duration(0))
}

// A host that started after the restore has read the older configuration; another host still
// has the newer one.
func TestConfigurationThatTheStoreLostIsReceivedFromAnotherHost(t *testing.T) {
	is := is.New(t)
	w, local := watcher(t)
	mark := feed.ReadMark{Era: 2, Next: 4, Started: 10 * time.Second}
	w.ReceiveRecords(record(2), mark, "hub")
	w.ReceiveRecords(record(3), mark, "hub")
	is.Equal(local.View().Config.Version, int64(3))
	is.Equal(len(w.Records()[0].Value), 3)
}

// A host that receives a large configuration in parts would slow itself down by reading it from the
// store as well. It reads after all if the parts stop, or take much longer.
func TestHostDoesNotReadWhatIsArriving(t *testing.T) {
	is := is.New(t)
	w, _ := watcher(t)
	w.cfg.TakeoverAfter, w.cfg.DirectAfter = 1250*time.Millisecond, 1500*time.Millisecond
	now := w.cfg.Clock.Boot()
	w.ReceiveRecords(record(1), feed.ReadMark{Next: 5, Started: now - 2*time.Second}, "hub")
	is.True(w.shouldRead(w.publishedMark(), Member, 0))
	w.ReceiveOffer(feed.ReadMark{Next: 6, Started: now})
	is.True(!w.shouldRead(w.publishedMark(), Hub, 0)) // another host reads for it
	w.RecordsArrive(now)
	is.True(!w.shouldRead(w.publishedMark(), Member, 0))
	w.RecordsArrive(now - time.Second) // the last part
	is.True(w.shouldRead(w.publishedMark(), Member, 0))
	w.RecordsArrive(now)
	w.cfg.DirectAfter = time.Second // the newest read is twice as old
	is.True(w.shouldRead(w.publishedMark(), Member, 0))
}

// A new version of weights must not make hosts decode a large configuration again.
func TestUnchangedRecordsAreNotDecodedAgain(t *testing.T) {
	is := is.New(t)
	w, _ := watcher(t)
	other := feed.Record{Key: "other", Value: []byte("x")}
	w.ReceiveRecords(record(1), feed.ReadMark{Era: 1, Next: 5, Started: time.Second}, "hub")
	is.Equal(w.changed(append(record(1), other)), []feed.Record{other})
	is.Equal(len(w.changed(record(2))), 1)
	w.outdated = true // the store lacks what this host has
	is.Equal(len(w.changed(record(1))), 1)
}
