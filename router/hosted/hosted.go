// Package hosted runs a router on a platform whose store holds the configuration, the
// endpoint list and the registry of hosts.
package hosted

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"cicadastand.dev/core/coord/avoid"
	"cicadastand.dev/core/coord/budget"
	"cicadastand.dev/core/coord/eject"
	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/coord/hubs"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/pace"
	"cicadastand.dev/core/coord/pause"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/quota"
	"cicadastand.dev/core/coord/reach"
	"cicadastand.dev/core/coord/room"
	"cicadastand.dev/core/coord/speed"
	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/kvmap"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/core/trans/dialer"
	"cicadastand.dev/core/trans/httpd"
	"cicadastand.dev/platform"
	"cicadastand.dev/platform/local"
	"cicadastand.dev/router/conns"
	"cicadastand.dev/router/keep"
	"cicadastand.dev/router/relay"
	"cicadastand.dev/router/share"
	"cicadastand.dev/router/watch"
	"cicadastand.dev/router/weight"
)

// Clock provides the time, timers and the time since boot.
type Clock interface {
	clock.Service
	clock.Boot
}

// Config configures a Host.
type Config struct {
	Platform *platform.Platform
	Clock    Clock
	// MetricsPort is the port of the metrics on the host's address; 0 disables them.
	MetricsPort uint16
	// Dial opens connections to endpoints; nil for the default.
	Dial dialer.Func
	// FixedCapacity makes all endpoints of a service count as equally fast.
	FixedCapacity bool
	Logger        hclog.Logger
}

const (
	// memoryShare is the Go soft memory limit as a fraction of the platform's memory
	// limit, which also counts bytes that are received and not yet read.
	memoryShare = 0.6
	// responseShare is the fraction of the platform's memory limit for parts of responses that can't be forwarded yet.
	responseShare = 0.1
	// clientWriteTimeout is how long a client may take no byte of its response: the default of
	// the own mode. Endpoints end responses that stay unread after a time that they don't tell.
	clientWriteTimeout = 10 * time.Second
	// headTimeout limits the time to read a head; the operator allows clients 3 s.
	headTimeout = 10 * time.Second
	// keyMargin allows for the time from the last check of an API key until the request
	// reaches the endpoint.
	keyMargin = 500 * time.Millisecond
	// configReadWait is how long one read of the configuration waits for a new record.
	// Two reads and the transfer from the reader to a hub take less than takeoverAfter.
	configReadWait = 500 * time.Millisecond
	// takeoverAfter is the age of the newest read at which a hub reads the store itself:
	// early enough for its domain to receive the result before directAfter.
	takeoverAfter = 1250 * time.Millisecond
	// directAfter is the age of the newest read at which a host reads the store itself:
	// early enough to receive a new configuration in time if the store rejects the
	// reads of its hub.
	directAfter = 1500 * time.Millisecond
	// sampleSizeMesh and sampleSizeHubs are the numbers of engines that are sampled for
	// a placement: if all hosts exchange state directly, and if they do so through hubs.
	sampleSizeMesh = 16
	sampleSizeHubs = 3
	// pausePropagationMesh and pausePropagationHubs are the times after which a pause of
	// an engine is known to all hosts: it is sent to each host at once, or relayed in two
	// messages, each delayed by up to shareInterval.
	pausePropagationMesh = 80 * time.Millisecond
	pausePropagationHubs = 2*shareInterval + 50*time.Millisecond
	// hubRetryInterval is how long a hub that did not respond is skipped.
	hubRetryInterval = 2 * time.Second
	// endpointsInterval is the time between reads of the endpoints' entries: short enough
	// to learn that an endpoint is draining well within its drain time.
	endpointsInterval = 800 * time.Millisecond
	// shareInterval is the time between load updates to peers, and so the age of what
	// peers know of each other's load.
	shareInterval = 60 * time.Millisecond
	// peerLoadTTL is the age at which the last load update of a peer is dropped.
	peerLoadTTL = 1500 * time.Millisecond
	// dialTimeout is well above the network delay between failure domains, and below the
	// second after which a lost SYN packet is retransmitted.
	dialTimeout = 300 * time.Millisecond
	// connIdleTimeout and connOnceIdleTimeout bound how long a connection to an endpoint
	// may be idle and still be used, for retryable and for non-idempotent requests.
	connIdleTimeout     = 10 * time.Second
	connOnceIdleTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections to one endpoint.
	maxIdleConns = 16
	// sweepInterval is the time between sweeps of idle connections and of the state of
	// removed endpoints.
	sweepInterval = time.Second
	// balancerDelay is how long the platform's load balancer takes to detect that a host
	// is not ready: two probes, sent once a second, and the network delay.
	balancerDelay = 2300 * time.Millisecond
	// stopMargin is the part of the grace time that is left when the process exits.
	stopMargin = 700 * time.Millisecond
	// suspectRetention is how long a request that crashed endpoints is recorded as a
	// suspect.
	suspectRetention = time.Minute
	// taintRetention is how long a crash of an engine counts against parts of prompts.
	taintRetention = 10 * time.Minute
	// retryBudgetShare is the fraction of the shared retry budget that is used, because
	// hosts learn of each other's retries with a delay.
	retryBudgetShare = 0.8
)

