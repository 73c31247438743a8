package weight

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cicadastand.dev/core/coord/pause"
	"cicadastand.dev/core/coord/plan"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

// freeLease is a lease log without other hosts.
type freeLease struct{ end int64 }

func (*freeLease) Grant(context.Context, int64) (feed.Grant, error) { return feed.Grant{}, nil }

func (l *freeLease) Take(context.Context, int64, string, string) error {
	l.end++
	return nil
}

// engines record how long requests to an engine had been paused when it got an order.
type engines struct {
	clock  Clock
	pauses *pause.Table
	mu     sync.Mutex
	paused map[string]time.Duration
}

func (*engines) Report(context.Context, *site.Endpoint) (feed.Report, error) {
	return feed.Report{OrderCount: 1, Weights: map[string]int{"m": 1}}, nil
}

func (e *engines) Send(_ context.Context, to *site.Endpoint, _ feed.Order) (feed.Verdict, error) {
	now := e.clock.Boot()
	since := time.Duration(0)
	for e.pauses.Paused(to.ID, now-since-time.Millisecond) {
		since += time.Millisecond
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused[to.ID] = since
	return feed.Accepted, nil
}

// newMirror returns a mirror with engines that have version 1 of a model.
func newMirror(t *testing.T, count int) *mirror.Mirror {
	t.Helper()
	local := mirror.New()
	config, err := site.New(site.Spec{Version: 1, Routes: []*site.Route{{Host: "a", PathPrefix: "/"}}})
	if err != nil {
		t.Fatal(err)
	}
	local.SetConfig(config)
	list := make(map[string]*site.Endpoint)
	for i := range count {
		id := fmt.Sprint("e", i)
		list[id] = &site.Endpoint{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), Weights: map[string]int{"m": 1}}
	}
	local.SetEndpoints(list)
	return local
}

