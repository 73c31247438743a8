package relay

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/router/conns"
)

const (
	// maxConfirmations bounds the crashes that are confirmed at once, and maxSuspects the
	// requests that wait for one confirmation. More are ignored.
	maxConfirmations = 64
	maxSuspects      = 256
	// confirmationWait is how long a retry waits for the confirmation of the crash of its
	// last attempt: more than a round trip between failure domains.
	confirmationWait = 100 * time.Millisecond
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
	crashes     *crashes
	service     string
	target      conns.Target
	incarnation string
	suspects    []suspectRequest
	// ended is closed once the suspects are recorded, or the endpoint has not crashed.
	ended chan struct{}
}

// suspectRequest is a request that its endpoint broke off before the answer had settled, or may
// have.
type suspectRequest struct {
	id          string
	fingerprint poison.Fingerprint
	parts       []string
	// ran is the time since the first event of the answer; 0 if there was none.
	ran time.Duration
	// mayBeWhole is set if the answer looks whole: it is, unless the endpoint has crashed.
	mayBeWhole bool
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
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.confirmed[key]; ok {
		c.recordCrash(key, s)
		return nil
	}
	if running := c.running[key]; running != nil {
		if len(running.suspects) < maxSuspects {
			running.suspects = append(running.suspects, s)
		}
		return running
	}
	if len(c.running) >= maxConfirmations {
		return nil
	}
	started := &confirmation{
		crashes:     c,
		service:     e.Service,
		target:      conns.Target{Incarnation: e.ID, Address: e.Address},
		incarnation: key,
		suspects:    []suspectRequest{s},
		ended:       make(chan struct{}),
	}
	c.running[key] = started
	go started.run(context.Background())
	return started
}

func (f *confirmation) run(ctx context.Context) {
	defer close(f.ended)
	c := f.crashes
	err := c.r.cfg.Conns.Probe(ctx, f.target)
	// A host that is cut off may be refused by all endpoints.
	crashed := errors.Is(err, syscall.ECONNREFUSED) && !c.r.cfg.Reach.IsCutOff(f.service)
	c.mu.Lock()
	delete(c.running, f.incarnation)
	if crashed {
		c.confirmed[f.incarnation] = f.target.Incarnation
	}
	c.mu.Unlock()
	if err == nil {
		c.recordWhole(f.suspects)
	}
	if !crashed {
		return
	}
	for _, s := range f.suspects {
		c.recordCrash(f.incarnation, s)
	}
	parts := lo.Uniq(lo.FlatMap(f.suspects, func(s suspectRequest, _ int) []string { return s.parts }))
	slices.Sort(parts)
	longest := lo.MaxBy(f.suspects, func(a, b suspectRequest) bool { return a.ran > b.ran }).ran
	c.r.cfg.Logger.Warn("endpoint crashed on requests", "id", f.suspects[0].id, "endpoint", f.target.Incarnation,
		"requests", len(f.suspects), "parts", parts, "ms-after-first-event", longest.Milliseconds(), "error", err)
}

// recordCrash records a crash against a request. One that was broken off is counted for its
// fingerprint when that happens.
func (c *crashes) recordCrash(incarnation string, s suspectRequest) {
	if s.ran < taint.SettledTime {
		c.r.cfg.Taint.RecordCrash(incarnation, s.parts, s.ran, c.r.cfg.Clock.Boot())
	}
	if s.mayBeWhole {
		c.r.cfg.Poison.RecordCrash(s.fingerprint, c.r.cfg.Clock.Now())
	}
}