// ejectConfig bounds the duration of ejections: an endpoint that crashed is available
// again after a few seconds.
var ejectConfig = eject.Config{InitialPause: 300 * time.Millisecond, MaxPause: 3 * time.Second}

// keepalive distinguishes endpoints that are unreachable from those that are still working
// on a request: the latter acknowledge packets. A sound endpoint may be silent for a second or
// so. Unacknowledged also ends connections whose probes are not answered, so it must leave
// time for a second probe.
var keepalive = dialer.Keepalive{
	Unacknowledged: 2200 * time.Millisecond,
	ProbeAfter:     time.Second,
	ProbeInterval:  time.Second,
	Probes:         2,
}

// Host is a router process on a platform.
type Host struct {
	cfg        Config
	settings   local.Settings
	mirror     *mirror.Mirror
	hubs       *hubs.Table
	loads      *load.Table
	cacheIndex *kvmap.Index
	ejection   *eject.Table
	pauses     *pause.Table
	pace       *pace.Table
	avoid      *avoid.Table
	room       *room.Table
	speeds     *speed.Table
	reach      *reach.Table
	taint      *taint.Table
	conns      *conns.Pool
	relay      *relay.Relay
	share      *share.Service
	registrar  *share.Registrar
	watch      *watch.Watcher
	weight     *weight.Runner
	keep       *keep.Keeper
	metrics    *metrics.Set
	guard      *httpd.Guard

	callerServer    *httpd.Server
	readinessServer *httpd.Server
	metricsServer   *httpd.Server
	cancel          context.CancelFunc
	workers         sync.WaitGroup
}

