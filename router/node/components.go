package node

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/do/v2"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"cicadastand.dev/core/coord/claim"
	"cicadastand.dev/core/coord/commit"
	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/limit"
	"cicadastand.dev/core/coord/member"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/proto/logapi"
	"cicadastand.dev/core/state/index"
	"cicadastand.dev/core/state/ledger"
	"cicadastand.dev/core/state/stream"
	"cicadastand.dev/core/state/usage"
	"cicadastand.dev/core/trans/dialer"
	"cicadastand.dev/core/trans/httpd"
	"cicadastand.dev/router/certs"
	"cicadastand.dev/router/front"
	"cicadastand.dev/router/invoke"
	"cicadastand.dev/router/oper"
	"cicadastand.dev/router/peer"
	"cicadastand.dev/router/pool"
	"cicadastand.dev/router/prefs"
	"cicadastand.dev/router/probe"
	"cicadastand.dev/router/roll"
	"cicadastand.dev/router/send"
	"cicadastand.dev/router/tasks"
)

// provide registers the constructors of all components.
func provide(n *Node) {
	provideState(n)
	provideGuard(n)
	provideLog(n)
	provideRouting(n)
	provideRoll(n)
	provideServers(n)
}

func provideState(n *Node) {
	s := n.settings
	do.ProvideValue(n.scope, metrics.NewSet())
	do.ProvideValue(n.scope, follow.NewStore())
	healthConfig := health.DefaultConfig()
	healthConfig.ReportLag = s.Routing.ReportLag
	do.ProvideValue(n.scope, health.New(healthConfig))
	do.ProvideValue(n.scope, member.New(member.DefaultConfig(n.self())))
	do.ProvideValue(n.scope, poison.New(poison.DefaultConfig()))
	do.ProvideValue(n.scope, limit.NewLimiter())
	do.ProvideValue(n.scope, limit.NewAllocator(limit.DefaultAllocatorConfig()))
	do.ProvideValue(n.scope, usage.New())
	indexConfig := index.DefaultConfig()
	indexConfig.MaxKeys = s.Routing.MaxKeys
	do.ProvideValue(n.scope, index.New(indexConfig))
}

func (n *Node) self() member.Host {
	address := n.settings.Peers.Address
	if n.settings.Host.Advertise.IsValid() {
		address = n.settings.Host.Advertise
	}
	return member.Host{Name: n.settings.Host.Name, FailureDomain: n.settings.Host.FailureDomain, Address: address}
}

func (n *Node) dial() dialer.Func { return dialer.From(n.settings.Host.Source) }

func provideLog(n *Node) {
	do.Provide(n.scope, func(do.Injector) (*logapi.Client, error) {
		return logapi.New(logapi.Config{Clock: n.clock, Address: n.settings.Platform.Address, Timeout: n.settings.Platform.Timeout, Dial: n.dial()}), nil
	})
	do.Provide(n.scope, func(i do.Injector) (*claim.Coordinator, error) {
		return claim.New(claim.Config{
			Clock:  n.clock,
			Log:    do.MustInvoke[*logapi.Client](i),
			Ledger: ledger.DefaultConfig(),
			Logger: n.logger.Named("claim"),
		}), nil
	})
	do.Provide(n.scope, func(i do.Injector) (*commit.Publisher, error) {
		return commit.New(commit.Config{
			Clock:  n.clock,
			Log:    do.MustInvoke[*logapi.Client](i),
			Store:  do.MustInvoke[*follow.Store](i),
			Logger: n.logger.Named("commit"),
		}), nil
	})
	do.ProvideNamed(n.scope, stream.Config, func(i do.Injector) (*follow.Reader, error) {
		return n.reader(i, stream.Config, do.MustInvoke[*follow.Store](i)), nil
	})
	do.ProvideNamed(n.scope, stream.Claims, func(i do.Injector) (*follow.Reader, error) {
		return n.reader(i, stream.Claims, do.MustInvoke[*claim.Coordinator](i)), nil
	})
	do.Provide(n.scope, func(i do.Injector) (*tasks.Runner, error) {
		return tasks.New(tasks.Config{
			Clock:              n.clock,
			Platform:           do.MustInvoke[*logapi.Client](i),
			Members:            do.MustInvoke[*member.Table](i),
			Store:              do.MustInvoke[*follow.Store](i),
			Self:               n.settings.Host.Name,
			ListInterval:       n.settings.Platform.ListInterval,
			HeartbeatInterval:  n.settings.Chores.HeartbeatInterval,
			CheckpointInterval: n.settings.Chores.CheckpointInterval,
			Logger:             n.logger.Named("chore"),
		}), nil
	})
}

func (n *Node) reader(i do.Injector, name string, sink follow.Sink) *follow.Reader {
	return follow.NewReader(follow.ReaderConfig{
		Clock:  n.clock,
		Log:    do.MustInvoke[*logapi.Client](i),
		Stream: name,
		Sink:   sink,
		Logger: n.logger.Named("follow"),
	})
}

