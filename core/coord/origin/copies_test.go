package origin_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/origin"
	"cicadastand.dev/core/proto/feed"
)

var base = feed.Base{Service: service, Build: "v1", Term: 1}

// newHosts returns hosts in four failure domains.
func newHosts(count int) []feed.Host {
	out := make([]feed.Host, count)
	for i := range out {
		out[i] = feed.Host{Name: fmt.Sprint("host-", i), FailureDomain: fmt.Sprint("zone-", i%4)}
	}
	return out
}

// without returns the hosts for which left out does not hold.
func without(hosts []feed.Host, leftOut func(feed.Host) bool) []feed.Host {
	var out []feed.Host
	for _, h := range hosts {
		if !leftOut(h) {
			out = append(out, h)
		}
	}
	return out
}

// ask returns what the hosts that run say of a stream, as one of them finds it out.
func ask(stream feed.StreamKey, all, running []feed.Host, tables map[string]*origin.Table, now time.Duration) []origin.Statement {
	var out []origin.Statement
	ranked := origin.Rank(stream, all)
	for i, h := range ranked {
		for _, r := range running {
			if r == h && (i < origin.AskCount || r == running[0]) {
				s := tables[h.Name].State(service, stream, now)
				s.IsHolder = i < origin.CopyCount
				out = append(out, s)
			}
		}
	}
	return out
}

// Replays streams of two builds that break off by the hundred: their host is lost with all others of
// its failure domain, or with all but one host, and the store with all records. No stream goes on at
// the other build, and after the loss of a domain each one goes on.
func TestStreamsOfALostDomainAreFoundWithoutTheStore(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(51, 9))
	const now = 20 * time.Second
	for _, count := range []int{3, 6, 8, 80} {
		all := newHosts(count)
		tables := make(map[string]*origin.Table)
		for _, h := range all {
			tables[h.Name] = origin.New(origin.Config{Retention: retention, IsFirstStart: true})
		}
		refused := 0
		for n := range 400 {
			stream, build := feed.NewStreamKey(fmt.Sprint(count, "-", n)), []string{"v1", "v2"}[n%2]
			writer := all[rng.IntN(count)]
			others := without(all, func(h feed.Host) bool { return h == writer })
			if build != base.Build {
				for _, h := range origin.Rank(stream, others)[:min(origin.CopyCount, len(others))] {
					tables[h.Name].Add(now, feed.Origin{Stream: stream, Build: build})
				}
			}
			domain := without(all, func(h feed.Host) bool { return h.FailureDomain == writer.FailureDomain })
			got, err := origin.Judge(base, ask(stream, all, domain, tables, now))
			is.NoErr(err)
			is.Equal(got.Build, build)
			got, err = origin.Judge(base, ask(stream, all, others[:1], tables, now))
			if err != nil {
				refused++
				continue
			}
			is.Equal(got.Build, build)
		}
		is.True(count > origin.CopyCount || refused == 0) // the last host holds all copies
	}
}

// What hosts say after the store was restored.
func TestAMissingRecordIsJudgedByTheHostsThatWouldHoldACopy(t *testing.T) {
	holder := origin.Statement{IsHolder: true, IsComplete: true, Base: base}
	newer := feed.Base{Service: service, Build: "v2", Term: 2}
	for name, tt := range map[string]struct {
		own  feed.Base
		said []origin.Statement
		want string
	}{
		"a host has a copy":                     {base, []origin.Statement{holder, {Build: "v3", HasBuild: true}}, "v3"},
		"a holder has none":                     {base, []origin.Statement{holder}, "v1"},
		"a holder that has just started":        {base, []origin.Statement{{IsHolder: true, Base: base}}, ""},
		"a host that is no holder":              {base, []origin.Statement{{IsComplete: true, Base: base}}, ""},
		"no host":                               {base, nil, ""},
		"a holder does not respond":             {base, []origin.Statement{{IsHolder: true, IsSilent: true}, {IsComplete: true}}, ""},
		"a holder knows a newer base build":     {base, []origin.Statement{{IsHolder: true, IsComplete: true, Base: newer}}, "v2"},
		"no host knows a base build":            {feed.Base{}, []origin.Statement{{IsHolder: true, IsComplete: true}}, ""},
		"hosts run software without copies yet": {base, []origin.Statement{{IsUnable: true}}, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := origin.Judge(tt.own, tt.said)
			is.Equal(err != nil, tt.want == "")
			is.Equal(got.Build, tt.want)
		})
	}
}

// Whether the store has the records of all streams that can still be resumed.
func TestRecordsAreWholeUnlessTheStoreMayHaveBeenRestored(t *testing.T) {
	is := is.New(t)
	first := origin.New(origin.Config{Retention: retention, IsFirstStart: true})
	is.True(!first.SetEra(3, 1))
	is.True(first.IsWhole(2))
	is.True(first.SetEra(4, 10))
	is.True(!first.IsWhole(11))
	is.True(!first.NeedsEraState(11)) // no other host can know better
	is.True(first.IsWhole(11 + retention))

	later := origin.New(origin.Config{Retention: retention, Started: 1})
	later.SetEra(4, 2)
	is.True(!later.IsWhole(3)) // it may have been restored just before
	_, ok := later.EraState(3)
	is.True(!ok) // another host may know better
	is.True(later.NeedsEraState(3))
	later.SetEraState(feed.EraState{Read: 4, Era: 3, IsWhole: true})
	is.True(!later.IsWhole(3))
	later.SetEraState(feed.EraState{Read: 4, Era: 4})
	is.True(!later.IsWhole(3))
	later.SetEraState(feed.EraState{Read: 4, Era: 4, IsWhole: true})
	is.True(later.IsWhole(3))

	// Software that makes no statements has run before.
	upgraded := origin.New(origin.Config{Retention: retention, Started: 1})
	upgraded.SetEra(4, 2)
	upgraded.SetEraState(feed.EraState{Read: 4})
	is.True(upgraded.IsWhole(3))
}

// A mark counts in the era in which it was written: a later copy of the store may have it too.
func TestMarkOfARepeatCountsInItsEra(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.SetEra(2, 1)
	table.AddRepeated(feed.NewRepeatMark("host-1", 2))
	is.True(table.HasRepeated("host-1"))
	is.True(!table.HasRepeated("host-2"))
	table.SetEra(3, 2)
	table.AddRepeated(feed.NewRepeatMark("host-1", 2))
	is.True(!table.HasRepeated("host-1"))
}
