// Package share exchanges state between the hosts of a system on a platform: the
// work that each host has at the endpoints, pauses of endpoints, requests suspected of
// crashing engines, and the parts of prompts that endpoints have cached. Hubs also
// pass on the configuration and the endpoint list that they have read from the
// platform's store.
package share

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"

	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/coord/hubs"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/pause"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/quota"
	"cicadastand.dev/core/coord/room"
	"cicadastand.dev/core/coord/speed"
	"cicadastand.dev/core/coord/spread"
	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/kvmap"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/pack"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/core/trans/httpd"
)

// Clock provides both the wall clock and the clock that continues during suspension.
type Clock interface {
	clock.Service
	clock.Boot
}

// StoreState is this host's copy of the platform's store, from its own reads or from
// its hub.
type StoreState interface {
	// Published returns the newest read of the operator's records. It returns false
	// without a current read.
	Published() (feed.ReadMark, bool)
	// Endpoints returns the endpoint list, its fingerprint and its newest read. It
	// returns false without a current read, or while the list may contain expired
	// entries.
	Endpoints() (list map[string]*site.Endpoint, fingerprint uint64, read feed.ReadMark, ok bool)
	// Records returns the operator's newest record of each key.
	Records() []feed.Record
	// ReceiveRecords applies the newest records that the host from has.
	ReceiveRecords(records []feed.Record, read feed.ReadMark, from string)
	// ReceivePublished applies the result of a read by another host. If it found records that
	// this host lacks, this host reads the store.
	ReceivePublished(read feed.ReadMark)
	// ReceiveOffer records a read by a host that offers the records that it found.
	ReceiveOffer(read feed.ReadMark)
	// RecordsArrive records that a part of offered records has arrived.
	RecordsArrive(now time.Duration)
	// ReceiveEndpoints applies the endpoint list of another host; list is nil if it
	// equals this host's list. The read has no offset.
	ReceiveEndpoints(list map[string]*site.Endpoint, read feed.ReadMark)
}

// Lease is the lease of the host that sends orders to engines.
type Lease interface {
	// HeldGrant returns the fencing token of the grant that this host holds; 0 if it holds none.
	HeldGrant() int64
	// HearGrant records that another host holds the grant with a fencing token.
	HearGrant(holder string, fence int64)
}

// Config configures a Service.
type Config struct {
	Clock            Clock
	Self             feed.Host
	Hubs             *hubs.Table
	Store            StoreState
	Mirror           *mirror.Mirror
	Loads            *load.Table
	Poison           *poison.Table
	Taint            *taint.Table
	CacheIndex       *kvmap.Index
	PlacementUpdates *kvmap.Outbox
	Pauses           *pause.Table
	Room             *room.Table
	Speeds           *speed.Table
	Lease            Lease
	// Serve serves a request of a client of another host. It returns call.ErrNotForwarded if
	// the request has not run, because this host can't serve it.
	Serve func(ctx context.Context, req call.Forwarded, w http.ResponseWriter) error
	// Origins has the copies of origins that this host holds for others.
	Origins Origins
	// Tolerance is by how much client accounts may exceed their limits.
	Tolerance quota.Tolerance
	// HasRegistry reports whether the registry of hosts was read; nil if it always was.
	HasRegistry func() bool
	// Guard bounds connections and incomplete messages of other hosts, which may take
	// MaxMessages bytes; nil for no bound.
	Guard       *httpd.Guard
	MaxMessages int64
	// Interval is the time between status messages.
	Interval time.Duration
	Logger   hclog.Logger
	Metrics  *metrics.Set
}

const (
	// callTimeout bounds one status message. A lost one is not resent, since the next
	// one replaces it.
	callTimeout = 400 * time.Millisecond
	// hubRoleTimeout is how long a host acts as the hub after a host of its domain
	// has sent it a status.
	hubRoleTimeout = 1500 * time.Millisecond
	// newestNewsTime and olderNewsTime are how long the newest version of weights and those
	// before are sent to other hosts, so that those which learn of them late know their age.
	newestNewsTime = time.Minute
	olderNewsTime  = 10 * time.Second
	// maxSuspects bounds the number of suspect requests in one message.
	maxSuspects = 32
	// maxTaints bounds the pairs of a part and a crash in one message.
	maxTaints = 256
)

