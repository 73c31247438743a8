package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/trans/httpd"
	"cicadastand.dev/platform"
	"cicadastand.dev/platform/local"
)

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
func (h *Host) Start(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(h.settings.MemoryBytes)))
	if err := h.share.Listen(ctx); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	loops, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h.cancel = cancel
	for _, loop := range []func(context.Context){
		h.watch.RunPublished, h.watch.RunEntries, h.registrar.Run, h.share.Run, h.weight.Run, h.keep.RunWrites, h.keep.RunCopies, h.keep.RunReads, h.keep.RunBases, h.relay.RunProbes, h.sweep, h.learn, h.guard.Run,
	} {
		h.workers.Add(1)
		w := &worker{loop: loop, done: &h.workers}
		go w.run(loops)
	}
	if err := h.listen(ctx); err != nil {
		h.Close()
		return fmt.Errorf("start host: %w", err)
	}
	h.cfg.Logger.Info("started", "host", h.settings.Host, "first-start", h.settings.IsFirstStart, "failure-domain", h.settings.FailureDomain,
		"callers", h.settings.Callers, "store", h.settings.Store, "memory-bytes", h.settings.MemoryBytes)
	return nil
}

func (h *Host) listen(ctx context.Context) error {
	var err error
	if h.readinessServer, err = httpd.Listen(ctx, httpd.Config{Address: h.settings.Readiness, Handler: h.readinessHandler(), Clock: h.cfg.Clock, Logger: h.cfg.Logger, Guard: h.guard, Port: hold.Readiness, WriteTimeout: clientWriteTimeout}); err != nil {
		return err
	}
	if h.cfg.MetricsPort > 0 {
		address := netip.AddrPortFrom(h.settings.Address, h.cfg.MetricsPort)
		if h.metricsServer, err = httpd.Listen(ctx, httpd.Config{Address: address, Handler: h.metricsHandler(), Clock: h.cfg.Clock, Logger: h.cfg.Logger, Guard: h.guard, Port: hold.Metrics, WriteTimeout: clientWriteTimeout}); err != nil {
			return err
		}
	}
	h.callerServer, err = httpd.Listen(ctx, httpd.Config{Address: h.settings.Callers, Handler: h.relay, Clock: h.cfg.Clock, Logger: h.cfg.Logger,
		ReadTimeout: headTimeout, WriteTimeout: clientWriteTimeout, Guard: h.guard, Port: hold.Callers})
	return err
}

func (h *Host) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := h.relay.Ready(); !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (h *Host) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		h.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

// Reload reads the platform's settings again and logs whether they have changed. Changed
// settings take effect at the next start.
func (h *Host) Reload(path string) {
	s, err := local.Load(path)
	if err != nil {
		h.cfg.Logger.Error("failed to reload platform settings", "error", err)
		return
	}
	h.cfg.Logger.Info("reloaded platform settings", "changed", s != h.settings)
}

// ErrGraceExceeded reports a graceful stop that did not finish within the grace time.
var ErrGraceExceeded = errors.New("requests were still in progress when the grace time ended")

// Stop stops the process gracefully: it makes the load balancer and clients switch to
// other hosts, and waits for the requests in progress as long as the platform allows.
func (h *Host) Stop(ctx context.Context) error {
	started := h.cfg.Clock.Now()
	h.cfg.Logger.Info("stopping", "in-flight", h.relay.InFlight())
	ctx, cancel := clock.WithTimeout(ctx, h.cfg.Clock, h.settings.Bounds.Grace-stopMargin)
	defer cancel()
	h.relay.Stop()
	err := clock.Sleep(ctx, h.cfg.Clock, balancerDelay)
	if err == nil {
		h.callerServer.StopListening(ctx)
		err = h.callerServer.Shutdown(ctx)
	}
	if err != nil {
		err = ErrGraceExceeded
		h.endRequests()
	}
	h.share.Leave(ctx)
	h.Close()
	h.cfg.Logger.Info("stopped", "error", err, "ms", h.cfg.Clock.Now().Sub(started).Milliseconds())
	return err
}

// endTime is how long the last responses may take when the grace time has ended: less than
// stopMargin.
const endTime = 300 * time.Millisecond

// endRequests ends the requests in progress, with a response to those that have none yet.
func (h *Host) endRequests() {
	ctx, cancel := clock.WithTimeout(context.Background(), h.cfg.Clock, endTime)
	defer cancel()
	h.relay.End()
	if err := h.callerServer.Shutdown(ctx); err != nil {
		h.cfg.Logger.Warn("requests are cut off", "in-flight", h.relay.InFlight(), "error", err)
	}
}

// Close closes the listeners and connections and stops the loops without waiting for
// requests.
func (h *Host) Close() {
	for _, server := range []*httpd.Server{h.callerServer, h.readinessServer, h.metricsServer} {
		if server != nil {
			server.Close()
		}
	}
	h.cancel()
	h.share.Close()
	h.workers.Wait()
	h.conns.Close()
	h.cfg.Platform.Close()
}
