package share

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/hubs"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
)

// Registry is where hosts find each other.
type Registry interface {
	// Register writes this host's entry.
	Register(ctx context.Context, h feed.Host) error
	// Hosts returns the hosts registered since an offset, waiting up to wait for a new one.
	Hosts(ctx context.Context, from int64, wait time.Duration) (feed.Hosts, error)
}

// RegistrarConfig says what a Registrar works with.
type RegistrarConfig struct {
	Clock    clock.Service
	Self     feed.Host
	Registry Registry
	Hubs     *hubs.Table
	// SetHosts is told how many hosts have ever registered.
	SetHosts func(hosts int)
	Logger   hclog.Logger
}

const (
	// firstReadDelay is how long hosts that start together have to register before
	// the first one reads: a read for each of them would cost their square.
	firstReadDelay = time.Second
	// maxReadWait is how long a read of the registry waits for a new host.
	maxReadWait = 20 * time.Second
	// minReadInterval is the least time between two reads.
	minReadInterval = 2 * time.Second
)

// Registrar registers this host and learns of the others.
type Registrar struct{ cfg RegistrarConfig }

// NewRegistrar returns a registrar.
func NewRegistrar(cfg RegistrarConfig) *Registrar { return &Registrar{cfg: cfg} }

// Run registers this host, and reads the registry until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	registered := r.register(ctx)
	from := feed.Newest
	pause := firstReadDelay
	for clock.Sleep(ctx, r.cfg.Clock, pause) == nil {
		pause = minReadInterval
		wait := maxReadWait
		if !registered {
			registered = r.register(ctx)
			wait = 0
		}
		h, err := r.cfg.Registry.Hosts(ctx, from, wait)
		switch {
		case feed.IsErrTrimmed(err):
			from = feed.Newest
		case err != nil:
			r.cfg.Logger.Debug("registry can't be read", "error", err)
		default:
			from = h.Next
			r.addHosts(h)
		}
	}
}

func (r *Registrar) register(ctx context.Context) bool {
	err := r.cfg.Registry.Register(ctx, r.cfg.Self)
	if err != nil {
		r.cfg.Logger.Warn("host not registered", "error", err)
	}
	return err == nil
}

func (r *Registrar) addHosts(h feed.Hosts) {
	for _, fault := range h.Faults {
		r.cfg.Logger.Warn("entry names no host", "error", fault)
	}
	for _, host := range h.Hosts {
		if r.cfg.Hubs.Add(host) {
			r.cfg.Logger.Info("host registered", "host", host.Name, "failure-domain", host.FailureDomain, "address", host.Address)
		}
	}
	r.cfg.SetHosts(r.cfg.Hubs.Len())
}
