package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/router/conns"
)

const (
	// maxConfirmations bounds the crashes that are confirmed at once, and maxSuspects the
	// requests that wait for one confirmation. More are ignored.
	maxConfirmations = 64
	maxSuspects      = 256
	// maxOthers is the number of other endpoints to which a connection is tried to tell a crash
	// from a host that is cut off.
	maxOthers = 3
)

// crashes finds out whether an endpoint that broke off requests has crashed: its host then
// refuses new connections. Lost and garbled responses leave no trace, and neither do links
// and hosts that are lost, since they don't answer.
//
// Lock order: crashes.mu is a leaf.
type crashes struct {
	r *Relay

	mu sync.Mutex
	// running are the confirmations in progress, and confirmed the IDs of the endpoints
	// that crashed, both by incarnation.
	running   map[string]*confirmation
	confirmed map[string]string
}

func newCrashes(r *Relay) *crashes {
	return &crashes{r: r, running: make(map[string]*confirmation), confirmed: make(map[string]string)}
}

// confirmation opens one connection to an endpoint on behalf of the requests that it has
// broken off.
type confirmation struct {
	crashes  *crashes
	endpoint *site.Endpoint
	suspects []suspectRequest
	// ended is closed once the suspects are recorded, or the endpoint has not crashed.
	ended chan struct{}
}

// suspectRequest is a request that its endpoint broke off before the answer had settled, or may
// have.
type suspectRequest struct {
	id          string
	fingerprint poison.Fingerprint
	parts       []string
	// at is when it ended, as time since boot.
	at time.Duration
	// ran is the time since the first event of the answer; 0 if there was none.
	ran time.Duration
	// mayBeWhole is set if the answer looks whole: it is, unless the endpoint has crashed.
	mayBeWhole bool
	// isRest is set if it is the rest of a stream only.
	isRest bool
}

// incarnation identifies one start of an endpoint, which may keep its ID.
func incarnation(e *site.Endpoint) string {
	if e.Started.IsZero() {
		return e.ID
	}
	const base = 36
	return e.ID + "/" + strconv.FormatInt(e.Started.UnixMilli(), base)
}

// suspect records that an endpoint broke off a request, without waiting. It returns the
// confirmation in progress, or nil.
func (c *crashes) suspect(e *site.Endpoint, s suspectRequest) *confirmation {
	key := incarnation(e)
	// An answer that looks whole shows that the endpoint may be well after all.
	if !s.mayBeWhole && c.isConfirmed(e) {
		c.recordCrash(e, s)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if running := c.running[key]; running != nil {
		if len(running.suspects) < maxSuspects {
			running.suspects = append(running.suspects, s)
		}
		return running
	}
	if len(c.running) >= maxConfirmations {
		return nil
	}
	started := &confirmation{crashes: c, endpoint: e, suspects: []suspectRequest{s}, ended: make(chan struct{})}
	c.running[key] = started
	go started.run(context.Background())
	return started
}

func (f *confirmation) run(ctx context.Context) {
	defer close(f.ended)
	c, key := f.crashes, incarnation(f.endpoint)
	err := c.probe(ctx, f.endpoint)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	crashed := refused && f.reachesOthers(ctx)
	c.mu.Lock()
	delete(c.running, key)
	if crashed {
		c.confirmed[key] = f.endpoint.ID
	}
	c.mu.Unlock()
	switch {
	case crashed:
		f.recordSuspects(err)
	case refused:
		c.r.cfg.Logger.Info("refused connection is no crash, other endpoints are out of reach too", "id", f.suspects[0].id,
			"endpoint", f.endpoint.ID, "service", f.endpoint.Service, "requests", len(f.suspects))
	case err == nil:
		c.recordWhole(f.suspects)
	}
}

// recordSuspects records the crash that a refused connection shows.
func (f *confirmation) recordSuspects(err error) {
	for _, s := range f.suspects {
		f.crashes.recordCrash(f.endpoint, s)
	}
	parts := lo.Uniq(lo.FlatMap(f.suspects, func(s suspectRequest, _ int) []string { return s.parts }))
	slices.Sort(parts)
	longest := lo.MaxBy(f.suspects, func(a, b suspectRequest) bool { return a.ran > b.ran }).ran
	f.crashes.r.cfg.Logger.Warn("endpoint crashed on requests", "id", f.suspects[0].id, "endpoint", f.endpoint.ID,
		"requests", len(f.suspects), "parts", parts, "ms-after-first-event", longest.Milliseconds(), "error", err)
}

func (c *crashes) probe(ctx context.Context, e *site.Endpoint) error {
	return c.r.cfg.Conns.Probe(ctx, conns.Target{Incarnation: e.ID, Address: e.Address})
}

// reachesOthers reports whether another endpoint of the service accepts a connection. A host that
// is cut off may be refused by all of them, and is not found to be cut off at once. Endpoints that
// are known to have crashed don't tell; if there are no others, the crash is believed.
func (f *confirmation) reachesOthers(ctx context.Context) bool {
	c := f.crashes
	if c.r.cfg.Reach.IsCutOff(f.endpoint.Service) {
		return false
	}
	others := lo.Filter(c.r.cfg.Mirror.View().ByService[f.endpoint.Service], func(e *site.Endpoint, _ int) bool {
		return e.ID != f.endpoint.ID && !c.isConfirmed(e)
	})
	if len(others) == 0 {
		return true
	}
	for _, e := range lo.Samples(others, maxOthers) {
		if c.probe(ctx, e) == nil {
			return true
		}
	}
	return false
}

// isConfirmed reports whether the listed incarnation of an endpoint is known to have crashed.
func (c *crashes) isConfirmed(e *site.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.confirmed[incarnation(e)]
	return ok
}

// recordCrash records a crash against a request. One that was broken off is counted for its
// fingerprint when that happens. One that looks whole is, if the endpoint left in order.
func (c *crashes) recordCrash(e *site.Endpoint, s suspectRequest) {
	if s.mayBeWhole && !c.isListed(e) {
		return
	}
	if s.ran < taint.SettledTime {
		c.r.cfg.Taint.RecordCrash(taint.Crash{Endpoint: incarnation(e), Parts: s.parts, At: s.at, Ran: s.ran}, c.r.cfg.Clock.Boot())
	}
	if s.mayBeWhole {
		c.r.cfg.Poison.RecordCrash(s.fingerprint, c.r.cfg.Clock.Now())
	}
}

// isListed reports whether an incarnation of an endpoint still accepts requests, as far as it has
// said.
func (c *crashes) isListed(e *site.Endpoint) bool {
	return lo.ContainsBy(c.r.cfg.Mirror.View().ByService[e.Service], func(listed *site.Endpoint) bool {
		return incarnation(listed) == incarnation(e)
	})
}

// recordWhole records the answers that look whole, from an endpoint that has not crashed.
func (c *crashes) recordWhole(suspects []suspectRequest) {
	for _, s := range suspects {
		if !s.mayBeWhole {
			continue
		}
		c.r.cfg.Poison.RecordCompletion(s.fingerprint)
		if !s.isRest {
			if crashes := c.r.cfg.Taint.RecordWhole(s.parts, c.r.cfg.Clock.Boot()); crashes > 0 {
				c.r.logDismissed(crashes, s.id, s.parts)
			}
		}
	}
}

// PruneCrashes removes the crashes of endpoints that are no longer listed.
func (r *Relay) PruneCrashes(known func(endpoint string) bool) {
	r.crashes.mu.Lock()
	defer r.crashes.mu.Unlock()
	maps.DeleteFunc(r.crashes.confirmed, func(_, endpoint string) bool { return !known(endpoint) })
}
