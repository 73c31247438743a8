package peer

import (
	"context"
	"fmt"
	"math"
	"net/netip"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/limit"
	"cicadastand.dev/core/coord/member"
	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/proto/peerpb"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/usage"
)

// Exchange merges a peer's digest and returns this host's own.
func (s *Service) Exchange(_ context.Context, d *peerpb.Digest) (*peerpb.Digest, error) {
	s.mergeDigest(d)
	return s.Digest(), nil
}

// Pull returns the configuration records that the caller lacks, or a snapshot if this
// host no longer retains all of them.
func (s *Service) Pull(_ context.Context, req *peerpb.PullRequest) (*peerpb.PullReply, error) {
	records, ok := s.cfg.Store.Since(req.GetOffset())
	if ok {
		return &peerpb.PullReply{Records: lo.Map(records, toLogRecord)}, nil
	}
	data, err := s.cfg.Store.Snapshot().Encode()
	if err != nil {
		return nil, fmt.Errorf("answer pull: %w", err)
	}
	return &peerpb.PullReply{Snapshot: data}, nil
}

// Demand records a peer's demand on the accounts that this host allocates, and returns
// the peer's shares of their limits.
func (s *Service) Demand(_ context.Context, req *peerpb.DemandRequest) (*peerpb.DemandReply, error) {
	reply := &peerpb.DemandReply{}
	for _, d := range req.GetDemands() {
		share, ok := s.allocate(req.GetHost(), d.GetAccount(), d.GetRequests())
		if ok {
			reply.Shares = append(reply.Shares, &peerpb.AccountShare{Account: d.GetAccount(), Share: share})
		}
	}
	return reply, nil
}

// Usage returns the usage of an account as counted by this host.
func (s *Service) Usage(_ context.Context, req *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	data, err := s.cfg.Usage.Report(s.cfg.Self.Name, req.GetAccount()).Encode()
	if err != nil {
		return nil, fmt.Errorf("answer usage: %w", err)
	}
	return &peerpb.UsageReply{Report: data}, nil
}

func (s *Service) allocate(host, account string, demand float64) (float64, bool) {
	contract, ok := s.cfg.Store.View().Contract(account)
	if !ok || math.IsNaN(demand) || demand < 0 {
		return 0, false
	}
	return s.cfg.Allocator.Report(host, account, demand, contract.Limits.RequestsPerSecond, s.cfg.Clock.Now()), true
}

// reportDemand reports the usage of each active account to the host that allocates its
// limits, and applies the shares that this host is granted.
func (s *Service) reportDemand(ctx context.Context) {
	now := s.cfg.Clock.Now()
	s.cfg.Allocator.DropExpired(now)
	usages := s.cfg.Limits.TakeUsage(demandInterval, now)
	hosts := s.cfg.Members.Find(member.FindOptions{States: []member.State{member.Live}})
	if len(usages) == 0 || len(hosts) == 0 {
		return
	}
	byAllocator := lo.GroupBy(usages, func(u limit.Usage) string { return allocatorOf(u.Account, hosts).Name })
	for _, h := range hosts {
		part := byAllocator[h.Name]
		if len(part) == 0 {
			continue
		}
		if h.Name == s.cfg.Self.Name {
			s.grantOwn(part)
			continue
		}
		if err := s.requestShares(ctx, h.Address, part); err != nil {
			s.cfg.Logger.Debug("failed to renew shares of limits", "keeper", h.Name, "error", err)
		}
	}
}

func (s *Service) grantOwn(usages []limit.Usage) {
	until := s.cfg.Clock.Now().Add(s.cfg.Allocator.Lease())
	for _, u := range usages {
		if share, ok := s.allocate(s.cfg.Self.Name, u.Account, u.RequestRate); ok {
			s.cfg.Limits.Grant(u.Account, share, until)
		}
	}
}

func (s *Service) requestShares(ctx context.Context, address netip.AddrPort, usages []limit.Usage) error {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.Clock, callTimeout)
	defer cancel()
	client, err := s.client(address)
	if err != nil {
		return err
	}
	req := &peerpb.DemandRequest{Host: s.cfg.Self.Name}
	for _, u := range usages {
		req.Demands = append(req.Demands, &peerpb.AccountDemand{Account: u.Account, Requests: u.RequestRate})
	}
	sent := s.cfg.Clock.Now()
	reply, err := client.Demand(ctx, req)
	if err != nil {
		return fmt.Errorf("request shares: %w", err)
	}
	for _, share := range reply.GetShares() {
		s.cfg.Limits.Grant(share.GetAccount(), share.GetShare(), sent.Add(s.cfg.Allocator.Lease()))
	}
	return nil
}

// allocatorOf returns the host that allocates an account's limits, by rendezvous
// hashing.
func allocatorOf(account string, hosts []member.Host) member.Host {
	key := route.NameKey(account)
	return lo.MaxBy(hosts, func(a, b member.Host) bool { return route.Score(key, a.Name) > route.Score(key, b.Name) })
}

// Usages collects the usage reports of all hosts. It also returns the names of the
// hosts that did not respond.
func (s *Service) Usages(ctx context.Context, account string) ([]usage.Report, []string) {
	reports := []usage.Report{s.cfg.Usage.Report(s.cfg.Self.Name, account)}
	var missing []string
	for _, h := range s.cfg.Members.Find(member.FindOptions{WithoutSelf: true, States: []member.State{member.Live, member.Leaving}}) {
		r, err := s.usageOf(ctx, h.Address, account)
		if err != nil {
			missing = append(missing, h.Name)
			continue
		}
		reports = append(reports, r)
	}
	return reports, missing
}

func (s *Service) usageOf(ctx context.Context, address netip.AddrPort, account string) (usage.Report, error) {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.Clock, callTimeout)
	defer cancel()
	client, err := s.client(address)
	if err != nil {
		return usage.Report{}, err
	}
	reply, err := client.Usage(ctx, &peerpb.UsageRequest{Account: account})
	if err != nil {
		return usage.Report{}, fmt.Errorf("request usage: %w", err)
	}
	return usage.Decode(reply.GetReport())
}
