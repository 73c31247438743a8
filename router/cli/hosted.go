package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/trans/logbuf"
	"cicadastand.dev/platform"
	"cicadastand.dev/router/hosted"
)

// logCapacity is the number of log lines that are buffered; further lines are dropped
// and counted.
const logCapacity = 4096

// hostedOptions are the flags of a router on a platform.
type hostedOptions struct {
	metricsPort   uint16
	fixedCapacity bool
}

// runHosted runs a router with the settings file of a platform.
func runHosted(path string, checkOnly bool, opts hostedOptions, stdout, stderr io.Writer) int {
	p, err := platform.Open(path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if checkOnly {
		_, _ = fmt.Fprintf(stdout, "%s is valid\n", path)
		return exitOK
	}
	out := logbuf.New(stdout, logCapacity)
	defer out.Close()
	logger := hclog.New(&hclog.LoggerOptions{Name: "router", Level: hclog.Info, JSONFormat: true, Output: out})
	h := hosted.New(hosted.Config{Platform: p, Clock: clock.New(), MetricsPort: opts.metricsPort, FixedCapacity: opts.fixedCapacity, Logger: logger})
	if err := serveHosted(h, path); err != nil {
		logger.Error("router failed", "error", err)
		return exitFailure
	}
	return exitOK
}

func serveHosted(h *hosted.Host, path string) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx := context.Background()
	if err := h.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	for {
		select {
		case <-reload:
			h.Reload(path)
		case <-stop:
			return h.Stop(ctx)
		}
	}
}
