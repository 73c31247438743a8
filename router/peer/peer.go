// Package peer connects the hosts of the system: they exchange heartbeats with digests
// of bounded size, pull missing configuration from each other, and allocate shares of
// account limits.
package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/coord/limit"
	"cicadastand.dev/core/coord/member"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/proto/peerpb"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/usage"
	"cicadastand.dev/core/trans/dialer"
	"cicadastand.dev/core/trans/httpd"
)

// Config configures a Service.
type Config struct {
	Clock     clock.Service
	Self      member.Host
	Members   *member.Table
	Store     *follow.Store
	Health    *health.Table
	Poison    *poison.Table
	Limits    *limit.Limiter
	Allocator *limit.Allocator
	Usage     *usage.Counters
	// Listen is the address on which this host serves peers.
	Listen netip.AddrPort
	// Seeds are the addresses of peers to contact initially.
	Seeds []netip.AddrPort
	// Interval is the time between rounds of exchanges, Fanout the number of peers in
	// each round.
	Interval time.Duration
	Fanout   int
	// ServerCreds and ClientCreds are the transport credentials of peer connections.
	ServerCreds credentials.TransportCredentials
	ClientCreds credentials.TransportCredentials
	// Guard bounds connections and incomplete messages of other hosts, which may take
	// MaxMessages bytes; nil for no bound.
	Guard       *httpd.Guard
	MaxMessages int64
	// Dial opens connections to peers.
	Dial    dialer.Func
	Logger  hclog.Logger
	Metrics *metrics.Set
}

const (
	callTimeout         = time.Second
	suspectTimeout      = 200 * time.Millisecond
	demandInterval      = time.Second
	maxSuspects         = 64
	maxLeavingEndpoints = 64
	maxMessageBytes     = 64 << 20
)

// Service calls the other hosts and serves their calls.
//
// Lock order: Service.mu is a leaf.
type Service struct {
	peerpb.UnimplementedPeerServer
	cfg      Config
	server   *grpc.Server
	listener net.Listener
	rng      *rand.Rand
	// rounds counts the rounds of exchanges in a large fleet; only Round uses it.
	rounds int

	mu      sync.Mutex
	conns   map[netip.AddrPort]*conn
	leaving bool
	// pulling is set while the configuration is pulled from a peer.
	pulling bool

	exchanges *metrics.Counter
	failures  *metrics.Counter
	pulls     *metrics.Counter
}

// New returns a service that has not started.
func New(cfg Config) *Service {
	return &Service{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		conns:     make(map[netip.AddrPort]*conn),
		exchanges: cfg.Metrics.NewCounter("cicada_peer_exchanges_total"),
		failures:  cfg.Metrics.NewCounter("cicada_peer_failures_total"),
		pulls:     cfg.Metrics.NewCounter("cicada_peer_pulls_total"),
	}
}

