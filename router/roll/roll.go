// Package roll gives engines their orders to load weights.
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
)

// Views gives the configuration in force.
type Views interface {
	View() *conf.View
}

// Duties tells whether this host does what one host does for all.
type Duties interface {
	Mine(duty string) bool
}

// Config says what a Runner works with.
type Config struct {
	Clock  clock.Service
	Views  Views
	Duties Duties
	Health *health.Table
	// Dial makes connections to engines.
	Dial   dialer.Func
	Logger hclog.Logger
}

const (
	interval     = 200 * time.Millisecond
	orderTimeout = time.Minute
	// settleTime is how long an engine that took an order may report its old state.
	settleTime    = time.Second
	maxReplyBytes = 64 << 10
)

// Runner gives orders while this host is the one to do it. Two hosts that both
// do give the same orders, and engines that check fencing numbers refuse those
// made from an older fleet description.
//
// Lock order: Runner.mu is a leaf.
type Runner struct {
	cfg     Config
	http    *http.Client
	mu      sync.Mutex
	ordered map[string]bool
	orders  sync.WaitGroup
}

// New returns a runner that has not started.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, http: &http.Client{Transport: &http.Transport{DialContext: cfg.Dial}}, ordered: make(map[string]bool)}
}

// Run gives orders until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	sub := r.cfg.Clock.Subscribe(interval)
	defer sub.Stop()
	defer r.http.CloseIdleConnections()
	defer r.orders.Wait()
	for {
		select {
		case <-sub.C():
			r.round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) round(ctx context.Context) {
	view := r.cfg.Views.View()
	if !r.cfg.Duties.Mine("roll") {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	plan := roll.Plan(roll.Input{Fleet: view.Fleet, Status: r.cfg.Health.All(), InProgress: r.ordered})
	for _, o := range plan {
		r.ordered[o.Endpoint.Name] = true
		r.orders.Add(1)
		j := &job{r: r, order: o, fence: view.FleetVersion}
		go j.run(ctx)
	}
}

// job is one order on its way.
type job struct {
	r     *Runner
	order roll.Order
	fence uint64
}

func (j *job) run(ctx context.Context) {
	defer j.r.orders.Done()
	defer j.r.done(j.order.Endpoint.Name)
	log := j.r.cfg.Logger.With("endpoint", j.order.Endpoint.Name, "model", j.order.Model, "weights", j.order.WeightsVersion)
	log.Info("weights ordered", "fence", j.fence)
	if err := j.r.send(ctx, j.order, j.fence); err != nil {
		log.Warn("order failed", "error", err)
		return
	}
	// The report lags: the engine is left alone until it can tell of the new state.
	_ = clock.Sleep(ctx, j.r.cfg.Clock, settleTime)
}

func (r *Runner) done(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.ordered, name)
}

func (r *Runner) send(ctx context.Context, o roll.Order, fence uint64) error {
	ctx, cancel := clock.WithTimeout(ctx, r.cfg.Clock, orderTimeout)
	defer cancel()
	body, err := json.Marshal(engine.Order{Fence: fence, Model: o.Model, WeightsVersion: o.WeightsVersion, Adapter: o.Adapter})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Endpoint.Address.String()+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make order: %w", err)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("engine answered %d: %s", resp.StatusCode, bytes.TrimSpace(raw))
	}
	return nil
}
