// Package weight brings engines to the newest weights. One host at a time does
// so for all, by a lease.
package weight

import (
	"context"
	"errors"
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

// LeaseLog is the log on which the lease is granted.
type LeaseLog interface {
	// Grant returns the last grant, reading from an offset on.
	Grant(ctx context.Context, from int64) (feed.Grant, error)
	// Take adds a grant if the log ends at an offset.
	Take(ctx context.Context, at int64, holder, nonce string) error
}

// Engines is the engines' own interface.
type Engines interface {
	Report(ctx context.Context, e *site.Endpoint) (feed.Report, error)
	Send(ctx context.Context, e *site.Endpoint, o feed.Order) (feed.Verdict, error)
}

// Loads tells how many requests are at each engine.
type Loads func() map[string]int

// Clock is the service that tells both kinds of time.
type Clock interface {
	clock.Service
	clock.Boot
}

// Config says what a Runner works with.
type Config struct {
	Clock  Clock
	Host   string
	Lease  time.Duration
	Mirror *mirror.Mirror
	// MayLead reports whether this host asks for the lease. A few in each failure
	// domain are enough.
	MayLead  func() bool
	LeaseLog LeaseLog
	Engines  Engines
	Loads    Loads
	// Pauses is told when engines load weights, and Announce tells peers of it.
	Pauses   *pause.Table
	Announce func(ctx context.Context)
	// PropagationTime is the time that peers need to learn of a pause.
	PropagationTime func() time.Duration
	Logger          hclog.Logger
}

const (
	// stepInterval is the time between looks at the work.
	stepInterval = 50 * time.Millisecond
	// yieldTime is how long a host leaves new work to the one that had the lease
	// last, which need not wait for it.
	yieldTime = 300 * time.Millisecond
	// reportInterval is the time between reports of an engine that changes.
	reportInterval = 100 * time.Millisecond
	// pauseLead is how long before its order an engine is paused: an order turns
	// away what waits there, and most of that has begun by then.
	pauseLead = 60 * time.Millisecond
	// pauseMargin is left after the expected end of a load.
	pauseMargin = 40 * time.Millisecond
	// maxTasks bounds the calls to engines that are on their way.
	maxTasks = 64
)

// Runner gives orders while this host holds the lease.
type Runner struct {
	cfg           Config
	lease         *lease.Lease
	plan          *plan.Plan
	outdatedSince time.Duration
	lastContact   map[string]time.Duration
	// running counts the tasks on their way; done has room for all of them.
	running  chan struct{}
	finished chan *task
}

// New returns a runner.
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

// Run looks after the weights until ctx ends.
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

// Step does what is due now.
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
	if !r.lease.Holds(now) && !r.acquire(ctx, now) {
		return
	}
	if r.lease.ShouldRenew(now) {
		r.acquire(ctx, now)
	}
	r.requestReports(ctx)
	next := r.plan.Next(r.cfg.Mirror.View(), r.cfg.Loads(), r.cfg.Clock.Boot(), r.cfg.PropagationTime())
	r.planPauses(ctx, next)
	until := r.lease.Until()
	for _, s := range next {
		t := &task{r: r, endpoint: s.Endpoint, step: &s, until: until, fence: r.lease.FencingToken()}
		r.start(ctx, t)
	}
}

// planPauses plans the pauses that orders need, and tells peers at once.
func (r *Runner) planPauses(ctx context.Context, next []plan.Step) {
	for _, s := range next {
		r.cfg.Pauses.Plan(s.Endpoint.ID, pause.Span{From: s.At - pauseLead, Until: s.At + s.LoadTime + pauseMargin, Weights: s.TargetVersion})
	}
	if len(next) > 0 {
		r.cfg.Announce(ctx)
	}
}

// acquire asks for the lease once that can succeed.
func (r *Runner) acquire(ctx context.Context, now time.Duration) bool {
	if !r.cfg.MayLead() {
		return false
	}
	if !r.lease.Known() {
		r.readLease(ctx)
		return false
	}
	if r.lease.Wait(now) > 0 || !r.lease.IsLastHolder() && r.lease.NextOffset() > 0 && now-r.outdatedSince < yieldTime {
		return false
	}
	nonce := uuid.NewString()
	r.lease.BeginAppend(nonce, now)
	err := r.cfg.LeaseLog.Take(ctx, r.lease.NextOffset(), r.cfg.Host, nonce)
	switch {
	case err == nil:
		if !r.lease.IsLastHolder() {
			r.plan.Reset()
		}
		r.lease.AppendSucceeded()
		r.cfg.Logger.Info("lease taken", "fence", r.lease.FencingToken())
		return true
	case feed.IsErrLeaseTaken(err):
		r.readLease(ctx)
	default:
		r.cfg.Logger.Warn("lease not taken, outcome is open", "error", err)
		r.lease.AppendUnresolved()
	}
	return false
}

func (r *Runner) readLease(ctx context.Context) {
	g, err := r.cfg.LeaseLog.Grant(ctx, max(0, r.lease.NextOffset()-1))
	if feed.IsErrTrimmed(err) {
		g, err = r.cfg.LeaseLog.Grant(ctx, r.lease.NextOffset())
	}
	if err != nil {
		r.cfg.Logger.Warn("lease can't be read", "error", err)
		return
	}
	r.lease.Observe(g, r.cfg.Clock.Boot())
	r.cfg.Logger.Info("lease read", "holder", g.Holder, "end", g.End)
}

// requestReports asks the engines that change whether they are done.
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

// start runs a task beside the others, unless too many are on their way.
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

// collectResults takes what tasks have brought.
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
			r.cfg.Logger.Debug("no report", "endpoint", t.endpoint.ID, "error", t.err)
			return
		}
		r.plan.HandleReport(t.endpoint.ID, t.report, now)
		return
	}
	r.plan.HandleVerdict(*t.step, t.verdict, t.err, now)
	r.cfg.Logger.Info("order", "endpoint", t.endpoint.ID, "model", t.step.Model, "have", t.step.CurrentVersion, "version", t.step.TargetVersion,
		"order-count", t.step.OrderCount, "fence", t.fence, "verdict", t.verdict.String(), "error", t.err)
}

// task is a report or an order on its way to one engine.
type task struct {
	r        *Runner
	endpoint *site.Endpoint
	// step is the order to give; nil for a report.
	step *plan.Step
	// until is when the lease ends whose fencing token is fence.
	until time.Duration
	fence int64

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

// execute gives the order, once the engine's count of orders is known. The lease is
// looked at last thing before it is sent.
func (t *task) execute(ctx context.Context) {
	engines := t.r.cfg.Engines
	if t.step == nil || t.step.OrderCount == plan.UnknownOrderCount {
		t.report, t.err = engines.Report(ctx, t.endpoint)
		if t.err != nil || t.step == nil {
			return
		}
		t.step.OrderCount = t.report.OrderCount
	}
	if t.r.cfg.Clock.Boot() >= t.until {
		t.err = errLeaseExpired
		return
	}
	t.verdict, t.err = engines.Send(ctx, t.endpoint, feed.Order{
		Model:      t.step.Model,
		Version:    t.step.TargetVersion,
		OrderCount: t.step.OrderCount,
		Holder:     t.r.cfg.Host,
		Fence:      t.fence,
	})
}

var errLeaseExpired = errors.New("lease is over")
