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

	"cicadastand.dev/core/coord/origin"
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
	state   feed.EraState
	// lost is set while the host does not reach the store.
	lost  bool
	reads int
	era   int64
	marks []feed.RepeatMark
	// starts are not lost in a restore.
	starts []feed.StartMark
}

// restore brings the store back without records.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.origins, s.bases, s.marks, s.state = nil, nil, nil, feed.EraState{}
}

var errLost = errors.New("the store does not respond")

func (s *store) EraState(context.Context) (feed.EraState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, nil
}

func (s *store) PutEraState(_ context.Context, state feed.EraState) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	return nil
}

func (s *store) StartMarks(context.Context) (feed.StartMarks, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return feed.StartMarks{Era: s.era, Starts: slices.Clone(s.starts)}, nil
}

func (s *store) PutStartMark(_ context.Context, mark feed.StartMark) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, mark)
	return nil
}

func (s *store) setStarts(starts ...feed.StartMark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = starts
}

func (s *store) newestEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *store) AppendOrigins(_ context.Context, batch feed.OriginBatch) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return 0, errLost
	}
	s.origins = append(s.origins, batch.Origins...)
	if batch.Repeated != 0 {
		s.marks = append(s.marks, batch.Repeated)
	}
	return s.era, nil
}

func (s *store) Origins(_ context.Context, from int64) (feed.Origins, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return feed.Origins{}, errLost
	}
	s.reads++
	end := int64(len(s.origins))
	return feed.Origins{Era: s.era, Next: end, End: end, Origins: slices.Clone(s.origins[min(from, end):]), Repeated: slices.Clone(s.marks)}, nil
}

func (s *store) Bases(context.Context) (feed.Bases, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return feed.Bases{}, errLost
	}
	return feed.Bases{Era: s.era, Next: int64(len(s.bases)), Bases: slices.Clone(s.bases)}, nil
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

// peers are the other hosts.
type peers struct {
	mu         sync.Mutex
	copied     []feed.Origin
	err        error
	statements []origin.Statement
}

func (p *peers) CopyOrigins(_ context.Context, origins []feed.Origin) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copied = append(p.copied, origins...)
	return p.err
}

func (p *peers) AskOrigin(context.Context, string, feed.StreamKey) []origin.Statement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.statements)
}

func (p *peers) set(statements ...origin.Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statements = statements
}

func (p *peers) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

func (p *peers) taken() []feed.Origin {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.copied)
}

// keeper is a host's keeper of origins on a fake clock.
type keeper struct {
	*keep.Keeper
	t           *testing.T
	clock       *clock.Fake
	store       *store
	mirror      *mirror.Mirror
	peers       *peers
	partitioned bool
}

func startKeeper(t *testing.T) *keeper { return startKeeperAt(t, &store{era: 1}, true) }