// Listen opens the listener and starts the gRPC server for peers.
func (s *Service) Listen(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.cfg.Listen.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(maxMessageBytes)}
	if s.cfg.Guard != nil {
		listener, options = s.cfg.Guard.RPC(listener, hold.Peers, s.cfg.MaxMessages)
	}
	s.listener = listener
	s.server = grpc.NewServer(append(options, grpc.Creds(s.cfg.ServerCreds))...)
	peerpb.RegisterPeerServer(s.server, s)
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
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// Run exchanges digests and reports demand until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick := s.cfg.Clock.Subscribe(s.cfg.Interval)
	defer tick.Stop()
	demand := s.cfg.Clock.Subscribe(demandInterval)
	defer demand.Stop()
	s.Round(ctx)
	for {
		select {
		case <-tick.C():
			s.Round(ctx)
		case <-demand.C():
			s.reportDemand(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Round exchanges digests with a few peers concurrently and updates the states of the
// hosts.
func (s *Service) Round(ctx context.Context) {
	s.exchangeWith(ctx, s.pickPeers())
	for _, h := range s.cfg.Members.UpdateStates(s.cfg.Clock.Now()) {
		s.cfg.Logger.Info("host state changed", "host", h.Name, "state", h.State)
	}
	s.cfg.Limits.SetFallback(1 / float64(max(1, s.cfg.Members.ActiveCount())))
}

// Leave announces to all peers that this host is stopping.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.exchangeWith(ctx, s.addresses())
}

// Suspect tells all peers of a new suspect request before that request is retried or
// rejected. Peers that don't respond in time are told in a later exchange.
func (s *Service) Suspect(ctx context.Context, _ poison.Suspect) {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.Clock, suspectTimeout)
	defer cancel()
	s.exchangeWith(ctx, s.addresses())
}

// exchangeWith exchanges digests with peers concurrently and waits for all of them.
func (s *Service) exchangeWith(ctx context.Context, peers []netip.AddrPort) {
	var done sync.WaitGroup
	for _, address := range peers {
		done.Add(1)
		e := &exchange{s: s, address: address, done: &done}
		go e.run(ctx)
	}
	done.Wait()
}

// exchange is one exchange of digests with one peer.
type exchange struct {
	s       *Service
	address netip.AddrPort
	done    *sync.WaitGroup
}

func (e *exchange) run(ctx context.Context) {
	defer e.done.Done()
	ctx, cancel := clock.WithTimeout(ctx, e.s.cfg.Clock, callTimeout)
	defer cancel()
	e.s.exchanges.Inc()
	if err := e.s.ExchangeWith(ctx, e.address); err != nil {
		e.s.failures.Inc()
		e.s.cfg.Logger.Debug("exchange with peer failed", "address", e.address, "error", err)
	}
}

// ExchangeWith exchanges digests with one peer and starts to pull the configuration that this
// host lacks.
func (s *Service) ExchangeWith(ctx context.Context, address netip.AddrPort) error {
	client, err := s.client(address)
	if err != nil {
		return err
	}
	reply, err := client.Exchange(ctx, s.Digest())
	if err != nil {
		return fmt.Errorf("exchange: %w", err)
	}
	s.mergeDigest(reply)
	if reply.GetConfigOffset() > s.cfg.Store.Offset() {
		s.startPull(ctx, address)
	}
	return nil
}

// conn is the connection to a peer.
type conn struct {
	*grpc.ClientConn
	// received counts the bytes that the peer has sent.
	received atomic.Int64
}

// client returns a client for a peer's address. Connections are reused.
func (s *Service) client(address netip.AddrPort) (peerpb.PeerClient, error) {
	c, err := s.conn(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(c.ClientConn), nil
}

// conn returns the connection to a peer's address.
func (s *Service) conn(address netip.AddrPort) (*conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.conns[address]; ok {
		return c, nil
	}
	c := &conn{}
	open := dialer.Counted(s.cfg.Dial, &c.received)
	var err error
	c.ClientConn, err = grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(s.cfg.ClientCreds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return open(ctx, "tcp", address) }),
		grpc.WithConnectParams(connectParams()))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	s.conns[address] = c
	return c, nil
}

// shuffle puts n elements into random order.
func (s *Service) shuffle(n int, swap func(i, j int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng.Shuffle(n, swap)
}

// pickPeers returns the peers of the next round: a few at random, out of the known
// peers and the seeds.
func (s *Service) pickPeers() []netip.AddrPort {
	all := s.addresses()
	fanout := s.cfg.Fanout
	if len(all) > member.SampleSize {
		// In a large fleet digests have their maximum size. One peer in every second
		// round keeps the traffic within its share of the network.
		s.rounds++
		fanout = s.rounds % 2
	}
	s.shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), fanout)]
}

// addresses returns the addresses of all peers that may be alive, and the seeds.
func (s *Service) addresses() []netip.AddrPort {
	hosts := s.cfg.Members.Find(member.FindOptions{WithoutSelf: true, States: []member.State{member.Live, member.Silent, member.Leaving}})
	out := lo.Map(hosts, func(h member.Host, _ int) netip.AddrPort { return h.Address })
	out = append(out, s.cfg.Seeds...)
	return lo.Uniq(lo.Filter(out, func(a netip.AddrPort, _ int) bool { return a.IsValid() && a != s.cfg.Self.Address }))
}
