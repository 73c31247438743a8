package keep_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/router/keep"
)

const service = "engines"

// store holds what hosts record of streams.
type store struct {
	mu      sync.Mutex
	origins []feed.Origin
	bases   []feed.Base
	// lost is set while the host does not reach the store.
	lost  bool
	reads int
}

var errLost = errors.New("the store does not respond")

func (s *store) AppendOrigins(_ context.Context, origins []feed.Origin) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return 0, errLost
	}
	s.origins = append(s.origins, origins...)
	return 1, nil
}

func (s *store) Origins(_ context.Context, from int64) (feed.Origins, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return feed.Origins{}, errLost
	}
	s.reads++
	end := int64(len(s.origins))
	return feed.Origins{Era: 1, Next: end, End: end, Origins: slices.Clone(s.origins[from:])}, nil
}

func (s *store) Bases(context.Context) (feed.Bases, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return feed.Bases{}, errLost
	}
	return feed.Bases{Era: 1, Next: int64(len(s.bases)), Bases: slices.Clone(s.bases)}, nil
}

func (s *store) PutBase(_ context.Context, _ int64, base feed.Base) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bases = append(s.bases, base)
	return nil
}

func (s *store) setLost(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lost
}

func (s *store) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// keeper is a host's keeper of origins on a fake clock.
type keeper struct {
	*keep.Keeper
	t           *testing.T
	clock       *clock.Fake
	store       *store
	mirror      *mirror.Mirror
	partitioned bool
}

func startKeeper(t *testing.T) *keeper {
	t.Helper()
	k := &keeper{t: t, clock: clock.NewFake(time.Unix(0, 0)), store: &store{}, mirror: mirror.New()}
	k.Keeper = keep.New(keep.Config{
		Clock:         k.clock,
		Log:           k.store,
		Table:         keep.NewTable(),
		Mirror:        k.mirror,
		Era:           func() int64 { return 1 },
		IsLead:        func() bool { return true },
		HostCount:     func() int { return 3 },
		IsPartitioned: func() bool { return k.partitioned },
		Logger:        hclog.NewNullLogger(),
		Metrics:       metrics.NewSet(),
	})
	config, err := site.New(site.Spec{
		Version: 1,
		Routes:  []*site.Route{{Name: "chat", Kind: site.Stream, Resumable: true, Targets: []site.Target{{Service: service, Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	k.mirror.SetConfig(config)
	k.list("v1")
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, run := range []func(context.Context){k.RunReads, k.RunWrites, k.RunBases} {
		running.Go(func() { run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return k
}

// list sets the endpoint list: an engine of each build.
func (k *keeper) list(builds ...string) {
	all := make(map[string]*site.Endpoint)
	for _, build := range builds {
		all[build] = &site.Endpoint{ID: build, Service: service, Build: build}
	}
	k.mirror.SetEndpoints(all)
	k.mirror.MarkEndpointsCurrent(k.clock.Boot())
}

// pass lets time pass, in steps in which the keeper looks at the list. The list is kept current
// if isCurrent is set.
func (k *keeper) pass(span time.Duration, isCurrent bool) {
	const step = 100 * time.Millisecond
	for ; span > 0; span -= step {
		k.clock.Advance(step)
		if isCurrent {
			k.mirror.MarkEndpointsCurrent(k.clock.Boot())
		}
		time.Sleep(time.Millisecond) // the loops take the tick
	}
}

// find resumes a stream, and returns the build that it must go on at; empty if it must not.
func (k *keeper) find(id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := k.Find(ctx, service, id)
	if err != nil {
		k.t.Log(err)
	}
	return answer.Build
}

// All engines had one build for long. Then engines of another one join while this host stands
// still or is cut off, and other hosts begin streams there. A client resumes such a stream here:
// the build of the old list must not send the rest.
func TestHostThatWasOutOfStepDoesNotResumeStreamsAtItsOldBuild(t *testing.T) {
	for name, tt := range map[string]struct {
		lost, partitioned bool
		id                string
		want              string
	}{
		"it stood still":                            {id: "begun", want: "v2"},
		"it is cut off from the other hosts":        {partitioned: true, id: "begun", want: "v2"},
		"it is cut off from the store too":          {partitioned: true, lost: true, id: "begun", want: ""},
		"the client does not name the stream":       {id: "", want: ""},
		"the stream has no record":                  {id: "other", want: "v1"},
		"no host reaches the store":                 {lost: true, id: "other", want: "v1"},
		"no host reaches it, the stream is unnamed": {lost: true, id: "", want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := startKeeper(t)
			k.pass(32*time.Second, true)
			is.Equal(k.find("begun"), "v1")
			is.Equal(k.store.readCount(), 0) // all streams began there
			k.store.origins = append(k.store.origins, feed.Origin{Stream: feed.NewStreamKey("begun"), Build: "v2"})
			k.pass(3*time.Second, false)
			k.partitioned = tt.partitioned
			k.store.setLost(tt.lost)
			is.Equal(k.find(tt.id), tt.want)
		})
	}
}

// A host that stood still has not looked at the list since.
func TestHostThatStoodStillReadsTheStoreBeforeItLooksAtTheList(t *testing.T) {
	is := is.New(t)
	k := startKeeper(t)
	k.pass(32*time.Second, true)
	k.store.origins = append(k.store.origins, feed.Origin{Stream: feed.NewStreamKey("begun"), Build: "v2"})
	k.clock.Advance(3 * time.Second)
	is.Equal(k.find("begun"), "v2")
}

// Streams begin at a build that is new only once a host whose list lacks it knows that its list
// is too old.
func TestStreamsBeginAtANewBuildOnceOldListsAreKnownToBeOld(t *testing.T) {
	is := is.New(t)
	k := startKeeper(t)
	k.pass(5*time.Second, true)
	k.list("v1", "v2")
	k.pass(2*time.Second, true)
	builds, ok := k.BuildsToBegin(service)
	is.True(ok)
	is.Equal(builds, []string{"v1"})
	k.pass(time.Second, true)
	_, ok = k.BuildsToBegin(service)
	is.True(!ok)
	// The only build begins streams at once.
	k.list("v3")
	k.pass(200*time.Millisecond, true)
	_, ok = k.BuildsToBegin(service)
	is.True(!ok)
}
