// Package roll sends the orders of the rollout plan, which make engines load weights.
package roll

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/roll"
	"cicadastand.dev/core/proto/engine"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/trans/dialer"
	"cicadastand.dev/core/trans/httpc"
)

// Views returns the current configuration.
type Views interface {
	View() *conf.View
}

// Tasks tells whether this host runs a task that one host runs for all hosts.
type Tasks interface {
	IsOwner(task string) bool
}

// Config holds the dependencies of a Runner.
type Config struct {
	Clock  clock.Service
	Views  Views
	Tasks  Tasks
	Health *health.Table
	// Dial opens connections to engines.
	Dial   dialer.Func
	Logger hclog.Logger
}

const (
	interval     = 200 * time.Millisecond
	orderTimeout = time.Minute
	// settleTime is how long an engine may still report its old state after it accepted an
	// order.
	settleTime       = time.Second
	maxResponseBytes = 64 << 10
)

// Runner sends orders while this host owns the task. Two hosts that both own it for a
// while send the same orders, and engines that check fencing tokens reject orders that
// are based on an older fleet description.
//
// Lock order: Runner.mu is a leaf.
type Runner struct {
	cfg  Config
	http *http.Client
	mu   sync.Mutex
	// inProgress holds the names of the engines with an order in progress.
	inProgress map[string]bool
	pending    sync.WaitGroup
}

// New returns a runner; Run starts it.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, http: httpc.New(httpc.Config{Dial: cfg.Dial}), inProgress: make(map[string]bool)}
}

// Run sends orders until ctx ends, and returns when those in progress have ended.
func (r *Runner) Run(ctx context.Context) {
	sub := r.cfg.Clock.Subscribe(interval)
	defer sub.Stop()
	defer r.http.CloseIdleConnections()
	defer r.pending.Wait()
	for {
		select {
		case <-sub.C():
			r.sendPlanned(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// sendPlanned starts to send the orders that are due now.
func (r *Runner) sendPlanned(ctx context.Context) {
	view := r.cfg.Views.View()
	if !r.cfg.Tasks.IsOwner("roll") {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	orders := roll.Plan(roll.Input{Fleet: view.Fleet, Status: r.cfg.Health.All(), InProgress: r.inProgress})
	for _, o := range orders {
		r.inProgress[o.Endpoint.Name] = true
		r.pending.Add(1)
		j := &job{r: r, order: o, fencingToken: view.FleetVersion}
		go j.run(ctx)
	}
}

// job sends one order.
type job struct {
	r            *Runner
	order        roll.Order
	fencingToken uint64
}

func (j *job) run(ctx context.Context) {
	defer j.r.pending.Done()
	defer j.r.finish(j.order.Endpoint.Name)
	log := j.r.cfg.Logger.With("endpoint", j.order.Endpoint.Name, "model", j.order.Model, "weights", j.order.WeightsVersion)
	log.Info("sending order to load weights", "fence", j.fencingToken)
	if err := j.r.send(ctx, j.order, j.fencingToken); err != nil {
		log.Warn("order to load weights failed", "error", err)
		return
	}
	// Reports lag behind. The engine gets no further order until its report can show the
	// new state.
	_ = clock.Sleep(ctx, j.r.cfg.Clock, settleTime)
}

func (r *Runner) finish(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inProgress, name)
}

func (r *Runner) send(ctx context.Context, o roll.Order, fencingToken uint64) error {
	ctx, cancel := clock.WithTimeout(ctx, r.cfg.Clock, orderTimeout)
	defer cancel()
	body, err := json.Marshal(engine.Order{FencingToken: fencingToken, Model: o.Model, WeightsVersion: o.WeightsVersion, Adapter: o.Adapter})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Endpoint.Address.String()+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create order request: %w", err)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("engine responded with status %d: %s", resp.StatusCode, bytes.TrimSpace(raw))
	}
	return nil
}
