package share

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"cicadastand.dev/core/coord/hubs"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
)

// Registry is the log in which hosts register to find each other.
type Registry interface {
	// Register appends the entry of a host.
	Register(ctx context.Context, h feed.Host) error
	// Hosts returns the hosts registered since an offset. It waits up to wait for a
	// new entry.
	Hosts(ctx context.Context, from int64, wait time.Duration) (feed.Hosts, error)
}

// RegistrarConfig configures a Registrar.
type RegistrarConfig struct {
	Clock    clock.Service
	Self     feed.Host
	Registry Registry
	Hubs     *hubs.Table
	// Restored is signalled when the store was restored from a copy. Reads wait for long, and
	// for records that may never come at offsets of an earlier era.
	Restored <-chan struct{}
	// SetHosts receives the number of hosts that have ever registered.
	SetHosts func(hosts int)
	Logger   hclog.Logger
}

const (
	// firstReadDelay is the delay before the first read of the registry. By then,
	// hosts that start together have registered. Otherwise each host would read once
	// per new host, so the reads would grow with the square of the number of hosts.
	firstReadDelay = time.Second
	// maxReadWait is how long a read of the registry waits for a new entry.
	maxReadWait = 30 * time.Second
	// minReadInterval is the minimum time between two reads.
	minReadInterval = 2 * time.Second
)

// Registrar registers this host and discovers the other hosts.
type Registrar struct {
	cfg  RegistrarConfig
	read atomic.Bool
}

// NewRegistrar returns a registrar that has not started.
func NewRegistrar(cfg RegistrarConfig) *Registrar { return &Registrar{cfg: cfg} }

// HasRead reports whether the registry was read since the start.
func (r *Registrar) HasRead() bool { return r.read.Load() }

// Run registers this host and follows the registry until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	registered := r.register(ctx)
	from, era := feed.Newest, int64(0)
	pause := firstReadDelay
	for clock.Sleep(ctx, r.cfg.Clock, pause) == nil {
		pause = minReadInterval
		wait := maxReadWait
		if !registered {
			registered = r.register(ctx)
			wait = 0
		}
		h, err := r.hosts(ctx, from, wait)
		switch {
		case feed.IsErrTrimmed(err), errors.Is(err, errRestored):
			from, pause = feed.Newest, 0
		case err != nil:
			r.cfg.Logger.Debug("failed to read host registry", "error", err)
		case from != feed.Newest && h.Era > era:
			// The offset was of an earlier era.
			from, pause = feed.Newest, 0
		default:
			if r.read.Load() && h.Era > era {
				r.cfg.Logger.Warn("store was restored from a copy", "reads", "hosts", "era", h.Era, "era-before", era)
			}
			if from == feed.Newest && !lo.Contains(h.Hosts, r.cfg.Self) {
				registered = r.register(ctx)
			}
			from, era = h.Next, max(era, h.Era)
			r.addHosts(h)
			r.read.Store(true)
		}
	}
}

// errRestored reports a read that was ended because the store was restored.
var errRestored = errors.New("store was restored")

// hosts reads the registry. It returns errRestored if the store was restored meanwhile.
func (r *Registrar) hosts(ctx context.Context, from int64, wait time.Duration) (feed.Hosts, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &restoreWait{restored: r.cfg.Restored, cancel: cancel, done: make(chan struct{})}
	go w.run(ctx)
	h, err := r.cfg.Registry.Hosts(ctx, from, wait)
	cancel()
	<-w.done
	if w.signalled {
		return feed.Hosts{}, errRestored
	}
	return h, err
}

// restoreWait ends a read when the store was restored.
type restoreWait struct {
	restored <-chan struct{}
	cancel   context.CancelFunc
	// signalled is set before done is closed.
	signalled bool
	done      chan struct{}
}

func (w *restoreWait) run(ctx context.Context) {
	defer close(w.done)
	select {
	case <-w.restored:
		w.signalled = true
		w.cancel()
	case <-ctx.Done():
	}
}

func (r *Registrar) register(ctx context.Context) bool {
	err := r.cfg.Registry.Register(ctx, r.cfg.Self)
	if err != nil {
		r.cfg.Logger.Warn("failed to register host", "error", err)
	}
	return err == nil
}

func (r *Registrar) addHosts(h feed.Hosts) {
	for _, fault := range h.Faults {
		r.cfg.Logger.Warn("ignored invalid entry in host registry", "error", fault)
	}
	for _, host := range h.Hosts {
		if r.cfg.Hubs.Add(host) {
			r.cfg.Logger.Info("host registered", "host", host.Name, "failure-domain", host.FailureDomain, "address", host.Address)
		}
	}
	r.cfg.SetHosts(r.cfg.Hubs.Len())
}
