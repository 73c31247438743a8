// Package share is the contact between the hosts of a system on a platform: what
// each has sent to the endpoints, and what the hubs have read from the store.
package share

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
	"google.golang.org/grpc"

	"cicadastand.dev/core/coord/hubs"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/pause"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/kvmap"
	"cicadastand.dev/core/state/site"
)

// Clock is the service that tells both kinds of time.
type Clock interface {
	clock.Service
	clock.Boot
}

// StoreState is what this host has read of the store, or heard from its hub.
type StoreState interface {
	// Published returns the offset after the newest record of the operator, and
	// the start of the read that showed it; false if there was none.
	Published() (next int64, started time.Duration, ok bool)
	// Endpoints returns the endpoints with their fingerprint and the start of the read.
	Endpoints() (list map[string]*site.Endpoint, fingerprint uint64, started time.Duration, ok bool)
	// Records returns the newest records of the operator.
	Records() []feed.Record
	// ReceiveRecords takes these records, read up to next, from another host.
	ReceiveRecords(records []feed.Record, next int64, started time.Duration)
	// ReceivePublished takes a read of another host.
	ReceivePublished(next int64, started time.Duration)
	// ReceiveEndpoints takes the endpoints from another host; nil if they are those
	// that this host believes.
	ReceiveEndpoints(list map[string]*site.Endpoint, started time.Duration)
}

// Config says what a Service works with.
type Config struct {
	Clock            Clock
	Self             feed.Host
	Hubs             *hubs.Table
	Store            StoreState
	Loads            *load.Table
	Poison           *poison.Table
	CacheIndex       *kvmap.Index
	PlacementUpdates *kvmap.Outbox
	Pauses           *pause.Table
	// Interval is the time between messages.
	Interval time.Duration
	Logger   hclog.Logger
	Metrics  *metrics.Set
}

const (
	// callTimeout bounds a message; a later one replaces it anyway.
	callTimeout = 400 * time.Millisecond
	// hubRoleTimeout is how long a host that was asked as a hub acts as one.
	hubRoleTimeout = 1500 * time.Millisecond
	// maxSuspects bounds the suspects in one message.
	maxSuspects = 32
)

// Service tells peers and hears from them.
//
// Lock order: Service.mu is a leaf.
type Service struct {
	cfg      Config
	server   *grpc.Server
	listener net.Listener
	peers    *peers

	mu      sync.Mutex
	leaving bool
	// lastMemberContact is when a host of the domain last spoke to this one as its hub.
	lastMemberContact time.Duration
	// lastPeerContact is when this host last heard any other one.
	lastPeerContact time.Duration
	// unanswered counts the queries in a row that the hub left open.
	unanswered int
	// queryAfter is when the hub is asked for placements again.
	queryAfter time.Duration

	failures *metrics.Counter
	unplaced *metrics.Counter
}

// rpcServer is the side of a Service that peers call.
type rpcServer struct {
	loadpb.UnimplementedLoadServer
	*Service
}

// New returns a service that has not started.
func New(cfg Config) *Service {
	return &Service{
		cfg:               cfg,
		peers:             newPeers(),
		lastMemberContact: -hubRoleTimeout,
		lastPeerContact:   -2 * hubRoleTimeout,
		failures:          cfg.Metrics.NewCounter("cicada_share_failures_total"),
		unplaced:          cfg.Metrics.NewCounter("cicada_share_unplaced_total"),
	}
}

// Listen opens the listener and hears peers.
func (s *Service) Listen(ctx context.Context) error {
	if _, err := netip.ParseAddrPort(s.cfg.Self.Address); err != nil {
		return fmt.Errorf("address for peers: %w", err)
	}
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.cfg.Self.Address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	s.listener = listener
	s.server = grpc.NewServer()
	loadpb.RegisterLoadServer(s.server, &rpcServer{Service: s})
	go s.run()
	return nil
}

