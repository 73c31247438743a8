// Package node builds a router process from its components and runs it.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"cicadastand.dev/core/coord/claim"
	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/coord/limit"
	"cicadastand.dev/core/coord/member"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/proto/logapi"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/index"
	"cicadastand.dev/core/state/stream"
	"cicadastand.dev/core/trans/httpd"
	"cicadastand.dev/router/certs"
	"cicadastand.dev/router/front"
	"cicadastand.dev/router/invoke"
	"cicadastand.dev/router/oper"
	"cicadastand.dev/router/peer"
	"cicadastand.dev/router/pool"
	"cicadastand.dev/router/prefs"
	"cicadastand.dev/router/probe"
	"cicadastand.dev/router/roll"
	"cicadastand.dev/router/send"
	"cicadastand.dev/router/tasks"
)

// Clock provides the time, timers and the time since boot.
type Clock interface {
	clock.Service
	clock.Boot
}

// Node is a router process.
type Node struct {
	settings prefs.Settings
	scope    *do.RootScope
	logger   hclog.Logger
	clock    Clock
	started  time.Time

	front     *front.Server
	callers   *httpd.Server
	operators *httpd.Server

	cancel  context.CancelFunc
	workers sync.WaitGroup
	// maxMessages is the memory for incomplete messages of peers.
	maxMessages int64

	drainRequested chan struct{}
	drainOnce      sync.Once
}

// New builds the components of a process.
func New(settings prefs.Settings, service Clock, logger hclog.Logger) *Node {
	n := &Node{
		settings:       settings,
		scope:          do.New(),
		logger:         logger,
		clock:          service,
		started:        service.Now(),
		drainRequested: make(chan struct{}),
	}
	provide(n)
	return n
}

// worker runs one background loop of the process.
type worker struct {
	loop func(context.Context)
	done *sync.WaitGroup
}

func (w *worker) run(ctx context.Context) {
	defer w.done.Done()
	w.loop(ctx)
}

// Start opens the listeners and starts the background loops. After an error none of
// them runs.
func (n *Node) Start(ctx context.Context) error {
	if err := n.loadSnapshot(); err != nil {
		return err
	}
	if err := do.MustInvoke[*peer.Service](n.scope).Listen(ctx); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	// The loops outlive ctx: a graceful stop needs them until the last request ends.
	loops, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n.cancel = cancel
	for _, loop := range n.loops() {
		n.workers.Add(1)
		w := &worker{loop: loop, done: &n.workers}
		go w.run(loops)
	}
	if err := n.listen(ctx); err != nil {
		n.Close()
		return fmt.Errorf("start node: %w", err)
	}
	n.logger.Info("started", "callers", n.callers.Address(), "operators", n.operators.Address(), "peers", n.settings.Peers.Address)
	return nil
}

func (n *Node) loops() []func(context.Context) {
	return []func(context.Context){
		do.MustInvokeNamed[*follow.Reader](n.scope, stream.Config).Run,
		do.MustInvokeNamed[*follow.Reader](n.scope, stream.Claims).Run,
		do.MustInvoke[*claim.Coordinator](n.scope).Run,
		do.MustInvoke[*peer.Service](n.scope).Run,
		do.MustInvoke[*tasks.Runner](n.scope).Run,
		do.MustInvoke[*roll.Runner](n.scope).Run,
		do.MustInvoke[*probe.Prober](n.scope).Run,
		do.MustInvoke[*pool.Pool](n.scope).Run,
		do.MustInvoke[*httpd.Guard](n.scope).Run,
	}
}

