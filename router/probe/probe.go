// Package probe polls the endpoints for their status reports (load, weights,
// incarnation) and their cache events.
package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/proto/engine"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/index"
	"cicadastand.dev/core/state/prefix"
	"cicadastand.dev/core/trans/dialer"
	"cicadastand.dev/core/trans/httpc"
)

// Views returns the current configuration.
type Views interface {
	View() *conf.View
}

// Config holds the dependencies and settings of a Prober.
type Config struct {
	Clock  clock.Service
	Views  Views
	Health *health.Table
	Index  *index.Index
	// Interval is the time between two probes of an endpoint.
	Interval time.Duration
	// CacheEvents enables the reading of the engines' cache events.
	CacheEvents bool
	// Dial opens connections to endpoints.
	Dial   dialer.Func
	Logger hclog.Logger
}

const (
	workers        = 16
	probeTimeout   = time.Second
	maxReportBytes = 8 << 20
	healthInterval = 500 * time.Millisecond
)

// Prober polls endpoints. It is safe for concurrent use.
//
// Lock order: Prober.mu is a leaf.
type Prober struct {
	cfg  Config
	http *http.Client
	// jobs passes the endpoints to probe to the workers.
	jobs chan fleet.Endpoint
	mu   sync.Mutex
	// busy holds the names of the endpoints with a probe that is queued or running.
	busy    map[string]bool
	cursors map[string]cursor
}

// cursor is the position up to which an engine's cache events have been read.
type cursor struct {
	incarnation string
	sequence    uint64
}

// New returns a prober; Run starts it.
func New(cfg Config) *Prober {
	return &Prober{
		cfg:     cfg,
		http:    httpc.New(httpc.Config{Dial: cfg.Dial, MaxIdlePerHost: 2}),
		jobs:    make(chan fleet.Endpoint),
		busy:    make(map[string]bool),
		cursors: make(map[string]cursor),
	}
}

// Close closes idle connections.
func (p *Prober) Close() { p.http.CloseIdleConnections() }

// Run probes all endpoints periodically until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go p.loop(ctx, &wg)
	}
	tick := p.cfg.Clock.Subscribe(p.cfg.Interval)
	defer tick.Stop()
	healthTick := p.cfg.Clock.Subscribe(healthInterval)
	defer healthTick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C():
			p.enqueue(ctx)
		case <-healthTick.C():
			p.updateHealth()
		case <-ctx.Done():
		}
	}
	close(p.jobs)
	wg.Wait()
}

// loop is a worker: it probes the endpoints that it gets from p.jobs.
func (p *Prober) loop(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	for e := range p.jobs {
		p.checkEndpoint(ctx, e)
		p.clearBusy(e.Name)
	}
}

// enqueue passes all endpoints to the workers, except those whose last probe has not
// ended.
func (p *Prober) enqueue(ctx context.Context) {
	for _, e := range p.cfg.Views.View().Fleet.Endpoints {
		if !p.markBusy(e.Name) {
			continue
		}
		select {
		case p.jobs <- e:
		case <-ctx.Done():
			return
		}
	}
}

// markBusy reports false if a probe of the endpoint is already queued or running.
func (p *Prober) markBusy(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[name] {
		return false
	}
	p.busy[name] = true
	return true
}

func (p *Prober) clearBusy(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, name)
}

// updateHealth drops the state of removed endpoints and ejects endpoints that are
// suspected to have failed.
func (p *Prober) updateHealth() {
	known := make(map[string]bool)
	for _, e := range p.cfg.Views.View().Fleet.Endpoints {
		known[e.Name] = true
	}
	p.cfg.Health.Retain(known)
	for _, name := range p.cfg.Health.EjectSuspects(p.cfg.Clock.Now()) {
		p.cfg.Logger.Warn("endpoint ejected", "endpoint", name)
	}
}

func (p *Prober) checkEndpoint(ctx context.Context, e fleet.Endpoint) {
	ctx, cancel := clock.WithTimeout(ctx, p.cfg.Clock, probeTimeout)
	defer cancel()
	var err error
	if e.Kind == fleet.KindService {
		err = p.dial(ctx, e)
	} else {
		_, err = p.Probe(ctx, e)
		if err == nil && p.cfg.CacheEvents {
			p.readEvents(ctx, e)
		}
	}
	if err != nil && ctx.Err() != context.Canceled {
		p.cfg.Health.RecordFailure(e.Name, p.cfg.Clock.Now())
	}
}

// dial checks whether an endpoint of a service other than a model accepts connections.
func (p *Prober) dial(ctx context.Context, e fleet.Endpoint) error {
	sent := p.cfg.Clock.Now()
	conn, err := p.cfg.Dial(ctx, "tcp", e.Address.String())
	if err != nil {
		return fmt.Errorf("dial %s: %w", e.Name, err)
	}
	p.cfg.Health.RecordSuccess(e.Name, sent)
	return conn.Close()
}

// Probe reads an engine's report immediately and returns its incarnation.
func (p *Prober) Probe(ctx context.Context, e fleet.Endpoint) (string, error) {
	requested := p.cfg.Clock.Now()
	var load engine.Load
	if err := p.get(ctx, e, "/v1/load", &load); err != nil {
		return "", err
	}
	rep := health.Report{
		Incarnation:  load.Incarnation,
		Weights:      load.Weights,
		Adapters:     load.Adapters,
		Role:         load.Role,
		Running:      load.Running,
		Queued:       load.Queued,
		QueuedTokens: load.QueuedTokens,
		Leaving:      load.Leaving,
		Loading:      load.Loading,
		LastEvent:    load.LastEvent,
	}
	now := p.cfg.Clock.Now()
	if p.cfg.Health.RecordReport(e.Name, rep, requested, now) {
		p.cfg.Index.SetIncarnation(e.Name, load.Incarnation)
	} else {
		p.cfg.Logger.Debug("outdated report of endpoint ignored", "endpoint", e.Name, "incarnation", load.Incarnation, "took-ms", now.Sub(requested).Milliseconds())
	}
	return load.Incarnation, nil
}

// readEvents reads the cache events that follow the last ones read, and applies them to
// the index.
func (p *Prober) readEvents(ctx context.Context, e fleet.Endpoint) {
	p.mu.Lock()
	pos := p.cursors[e.Name]
	p.mu.Unlock()
	var body engine.EventsBody
	if err := p.get(ctx, e, "/v1/cache-events?from="+strconv.FormatUint(pos.sequence, 10), &body); err != nil {
		return
	}
	if body.Incarnation != pos.incarnation {
		pos = cursor{incarnation: body.Incarnation}
	}
	now := p.cfg.Clock.Now()
	for _, ev := range body.Events {
		pos.sequence = max(pos.sequence, ev.Sequence)
		p.applyEvent(e.Name, ev, now)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cursors[e.Name] = pos
}

func (p *Prober) applyEvent(endpoint string, ev engine.CacheEvent, now time.Time) {
	key, err := prefix.ParseKey(ev.Key)
	if err != nil {
		return
	}
	if ev.Kind == engine.EventEvicted {
		p.cfg.Index.Evict(endpoint, ev.Incarnation, key)
		return
	}
	p.cfg.Index.Confirm(endpoint, ev.Incarnation, []prefix.Key{key}, now)
}

func (p *Prober) get(ctx context.Context, e fleet.Endpoint, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address.String()+path, nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return fmt.Errorf("probe %s: %w", e.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return fmt.Errorf("read report of %s: %w", e.Name, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s responded with status %d", e.Name, resp.StatusCode)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("decode report of %s: %w", e.Name, err)
	}
	return nil
}