// Service sends the state of this host to its peers and receives theirs.
//
// Lock order: Service.mu is a leaf.
type Service struct {
	cfg      Config
	server   *grpc.Server
	listener net.Listener
	peers    *peers
	// pool holds the limits of client accounts while this host is a hub, spender what it may
	// spend of them.
	pool    *quota.Pool
	spender *quota.Spender

	mu      sync.Mutex
	leaving bool
	// lastMemberContact is when a host of the domain last sent its status to this
	// host as the hub.
	lastMemberContact time.Duration
	// lastPeerContact is when this host last exchanged a message with another one.
	lastPeerContact time.Duration
	// unanswered counts the consecutive placement queries to the hub that failed.
	unanswered int
	// queryAfter is when the hub is queried for placements again.
	queryAfter time.Duration
	// unable holds when peers could not serve a forwarded request.
	unable map[string]time.Duration
	// silent holds when peers did not respond to calls for origins.
	silent map[string]time.Duration

	// answeredBy is the hub that last answered a status of this host, and answeredAt when.
	answeredBy feed.Host
	answeredAt time.Duration
	spending   askState
	segments   segments

	failures *metrics.Counter
	unplaced *metrics.Counter
	// recordsSent counts the replies with the operator's records or segments of them, and
	// recordBytesSent their bytes.
	recordsSent     *metrics.Counter
	recordBytesSent *metrics.Counter
	// fetchesBusy counts requests for segments that this host's link had no room for.
	fetchesBusy *metrics.Counter
	quota       quotaCounters
}

// rpcServer implements the gRPC methods that peers call.
type rpcServer struct {
	loadpb.UnimplementedLoadServer
	*Service
}

// New returns a service that has not started.
func New(cfg Config) *Service {
	s := &Service{
		cfg:               cfg,
		peers:             newPeers(),
		unable:            make(map[string]time.Duration),
		silent:            make(map[string]time.Duration),
		lastMemberContact: -hubRoleTimeout,
		lastPeerContact:   -2 * hubRoleTimeout,
		failures:          cfg.Metrics.NewCounter("cicada_share_failures_total"),
		unplaced:          cfg.Metrics.NewCounter("cicada_share_unplaced_total"),
		recordsSent:       cfg.Metrics.NewCounter("cicada_share_records_sent_total"),
		recordBytesSent:   cfg.Metrics.NewCounter("cicada_share_record_bytes_sent_total"),
		fetchesBusy:       cfg.Metrics.NewCounter("cicada_share_fetches_busy_total"),
		segments:          segments{store: pack.NewStore(), gate: spread.NewGate(cfg.Self.LinkMbps, rand.Float64)},
		answeredAt:        -hubRoleTimeout,
	}
	s.initQuota()
	return s
}

// Listen opens the listener and starts the gRPC server for peers.
func (s *Service) Listen(ctx context.Context) error {
	if _, err := netip.ParseAddrPort(s.cfg.Self.Address); err != nil {
		return fmt.Errorf("address for peers: %w", err)
	}
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.cfg.Self.Address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(maxForwardedBytes)}
	if s.cfg.Guard != nil {
		listener, options = s.cfg.Guard.RPC(listener, hold.Peers, s.cfg.MaxMessages)
	}
	s.listener = listener
	s.server = grpc.NewServer(options...)
	loadpb.RegisterLoadServer(s.server, &rpcServer{Service: s})
	go s.run()
	return nil
}

func (s *Service) run() {
	if err := s.server.Serve(s.listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		s.cfg.Logger.Error("gRPC server for peers failed", "error", err)
	}
}

// Close stops the server and closes all connections.
func (s *Service) Close() {
	s.server.Stop()
	if err := s.peers.close(); err != nil {
		s.cfg.Logger.Debug("failed to close connections to peers", "error", err)
	}
}

// Run sends status messages at the configured interval until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick := s.cfg.Clock.Subscribe(s.cfg.Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			s.Announce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// IsHub reports whether this host acts as the hub of its failure domain: it is
// selected as the hub, or hosts of the domain report to it. Two hosts may act as hub
// for a time; each of them then aggregates the hosts that report to it.
func (s *Service) IsHub() bool {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	contacted := now-s.lastMemberContact < hubRoleTimeout
	s.mu.Unlock()
	return contacted || s.cfg.Hubs.OwnHub(now).Name == s.cfg.Self.Name
}

// IsPartitioned reports whether this host had no contact with any other host within
// hubRoleTimeout.
func (s *Service) IsPartitioned() bool {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	return now-s.lastPeerContact > hubRoleTimeout
}

// recordPeerContact records a contact with another host.
func (s *Service) recordPeerContact() {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastPeerContact = now
}

// Leave announces to the peers that this host is stopping.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.Announce(ctx)
}

