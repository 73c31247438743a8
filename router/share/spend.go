package share

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"

	"cicadastand.dev/core/coord/quota"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
	"cicadastand.dev/core/state/site"
)

const (
	// spendTimeout is how long a request waits until its hub has charged it. As for
	// placements, the wait is short compared to any latency target. spendAgainTimeout is that
	// of a second try at a hub that has answered a status just now: on a host with a fraction
	// of a core, either side may be held up for most of a scheduling period of 100 ms.
	spendTimeout      = placeTimeout
	spendAgainTimeout = 100 * time.Millisecond
	// aliveFor is the age of a hub's last answer to a status up to which it counts as alive.
	aliveFor = 250 * time.Millisecond
	// answeredFor is how long the hub that last answered is asked, also while another one is
	// tried again.
	answeredFor = time.Second
	// assumedHosts is the number of hosts of a system whose registry was not read yet. A host
	// that has just started must not take itself for the only one.
	assumedHosts = 32
)

// quotaCounters counts the decisions on requests of accounts with limits.
type quotaCounters struct {
	charged  *metrics.Counter
	rejected *metrics.Counter
	asked    *metrics.Counter
	fallback *metrics.Counter
}

// askState records whether the hub answers requests to charge.
type askState struct {
	hub        string
	unanswered int
	after      time.Duration
}

// initQuota builds the components for the limits of client accounts.
func (s *Service) initQuota() {
	s.pool = quota.NewPool(quota.PoolConfig{
		Domain:    s.cfg.Self.FailureDomain,
		Domains:   s.cfg.Hubs.Domains,
		Members:   s.cfg.Hubs.Members,
		Limit:     s.limitOf,
		Tolerance: s.cfg.Tolerance,
		Report:    s.logSilent,
	})
	s.spender = quota.NewSpender(quota.SpenderConfig{Hosts: s.registeredHosts, Random: rand.Float64, Started: s.cfg.Clock.Boot()})
	s.quota = quotaCounters{
		charged:  s.cfg.Metrics.NewCounter("cicada_quota_charged_total"),
		rejected: s.cfg.Metrics.NewCounter("cicada_quota_rejected_total"),
		asked:    s.cfg.Metrics.NewCounter("cicada_quota_asked_total"),
		fallback: s.cfg.Metrics.NewCounter("cicada_quota_fallback_total"),
	}
	s.cfg.Metrics.NewGauge("cicada_quota_accounts", func() float64 { return float64(max(s.pool.Len(), s.spender.Len())) })
}

// limitOf returns the limit of an account by the newest configuration of this host.
func (s *Service) limitOf(account string) (site.Limit, bool) {
	config := s.cfg.Mirror.View().Config
	if config == nil {
		return site.Limit{}, false
	}
	return config.Limit(account)
}

// hasRegistry reports whether this host knows the other hosts.
func (s *Service) hasRegistry() bool { return s.cfg.HasRegistry == nil || s.cfg.HasRegistry() }

func (s *Service) registeredHosts() int {
	if !s.hasRegistry() {
		return max(assumedHosts, s.cfg.Hubs.Len())
	}
	return s.cfg.Hubs.Len()
}

// logSilent logs that another failure domain became silent, or is heard again.
func (s *Service) logSilent(c quota.Change) {
	if c.Silent {
		s.cfg.Logger.Warn("failure domain is not heard, shares of account limits don't grow", "domain", c.Domain)
		return
	}
	s.cfg.Logger.Info("failure domain is heard again", "domain", c.Domain)
}

// Spend charges a request to the limit of its account. The account must have a limit.
func (s *Service) Spend(ctx context.Context, account string, limit site.Limit, units float64) quota.Decision {
	d := s.spender.Take(account, limit, units, s.cfg.Clock.Boot())
	if d.Action == quota.Ask {
		d = s.ask(ctx, account, limit, units)
	}
	if d.Action == quota.Reject {
		s.quota.rejected.Inc()
	} else {
		s.quota.charged.Inc()
	}
	if d.By == quota.ByFallback {
		s.quota.fallback.Inc()
	}
	return d
}

// ask has the hub decide on a request. If it does not answer, this host decides.
func (s *Service) ask(ctx context.Context, account string, limit site.Limit, units float64) quota.Decision {
	now := s.cfg.Clock.Boot()
	hub, ok := s.hubToAsk(now)
	if !ok {
		return s.spender.Fallback(account, limit, units, now)
	}
	if hub.Name == s.cfg.Self.Name {
		return s.spender.Settle(account, limit, hub.Name, s.pool.Charge(account, units, now), units, now)
	}
	reply, err := s.callSpend(ctx, hub, account, units, spendTimeout)
	alive := s.isAlive(hub.Name)
	if err != nil && alive && ctx.Err() == nil {
		reply, err = s.callSpend(ctx, hub, account, units, spendAgainTimeout)
	}
	if ctx.Err() == nil {
		s.recordAnswer(hub.Name, err == nil || alive)
	}
	now = s.cfg.Clock.Boot()
	if err != nil {
		s.cfg.Logger.Info("charge of a request by hub failed", "hub", hub.Name, "account", account, "error", err)
		return s.spender.Fallback(account, limit, units, now)
	}
	return s.spender.Settle(account, limit, hub.Name, replyFrom(reply), units, now)
}