// Streams of 40 to 60 tokens run for some 250 ms. What they make after their engine has
// loaded other weights is worth nothing to their callers, so requests are sent elsewhere
// for about that time before the order.
func TestEnginesAreEmptiedBeforeAnOrder(t *testing.T) {
	is := is.New(t)
	const propagation = 80 * time.Millisecond
	local := newMirror(t, 5)
	local.SetWeights("m", 2, 0)
	c := clock.New()
	e := &engines{clock: c, pauses: pause.New(), paused: make(map[string]time.Duration)}
	r := New(Config{
		Clock: c, Host: "h", Lease: time.Minute, Mirror: local, MayLead: func() bool { return true }, LeaseLog: &freeLease{},
		Engines: e, Loads: func() map[string]int { return nil }, Pauses: e.pauses, Announce: func(context.Context) {},
		PropagationTime: func() time.Duration { return propagation }, Logger: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r.Run(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.True(len(e.paused) > 0)
	for _, since := range e.paused {
		is.True(since >= 240*time.Millisecond)
	}
}

// An order is sent some time after it is planned, and a renewal may lie between.
func TestOrderPlannedBeforeARenewalIsSent(t *testing.T) {
	is := is.New(t)
	local := newMirror(t, 5)
	local.SetWeights("m", 2, 0)
	c := clock.New()
	e := &engines{clock: c, pauses: pause.New(), paused: make(map[string]time.Duration)}
	r := New(Config{
		Clock: c, Host: "h", Lease: 330 * time.Millisecond, Mirror: local, MayLead: func() bool { return true }, LeaseLog: &freeLease{},
		Engines: e, Loads: func() map[string]int { return nil }, Pauses: e.pauses, Announce: func(context.Context) {},
		PropagationTime: func() time.Duration { return 80 * time.Millisecond }, Logger: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go r.Run(ctx)
	ordered := func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.paused)
	}
	for ordered() < 5 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond) // polls until the condition holds
	}
	is.Equal(ordered(), 5)
}

// Another host may have sent orders between two tenures of this one.
func TestOrderOfAnEndedTenureIsDropped(t *testing.T) {
	is := is.New(t)
	local := newMirror(t, 1)
	c := clock.New()
	e := &engines{clock: c, pauses: pause.New(), paused: make(map[string]time.Duration)}
	r := New(Config{Clock: c, Lease: time.Minute, Mirror: local, Engines: e, Pauses: e.pauses, Logger: hclog.NewNullLogger()})
	r.held.Store(&tenure{number: 2, fence: 7, until: c.Boot() + time.Minute})
	for _, planned := range []struct {
		tenure int
		sent   bool
	}{{tenure: 1}, {tenure: 2, sent: true}} {
		order := &task{r: r, endpoint: local.View().Endpoints["e0"], step: &plan.Step{Endpoint: local.View().Endpoints["e0"], OrderCount: 1}, tenure: planned.tenure}
		order.execute(context.Background())
		is.Equal(order.err == nil, planned.sent)
		is.Equal(len(e.paused) == 1, planned.sent)
	}
}

// lostHolder is the lease log of a system whose holder was lost after it renewed the lease.
type lostHolder struct {
	mu    sync.Mutex
	end   int64
	taken chan struct{}
}

func (l *lostHolder) Grant(context.Context, int64) (feed.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return feed.Grant{End: l.end, Holder: "lost", Nonce: fmt.Sprint(l.end)}, nil
}

func (l *lostHolder) Take(_ context.Context, at int64, _, _ string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at != l.end {
		return feed.ErrLeaseTaken
	}
	l.end++
	if l.taken != nil {
		close(l.taken)
		l.taken = nil
	}
	return nil
}

// newWaiting returns a runner that is a candidate for the lease of another host.
func newWaiting(t *testing.T, l *lostHolder, local *mirror.Mirror, duration time.Duration) *Runner {
	t.Helper()
	c := clock.New()
	e := &engines{clock: c, pauses: pause.New(), paused: make(map[string]time.Duration)}
	return New(Config{
		Clock: c, Host: "h", Lease: duration, Mirror: local, MayLead: func() bool { return true }, LeaseLog: l,
		Engines: e, Loads: func() map[string]int { return nil }, Pauses: e.pauses, Announce: func(context.Context) {},
		PropagationTime: func() time.Duration { return 80 * time.Millisecond }, Logger: hclog.NewNullLogger(),
	})
}

func TestHolderLostAfterARenewalIsReplacedWithinOneLease(t *testing.T) {
	is := is.New(t)
	local := newMirror(t, 5)
	local.SetWeights("m", 2, 0)
	l := &lostHolder{end: 1, taken: make(chan struct{})}
	taken := l.taken
	r := newWaiting(t, l, local, 2*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	r.Step(ctx) // reads the grant
	l.mu.Lock()
	l.end = 2 // the last renewal of the lost holder
	l.mu.Unlock()
	started := time.Now()
	go r.Run(ctx)
	select {
	case <-taken:
	case <-ctx.Done():
	}
	is.True(time.Since(started) < 3*time.Second) // one lease, and the time to notice the silence
	is.True(time.Since(started) > 2*time.Second) // never before the lease has ended
}

func TestLeaseThatHasEndedIsTakenAtOnce(t *testing.T) {
	is := is.New(t)
	local := newMirror(t, 5)
	local.SetWeights("m", 2, 0)
	l := &lostHolder{end: 1, taken: make(chan struct{})}
	taken := l.taken
	const duration = 2 * time.Second
	r := newWaiting(t, l, local, duration)
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	r.Step(ctx) // reads the grant
	l.mu.Lock()
	l.end = 2
	l.mu.Unlock()
	r.HearGrant("lost", 2)
	time.Sleep(duration)
	started := time.Now()
	go r.Run(ctx)
	select {
	case <-taken:
	case <-ctx.Done():
	}
	is.True(time.Since(started) < time.Second)
}
