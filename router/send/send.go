package send

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/retry"
	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/index"
	"cicadastand.dev/core/trans/dialer"
)

// Views gives the configuration in force.
type Views interface {
	View() *conf.View
}

// Prober asks an endpoint for its report now.
type Prober interface {
	// Probe returns the incarnation that the endpoint reports.
	Probe(ctx context.Context, e fleet.Endpoint) (string, error)
}

// Notifier tells the other hosts of a suspect without delay.
type Notifier interface {
	Suspect(ctx context.Context, s poison.Suspect)
}

// Config says what a Dispatcher works with.
type Config struct {
	Clock         clock.Service
	Views         Views
	Policy        route.Policy
	Health        *health.Table
	Index         *index.Index
	Poison        *poison.Table
	Prober        Prober
	Notifier      Notifier
	FailureDomain string
	// StallTimeout is how long an engine may make no progress.
	StallTimeout time.Duration
	// Dial makes connections to engines.
	Dial    dialer.Func
	Logger  hclog.Logger
	Metrics *metrics.Set
}

const (
	// maxSends bounds how often one request is sent.
	maxSends           = 6
	idleConnsPerEngine = 64
	probeTimeout       = 300 * time.Millisecond
	// retryDelay is the wait before the same engine is asked again.
	retryDelay = 20 * time.Millisecond
)

// resumeBudget bounds repeats after an engine broke off: those are fewer than
// refusals and have costly work behind them.
var resumeBudget = retry.Config{Ratio: 0.5, Burst: 64}

// Dispatcher runs jobs on engines.
type Dispatcher struct {
	cfg          Config
	http         *http.Client
	retries      *retry.Set
	resumes      *retry.Set
	ownerHitRate *route.HitRate

	sends      *metrics.Counter
	retried    *metrics.Counter
	mismatches *metrics.Counter
	dropped    *metrics.Counter
	crashes    *metrics.Counter
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnsPerEngine, DialContext: cfg.Dial}
	return &Dispatcher{
		cfg:          cfg,
		http:         &http.Client{Transport: transport},
		retries:      retry.NewSet(retry.DefaultConfig()),
		resumes:      retry.NewSet(resumeBudget),
		ownerHitRate: route.NewHitRate(),
		sends:        cfg.Metrics.NewCounter("cicada_engine_sends_total"),
		retried:      cfg.Metrics.NewCounter("cicada_engine_repeats_total"),
		mismatches:   cfg.Metrics.NewCounter("cicada_engine_mismatches_total"),
		dropped:      cfg.Metrics.NewCounter("cicada_engine_answers_dropped_total"),
		crashes:      cfg.Metrics.NewCounter("cicada_engine_crashes_total"),
	}
}

// Close drops idle connections.
func (d *Dispatcher) Close() { d.http.CloseIdleConnections() }

// run is the state of one job over its sends.
type run struct {
	job    *Job
	sink   Sink
	result Result
	// next is the number of events that the sink has.
	next int
	// prompt is the work that the chosen endpoint is expected to have.
	prompt health.Prompt
	// cached is the number of leading pieces that the chosen endpoint is known to
	// hold, and owned says that it is the owner of the request's prefix.
	cached  float64
	isOwner bool
	// offloaded is the number of leading pieces expected in the store of kept KV cache.
	offloaded float64
	// wasLive says that the chosen endpoint was live when the request was sent. A
	// request that meets a dead endpoint has no part in its crash.
	wasLive bool
	// mayHaveRun says that an engine may have run a part of the request.
	mayHaveRun bool
	// tried holds the endpoints that failed since the last progress.
	tried map[string]bool
}