func (s *Service) callSpend(ctx context.Context, hub feed.Host, account string, units float64, most time.Duration) (*loadpb.SpendReply, error) {
	if units > 0 {
		s.quota.asked.Inc()
	}
	client, err := s.peers.client(hub)
	if err != nil {
		return nil, fmt.Errorf("connect to hub %s: %w", hub.Name, err)
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	reply, err := client.Spend(ctx, &loadpb.SpendRequest{Host: s.cfg.Self.Name, Account: account, Units: units})
	if err != nil {
		return nil, fmt.Errorf("charge at hub %s: %w", hub.Name, err)
	}
	return reply, nil
}

// isAlive reports whether a hub has answered a status of this host just now.
func (s *Service) isAlive(hub string) bool {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredBy.Name == hub && now-s.answeredAt < aliveFor
}

// hubToAsk returns the hub that charges requests of this host: the one that has just answered
// its status, else the selected one. It returns false while no hub is known to answer.
func (s *Service) hubToAsk(now time.Duration) (feed.Host, bool) {
	if !s.hasRegistry() {
		return feed.Host{}, false
	}
	own := s.cfg.Hubs.OwnHub(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.answeredAt < answeredFor {
		own = s.answeredBy
	}
	return own, own.Name != s.spending.hub || now >= s.spending.after
}

// recordAnswer records whether a hub has answered in time. After maxUnanswered failures in a row
// it is not asked for queryPause.
func (s *Service) recordAnswer(hub string, ok bool) {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok || s.spending.hub != hub {
		s.spending = askState{hub: hub}
	}
	if ok {
		return
	}
	if s.spending.unanswered++; s.spending.unanswered >= maxUnanswered {
		s.spending.after = now + queryPause
	}
}

// Spend charges a request of another host of the domain.
func (h *rpcServer) Spend(ctx context.Context, in *loadpb.SpendRequest) (*loadpb.SpendReply, error) {
	s := h.Service
	if err := ctx.Err(); err != nil {
		// The host no longer waits, for instance since this one was frozen.
		return nil, fmt.Errorf("charge for host %s: %w", in.GetHost(), err)
	}
	if !s.hasRegistry() {
		return &loadpb.SpendReply{Unknown: true}, nil
	}
	reply := s.pool.Charge(in.GetAccount(), in.GetUnits(), s.cfg.Clock.Boot())
	return &loadpb.SpendReply{Charged: reply.Charged, Unknown: reply.Unknown, WaitUs: uint32(reply.Wait.Microseconds())}, nil
}

// ReturnUnits gives back the units of a request that was admitted and has not run.
func (s *Service) ReturnUnits(account string, d quota.Decision, units float64) {
	s.spender.Return(account, d, units, s.cfg.Clock.Boot())
}

// sendReturned returns units to the hubs that charged them. A lost message is not resent.
func (s *Service) sendReturned(ctx context.Context) {
	now := s.cfg.Clock.Boot()
	for to, units := range s.spender.TakeReturned() {
		if to.Hub == s.cfg.Self.Name {
			s.pool.Charge(to.Account, -units, now)
			continue
		}
		hub, ok := s.cfg.Hubs.Host(to.Hub)
		if !ok {
			continue
		}
		r := &returnMessage{s: s, hub: hub, account: to.Account, units: units}
		go r.run(ctx)
	}
}

// returnMessage is a message that returns units to a hub.
type returnMessage struct {
	s       *Service
	hub     feed.Host
	account string
	units   float64
}

func (r *returnMessage) run(ctx context.Context) {
	if _, err := r.s.callSpend(ctx, r.hub, r.account, -r.units, callTimeout); err != nil {
		r.s.cfg.Logger.Debug("failed to return units to hub", "hub", r.hub.Name, "account", r.account, "units", r.units, "error", err)
	}
}

// receiveGrants applies a hub's reply to a status that was sent at a time.
func (s *Service) receiveGrants(hub feed.Host, in *loadpb.Heard, sent time.Duration) {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	s.answeredBy, s.answeredAt = hub, now
	s.mu.Unlock()
	grants := lo.Map(in.GetGrants(), func(g *loadpb.AccountGrant, _ int) quota.Grant {
		return quota.Grant{Account: g.GetAccount(), PerSecond: g.GetPerSecond()}
	})
	s.spender.Receive(hub.Name, grants, sent, now)
}

// receiveDomainUses records the demand in another failure domain, or at one of its hosts.
func (s *Service) receiveDomainUses(in *loadpb.Status, now time.Duration) {
	from := in.GetHost()
	if in.GetForDomain() {
		from = ""
	}
	s.pool.ReceiveDomain(in.GetDomain(), from, usesFrom(in.GetUses()), now)
}

func useMessages(uses []quota.Use) []*loadpb.AccountUse {
	return lo.Map(uses, func(u quota.Use, _ int) *loadpb.AccountUse {
		return &loadpb.AccountUse{Account: u.Account, Demand: u.Demand, Spent: u.Spent}
	})
}

func usesFrom(in []*loadpb.AccountUse) []quota.Use {
	return lo.Map(in, func(u *loadpb.AccountUse, _ int) quota.Use {
		return quota.Use{Account: u.GetAccount(), Demand: u.GetDemand(), Spent: u.GetSpent()}
	})
}

func grantMessages(grants []quota.Grant) []*loadpb.AccountGrant {
	return lo.Map(grants, func(g quota.Grant, _ int) *loadpb.AccountGrant {
		return &loadpb.AccountGrant{Account: g.Account, PerSecond: g.PerSecond}
	})
}

func replyFrom(in *loadpb.SpendReply) quota.Reply {
	return quota.Reply{Charged: in.GetCharged(), Unknown: in.GetUnknown(), Wait: time.Duration(in.GetWaitUs()) * time.Microsecond}
}
