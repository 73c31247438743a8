// Package weight rolls out new versions of model weights to the engines. One host at a
// time does this for the whole system, while it holds a lease. It sends each engine an
// order to load a version, and pauses requests to the engine meanwhile.
package weight

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/lease"
	"cicadastand.dev/core/coord/pause"
	"cicadastand.dev/core/coord/plan"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

// LeaseLog is the log in which the lease is granted.
type LeaseLog interface {
	// Grant returns the last grant. It reads the log from an offset.
	Grant(ctx context.Context, from int64) (feed.Grant, error)
	// Take appends a grant if the log ends at an offset, and returns the era of the log.
	Take(ctx context.Context, at int64, holder, nonce string) (era int64, err error)
}

// Engines calls the control interface of the engines.
type Engines interface {
	Report(ctx context.Context, e *site.Endpoint) (feed.Report, error)
	Send(ctx context.Context, e *site.Endpoint, o feed.Order) (feed.Verdict, error)
}

// Loads returns the number of requests at each engine.
type Loads func() map[string]int

// Clock provides both the wall clock and the clock that continues during suspension.
type Clock interface {
	clock.Service
	clock.Boot
}

// Config configures a Runner.
type Config struct {
	Clock  Clock
	Host   string
	Lease  time.Duration
	Mirror *mirror.Mirror
	// MayLead reports whether this host tries to acquire the lease. A few candidates
	// in each failure domain are enough.
	MayLead  func() bool
	LeaseLog LeaseLog
	Engines  Engines
	Loads    Loads
	// Pauses receives the times at which engines load weights, and Announce sends them
	// to peers.
	Pauses   *pause.Table
	Announce func(ctx context.Context)
	// PropagationTime returns how long it takes until all peers know a new pause.
	PropagationTime func() time.Duration
	Logger          hclog.Logger
}

const (
	// stepInterval is the time between two steps.
	stepInterval = 50 * time.Millisecond
	// yieldTime is how long a host leaves new work to the last holder of the lease,
	// which can renew it without waiting for its end.
	yieldTime = 300 * time.Millisecond
	// reportInterval is the time between two requests for the report of an engine that
	// has an order in progress.
	reportInterval = 100 * time.Millisecond
	// pauseLead is how long before the order an engine is paused. An order makes the
	// engine reject its waiting requests, and what its running requests still make has to
	// be made with other weights; by then most of them have ended.
	pauseLead = 260 * time.Millisecond
	// earlyPause is the part of pauseLead in which some hosts may not know of the pause.
	earlyPause = 60 * time.Millisecond
	// pauseMargin extends the pause beyond the expected end of the load.
	pauseMargin = 40 * time.Millisecond
	// leaseSilence is the time without news of the lease after which a host that waits for
	// its end reads the log. The holder announces each renewal to its peers, so a silent one
	// is lost or out of reach, and its last renewal may be unknown.
	leaseSilence = 500 * time.Millisecond
	// leaseRetryPause is the time between a failed read of the lease and the next one.
	leaseRetryPause = 400 * time.Millisecond
	// maxTasks bounds the number of concurrent calls to engines.
	maxTasks = 64
)

// Runner sends orders to engines while this host holds the lease.
type Runner struct {
	cfg   Config
	lease *lease.Lease
	plan  *plan.Plan
	// outdatedSince is when engines became outdated; 0 if none is outdated.
	outdatedSince time.Duration
	// lastLeaseNews is when this host last learnt of the lease, or tried to, and
	// lastLeaseFailure when a read of the lease last failed; 0 if the last one did not.
	lastLeaseNews    time.Duration
	lastLeaseFailure time.Duration
	// renewing is set if the last append was to renew the lease of this host.
	renewing bool
	// held is this host's current or last tenure, nil before the first; heard is the newest
	// grant that another host has announced.
	held  atomic.Pointer[tenure]
	heard atomic.Pointer[heardGrant]
	// lastContact is when the last task for each engine was started, by endpoint ID.
	lastContact map[string]time.Duration
	// running counts the tasks in progress; finished has capacity for all of them.
	running  chan struct{}
	finished chan *task
}

// tenure is the time in which this host holds the lease, and no other host in between.
type tenure struct {
	// number tells tenures apart; renewals don't change it.
	number int
	fence  int64
	until  time.Duration
}

// heardGrant is a grant that its holder has announced.
type heardGrant struct {
	feed.Grant
	at time.Duration
}

// New returns a runner that has not started.
func New(cfg Config) *Runner {
	return &Runner{
		cfg:         cfg,
		lease:       lease.New(lease.Config{Host: cfg.Host, Duration: cfg.Lease}),
		plan:        plan.New(),
		lastContact: make(map[string]time.Duration),
		running:     make(chan struct{}, maxTasks),
		finished:    make(chan *task, maxTasks),
	}
}

