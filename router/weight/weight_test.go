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