func (n *Node) listen(ctx context.Context) error {
	callerTLS, err := serverTLS(n.settings.Callers.TLS)
	if err != nil {
		return err
	}
	operTLS, err := serverTLS(n.settings.Operators.TLS)
	if err != nil {
		return err
	}
	guard := do.MustInvoke[*httpd.Guard](n.scope)
	n.front = do.MustInvoke[*front.Server](n.scope)
	n.callers, err = httpd.Listen(ctx, httpd.Config{
		Address:      n.settings.Callers.Address,
		Handler:      n.front.Handler(),
		Clock:        n.clock,
		Logger:       n.logger.Named("callers"),
		TLS:          callerTLS,
		ReadTimeout:  n.settings.Callers.ReadTimeout,
		IdleTimeout:  n.settings.Callers.IdleTimeout,
		WriteTimeout: n.settings.Callers.WriteTimeout,
		Guard:        guard,
		Port:         hold.Callers,
	})
	if err != nil {
		return err
	}
	n.operators, err = httpd.Listen(ctx, httpd.Config{
		Address:      n.settings.Operators.Address,
		Handler:      do.MustInvoke[*oper.Server](n.scope).Handler(),
		Clock:        n.clock,
		Logger:       n.logger.Named("operators"),
		TLS:          operTLS,
		WriteTimeout: n.settings.Callers.WriteTimeout,
		Guard:        guard,
		Port:         hold.Operators,
	})
	return err
}

func serverTLS(files prefs.TLS) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	pair, err := certs.New(files)
	if err != nil {
		return nil, err
	}
	return pair.Server(), nil
}

// loadSnapshot loads the configuration snapshot that the settings name. Any newer
// configuration replaces it.
func (n *Node) loadSnapshot() error {
	if n.settings.Snapshot == "" {
		return nil
	}
	data, err := os.ReadFile(n.settings.Snapshot)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	snap, err := conf.DecodeSnapshot(data)
	if err != nil {
		return err
	}
	return do.MustInvoke[*follow.Store](n.scope).Restore(snap, "settings")
}

// Drain requests a graceful stop.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.drainRequested) }) }

// Draining returns a channel that is closed once a graceful stop was requested.
func (n *Node) Draining() <-chan struct{} { return n.drainRequested }

// ErrGraceExceeded reports a graceful stop that did not finish within the grace time.
var ErrGraceExceeded = errors.New("grace time of the stop ended before all requests and outcome records were complete")

// Stop stops the process gracefully. It announces the stop to peers, the load balancer
// and callers, waits until the requests in progress are complete and the claims stream
// has every outcome and every release of a claim, and closes the components. Requests that complete
// within the grace time are not interrupted.
func (n *Node) Stop(ctx context.Context) error {
	n.logger.Info("stopping", "in-flight", n.front.InFlight())
	ctx, cancel := clock.WithTimeout(ctx, n.clock, n.settings.Stop.Grace)
	defer cancel()
	do.MustInvoke[*peer.Service](n.scope).Leave(ctx)
	n.front.Stop()
	_ = clock.Sleep(ctx, n.clock, n.settings.Stop.Notice)
	n.callers.StopListening(ctx)
	n.linger(ctx)
	err := n.callers.Shutdown(ctx)
	if !do.MustInvoke[*claim.Coordinator](n.scope).Drain(ctx) || err != nil {
		err = ErrGraceExceeded
	}
	n.Close()
	n.logger.Info("stopped", "error", err)
	return err
}

// lingerInterval is the time between checks of the number of open connections.
const lingerInterval = 20 * time.Millisecond

// linger waits until callers have closed their kept-alive connections, at most for the
// linger time: each response tells the caller to close its connection. Closing an idle
// connection at once could race with a request that is already on its way, so only
// connections that are still open at the end of that time are closed.
func (n *Node) linger(ctx context.Context) {
	until := n.clock.Now().Add(n.settings.Stop.Linger)
	for n.callers.OpenConns() > 0 && n.clock.Now().Before(until) {
		if clock.Sleep(ctx, n.clock, lingerInterval) != nil {
			return
		}
	}
}