// New builds the components of a process.
func New(cfg Config) *Host {
	s := cfg.Platform.Settings
	h := &Host{
		cfg:        cfg,
		settings:   s,
		mirror:     mirror.New(),
		loads:      load.New(peerLoadTTL),
		cacheIndex: kvmap.New(),
		ejection:   eject.New(ejectConfig),
		pauses:     pause.New(),
		avoid:      avoid.New(),
		room:       room.New(),
		speeds:     speed.New(speed.Config{Disabled: cfg.FixedCapacity}),
		metrics:    metrics.NewSet(),
	}
	h.pace = pace.New(pace.Config{Counter: h.loads})
	suspects := poison.New(poison.Config{Retention: suspectRetention})
	h.taint = taint.New(taint.Config{Retention: taintRetention, Report: h.logTaint})
	retryBudget := budget.New(budget.Config{
		Window: s.Bounds.RetryWindow,
		Ratio:  retryBudgetShare * s.Bounds.RetryRatio,
		Extra:  retryBudgetShare * float64(s.Bounds.RetryExtra),
	})
	dial := cfg.Dial
	if dial == nil {
		dial = dialer.WithKeepalive(keepalive)
	}
	bounds := hold.ConfigFor(s.MemoryBytes, s.MaxFiles)
	h.guard = httpd.NewGuard(httpd.GuardConfig{Clock: cfg.Clock, Hold: bounds, Logger: cfg.Logger, Metrics: h.metrics})
	h.conns = conns.New(conns.Config{
		Clock:           cfg.Clock,
		Dial:            dial,
		DialTimeout:     dialTimeout,
		IdleTimeout:     connIdleTimeout,
		OnceIdleTimeout: connOnceIdleTimeout,
		MaxIdle:         maxIdleConns,
		MaxIdleTotal:    bounds.MaxSpareConns,
	})
	placementUpdates := kvmap.NewOutbox()
	h.keep = keep.New(keep.Config{
		Clock:         cfg.Clock,
		Host:          s.Host,
		Log:           cfg.Platform.Source,
		Peers:         h,
		Table:         keep.NewTable(cfg.Clock.Boot(), s.IsFirstStart),
		Mirror:        h.mirror,
		Era:           h.storeEra,
		IsLead:        h.isLead,
		HostCount:     h.hostCount,
		IsPartitioned: h.isPartitioned,
		WriteRate:     s.StoreWriteRate,
		Logger:        cfg.Logger,
		Metrics:       h.metrics,
	})
	h.reach = reach.New(reach.Config{EndpointCount: h.endpointCount, Report: h.logReach})
	h.relay = relay.New(relay.Config{
		Clock:            cfg.Clock,
		Codec:            cfg.Platform.Codec,
		Mirror:           h.mirror,
		Conns:            h.conns,
		Loads:            h.loads,
		CacheIndex:       h.cacheIndex,
		PlacementUpdates: placementUpdates,
		Ejection:         h.ejection,
		Pauses:           h.pauses,
		Pace:             h.pace,
		Avoid:            h.avoid,
		Room:             h.room,
		Speeds:           h.speeds,
		Budget:           retryBudget,
		Poison:           suspects,
		Taint:            h.taint,
		SampleSize:       h.sampleSize,
		HostCount:        h.hostCount,
		Placer:           h,
		Origins:          h.keep,
		Reach:            h.reach,
		Peers:            h,
		Quota:            h,
		IsPartitioned:    h.isPartitioned,
		FailureDomain:    s.FailureDomain,
		OldWeightsGrace:  s.Bounds.OldWeightsGrace,
		MaxConfigAge:     s.Bounds.MaxKeyAge - keyMargin,
		Guard:            h.guard,
		MaxHeld:          int64(responseShare * float64(s.MemoryBytes)),
		Logger:           cfg.Logger,
		Metrics:          h.metrics,
	})
	self := feed.Host{Name: s.Host, FailureDomain: s.FailureDomain, Address: netip.AddrPortFrom(s.Address, s.FirstPort).String(), LinkMbps: s.LinkMbps}
	h.hubs = hubs.New(hubs.Config{Self: self, RetryAfter: hubRetryInterval})
	h.watch = watch.New(watch.Config{
		Clock:           cfg.Clock,
		Store:           cfg.Platform.Source,
		Mirror:          h.mirror,
		Role:            h.storeRole,
		TakeoverAfter:   takeoverAfter,
		DirectAfter:     directAfter,
		PublishedWait:   configReadWait,
		EntriesInterval: endpointsInterval,
		Logger:          cfg.Logger,
		Metrics:         h.metrics,
	})
	h.share = share.New(share.Config{
		Clock:            cfg.Clock,
		Self:             self,
		Hubs:             h.hubs,
		Store:            h.watch,
		Mirror:           h.mirror,
		Loads:            h.loads,
		Poison:           suspects,
		Taint:            h.taint,
		CacheIndex:       h.cacheIndex,
		PlacementUpdates: placementUpdates,
		Pauses:           h.pauses,
		Room:             h.room,
		Speeds:           h.speeds,
		Lease:            h,
		Guard:            h.guard,
		MaxMessages:      hold.MessageBytes(s.MemoryBytes),
		Serve:            h.relay.ServeForwarded,
		Origins:          h.keep,
		Tolerance:        quota.Tolerance{Window: s.Bounds.QuotaWindow, Overage: s.Bounds.QuotaOverage, Slack: s.Bounds.QuotaSlack},
		HasRegistry:      func() bool { return h.registrar.HasRead() },
		Interval:         shareInterval,
		Logger:           cfg.Logger,
		Metrics:          h.metrics,
	})
	h.registrar = share.NewRegistrar(share.RegistrarConfig{
		Clock:    cfg.Clock,
		Self:     self,
		Registry: cfg.Platform.Source,
		Restored: h.watch.Restored(),
		Hubs:     h.hubs,
		SetHosts: retryBudget.SetHosts,
		Logger:   cfg.Logger,
	})
	h.weight = weight.New(weight.Config{
		Clock:           cfg.Clock,
		Host:            s.Host,
		Lease:           s.Bounds.Lease,
		Mirror:          h.mirror,
		MayLead:         h.mayLead,
		LeaseLog:        cfg.Platform.Source,
		Engines:         cfg.Platform.Engines,
		Loads:           h.requestsByEndpoint,
		Pauses:          h.pauses,
		Announce:        h.share.Announce,
		PropagationTime: h.pausePropagation,
		Logger:          cfg.Logger,
	})
	return h
}

// logTaint logs that a part of prompts became rejected, or is no longer.
func (h *Host) logTaint(c taint.Change) {
	if !c.Rejected {
		h.cfg.Logger.Info("prompt part is no longer rejected", "part", c.Part, "from-peer", c.FromPeer)
		return
	}
	h.cfg.Logger.Warn("prompt part is rejected because it crashes engines", "part", c.Part, "crashes", len(c.Endpoints), "endpoints", c.Endpoints, "from-peer", c.FromPeer)
}

