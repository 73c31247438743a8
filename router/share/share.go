// Package share is the contact between the hosts of a system on a platform: each
// tells the others what it has sent to the endpoints.
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
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/kept"
)

// Registry is where hosts find each other.
type Registry interface {
	// Register writes this host's entry.
	Register(ctx context.Context, h feed.Host) error
	// Hosts returns the hosts registered since an offset, waiting up to wait for a new one.
	Hosts(ctx context.Context, from int64, wait time.Duration) (feed.Hosts, error)
}

// Timer is the service that tells both kinds of time.
type Timer interface {
	clock.Service
	clock.Boot
}

// Config says what a Service works with.
type Config struct {
	Clock    Timer
	Self     feed.Host
	Registry Registry
	Loads    *load.Table
	Poison   *poison.Table
	Kept     *kept.Index
	// Changing is told which endpoints change weights, whoever ordered it.
	Changing func(endpoints map[string]bool)
	// Registered is told how many hosts have ever registered.
	Registered func(hosts int)
	// Interval is the time between messages.
	Interval time.Duration
	Logger   hclog.Logger
	Metrics  *metrics.Set
}

const (
	// callTimeout bounds a message; a later one replaces it anyway.
	callTimeout = 500 * time.Millisecond
	// changingTrust is how long a peer's word on changing endpoints holds.
	changingTrust = 2 * time.Second
	// registryWait is how long a read of the registry waits for a new host.
	registryWait = 20 * time.Second
	// retryPause is the wait after a call to the registry that failed.
	retryPause = time.Second
	// maxSuspects bounds the suspects in one message.
	maxSuspects = 32
	// reconnect bounds the pause between trials to reach a peer.
	reconnect = 2 * time.Second
)

// Service tells peers and hears from them.
//
// Lock order: Service.mu is a leaf.
type Service struct {
	loadpb.UnimplementedLoadServer
	cfg      Config
	server   *grpc.Server
	listener net.Listener

	mu       sync.Mutex
	peers    map[string]*peer
	changing map[string]word
	own      []string
	leaving  bool

	failures *metrics.Counter
}

// word is what a host said of changing endpoints.
type word struct {
	endpoints []string
	at        time.Duration
}

type peer struct {
	host   feed.Host
	conn   *grpc.ClientConn
	client loadpb.LoadClient
	busy   bool
}

// New returns a service that has not started.
func New(cfg Config) *Service {
	return &Service{
		cfg:      cfg,
		peers:    make(map[string]*peer),
		changing: make(map[string]word),
		failures: cfg.Metrics.NewCounter("cicada_share_failures_total"),
	}
}

// Listen opens the listener and hears peers.
func (s *Service) Listen(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.cfg.Self.Address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	s.listener = listener
	s.server = grpc.NewServer()
	loadpb.RegisterLoadServer(s.server, s)
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
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if err := p.conn.Close(); err != nil {
			s.cfg.Logger.Debug("close connection to peer", "peer", p.host.Name, "error", err)
		}
	}
}

// RunRegistry registers this host and learns of the others until ctx ends.
func (s *Service) RunRegistry(ctx context.Context) {
	from := feed.Newest
	registered := false
	for ctx.Err() == nil {
		if !registered {
			err := s.cfg.Registry.Register(ctx, s.cfg.Self)
			registered = err == nil
			if err != nil {
				s.cfg.Logger.Warn("host not registered", "error", err)
			}
		}
		wait := registryWait
		if !registered {
			wait = retryPause
		}
		h, err := s.cfg.Registry.Hosts(ctx, from, wait)
		switch {
		case feed.IsErrTrimmed(err):
			from = feed.Newest
		case err != nil:
			s.cfg.Logger.Debug("registry can't be read", "error", err)
			if clock.Sleep(ctx, s.cfg.Clock, retryPause) != nil {
				return
			}
		default:
			from = h.Next
			s.learn(h)
		}
	}
}

func (s *Service) learn(h feed.Hosts) {
	for _, fault := range h.Faults {
		s.cfg.Logger.Warn("entry names no host", "error", fault)
	}
	for _, host := range h.Hosts {
		if host.Name == s.cfg.Self.Name {
			continue
		}
		if err := s.add(host); err != nil {
			s.cfg.Logger.Warn("peer can't be used", "peer", host.Name, "error", err)
		}
	}
	s.mu.Lock()
	known := len(s.peers) + 1
	s.mu.Unlock()
	s.cfg.Registered(known)
}

func (s *Service) add(host feed.Host) error {
	if _, err := netip.ParseAddrPort(host.Address); err != nil {
		return fmt.Errorf("address of %s: %w", host.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.peers[host.Name]; ok {
		if old.host == host {
			return nil
		}
		if err := old.conn.Close(); err != nil {
			s.cfg.Logger.Debug("close connection to peer", "peer", host.Name, "error", err)
		}
	}
	conn, err := grpc.NewClient("passthrough:///"+host.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: retryPause / 4, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnect},
			MinConnectTimeout: callTimeout,
		}))
	if err != nil {
		return fmt.Errorf("connect to %s: %w", host.Address, err)
	}
	s.peers[host.Name] = &peer{host: host, conn: conn, client: loadpb.NewLoadClient(conn)}
	s.cfg.Logger.Info("peer", "name", host.Name, "address", host.Address)
	return nil
}

