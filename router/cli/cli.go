// Package cli implements the command line of the router.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/platform/local"
	"cicadastand.dev/router/node"
	"cicadastand.dev/router/prefs"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// Run runs a router until it receives a stop signal or is drained, and returns the exit
// code.
func Run(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("cicada-router", flag.ContinueOnError)
	fs.SetOutput(stderr)
	path := fs.String("settings", "router.yaml", "file with the settings")
	checkOnly := fs.Bool("check-settings", false, "check the settings and exit")
	metricsPort := fs.Uint("metrics-port", 0, "on a platform, the port of the metrics; 0 for none")
	learn := fs.Bool("learn-capacity", false, "on a platform, learn the speed of endpoints and place requests by it where endpoints differ")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitSettings
	}
	if platformPath, ok := local.Path(); ok {
		return runHosted(platformPath, *checkOnly, hostedOptions{metricsPort: uint16(*metricsPort), fixedCapacity: !*learn}, stdout, stderr)
	}
	settings, err := prefs.Load(*path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if *checkOnly {
		_, _ = fmt.Fprintf(stdout, "%s is valid\n", *path)
		return exitOK
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "router",
		Level:      hclog.LevelFromString(settings.Log.Level),
		JSONFormat: settings.Log.JSON,
		Output:     stderr,
	})
	if err := serve(settings, logger); err != nil {
		logger.Error("router failed", "error", err)
		return exitFailure
	}
	return exitOK
}

func serve(settings prefs.Settings, logger hclog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	n := node.New(settings, clock.New(), logger)
	if err := n.Start(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-n.Draining():
	}
	// Restore the default handling, so that a second signal ends the process at once.
	stop()
	n.Drain()
	return n.Stop(context.WithoutCancel(ctx))
}
