// Package weight brings engines to the newest weights. One host at a time does
// so for all, by a lease.
package weight

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	lop "github.com/samber/lo/parallel"

	"cicadastand.dev/core/coord/lease"
	"cicadastand.dev/core/coord/plan"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/sight"
	"cicadastand.dev/core/state/site"
)

// Leases is the log on which the lease is granted.
type Leases interface {
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

// Timer is the service that tells both kinds of time.
type Timer interface {
	clock.Service
	clock.Boot
}

// Config says what a Runner works with.
type Config struct {
	Clock Timer
	Host  string
	Lease time.Duration
	Board *sight.Board
	// MayLead reports whether this host asks for the lease. A few in each failure
	// domain are enough.
	MayLead func() bool
	Leases  Leases
	Engines Engines
	Loads   Loads
	// Changed is told which engines are about to change weights.
	Changed func(ctx context.Context, engines map[string]bool)
	Logger  hclog.Logger
}

const (
	// interval is the time between looks at the work.
	interval = 50 * time.Millisecond
	// yieldTime is how long a host leaves new work to the one that had the lease
	// last, which need not wait for it.
	yieldTime = 300 * time.Millisecond
	// reportInterval is the time between reports of an engine that changes.
	reportInterval = 250 * time.Millisecond
	// pauseNotice is the time in which peers stop sending to an engine before it
	// gets its order.
	pauseNotice = 20 * time.Millisecond
)

// Runner gives orders while this host holds the lease.
type Runner struct {
	cfg    Config
	lease  *lease.Lease
	plan   *plan.Plan
	noted  time.Duration
	asked  map[string]time.Duration
	paused map[string]bool
}

// New returns a runner.
func New(cfg Config) *Runner {
	return &Runner{
		cfg:    cfg,
		lease:  lease.New(lease.Config{Host: cfg.Host, Duration: cfg.Lease}),
		plan:   plan.New(),
		asked:  make(map[string]time.Duration),
		paused: make(map[string]bool),
	}
}

// Run looks after the weights until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	tick := r.cfg.Clock.Subscribe(interval)
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
	behind := r.plan.Behind(r.cfg.Board.View(), now)
	if len(behind) == 0 {
		r.noted = 0
		r.pause(ctx, nil)
		return
	}
	if r.noted == 0 {
		r.noted = now
	}
	if !r.lease.Holds(now) && !r.acquire(ctx, now) {
		return
	}
	r.check(ctx)
	next := r.plan.Next(r.cfg.Board.View(), r.cfg.Loads(), r.cfg.Clock.Boot())
	r.pause(ctx, r.plan.Changing())
	if len(next) > 0 && clock.Sleep(ctx, r.cfg.Clock, pauseNotice) != nil {
		return
	}
	r.orders(ctx, next)
}

func (r *Runner) pause(ctx context.Context, engines map[string]bool) {
	if len(engines) == 0 && len(r.paused) == 0 {
		return
	}
	r.paused = engines
	r.cfg.Changed(ctx, engines)
}

// acquire asks for the lease once that can succeed.
func (r *Runner) acquire(ctx context.Context, now time.Duration) bool {
	if !r.cfg.MayLead() {
		return false
	}
	if !r.lease.Known() {
		r.read(ctx)
		return false
	}
	if r.lease.Wait(now) > 0 || !r.lease.WasLast() && now-r.noted < yieldTime {
		return false
	}
	nonce := uuid.NewString()
	r.lease.Asked(nonce, now)
	err := r.cfg.Leases.Take(ctx, r.lease.End(), r.cfg.Host, nonce)
	switch {
	case err == nil:
		if !r.lease.WasLast() {
			r.plan.Reset()
		}
		r.lease.Won()
		r.cfg.Logger.Info("lease taken", "fence", r.lease.Fence())
		return true
	case feed.IsErrMoved(err):
		r.read(ctx)
	default:
		r.cfg.Logger.Warn("lease not taken, outcome is open", "error", err)
		r.lease.Open()
	}
	return false
}

func (r *Runner) read(ctx context.Context) {
	g, err := r.cfg.Leases.Grant(ctx, max(0, r.lease.End()-1))
	if feed.IsErrTrimmed(err) {
		g, err = r.cfg.Leases.Grant(ctx, r.lease.End())
	}
	if err != nil {
		r.cfg.Logger.Warn("lease can't be read", "error", err)
		return
	}
	r.lease.Learn(g, r.cfg.Clock.Boot())
	r.cfg.Logger.Info("lease read", "holder", g.Holder, "end", g.End)
}

// check asks the engines that change whether they are done, all at once.
func (r *Runner) check(ctx context.Context) {
	view := r.cfg.Board.View()
	now := r.cfg.Clock.Boot()
	var due []*site.Endpoint
	for id := range r.plan.Changing() {
		if e := view.Endpoints[id]; e != nil && now-r.asked[id] >= reportInterval {
			r.asked[id] = now
			due = append(due, e)
		}
	}
	for _, a := range lop.Map(due, func(e *site.Endpoint, _ int) answer { return r.report(ctx, e) }) {
		if a.err != nil {
			r.cfg.Logger.Debug("no report", "endpoint", a.endpoint.ID, "error", a.err)
			continue
		}
		r.plan.Reported(a.endpoint.ID, a.report, r.cfg.Clock.Boot())
	}
}

// answer is what an engine said to a report or an order.
type answer struct {
	endpoint *site.Endpoint
	report   feed.Report
	step     plan.Step
	verdict  feed.Verdict
	err      error
}

func (r *Runner) report(ctx context.Context, e *site.Endpoint) answer {
	report, err := r.cfg.Engines.Report(ctx, e)
	return answer{endpoint: e, report: report, err: err}
}

// orders gives orders, all at once.
func (r *Runner) orders(ctx context.Context, steps []plan.Step) {
	for _, a := range lop.Map(steps, func(s plan.Step, _ int) answer { return r.order(ctx, s) }) {
		s := a.step
		r.plan.Ordered(s, a.verdict, a.err, r.cfg.Clock.Boot())
		r.cfg.Logger.Info("order", "endpoint", s.Endpoint.ID, "model", s.Model, "have", s.Have, "version", s.Version,
			"order-count", s.OrderCount, "fence", r.lease.Fence(), "verdict", a.verdict.String(), "error", a.err)
	}
}

// order gives one order, once the engine's count of orders is known. The lease
// is looked at last thing before it is sent.
func (r *Runner) order(ctx context.Context, s plan.Step) answer {
	if s.OrderCount == plan.Unknown {
		a := r.report(ctx, s.Endpoint)
		if a.err != nil {
			return answer{step: s, err: a.err}
		}
		s.OrderCount = a.report.OrderCount
	}
	if !r.lease.Holds(r.cfg.Clock.Boot()) {
		return answer{step: s, err: errLeaseOver}
	}
	verdict, err := r.cfg.Engines.Send(ctx, s.Endpoint, feed.Order{
		Model:      s.Model,
		Version:    s.Version,
		OrderCount: s.OrderCount,
		Holder:     r.cfg.Host,
		Fence:      r.lease.Fence(),
	})
	return answer{step: s, verdict: verdict, err: err}
}

var errLeaseOver = errors.New("lease is over")