// Close closes the listeners, stops the loops and closes the components without waiting
// for requests.
func (n *Node) Close() {
	if n.callers != nil {
		n.callers.Close()
	}
	if n.operators != nil {
		n.operators.Close()
	}
	n.cancel()
	n.workers.Wait()
	do.MustInvoke[*peer.Service](n.scope).Close()
	do.MustInvoke[*logapi.Client](n.scope).Close()
	do.MustInvoke[*send.Dispatcher](n.scope).Close()
	do.MustInvoke[*invoke.Caller](n.scope).Close()
	do.MustInvoke[*probe.Prober](n.scope).Close()
}

// Ready reports whether the process can serve requests, and gives the reason if not.
func (n *Node) Ready() (bool, string) {
	store := do.MustInvoke[*follow.Store](n.scope)
	select {
	case <-n.drainRequested:
		return false, "stopping"
	default:
	}
	if store.Offset() == 0 {
		return false, "no configuration: neither log nor peer nor snapshot has given one"
	}
	return true, fmt.Sprintf("configuration at offset %d from %s", store.Offset(), store.Source())
}

// State is the diagnostic dump of a process.
type State struct {
	Host          string                   `json:"host"`
	FailureDomain string                   `json:"failure-domain"`
	Started       string                   `json:"started"`
	Uptime        string                   `json:"uptime"`
	Ready         string                   `json:"ready"`
	ConfigOffset  uint64                   `json:"config-offset"`
	ConfigSource  string                   `json:"config-source"`
	ConfigLag     string                   `json:"config-lag"`
	Contracts     int                      `json:"contracts"`
	InFlight      int64                    `json:"in-flight"`
	Hosts         []member.Host            `json:"hosts"`
	Endpoints     map[string]health.Status `json:"endpoints"`
	Gates         any                      `json:"gates"`
	Claims        claim.Stats              `json:"claims"`
	IndexKeys     int                      `json:"index-keys"`
	ActiveAccts   int                      `json:"active-accounts"`
	SplitAccts    int                      `json:"split-accounts"`
	Suspects      int                      `json:"suspects"`
}

// maxDumpSuspects bounds the poison request suspects that are counted for a dump.
const maxDumpSuspects = 1000

// Dump returns the state of the process for diagnosis by an operator.
func (n *Node) Dump() any {
	store := do.MustInvoke[*follow.Store](n.scope)
	now := n.clock.Now()
	_, ready := n.Ready()
	return State{
		Host:          n.settings.Host.Name,
		FailureDomain: n.settings.Host.FailureDomain,
		Started:       n.started.Format(time.RFC3339Nano),
		Uptime:        now.Sub(n.started).Round(time.Second).String(),
		Ready:         ready,
		ConfigOffset:  store.Offset(),
		ConfigSource:  store.Source(),
		ConfigLag:     configLag(store, now),
		Contracts:     store.View().Contracts(),
		InFlight:      n.front.InFlight(),
		Hosts:         do.MustInvoke[*member.Table](n.scope).Find(member.FindOptions{}),
		Endpoints:     do.MustInvoke[*health.Table](n.scope).All(),
		Gates:         do.MustInvoke[*pool.Pool](n.scope).Stats(),
		Claims:        do.MustInvoke[*claim.Coordinator](n.scope).Stats(),
		IndexKeys:     do.MustInvoke[*index.Index](n.scope).Len(),
		ActiveAccts:   do.MustInvoke[*limit.Limiter](n.scope).Len(),
		SplitAccts:    do.MustInvoke[*limit.Allocator](n.scope).Len(),
		Suspects:      len(do.MustInvoke[*poison.Table](n.scope).Suspects(maxDumpSuspects, now)),
	}
}

// configLag returns the age of the newest heartbeat record, which is an upper bound on
// how far this host's configuration is behind the log.
func configLag(store *follow.Store, now time.Time) string {
	heartbeat := store.Heartbeat()
	if heartbeat.IsZero() {
		return "unknown"
	}
	return now.Sub(heartbeat).Round(time.Millisecond).String()
}