// recordWhole records the answers that look whole, from an endpoint that has not crashed.
func (c *crashes) recordWhole(suspects []suspectRequest) {
	for _, s := range suspects {
		if s.mayBeWhole {
			c.r.cfg.Poison.RecordCompletion(s.fingerprint)
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

// isDisconnect reports whether an error is a reset or the end of a connection. A timeout
// is neither, nor are bytes that are no response.
func isDisconnect(err error) bool {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errEventTruncated) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// suspectCrash records that an endpoint broke off the request before its answer had settled.
func (j *job) suspectCrash(c choice, err error) {
	if !j.hasSharedParts() || !isDisconnect(err) {
		return
	}
	s := j.suspectRequest()
	if s.ran >= taint.SettledTime {
		j.r.cfg.Logger.Info("break of an answer that had settled is not counted against its prompt parts", "id", j.params.ID,
			"endpoint", c.endpoint.ID, "event", j.lastEvent, "ms-after-first-event", s.ran.Milliseconds(), "parts", j.shared, "error", err)
		return
	}
	j.confirmation = j.r.crashes.suspect(c.endpoint, s)
}

func (j *job) suspectRequest() suspectRequest {
	s := suspectRequest{id: j.params.ID, fingerprint: j.fingerprint}
	if j.hasSharedParts() {
		s.parts = j.shared
	}
	if j.answer != nil {
		s.ran = j.answer.RanFor(j.r.cfg.Clock.Boot())
	}
	return s
}

// awaitConfirmation waits for the confirmation of the crash that the last attempt has met, so
// that a retry is not sent if it shows that the prompt crashes engines.
func (j *job) awaitConfirmation(ctx context.Context) {
	f := j.confirmation
	if f == nil {
		return
	}
	j.confirmation = nil
	limit := j.r.cfg.Clock.Once(confirmationWait)
	defer limit.Stop()
	select {
	case <-f.ended:
	case <-limit.C():
	case <-ctx.Done():
	}
}

// hasSharedParts reports whether the request is a prompt with parts that others can have too.
func (j *job) hasSharedParts() bool { return len(j.shared) > 0 && j.isModel() }

// recordProgress records an event of the answer of the current attempt.
func (j *job) recordProgress() {
	now := j.r.cfg.Clock.Boot()
	switch {
	case j.answer != nil:
		if crashes := j.answer.Progress(now); crashes > 0 {
			j.r.logDismissed(crashes, j.params.ID, j.shared)
		}
	case j.hasSharedParts():
		j.answer = j.r.cfg.Taint.Begin(j.shared, now)
	}
}

// endAnswer records that the streamed answer of the current attempt has no more events.
func (j *job) endAnswer() {
	if j.answer != nil {
		j.answer.End()
		j.answer = nil
	}
}

// recordWhole records an answer that an endpoint has sent to its end.
func (j *job) recordWhole(c choice, resp *conns.Response) {
	if resp.Unframed {
		j.confirmWhole(c)
		return
	}
	j.r.cfg.Poison.RecordCompletion(j.fingerprint)
	if !j.hasSharedParts() {
		return
	}
	if crashes := j.r.cfg.Taint.RecordWhole(j.shared, j.r.cfg.Clock.Boot()); crashes > 0 {
		j.r.logDismissed(crashes, j.params.ID, j.shared)
	}
}

// confirmWhole finds out whether an endpoint has crashed whose answer had neither a length nor
// chunks and ended with its connection: a crash may end it in the same way. Until then the end is
// evidence of nothing.
func (j *job) confirmWhole(c choice) {
	s := j.suspectRequest()
	s.mayBeWhole = true
	if j.isModel() || j.r.cfg.Poison.IsSuspect(j.fingerprint, j.r.cfg.Clock.Now()) {
		j.r.crashes.suspect(c.endpoint, s)
	}
}

func (r *Relay) logDismissed(crashes int, id string, parts []string) {
	r.cfg.Logger.Info("crashes no longer count against prompt parts, an answer went on for longer", "id", id, "parts", parts, "crashes", crashes)
}

// checkParts rejects a request with a part that crashes engines, also if its stream has begun:
// the engine may have crashed after some events.
func (j *job) checkParts() *rejection {
	if !j.hasSharedParts() {
		return nil
	}
	if err := j.r.cfg.Taint.Check(j.shared); err != nil {
		j.r.tainted.Inc()
		return newRejection(http.StatusServiceUnavailable, 0, "%v", err)
	}
	return nil
}

func sharedParts(p *call.Request) []string {
	return lo.Map(p.Shared(), func(part call.Part, _ int) string { return part.ID })
}