func provideRouting(n *Node) {
	s := n.settings
	do.Provide(n.scope, func(i do.Injector) (*probe.Prober, error) {
		return probe.New(probe.Config{
			Clock:       n.clock,
			Views:       do.MustInvoke[*follow.Store](i),
			Health:      do.MustInvoke[*health.Table](i),
			Index:       do.MustInvoke[*index.Index](i),
			Interval:    s.Routing.ProbeInterval,
			CacheEvents: s.Routing.CacheEvents,
			Dial:        n.dial(),
			Logger:      n.logger.Named("probe"),
		}), nil
	})
	do.Provide(n.scope, func(i do.Injector) (*pool.Pool, error) {
		return pool.New(pool.Config{
			Clock:         n.clock,
			Views:         do.MustInvoke[*follow.Store](i),
			Hosts:         do.MustInvoke[*member.Table](i),
			Health:        do.MustInvoke[*health.Table](i),
			MaxQueue:      s.Admission.MaxQueue,
			UrgentReserve: s.Admission.UrgentReserve,
			Overcommit:    s.Admission.Overcommit,
			Interval:      s.Routing.ProbeInterval,
		}), nil
	})
	do.Provide(n.scope, func(i do.Injector) (*send.Dispatcher, error) {
		policy, err := route.ByName(s.Routing.Policy)
		if err != nil {
			return nil, fmt.Errorf("build dispatcher: %w", err)
		}
		return send.New(send.Config{
			Clock:         n.clock,
			Views:         do.MustInvoke[*follow.Store](i),
			Policy:        policy,
			Health:        do.MustInvoke[*health.Table](i),
			Index:         do.MustInvoke[*index.Index](i),
			Poison:        do.MustInvoke[*poison.Table](i),
			Prober:        do.MustInvoke[*probe.Prober](i),
			Notifier:      do.MustInvoke[*peer.Service](i),
			FailureDomain: s.Host.FailureDomain,
			StallTimeout:  s.Routing.StallTimeout,
			Dial:          n.dial(),
			Logger:        n.logger.Named("send"),
			Metrics:       do.MustInvoke[*metrics.Set](i),
		}), nil
	})
	do.Provide(n.scope, func(i do.Injector) (*invoke.Caller, error) {
		return invoke.New(invoke.Config{
			Clock:  n.clock,
			Views:  do.MustInvoke[*follow.Store](i),
			Health: do.MustInvoke[*health.Table](i),
			Claims: do.MustInvoke[*claim.Coordinator](i),
			Dial:   n.dial(),
			Logger: n.logger.Named("order"),
		}), nil
	})
}

func provideRoll(n *Node) {
	do.Provide(n.scope, func(i do.Injector) (*roll.Runner, error) {
		return roll.New(roll.Config{
			Clock:  n.clock,
			Views:  do.MustInvoke[*follow.Store](i),
			Tasks:  do.MustInvoke[*tasks.Runner](i),
			Health: do.MustInvoke[*health.Table](i),
			Dial:   n.dial(),
			Logger: n.logger.Named("roll"),
		}), nil
	})
}

func provideServers(n *Node) {
	s := n.settings
	do.Provide(n.scope, func(i do.Injector) (*front.Server, error) {
		return front.New(front.Config{
			Clock:        n.clock,
			Views:        do.MustInvoke[*follow.Store](i),
			ConfigWaiter: do.MustInvoke[*follow.Store](i),
			Gates:        do.MustInvoke[*pool.Pool](i),
			Runner:       do.MustInvoke[*send.Dispatcher](i),
			Caller:       do.MustInvoke[*invoke.Caller](i),
			Limits:       do.MustInvoke[*limit.Limiter](i),
			Poison:       do.MustInvoke[*poison.Table](i),
			Usage:        do.MustInvoke[*usage.Counters](i),
			MaxBodyBytes: s.Callers.MaxBodyBytes,
			Logger:       n.logger.Named("front"),
			Metrics:      do.MustInvoke[*metrics.Set](i),
		}), nil
	})
	do.Provide(n.scope, func(i do.Injector) (*oper.Server, error) {
		return oper.New(oper.Config{
			Clock:     n.clock,
			Publisher: do.MustInvoke[*commit.Publisher](i),
			Store:     do.MustInvoke[*follow.Store](i),
			Members:   do.MustInvoke[*member.Table](i),
			Health:    do.MustInvoke[*health.Table](i),
			Usages:    do.MustInvoke[*peer.Service](i),
			Readiness: n,
			Dump:      n.Dump,
			Drain:     n.Drain,
			Keys:      s.Operators.Keys,
			Logger:    n.logger.Named("oper"),
			Metrics:   do.MustInvoke[*metrics.Set](i),
		}), nil
	})
	do.Provide(n.scope, func(i do.Injector) (*peer.Service, error) {
		server, client, err := peerCreds(s.Peers.TLS)
		if err != nil {
			return nil, err
		}
		return peer.New(peer.Config{
			Clock:       n.clock,
			Self:        n.self(),
			Members:     do.MustInvoke[*member.Table](i),
			Store:       do.MustInvoke[*follow.Store](i),
			Health:      do.MustInvoke[*health.Table](i),
			Poison:      do.MustInvoke[*poison.Table](i),
			Limits:      do.MustInvoke[*limit.Limiter](i),
			Allocator:   do.MustInvoke[*limit.Allocator](i),
			Usage:       do.MustInvoke[*usage.Counters](i),
			Listen:      s.Peers.Address,
			Seeds:       s.Peers.Seeds,
			Interval:    s.Peers.Interval,
			Fanout:      s.Peers.Fanout,
			Guard:       do.MustInvoke[*httpd.Guard](i),
			MaxMessages: n.maxMessages,
			ServerCreds: server,
			ClientCreds: client,
			Dial:        n.dial(),
			Logger:      n.logger.Named("peer"),
			Metrics:     do.MustInvoke[*metrics.Set](i),
		}), nil
	})
}

func peerCreds(files prefs.TLS) (server, client credentials.TransportCredentials, err error) {
	if !files.Enabled() {
		return insecure.NewCredentials(), insecure.NewCredentials(), nil
	}
	pair, err := certs.New(files)
	if err != nil {
		return nil, nil, fmt.Errorf("load TLS key pair for peer connections: %w", err)
	}
	return credentials.NewTLS(pair.Server()), credentials.NewTLS(pair.Client()), nil
}