func (s *Service) run() {
	if err := s.server.Serve(s.listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		s.cfg.Logger.Error("peer server ended", "error", err)
	}
}

// Close ends the server and all connections.
func (s *Service) Close() {
	s.server.Stop()
	if err := s.peers.close(); err != nil {
		s.cfg.Logger.Debug("close connections to peers", "error", err)
	}
}

// Run tells the peers until ctx ends.
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

// IsHub reports whether this host speaks for its domain now. Two hosts may do so
// for a time; each of them then counts those that speak to it.
func (s *Service) IsHub() bool {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	contacted := now-s.lastMemberContact < hubRoleTimeout
	s.mu.Unlock()
	return contacted || s.cfg.Hubs.OwnHub(now).Name == s.cfg.Self.Name
}

// IsPartitioned reports whether no other host was heard for a time.
func (s *Service) IsPartitioned() bool {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	return now-s.lastPeerContact > hubRoleTimeout
}

// recordPeerContact notes that another host was heard.
func (s *Service) recordPeerContact() {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastPeerContact = now
}

// Leave tells the peers that this host stops.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.Announce(ctx)
}

// Announce sends this host's word to its hub, or its domain's to the other hubs.
func (s *Service) Announce(ctx context.Context) {
	now := s.cfg.Clock.Boot()
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

// send starts one message unless the last one to that host is still on its way.
func (s *Service) send(ctx context.Context, to feed.Host, status *loadpb.Status) {
	client, done, err := s.peers.beginSend(to)
	if err != nil {
		s.cfg.Logger.Warn("peer can't be used", "peer", to.Name, "error", err)
		return
	}
	if client == nil {
		return
	}
	m := &statusMessage{s: s, to: to, client: client, done: done, status: status}
	go m.run(ctx)
}

// statusMessage is one status on its way to one peer.
type statusMessage struct {
	s      *Service
	to     feed.Host
	client loadpb.LoadClient
	done   func()
	status *loadpb.Status
}

func (m *statusMessage) run(ctx context.Context) {
	defer m.done()
	s := m.s
	sent := s.cfg.Clock.Boot()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := m.client.Tell(ctx, m.status)
	if err != nil {
		s.failures.Inc()
		s.cfg.Hubs.MarkFailed(m.to.Name, s.cfg.Clock.Boot())
		s.cfg.Logger.Info("hub does not answer", "hub", m.to.Name, "error", err)
		return
	}
	s.cfg.Hubs.MarkReachable(m.to.Name)
	s.recordPeerContact()
	if !m.status.GetForDomain() && !m.status.GetDirect() {
		s.handleReply(m.to.Name, reply, sent)
	}
}

// handleReply takes the answer of this host's hub to a message sent at sent.
func (s *Service) handleReply(hub string, in *loadpb.Heard, sent time.Duration) {
	now := s.cfg.Clock.Boot()
	if !s.cfg.Hubs.IsMesh() {
		if !s.IsHub() {
			s.cfg.Loads.UpdatePeer(hub, load.ScopeOthers, workFrom(in.GetWork()), now)
		}
	}
	s.receivePauses(in.GetPauses())
	s.mergeSuspects(in.GetSuspects())
	for _, p := range in.GetPlacements() {
		s.cfg.CacheIndex.Add(placementFrom(p, now))
	}
	if m := in.GetPublished(); m.GetKnown() {
		if records := in.GetRecords(); len(records) > 0 {
			s.cfg.Store.ReceiveRecords(lo.Map(records, recordFrom), m.GetNext(), sent-readAge(m))
		}
		s.cfg.Store.ReceivePublished(m.GetNext(), sent-readAge(m))
	}
	if m := in.GetRosterRead(); m.GetKnown() {
		s.cfg.Store.ReceiveEndpoints(endpointsFrom(in.GetEndpoints()), sent-readAge(m))
	}
}

// readAge of a read by the hub's word. The read began no earlier than that long
// before the message was sent, however late the answer comes.
func readAge(m *loadpb.Mark) time.Duration { return time.Duration(m.GetAgeMs()) * time.Millisecond }

// Tell takes a peer's word.
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
		s.cfg.Loads.UpdatePeer(name, scope, workFrom(in.GetWork()), now)
	}
	s.mergeSuspects(in.GetSuspects())
	s.receivePauses(in.GetPauses())
	for _, m := range in.GetPlacements() {
		p := placementFrom(m, now)
		s.cfg.CacheIndex.Add(p)
		if !s.cfg.Hubs.IsMesh() {
			s.forwardPlacement(p, in)
		}
	}
	if in.GetForDomain() || in.GetDirect() {
		return &loadpb.Heard{}, nil
	}
	return s.memberReply(in, now), nil
}