// startKeeperAt starts the keeper of a host on a store.
func startKeeperAt(t *testing.T, s *store, isFirstStart bool) *keeper {
	t.Helper()
	k := &keeper{t: t, clock: clock.NewFake(time.Unix(0, 0)), store: s, mirror: mirror.New(), peers: &peers{}}
	k.Keeper = keep.New(keep.Config{
		Clock:         k.clock,
		Log:           k.store,
		Peers:         k.peers,
		Table:         keep.NewTable(0, isFirstStart),
		Mirror:        k.mirror,
		Host:          "self",
		Era:           k.store.newestEra,
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
	for _, run := range []func(context.Context){k.RunReads, k.RunWrites, k.RunCopies, k.RunBases} {
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

// The store comes back without records, and clients resume streams at a host that did not begin
// them. A missing record was taken for a stream of the base build.
func TestMissingRecordSaysNothingAfterARestore(t *testing.T) {
	is := is.New(t)
	k := startKeeper(t)
	k.pass(5*time.Second, true)
	k.list("v1", "v2")
	k.pass(3*time.Second, true)
	is.Equal(k.find("other"), "v1")
	k.store.restore()
	is.Equal(k.find("other"), "") // no host says anything
	k.peers.set(origin.Statement{Host: "b", Build: "v2", HasBuild: true})
	is.Equal(k.find("other"), "v2")
	k.peers.set(origin.Statement{Host: "b", IsHolder: true, IsComplete: true})
	is.Equal(k.find("other"), "v1")
	k.peers.set()
	k.pass(31*time.Second, true)
	is.Equal(k.find("other"), "v1") // no stream from before is left
}

// All hosts are restarted after a restore. One had written its copies again before.
func TestHostsThatStartAfterARestoreGoByWhatOthersHaveRepeated(t *testing.T) {
	is := is.New(t)
	s := &store{era: 1}
	k := startKeeperAt(t, s, true)
	k.pass(time.Second, true)
	k.KeepCopies([]feed.Origin{{Stream: feed.NewStreamKey("copied"), Build: "v2"}})
	s.restore()
	is.Equal(k.find("any"), "") // it learns of the restore
	k.pass(time.Second, true)
	next := startKeeperAt(t, s, false)
	next.list("v1", "v2")
	next.pass(time.Second, true)
	is.Equal(next.find("copied"), "v2")
	is.Equal(next.find("other"), "")
	next.peers.set(origin.Statement{Host: "self", IsHolder: true})
	is.Equal(next.find("other"), "v1")
}

// A stream does not begin at a build that needs a record until another host holds a copy of it.
func TestStreamBeginsOnceAnotherHostHoldsACopy(t *testing.T) {
	is := is.New(t)
	k := startKeeper(t)
	k.pass(time.Second, true)
	k.list("v1", "v2")
	k.pass(3*time.Second, true)
	is.NoErr(k.Record(context.Background(), service, "begun", "v2"))
	is.Equal(k.peers.taken(), []feed.Origin{{Stream: feed.NewStreamKey("begun"), Build: "v2"}})
	k.pass(time.Second, true)
	k.peers.fail(errLost)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.True(k.Record(ctx, service, "later", "v2") != nil)
	builds, ok := k.BuildsToBegin(service)
	is.True(ok)
	is.Equal(builds, []string{"v1"}) // while no host takes copies
}

// All hosts are restarted while the store comes back from a copy, so for some time a missing record
// says nothing. Streams that begin at the base build meanwhile were refused when they were resumed.
func TestStreamsThatBeginAfterARestoreAreKnownToOtherHosts(t *testing.T) {
	is := is.New(t)
	k := startKeeperAt(t, &store{era: 2, state: feed.EraState{Era: 1, IsWhole: true}}, false)
	k.pass(time.Second, true)
	k.list("v1", "v2")
	k.pass(3*time.Second, true)
	is.NoErr(k.Record(context.Background(), service, "begun", "v1"))
	k.pass(time.Second, true)
	is.Equal(k.peers.taken(), []feed.Origin{{Stream: feed.NewStreamKey("begun"), Build: "v1"}})
	is.Equal(len(k.store.origins), 0) // no record
	k.pass(31*time.Second, true)
	is.NoErr(k.Record(context.Background(), service, "later", "v1"))
	k.pass(time.Second, true)
	is.Equal(len(k.peers.taken()), 1)
}

// Hosts restart together, and soon after the store comes back from a copy. They had all records
// then, and the copies of those that it lost, if it was copied after they started.
func TestHostThatStartedBeforeTheCopyIsComplete(t *testing.T) {
	for name, tt := range map[string]struct {
		isMarked, isWhole, want bool
	}{
		"copied after the start":                 {isMarked: true, isWhole: true, want: true},
		"copied before the start":                {isWhole: true},
		"records were missing before it started": {isMarked: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := startKeeperAt(t, &store{era: 2, state: feed.EraState{Era: 2, IsWhole: tt.isWhole}}, false)
			k.pass(2*time.Second, true)
			is.True(!k.State(service, 1).IsComplete)
			k.store.restore()
			if !tt.isMarked {
				k.store.setStarts(feed.StartMark{Host: "self", Start: "earlier"})
			}
			k.pass(2*time.Second, true)
			is.Equal(k.State(service, 1).IsComplete, tt.want)
		})
	}
}