// Announce sends the status of this host to its hub and, if this host acts as the hub,
// the status of its domain to the other hubs. In a mesh without hubs it sends the
// status of this host to all other hosts.
func (s *Service) Announce(ctx context.Context) {
	now := s.cfg.Clock.Boot()
	if s.IsHub() {
		s.pool.Receive(s.cfg.Self.Name, s.spender.Uses(now), now)
		s.pool.Refresh(now)
	}
	s.sendReturned(ctx)
	own := s.cfg.Hubs.OwnHub(now)
	if own.Name != s.cfg.Self.Name {
		s.send(ctx, own, s.hostStatus(own.Name))
	}
	switch {
	case s.cfg.Hubs.IsMesh():
		for _, h := range s.cfg.Hubs.Reachable(now) {
			if h.Name != own.Name {
				status := s.hostStatus(h.Name)
				status.Direct = true
				s.send(ctx, h, status)
			}
		}
	case s.IsHub():
		for _, h := range s.cfg.Hubs.OtherHubs(now) {
			s.send(ctx, h, s.domainStatus(h.Name))
		}
	}
}

// handleReply applies what the hub's reply to a status message says of the other hosts.
func (s *Service) handleReply(hub string, in *loadpb.Heard) {
	now := s.cfg.Clock.Boot()
	if !s.cfg.Hubs.IsMesh() {
		if !s.IsHub() {
			s.cfg.Loads.UpdatePeer(hub, load.ScopeOthers, workFrom(in.GetWork()), demandFrom(in.GetDemand()), now)
			s.cfg.Speeds.Receive(hub, load.ScopeOthers, speedsFrom(in.GetSpeeds()), now)
		}
	}
	s.receivePauses(in.GetPauses())
	s.receiveVersions(in.GetVersions())
	s.mergeSuspects(in.GetSuspects())
	s.mergeCrashes(in.GetCrashes())
	s.receiveBrittle(in.GetBrittle())
	for _, p := range in.GetPlacements() {
		s.cfg.CacheIndex.Add(placementFrom(p, now))
	}
}

// Tell receives the status of a peer. Unless this host receives it as the hub of the
// peer's domain, the reply contains only what this host itself has read from the store.
func (h *rpcServer) Tell(_ context.Context, in *loadpb.Status) (*loadpb.Heard, error) {
	s := h.Service
	name := in.GetHost()
	now := s.cfg.Clock.Boot()
	s.recordPeerContact()
	scope := load.ScopeHost
	if in.GetForDomain() {
		scope, name = load.ScopeDomain, "domain "+in.GetDomain()
	} else if !in.GetDirect() {
		s.mu.Lock()
		s.lastMemberContact = now
		s.mu.Unlock()
	}
	if in.GetLeaving() && scope == load.ScopeHost {
		s.cfg.Loads.RemovePeer(name)
	} else {
		s.cfg.Loads.UpdatePeer(name, scope, workFrom(in.GetWork()), demandFrom(in.GetDemand()), now)
	}
	s.cfg.Speeds.Receive(name, scope, speedsFrom(in.GetSpeeds()), now)
	s.mergeSuspects(in.GetSuspects())
	s.mergeCrashes(in.GetCrashes())
	s.receiveBrittle(in.GetBrittle())
	s.receivePauses(in.GetPauses())
	s.receiveVersions(in.GetVersions())
	if fence := in.GetLeaseFence(); fence > 0 {
		s.cfg.Lease.HearGrant(in.GetHost(), fence)
	}
	for _, m := range in.GetPlacements() {
		p := placementFrom(m, now)
		s.cfg.CacheIndex.Add(p)
		if !s.cfg.Hubs.IsMesh() {
			s.forwardPlacement(p, in)
		}
	}
	if in.GetForDomain() || in.GetDirect() {
		s.receiveDomainUses(in, now)
		out := &loadpb.Heard{}
		s.addReads(out, in, func(m feed.ReadMark) bool { return m.Own })
		return out, nil
	}
	return s.memberReply(in, now), nil
}

// Place chooses an endpoint for the request of another host of the domain.
func (h *rpcServer) Place(_ context.Context, in *loadpb.Query) (*loadpb.Placed, error) {
	return h.decideFor(in), nil
}

// forwardPlacement queues a placement for the other hosts of the domain, and for the
// other hubs if it comes from this domain.
func (s *Service) forwardPlacement(p kvmap.Placement, from *loadpb.Status) {
	s.cfg.PlacementUpdates.Publish(p, func(subscriber string) bool {
		return subscriber != from.GetHost() && (!from.GetForDomain() || !isHubSubscriber(subscriber))
	})
}