// Place answers a host of the domain that asks where to send a request.
func (h *rpcServer) Place(_ context.Context, in *loadpb.Query) (*loadpb.Placed, error) {
	return h.decideFor(in), nil
}

// forwardPlacement tells others of a placement: those of the own domain, and the other hubs
// if it comes from the own domain.
func (s *Service) forwardPlacement(p kvmap.Placement, from *loadpb.Status) {
	s.cfg.PlacementUpdates.Publish(p, func(subscriber string) bool {
		return subscriber != from.GetHost() && (!from.GetForDomain() || !isHubSubscriber(subscriber))
	})
}

// memberReply tells a host of the domain what all others have, and what was read.
func (s *Service) memberReply(in *loadpb.Status, now time.Duration) *loadpb.Heard {
	out := &loadpb.Heard{
		Work:       workMessage(s.cfg.Loads.TotalExcept(in.GetHost(), now)),
		Pauses:     s.pauses(),
		Suspects:   s.suspects(),
		Placements: lo.Map(s.cfg.PlacementUpdates.Take(in.GetHost(), now), placementMessage),
	}
	if next, started, ok := s.cfg.Store.Published(); ok {
		out.Published = newMark(next, now-started)
		if next > in.GetPublishedNext() {
			out.Records = lo.Map(s.cfg.Store.Records(), recordMessage)
		}
	}
	if list, fingerprint, started, ok := s.cfg.Store.Endpoints(); ok {
		out.RosterRead = newMark(0, now-started)
		if fingerprint != in.GetRoster() {
			out.Endpoints = endpointMessages(list)
		}
	}
	return out
}

func newMark(next int64, age time.Duration) *loadpb.Mark {
	// Rounding up keeps the age from being told too young.
	return &loadpb.Mark{Known: true, Next: next, AgeMs: uint32(max(0, age.Milliseconds()+1))}
}

// hostStatus is this host's word for one peer.
func (s *Service) hostStatus(to string) *loadpb.Status {
	out := s.baseStatus(to)
	out.Work = workMessage(s.cfg.Loads.Own())
	if _, fingerprint, _, ok := s.cfg.Store.Endpoints(); ok {
		out.Roster = fingerprint
	}
	out.PublishedNext, _, _ = s.cfg.Store.Published()
	return out
}

// domainStatus is the word of this host's domain for another hub.
func (s *Service) domainStatus(to string) *loadpb.Status {
	out := s.baseStatus(to)
	out.ForDomain = true
	out.Work = workMessage(s.cfg.Loads.DomainTotal(s.cfg.Clock.Boot()))
	return out
}

func (s *Service) baseStatus(to string) *loadpb.Status {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	return &loadpb.Status{
		Host:       s.cfg.Self.Name,
		Domain:     s.cfg.Self.FailureDomain,
		Leaving:    leaving,
		Pauses:     s.pauses(),
		Suspects:   s.suspects(),
		Placements: lo.Map(s.cfg.PlacementUpdates.Take(hubSubscriber+to, s.cfg.Clock.Boot()), placementMessage),
	}
}