// sampleSize returns how many engines are sampled for a placement. The sample is smaller
// if hosts learn of each other's requests through hubs.
func (h *Host) sampleSize() int {
	if h.hubs.IsMesh() {
		return sampleSizeMesh
	}
	return sampleSizeHubs
}

// hostCount returns the number of hosts that have ever registered.
func (h *Host) hostCount() int { return h.hubs.Len() }

// endpointCount returns the number of endpoints of a service that accept requests.
func (h *Host) endpointCount(service string) int { return len(h.mirror.View().ByService[service]) }

// logReach logs that this host became cut off from a service, or is no longer.
func (h *Host) logReach(c reach.Change) {
	if c.CutOff {
		h.cfg.Logger.Warn("endpoints are out of reach, requests go through other hosts", "service", c.Service, "endpoints", c.Endpoints)
		return
	}
	h.cfg.Logger.Info("endpoints are within reach again", "service", c.Service, "lasted-ms", c.Lasted.Milliseconds())
}

// mayLead reports whether this host may send orders to engines: it is a hub and reaches them.
func (h *Host) mayLead() bool {
	config := h.mirror.View().Config
	if config == nil || !h.isHub() {
		return false
	}
	return !lo.SomeBy(lo.Values(config.Services), func(s *site.Service) bool { return s.Engine != nil && h.reach.IsCutOff(s.Name) })
}

// isPartitioned reports whether this host receives nothing from any other host.
func (h *Host) isPartitioned() bool { return h.share.IsPartitioned() }

// pausePropagation returns how long a pause takes to be known to all peers.
func (h *Host) pausePropagation() time.Duration {
	if h.hubs.IsMesh() {
		return pausePropagationMesh
	}
	return pausePropagationHubs
}

// HeldGrant returns the fencing token of the lease grant that this host holds; 0 if it holds none.
func (h *Host) HeldGrant() int64 { return h.weight.HeldGrant() }

// HearGrant records that another host holds the lease grant with a fencing token.
func (h *Host) HearGrant(holder string, fence int64) { h.weight.HearGrant(holder, fence) }

// isHub reports whether this host is the hub of its failure domain.
func (h *Host) isHub() bool { return h.share.IsHub() }

// isLead reports whether this host is the first among the hubs.
func (h *Host) isLead() bool {
	return h.registrar.HasRead() && h.isHub() && h.hubs.IsLead(h.cfg.Clock.Boot())
}

// storeEra returns the newest era of the store that this host knows; 0 if it knows none.
func (h *Host) storeEra() int64 {
	read, _ := h.watch.Published()
	return read.Era
}

// storeRole returns what this host reads the platform's store for. Until it has read the
// registry of hosts it reads for itself, as it does not know which host is the reader.
func (h *Host) storeRole() watch.Role {
	switch {
	case !h.registrar.HasRead() || !h.isHub():
		return watch.Member
	case h.isLead():
		return watch.Reader
	default:
		return watch.Hub
	}
}

// requestsByEndpoint returns the number of requests in flight at each endpoint.
func (h *Host) requestsByEndpoint() map[string]int {
	return lo.MapValues(h.loads.Total(h.cfg.Clock.Boot()), func(w load.Work, _ string) int { return w.Requests() })
}

// sweep closes stale connections and removes the state of endpoints that are no longer
// listed.
func (h *Host) sweep(ctx context.Context) {
	tick := h.cfg.Clock.Subscribe(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			view := h.mirror.View()
			known := func(id string) bool { return view.Endpoints[id] != nil }
			h.conns.Sweep(func(t conns.Target) bool { return known(t.Incarnation) })
			h.cacheIndex.Retain(func(id string) bool { return known(id) || isCacheStore(view.Config, id) })
			h.ejection.Retain(known)
			h.pace.Retain(known)
			h.room.Retain(known)
			h.avoid.Retain(known, h.cfg.Clock.Boot())
			h.speeds.Retain(func(e speed.Incarnation) bool { return isListed(view, e) }, h.cfg.Clock.Boot())
			h.relay.Prune(known)
			h.relay.PruneCrashes(known)
			h.taint.Sweep(h.cfg.Clock.Boot())
		case <-ctx.Done():
			return
		}
	}
}

// isCacheStore reports whether the holder of cached prompt parts is a KV cache store.
func isCacheStore(c *site.Config, holder string) bool {
	return c != nil && lo.ContainsBy(c.CacheStores, func(s *site.CacheStore) bool { return s.Address.String() == holder })
}
