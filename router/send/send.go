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
	"cicadastand.dev/core/trans/httpc"
)

// Views provides the current configuration.
type Views interface {
	View() *conf.View
}

// Prober requests an endpoint's report immediately.
type Prober interface {
	// Probe returns the incarnation that the endpoint reports.
	Probe(ctx context.Context, e fleet.Endpoint) (string, error)
}

// Notifier notifies the other hosts immediately of a request that is suspected of
// crashing engines.
type Notifier interface {
	Suspect(ctx context.Context, s poison.Suspect)
}

// Config holds the dependencies and settings of a Dispatcher.
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
	// StallTimeout is the maximum time between two events of an engine.
	StallTimeout time.Duration
	// Dial opens connections to engines.
	Dial    dialer.Func
	Logger  hclog.Logger
	Metrics *metrics.Set
}

const (
	// maxSends is the maximum number of attempts for one request.
	maxSends           = 6
	idleConnsPerEngine = 64
	probeTimeout       = 300 * time.Millisecond
	// retryDelay is the wait before a retry that may go to the same engine.
	retryDelay = 20 * time.Millisecond
)

// resumeBudget limits the retries after a disconnect. These are rarer than
// rejections, and each saves computation that was already done.
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

// New returns a Dispatcher and registers its metrics.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:          cfg,
		http:         httpc.New(httpc.Config{Dial: cfg.Dial, MaxIdlePerHost: idleConnsPerEngine}),
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

// Close closes idle connections.
func (d *Dispatcher) Close() { d.http.CloseIdleConnections() }

// run is the state of one job across its attempts.
type run struct {
	job    *Job
	sink   Sink
	result Result
	// next is the number of events that the sink has received.
	next int
	// prompt is the prefill work expected at the chosen endpoint.
	prompt health.Prompt
	// cached is the expected number of leading pieces in the cache of the chosen
	// endpoint. isOwner is set if it is the rendezvous owner of the request's prefix.
	cached  float64
	isOwner bool
	// offloaded is the expected number of leading pieces in the KV cache store.
	offloaded float64
	// wasLive is set if the chosen endpoint was live when the request was sent. A
	// request sent to an endpoint that was down already did not cause the crash.
	wasLive bool
	// mayHaveRun is set if an engine may have run a part of the request.
	mayHaveRun bool
	// tried holds the endpoints that failed since the last event.
	tried map[string]bool
}

// Run sends a job to engines until its response is complete. It returns
// ErrNoEndpoint, ErrRejected, poison.ErrRejected, ErrCaller, ErrIncomplete, or an
// openai.Error of the engine.
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

// callerError converts an error to the types that Run returns.
func (d *Dispatcher) callerError(r *run, err error) error {
	var failed *sendError
	if errors.As(err, &failed) && failed.fault == faultCaller {
		return &ErrCaller{Err: failed.err}
	}
	var engineErr *openai.Error
	if errors.As(err, &engineErr) {
		return engineErr
	}
	if r.next > r.job.Resume {
		return &ErrIncomplete{Events: r.next, Err: err}
	}
	if !r.mayHaveRun {
		return &ErrRejected{Err: err}
	}
	return err
}

// mayRetry records a failed attempt and reports whether the job may be sent again.
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
		log.Info("response does not match the expected incarnation, weights or request", "error", failed.err)
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
		log.Warn("endpoint stalled", "events", r.next)
		d.cfg.Health.RecordCrash(e.Name, now)
		r.tried[e.Name] = true
		return d.resumes.Get(account).TryWithdraw()
	default:
		d.handleDisconnect(ctx, r, e, log)
		return d.resumes.Get(account).TryWithdraw()
	}
}

// handleDisconnect probes the endpoint to find out whether it crashed or only the
// connection failed.
func (d *Dispatcher) handleDisconnect(ctx context.Context, r *run, e fleet.Endpoint, log hclog.Logger) {
	r.tried[e.Name] = true
	// The crash is recorded before the probe, so that other requests avoid the endpoint
	// in the meantime.
	d.cfg.Health.RecordCrash(e.Name, d.cfg.Clock.Now())
	before := d.cfg.Health.Get(e.Name).Report.Incarnation
	after, err := d.probe(ctx, e)
	if err == nil && after == before {
		log.Warn("connection to endpoint lost, endpoint did not restart", "events", r.next)
		return
	}
	d.crashes.Inc()
	if !r.wasLive {
		log.Warn("endpoint was down before the request was sent", "events", r.next)
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