// Run tells the peers until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick := s.cfg.Clock.Subscribe(s.cfg.Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			s.tell(ctx)
			s.review()
		case <-ctx.Done():
			return
		}
	}
}

// Change sets the endpoints that change weights by this host's orders.
func (s *Service) Change(ctx context.Context, endpoints map[string]bool) {
	s.mu.Lock()
	news := len(endpoints) > len(s.own) || lo.SomeBy(s.own, func(id string) bool { return !endpoints[id] })
	s.own = lo.Keys(endpoints)
	s.mu.Unlock()
	s.review()
	if news {
		s.tell(ctx)
	}
}

// Leave tells the peers that this host stops.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.tell(ctx)
}

// review passes on which endpoints change weights by anyone's word.
func (s *Service) review() {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	all := lo.SliceToMap(s.own, func(id string) (string, bool) { return id, true })
	for _, w := range s.changing {
		if now-w.at > changingTrust {
			continue
		}
		for _, id := range w.endpoints {
			all[id] = true
		}
	}
	s.mu.Unlock()
	s.cfg.Changing(all)
}

// tell sends this host's status to each peer that has taken the last one.
func (s *Service) tell(ctx context.Context) {
	status := s.status()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if !p.busy {
			p.busy = true
			m := &message{s: s, p: p, status: status}
			go m.run(ctx)
		}
	}
}

// message is one status on its way to one peer.
type message struct {
	s      *Service
	p      *peer
	status *loadpb.Status
}

func (m *message) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := m.p.client.Tell(ctx, m.status); err != nil {
		m.s.failures.Inc()
		m.s.cfg.Logger.Debug("peer not told", "peer", m.p.host.Name, "error", err)
	}
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	m.p.busy = false
}

func (s *Service) status() *loadpb.Status {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	out := &loadpb.Status{Host: s.cfg.Self.Name, Leaving: s.leaving, Changing: s.own}
	s.mu.Unlock()
	for id, w := range s.cfg.Loads.Own() {
		out.Work = append(out.Work, &loadpb.Work{Endpoint: id, Waiting: uint32(w.Waiting), Running: uint32(w.Running), Tokens: uint32(max(0, w.Tokens))})
	}
	out.Placements = lo.Map(s.cfg.Kept.News(), placementMessage)
	for _, suspect := range s.cfg.Poison.Suspects(maxSuspects, now) {
		out.Suspects = append(out.Suspects, &loadpb.Suspect{
			Fingerprint: suspect.Fingerprint[:],
			Crashes:     uint32(suspect.Crashes),
			AgeMs:       uint32(max(0, now.Sub(suspect.Last).Milliseconds())),
		})
	}
	return out
}

// Tell takes a peer's status.
func (s *Service) Tell(_ context.Context, in *loadpb.Status) (*loadpb.Heard, error) {
	host := in.GetHost()
	now := s.cfg.Clock.Boot()
	if in.GetLeaving() {
		s.cfg.Loads.Left(host)
	} else {
		s.cfg.Loads.Told(host, lo.SliceToMap(in.GetWork(), workFrom), now)
	}
	s.cfg.Poison.Merge(lo.FilterMap(in.GetSuspects(), s.suspectFrom), s.cfg.Clock.Now())
	for _, p := range in.GetPlacements() {
		s.cfg.Kept.Add(placementFrom(p))
	}
	s.mu.Lock()
	s.changing[host] = word{endpoints: in.GetChanging(), at: now}
	s.mu.Unlock()
	return &loadpb.Heard{}, nil
}

func workFrom(w *loadpb.Work) (string, load.Work) {
	return w.GetEndpoint(), load.Work{Waiting: int(w.GetWaiting()), Running: int(w.GetRunning()), Tokens: int(w.GetTokens())}
}

func (s *Service) suspectFrom(in *loadpb.Suspect, _ int) (poison.Suspect, bool) {
	var out poison.Suspect
	if len(in.GetFingerprint()) != len(out.Fingerprint) {
		return out, false
	}
	copy(out.Fingerprint[:], in.GetFingerprint())
	out.Crashes = int(in.GetCrashes())
	out.Last = s.cfg.Clock.Now().Add(-time.Duration(in.GetAgeMs()) * time.Millisecond)
	return out, true
}

func placementMessage(p kept.Placement, _ int) *loadpb.Placement {
	return &loadpb.Placement{
		Endpoint: p.Endpoint,
		Weights:  uint32(p.Weights),
		Wall:     p.Wall,
		Capacity: uint32(p.Capacity),
		Parts: lo.Map(p.Parts, func(part call.Part, _ int) *loadpb.Part {
			return &loadpb.Part{Id: part.ID, Tokens: uint32(part.Tokens)}
		}),
	}
}

func placementFrom(p *loadpb.Placement) kept.Placement {
	return kept.Placement{
		Endpoint: p.GetEndpoint(),
		Weights:  int(p.GetWeights()),
		Wall:     p.GetWall(),
		Capacity: int(p.GetCapacity()),
		Parts: lo.Map(p.GetParts(), func(part *loadpb.Part, _ int) call.Part {
			return call.Part{ID: part.GetId(), Tokens: int(part.GetTokens())}
		}),
	}
}