// Run rolls out weights until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	tick := r.cfg.Clock.Subscribe(stepInterval)
	defer tick.Stop()
	for {
		r.Step(ctx)
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

// Step runs one iteration: it processes finished tasks, acquires or renews the lease,
// and starts the tasks that are due. It returns early if no engine is outdated.
func (r *Runner) Step(ctx context.Context) {
	now := r.cfg.Clock.Boot()
	outdated := r.plan.Outdated(r.cfg.Mirror.View(), now)
	if len(outdated) == 0 {
		r.outdatedSince = 0
		return
	}
	if r.outdatedSince == 0 {
		r.outdatedSince = now
	}
	r.collectResults()
	r.observeHeard()
	if !r.lease.Holds(now) && !r.acquire(ctx, now) {
		return
	}
	if r.lease.ShouldRenew(now) {
		r.acquire(ctx, now)
	}
	r.requestReports(ctx)
	leadTime := r.cfg.PropagationTime() + pauseLead - earlyPause
	next := r.plan.Next(r.cfg.Mirror.View(), r.cfg.Loads(), r.cfg.Clock.Boot(), leadTime)
	r.planPauses(ctx, next)
	for _, s := range next {
		r.start(ctx, &task{r: r, endpoint: s.Endpoint, step: &s, tenure: r.held.Load().number})
	}
}

// HeldGrant returns the fencing token of the grant that this host holds; 0 if it holds none.
func (r *Runner) HeldGrant() int64 {
	if t := r.held.Load(); t != nil && r.cfg.Clock.Boot() < t.until {
		return t.fence
	}
	return 0
}

// HearGrant records that another host has announced its grant with a fencing token. The lease
// counts from now, which is later than the grant.
func (r *Runner) HearGrant(holder string, fence int64) {
	next := &heardGrant{Grant: feed.GrantFrom(holder, fence), at: r.cfg.Clock.Boot()}
	for {
		known := r.heard.Load()
		if known != nil && known.Fence() > fence || r.heard.CompareAndSwap(known, next) {
			return
		}
	}
}

// observeHeard applies the newest announced grant.
func (r *Runner) observeHeard() {
	h := r.heard.Load()
	if h == nil || !r.lease.Known() || h.Fence() < r.lease.FencingToken() {
		return
	}
	r.lastLeaseNews = max(r.lastLeaseNews, h.at)
	if h.Fence() > r.lease.FencingToken() {
		r.lease.Observe(h.Grant, h.at)
		r.cfg.Logger.Info("lease heard", "holder", h.Holder, "era", h.Era, "end", h.End)
	}
}

// startTenure starts to use a grant, or extends the current tenure if it was a renewal. The
// previous grant stays valid for its own time while the outcome of a renewal is unknown.
func (r *Runner) startTenure() {
	t := tenure{fence: r.lease.FencingToken(), until: r.lease.Until()}
	if last := r.held.Load(); last != nil {
		t.number = last.number
	}
	if !r.renewing {
		// Another host may have sent orders since the last tenure.
		r.plan.Reset()
		t.number++
	}
	r.held.Store(&t)
}

// planPauses schedules a pause for each order and announces the pauses to the peers.
func (r *Runner) planPauses(ctx context.Context, next []plan.Step) {
	for _, s := range next {
		r.cfg.Pauses.Plan(s.Endpoint.ID, pause.Span{From: s.At - pauseLead, Until: s.At + s.LoadTime + pauseMargin, Weights: s.TargetVersion})
	}
	if len(next) > 0 {
		r.cfg.Announce(ctx)
	}
}

// acquire tries to take or renew the lease if the attempt can succeed. It reports
// whether this host was granted the lease.
func (r *Runner) acquire(ctx context.Context, now time.Duration) bool {
	if !r.cfg.MayLead() {
		return false
	}
	if !r.lease.Known() {
		r.readLease(ctx)
		return false
	}
	if r.lease.Wait(now) > 0 && now-r.lastLeaseNews >= leaseSilence {
		r.readLease(ctx)
	}
	if r.lease.Wait(now) > 0 || !r.lease.IsLastHolder() && r.lease.NextOffset() > 0 && now-r.outdatedSince < yieldTime {
		return false
	}
	r.renewing = r.lease.IsLastHolder()
	nonce := uuid.NewString()
	r.lease.BeginAppend(nonce, now)
	era, err := r.cfg.LeaseLog.Take(ctx, r.lease.NextOffset(), r.cfg.Host, nonce)
	switch {
	case err == nil:
		if !r.lease.AppendSucceeded(era) {
			r.cfg.Logger.Warn("lease not used because the store was restored from a copy", "era", era, "wait-ms", r.lease.Wait(r.cfg.Clock.Boot()).Milliseconds())
			return false
		}
		r.startTenure()
		r.cfg.Logger.Info("lease acquired", "fence", r.lease.FencingToken())
		return true
	case feed.IsErrLeaseTaken(err):
		r.readLease(ctx)
	default:
		r.cfg.Logger.Warn("outcome of lease append is unknown", "error", err)
		r.lease.AppendUnresolved()
	}
	return false
}

func (r *Runner) readLease(ctx context.Context) {
	if now := r.cfg.Clock.Boot(); r.lastLeaseFailure > 0 && now-r.lastLeaseFailure < leaseRetryPause {
		return
	}
	g, err := r.cfg.LeaseLog.Grant(ctx, max(0, r.lease.NextOffset()-1))
	var trimmed *feed.ErrTrimmed
	if errors.As(err, &trimmed) {
		g, err = r.cfg.LeaseLog.Grant(ctx, trimmed.First)
	}
	now := r.cfg.Clock.Boot()
	r.lastLeaseNews = now
	if err != nil {
		r.lastLeaseFailure = now
		r.cfg.Logger.Warn("failed to read lease", "error", err)
		return
	}
	r.lastLeaseFailure = 0
	r.lease.Observe(g, now)
	if r.lease.Holds(now) {
		// An append of this host whose outcome was unknown has succeeded.
		r.startTenure()
	}
	r.cfg.Logger.Info("lease read", "holder", g.Holder, "era", g.Era, "end", g.End)
}

// requestReports requests the reports of the engines that have an order in progress.
func (r *Runner) requestReports(ctx context.Context) {
	view := r.cfg.Mirror.View()
	now := r.cfg.Clock.Boot()
	for id := range r.plan.InProgress() {
		if e := view.Endpoints[id]; e != nil && now-r.lastContact[id] >= reportInterval {
			r.lastContact[id] = now
			r.start(ctx, &task{r: r, endpoint: e})
		}
	}
}

// start runs a task in the background. If too many tasks are running, a report is
// skipped and an order counts as a conflict, so that it is planned again.
func (r *Runner) start(ctx context.Context, t *task) {
	select {
	case r.running <- struct{}{}:
		r.lastContact[t.endpoint.ID] = r.cfg.Clock.Boot()
		go t.run(ctx)
	default:
		if t.step != nil {
			r.plan.HandleVerdict(*t.step, feed.Conflict, nil, r.cfg.Clock.Boot())
		}
	}
}

// collectResults handles the results of all finished tasks.
func (r *Runner) collectResults() {
	for {
		select {
		case t := <-r.finished:
			<-r.running
			r.handleResult(t)
		default:
			return
		}
	}
}

func (r *Runner) handleResult(t *task) {
	now := r.cfg.Clock.Boot()
	if t.step == nil {
		if t.err != nil {
			r.cfg.Logger.Debug("failed to get report of engine", "endpoint", t.endpoint.ID, "error", t.err)
			return
		}
		r.plan.HandleReport(t.endpoint.ID, t.report, now)
		return
	}
	r.plan.HandleVerdict(*t.step, t.verdict, t.err, now)
	r.cfg.Logger.Info("order result", "endpoint", t.endpoint.ID, "model", t.step.Model, "have", t.step.CurrentVersion, "version", t.step.TargetVersion,
		"order-count", t.step.OrderCount, "fence", t.fence, "verdict", t.verdict.String(), "error", t.err)
}

// task is a request for a report, or an order, to one engine.
type task struct {
	r        *Runner
	endpoint *site.Endpoint
	// step is the order to send; nil for a report.
	step *plan.Step
	// tenure is the number of the tenure in which the order was planned, and fence the
	// fencing token with which it was sent.
	tenure int
	fence  int64

	report  feed.Report
	verdict feed.Verdict
	err     error
}

func (t *task) run(ctx context.Context) {
	if t.step == nil || clock.Sleep(ctx, t.r.cfg.Clock, t.step.At-t.r.cfg.Clock.Boot()) == nil {
		t.execute(ctx)
	}
	t.r.finished <- t
}

// execute requests the report or sends the order. An order needs the number of orders
// that the engine has accepted, so an unknown count is requested first. The lease is
// checked immediately before the order is sent.
func (t *task) execute(ctx context.Context) {
	engines := t.r.cfg.Engines
	if t.step == nil || t.step.OrderCount == plan.UnknownOrderCount {
		t.report, t.err = engines.Report(ctx, t.endpoint)
		if t.err != nil || t.step == nil {
			return
		}
		t.step.OrderCount = t.report.OrderCount
	}
	held := t.r.held.Load()
	if held.number != t.tenure || t.r.cfg.Clock.Boot() >= held.until {
		t.err = errLeaseExpired
		return
	}
	t.fence = held.fence
	t.verdict, t.err = engines.Send(ctx, t.endpoint, feed.Order{
		Model:        t.step.Model,
		Version:      t.step.TargetVersion,
		OrderCount:   t.step.OrderCount,
		Holder:       t.r.cfg.Host,
		FencingToken: t.fence,
	})
}

var errLeaseExpired = errors.New("lease expired before the order was sent")
