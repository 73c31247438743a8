package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/origin"
	"cicadastand.dev/core/proto/feed"
)

const (
	service   = "engines"
	retention = 30 * time.Second
)

func newTable() *origin.Table { return origin.New(origin.Config{Retention: retention}) }

// A host finds a service with one build, sets it as the base build, and needs records for all
// others only.
func ExampleTable() {
	t := newTable()
	t.SetListed(service, map[string]int{"v1": 18}, time.Second)
	base, _ := t.Propose(service, time.Second)
	t.SetBase(base, time.Second, time.Second)
	t.SetListed(service, map[string]int{"v1": 9, "v2": 9}, 2*time.Second)
	fmt.Println(t.NeedsRecord(service, "v2"))
	answer, err := t.Resolve(service, feed.NewStreamKey("a"), 3*time.Second)
	fmt.Println(answer, err)
	t.Add(3*time.Second, feed.Origin{Stream: feed.NewStreamKey("a"), Build: "v2"})
	answer, err = t.Resolve(service, feed.NewStreamKey("a"), 3*time.Second)
	fmt.Println(answer, err)
	// Output:
	// true
	// {v1 base} <nil>
	// {v2 record} <nil>
}

// log is the store's log of origins, and all that a loss of power leaves.
type log struct {
	origins []feed.Origin
	base    feed.Base
	// silent is set while it takes no records.
	silent bool
}

// begin replays the start of a stream at a host, and reports whether the stream begins.
func (l *log) begin(t *origin.Table, id, build string, now time.Duration) bool {
	if t.NeedsRecord(service, build) {
		if l.silent {
			return false
		}
		l.origins = append(l.origins, feed.Origin{Stream: feed.NewStreamKey(id), Build: build})
	}
	return true
}

// restart returns the table of a host that has just started and has read the store.
func (l *log) restart(listed map[string]int, now time.Duration) *origin.Table {
	t := newTable()
	t.SetListed(service, listed, now)
	t.SetBase(l.base, now, now)
	t.Add(now, l.origins...)
	return t
}

// Replays a release from v1 to v2 and back again, with streams at both builds all the time. At
// each moment all hosts lose power, also while the store takes no records: a host that has just
// started finds the build of each stream that can still be resumed.
func TestOriginsAreFoundAfterALossOfPowerAtAnyMoment(t *testing.T) {
	is := is.New(t)
	l := &log{}
	host := newTable()
	type stream struct {
		build string
		at    time.Duration
	}
	begun := make(map[string]stream)
	const end = 200 * time.Second
	for now := time.Second; now < end; now += time.Second {
		listed := map[string]int{"v1": 18}
		switch {
		case now > 150*time.Second:
		case now > 140*time.Second: // back to v1
			listed = map[string]int{"v1": 9, "v2": 9}
		case now > 20*time.Second:
			listed = map[string]int{"v2": 18}
		case now > 10*time.Second:
			listed = map[string]int{"v1": 9, "v2": 9}
		}
		l.silent = now%(17*time.Second) > 11*time.Second
		host.SetListed(service, listed, now)
		if base, ok := host.Propose(service, now); ok && !l.silent {
			l.base = base
		}
		if host.NeedsRead(service) && !l.silent || host.MayBeOutdated(service) && !l.silent {
			host.SetBase(l.base, now, now)
		}
		for build := range listed {
			id := fmt.Sprint(build, now)
			if l.begin(host, id, build, now) {
				begun[id] = stream{build: build, at: now}
			}
		}
		cold := l.restart(listed, now)
		for id, s := range begun {
			if now-s.at > 20*time.Second {
				continue
			}
			got, err := cold.Resolve(service, feed.NewStreamKey(id), now)
			is.NoErr(err)
			is.Equal(got.Build, s.build) // of the stream
		}
	}
	is.Equal(l.base, feed.Base{Service: service, Build: "v1", Term: 3})
	is.True(len(begun) > 150) // most streams begin
}

// A base build that a restored store has again does not replace the newer one.
func TestBaseBuildDoesNotGoBack(t *testing.T) {
	is := is.New(t)
	table := newTable()
	newer := feed.Base{Service: service, Build: "v2", Term: 2}
	is.True(table.SetBase(newer, 1, 1))
	is.True(!table.SetBase(feed.Base{Service: service, Build: "v1", Term: 1}, 2, 2))
	got, ok := table.Base(service)
	is.True(ok)
	is.Equal(got, newer)
}

// A build that was listed before is back. Another host may have replaced it as the base build
// meanwhile, so its streams need records until the base build was read again.
func TestStreamsOfABuildThatIsBackNeedRecords(t *testing.T) {
	is := is.New(t)
	table := newTable()
	base := feed.Base{Service: service, Build: "v1", Term: 1}
	table.SetListed(service, map[string]int{"v1": 2}, 1)
	table.SetBase(base, 2, 2)
	is.True(!table.NeedsRecord(service, "v1"))
	table.SetListed(service, map[string]int{"v2": 2}, 3)
	table.SetListed(service, map[string]int{"v1": 2}, 4)
	is.True(table.NeedsRead(service))
	is.True(table.NeedsRecord(service, "v1"))
	table.SetBase(base, 5, 5)
	is.True(!table.NeedsRecord(service, "v1"))
}

// Without a base build nothing is known of a stream that has no record.
func TestUnknownOriginIsNotGuessed(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.SetListed(service, map[string]int{"v1": 1, "v2": 1}, 1)
	_, err := table.Resolve(service, feed.NewStreamKey("a"), 2)
	is.True(err != nil)
	table.SetBase(feed.Base{Service: service, Build: "v1", Term: 1}, 3, 3)
	_, err = table.Resolve(service, feed.NewStreamKey(""), 4)
	is.True(err != nil) // the client does not say which stream it resumes
	table.SetListed(service, map[string]int{"v2": 1}, 5)
	answer, err := table.Resolve(service, feed.NewStreamKey(""), 6)
	is.NoErr(err)
	is.Equal(answer.Build, "v2") // no other could go on
}

// All endpoints have had one build for longer than streams are resumed.
func TestOriginIsTheOnlyBuildThatWasListedForLong(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.SetListed(service, map[string]int{"v1": 1, "v2": 1}, 1)
	table.SetListed(service, map[string]int{"v2": 2}, 2)
	_, ok := table.Sole(service, 2+retention)
	is.True(!ok)
	build, ok := table.Sole(service, 3+retention)
	is.True(ok)
	is.Equal(build, "v2")
}

// The store takes no records. Streams may begin without one unless their origin would be taken
// for another listed build.
func TestStreamsBeginWithoutRecordsOnlyIfTheirOriginIsNotMistaken(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.SetListed(service, map[string]int{"v1": 1, "v2": 1}, 1)
	is.True(!table.MayBeginUnrecorded(service)) // either may be the base build
	table.SetListed(service, map[string]int{"v2": 1}, 2)
	is.True(table.MayBeginUnrecorded(service))
	table.SetBase(feed.Base{Service: service, Build: "v1", Term: 1}, 3, 3)
	is.True(table.MayBeginUnrecorded(service))
	table.SetListed(service, map[string]int{"v2": 1, "v3": 1}, 4)
	is.True(table.MayBeginUnrecorded(service)) // the base build is gone
	table.SetListed(service, map[string]int{"v1": 1, "v2": 1}, 5)
	is.True(!table.MayBeginUnrecorded(service))
}
