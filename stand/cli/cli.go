// Package cli is the command line of cicada-stand, which runs the test doubles.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/trans/httpd"
	"cicadastand.dev/stand/engine"
	"cicadastand.dev/stand/platform"
	"cicadastand.dev/stand/service"
)

// Exit codes.
const (
	exitOK    = 0
	exitFault = 1
	exitUsage = 2
)

const usage = `usage: cicada-stand engine|service|platform [flags]
`

// Run runs the subcommand in args until SIGINT or SIGTERM, and returns the exit code.
func Run(args []string, stderr io.Writer) int {
	if len(args) == 0 {
		_, _ = io.WriteString(stderr, usage)
		return exitUsage
	}
	build, ok := map[string]func([]string, io.Writer) (netip.AddrPort, http.Handler, error){
		"engine":   buildEngine,
		"service":  buildService,
		"platform": buildPlatform,
	}[args[0]]
	if !ok {
		_, _ = io.WriteString(stderr, usage)
		return exitUsage
	}
	address, handler, err := build(args[1:], stderr)
	if err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			_, _ = fmt.Fprintln(stderr, err)
		}
		return exitUsage
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "stand." + args[0], Output: stderr})
	if err := serve(address, handler, logger); err != nil {
		logger.Error("stopped", "error", err)
		return exitFault
	}
	return exitOK
}

func serve(address netip.AddrPort, handler http.Handler, logger hclog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server, err := httpd.Listen(ctx, httpd.Config{Address: address, Handler: handler, Clock: clock.New(), Logger: logger})
	if err != nil {
		return fmt.Errorf("start test double: %w", err)
	}
	logger.Info("listening", "address", server.Address())
	<-ctx.Done()
	server.Close()
	return nil
}

func addressFlag(fs *flag.FlagSet) *netip.AddrPort {
	address := netip.MustParseAddrPort("127.0.0.1:0")
	fs.TextVar(&address, "listen", address, "IP address and port to listen on")
	return &address
}

func buildEngine(args []string, stderr io.Writer) (netip.AddrPort, http.Handler, error) {
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	fs.SetOutput(stderr)
	address := addressFlag(fs)
	cfg := engine.Config{Clock: clock.New()}
	fs.StringVar(&cfg.Name, "name", "engine", "name in logs")
	weights := fs.String("weights", "advice=v1", "MODEL=VERSION of each loaded model, with commas between")
	fs.IntVar(&cfg.Slots, "slots", 8, "requests that run at once")
	fs.Float64Var(&cfg.PrefillRate, "prefill-rate", 100_000, "missed prompt tokens computed a second")
	fs.DurationVar(&cfg.TokenTime, "token-time", 2*time.Millisecond, "time for each token of a stream")
	fs.IntVar(&cfg.CachePieces, "cache-pieces", 128, "pieces that the cache holds")
	fs.DurationVar(&cfg.CacheLifetime, "cache-life", 20*time.Second, "how long a piece stays without use")
	fs.DurationVar(&cfg.ReportLag, "report-lag", 200*time.Millisecond, "age of load reports and cache events")
	fs.DurationVar(&cfg.LoadTime, "load-time", 300*time.Millisecond, "time to load weights")
	fs.DurationVar(&cfg.RestartTime, "restart-time", time.Second, "time away after a crash")
	fs.TextVar(&cfg.OffloadStore, "kept-store", netip.AddrPort{}, "address of the store of kept KV cache")
	fs.Float64Var(&cfg.ImportRate, "import-rate", 500_000, "tokens imported a second")
	fs.BoolVar(&cfg.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of random faults")
	if err := fs.Parse(args); err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("read flags: %w", err)
	}
	cfg.Weights = make(map[string]string)
	for _, pair := range strings.Split(*weights, ",") {
		model, version, ok := strings.Cut(pair, "=")
		if !ok {
			return netip.AddrPort{}, nil, fmt.Errorf("-weights: %q is not MODEL=VERSION", pair)
		}
		cfg.Weights[model] = version
	}
	return *address, engine.New(cfg).Handler(), nil
}

func buildService(args []string, stderr io.Writer) (netip.AddrPort, http.Handler, error) {
	fs := flag.NewFlagSet("service", flag.ContinueOnError)
	fs.SetOutput(stderr)
	address := addressFlag(fs)
	cfg := service.Config{Clock: clock.New()}
	fs.DurationVar(&cfg.Work, "work", 5*time.Millisecond, "time for one order")
	fs.BoolVar(&cfg.ChecksKeys, "checks-keys", false, "run each key once")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of random faults")
	if err := fs.Parse(args); err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("read flags: %w", err)
	}
	return *address, service.New(cfg).Handler(), nil
}

func buildPlatform(args []string, stderr io.Writer) (netip.AddrPort, http.Handler, error) {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	fs.SetOutput(stderr)
	address := addressFlag(fs)
	cfg := platform.Config{Clock: clock.New()}
	fs.DurationVar(&cfg.Retention, "retention", 0, "how long the log keeps records, 0 for ever")
	fs.Float64Var(&cfg.AppendsPerSecond, "appends", 400, "appends a second over all streams")
	fs.DurationVar(&cfg.ListLag, "list-lag", 2*time.Second, "age of the list of hosts")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of random faults")
	if err := fs.Parse(args); err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("read flags: %w", err)
	}
	return *address, platform.New(cfg).Handler(), nil
}