// Run sends a job until its answer is whole. It returns ErrNoEndpoint,
// poison.ErrRejected, ErrCaller, ErrIncomplete, or an openai.Error of the engine.
func (d *Dispatcher) Run(ctx context.Context, job *Job, sink Sink) (Result, error) {
	r := &run{job: job, sink: sink, next: job.Resume, tried: make(map[string]bool)}
	job.demand = d.cfg.Index.CountRequest(job.chain, d.cfg.Clock.Now())
	d.retries.Get(job.Account).Deposit()
	d.resumes.Get(job.Account).Deposit()
	var last error
	for r.result.Sends < maxSends {
		if err := d.cfg.Poison.Check(job.fingerprint, d.cfg.Views.View().Fleet.CrashLimit, d.cfg.Clock.Now()); err != nil {
			return r.result, d.callerError(r, err)
		}
		endpoint, err := d.choose(ctx, r)
		if err != nil {
			return r.result, d.callerError(r, errors.Join(err, last))
		}
		err = d.send(ctx, r, endpoint)
		if err == nil {
			d.cfg.Poison.RecordCompletion(job.fingerprint)
			return r.result, nil
		}
		last = err
		if !d.mayRetry(ctx, r, endpoint, err) {
			break
		}
		d.retried.Inc()
	}
	return r.result, d.callerError(r, last)
}

// callerError gives an error its type for the caller.
func (d *Dispatcher) callerError(r *run, err error) error {
	var failed *sendError
	if errors.As(err, &failed) && failed.fault == faultCaller {
		return &ErrCaller{Err: failed.err}
	}
	var answer *openai.Error
	if errors.As(err, &answer) {
		return answer
	}
	if r.next > r.job.Resume {
		return &ErrIncomplete{Events: r.next, Err: err}
	}
	if !r.mayHaveRun {
		return &ErrRejected{Err: err}
	}
	return err
}

// mayRetry decides whether a failed send may be followed by another one.
func (d *Dispatcher) mayRetry(ctx context.Context, r *run, e fleet.Endpoint, err error) bool {
	var failed *sendError
	if !errors.As(err, &failed) || ctx.Err() != nil {
		r.mayHaveRun = true
		return false
	}
	r.mayHaveRun = r.mayHaveRun || failed.fault != faultRejected && failed.fault != faultUnreachable
	log := d.cfg.Logger.With("request", r.job.ID, "endpoint", e.Name)
	now := d.cfg.Clock.Now()
	account := r.job.Account
	switch failed.fault {
	case faultCaller, faultInvalid:
		return false
	case faultMismatch:
		d.mismatches.Inc()
		log.Info("endpoint has changed", "error", failed.err)
		_, _ = d.probe(ctx, e)
		return clock.Sleep(ctx, d.cfg.Clock, retryDelay) == nil
	case faultUnreachable:
		d.cfg.Health.RecordFailure(e.Name, now)
		r.tried[e.Name] = true
		return d.retries.Get(account).TryWithdraw()
	case faultRejected:
		r.tried[e.Name] = true
		return d.retries.Get(account).TryWithdraw()
	case faultStalled:
		log.Warn("endpoint makes no progress", "events", r.next)
		d.cfg.Health.RecordCrash(e.Name, now)
		r.tried[e.Name] = true
		return d.resumes.Get(account).TryWithdraw()
	default:
		d.handleDisconnect(ctx, r, e, log)
		return d.resumes.Get(account).TryWithdraw()
	}
}

// handleDisconnect finds out whether the endpoint crashed, or the connection alone broke.
func (d *Dispatcher) handleDisconnect(ctx context.Context, r *run, e fleet.Endpoint, log hclog.Logger) {
	r.tried[e.Name] = true
	// The endpoint is in doubt before the probe ends, so that requests on their way
	// to another send avoid it.
	d.cfg.Health.RecordCrash(e.Name, d.cfg.Clock.Now())
	before := d.cfg.Health.Get(e.Name).Report.Incarnation
	after, err := d.probe(ctx, e)
	if err == nil && after == before {
		log.Warn("answer broke off", "events", r.next)
		return
	}
	d.crashes.Inc()
	if !r.wasLive {
		log.Warn("endpoint was down already", "events", r.next)
		return
	}
	now := d.cfg.Clock.Now()
	s := d.cfg.Poison.RecordCrash(r.job.fingerprint, now)
	log.Warn("endpoint crashed", "events", r.next, "crashes-of-request", s.Crashes)
	d.cfg.Notifier.Suspect(ctx, s)
}

func (d *Dispatcher) probe(ctx context.Context, e fleet.Endpoint) (string, error) {
	ctx, cancel := clock.WithTimeout(ctx, d.cfg.Clock, probeTimeout)
	defer cancel()
	return d.cfg.Prober.Probe(ctx, e)
}
