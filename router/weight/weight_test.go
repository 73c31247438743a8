package weight

import (
	"context"
	"errors"
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

func (l *freeLease) Take(context.Context, int64, string, string) (int64, error) {
	l.end++
	return 0, nil
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
	mu       sync.Mutex
	era, end int64
}

func (l *lostHolder) setEnd(end int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = end
}

func (l *lostHolder) Grant(context.Context, int64) (feed.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return feed.Grant{Era: l.era, End: l.end, Holder: "lost", Nonce: fmt.Sprint(l.end)}, nil
}

func (l *lostHolder) Take(_ context.Context, at int64, _, _ string) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at != l.end {
		return 0, feed.ErrLeaseTaken
	}
	l.end++
	return l.era, nil
}

// newWaiting returns a runner that is a candidate for the lease of another host, and its clock.
func newWaiting(t *testing.T, l LeaseLog, duration time.Duration) (*Runner, *clock.Fake) {
	t.Helper()
	local := newMirror(t, 5)
	local.SetWeights("m", 2, 0)
	c := clock.NewFake(time.Unix(1000, 0))
	c.Advance(time.Minute) // the host has run for a while
	e := &engines{clock: c, pauses: pause.New(), paused: make(map[string]time.Duration)}
	return New(Config{
		Clock: c, Host: "h", Lease: duration, Mirror: local, MayLead: func() bool { return true }, LeaseLog: l,
		Engines: e, Loads: func() map[string]int { return nil }, Pauses: e.pauses, Announce: func(context.Context) {},
		PropagationTime: func() time.Duration { return 80 * time.Millisecond }, Logger: hclog.NewNullLogger(),
	}), c
}

// takenAfter returns how long it takes until a runner holds the lease.
func takenAfter(ctx context.Context, r *Runner, c *clock.Fake) time.Duration {
	took := time.Duration(0)
	for r.HeldGrant() == 0 && took < time.Minute {
		c.Advance(stepInterval)
		took += stepInterval
		r.Step(ctx)
	}
	return took
}

func TestHolderLostAfterARenewalIsReplacedWithinOneLease(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const duration = 3 * time.Second
	l := &lostHolder{end: 1}
	r, c := newWaiting(t, l, duration)
	r.Step(ctx) // reads the grant
	l.setEnd(2) // the last renewal of the lost holder
	took := takenAfter(ctx, r, c)
	is.True(took >= duration)                             // never before the lease has ended
	is.True(took <= duration+leaseSilence+2*stepInterval) // one lease, and the time to notice the silence
}

func TestLeaseThatHasEndedIsTakenAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const duration = 3 * time.Second
	l := &lostHolder{end: 1}
	r, c := newWaiting(t, l, duration)
	r.Step(ctx) // reads the grant
	l.setEnd(2)
	r.HearGrant("lost", 2)
	r.HearGrant("lost", 1) // arrives late
	c.Advance(duration)
	is.True(takenAfter(ctx, r, c) <= 2*stepInterval)
}

// lostAnswers is a lease log whose answers to appends are lost, and whose reads can fail.
type lostAnswers struct {
	lostHolder
	nonce string
	reads int
	fails bool
}

func (l *lostAnswers) Grant(context.Context, int64) (feed.Grant, error) {
	if l.reads++; l.fails {
		return feed.Grant{}, errors.New("request rejected")
	}
	return feed.Grant{End: l.end, Holder: "h", Nonce: l.nonce}, nil
}

func (l *lostAnswers) Take(_ context.Context, at int64, _, nonce string) (int64, error) {
	if at != l.end {
		return 0, feed.ErrLeaseTaken
	}
	l.end++
	l.nonce = nonce
	return 0, errors.New("no answer")
}

// The append that takes the lease over may get no answer, and a read tells that it succeeded.
func TestTakeoverWithoutAnAnswerStartsATenure(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, c := newWaiting(t, &lostAnswers{}, 3*time.Second)
	r.held.Store(&tenure{number: 1})
	takenAfter(ctx, r, c)
	is.Equal(r.held.Load().number, 2)
}

// Each read of the store counts towards a limit that all hosts share.
func TestFailedReadsOfTheLeaseAreNotRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	l := &lostAnswers{fails: true}
	r, c := newWaiting(t, l, 3*time.Second)
	for range 60 { // 3 s
		r.Step(context.Background())
		c.Advance(stepInterval)
	}
	is.True(l.reads <= 10)
}

// A restored store has lost the last grant, and its log ends where this host expects it.
func TestLeaseTakenInANewEraIsNotUsedAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const duration = 3 * time.Second
	l := &lostHolder{era: 1, end: 1}
	r, c := newWaiting(t, l, duration)
	r.Step(ctx) // reads the grant
	c.Advance(duration - stepInterval)
	r.Step(ctx)
	l.mu.Lock()
	l.era = 2 // another host's grant is lost
	l.mu.Unlock()
	took := takenAfter(ctx, r, c)
	is.True(took >= duration)
	is.True(took <= duration+leaseSilence+2*stepInterval)
	is.Equal(feed.GrantFrom("", r.HeldGrant()).Era, int64(2))
}
