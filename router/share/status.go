package share

import (
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
)

// memberReply returns the reply to the status of a host of the domain: the work of all
// other hosts, and what this host has read from the store and the sender lacks.
func (s *Service) memberReply(in *loadpb.Status, now time.Duration) *loadpb.Heard {
	out := &loadpb.Heard{
		Work:       workMessage(s.cfg.Loads.TotalExcept(in.GetHost(), now)),
		Demand:     demandMessage(s.cfg.Loads.DemandExcept(in.GetHost(), now)),
		Pauses:     s.pauses(),
		Versions:   s.versions(),
		Suspects:   s.suspects(),
		Crashes:    s.crashes(),
		Brittle:    s.brittle(),
		Placements: lo.Map(s.cfg.PlacementUpdates.Take(in.GetHost(), now), placementMessage),
	}
	out.Grants = grantMessages(s.pool.Receive(in.GetHost(), usesFrom(in.GetUses()), now))
	if !s.cfg.Hubs.IsMesh() {
		out.Speeds = speedMessages(s.cfg.Speeds.Others(in.GetHost(), now))
	}
	s.addReads(out, in, func(feed.ReadMark) bool { return true })
	return out
}

// hostStatus returns the status of this host for one peer.
func (s *Service) hostStatus(to string) *loadpb.Status {
	out := s.baseStatus(to)
	out.Work = workMessage(s.cfg.Loads.Own(s.cfg.Clock.Boot()))
	out.Demand = demandMessage(s.cfg.Loads.Demand(s.cfg.Clock.Boot()))
	out.Uses = useMessages(s.spender.Uses(s.cfg.Clock.Boot()))
	out.Speeds = speedMessages(s.cfg.Speeds.Own(to, s.cfg.Clock.Boot()))
	return out
}

// domainStatus returns the status of the whole domain for another hub.
func (s *Service) domainStatus(to string) *loadpb.Status {
	out := s.baseStatus(to)
	out.ForDomain = true
	now := s.cfg.Clock.Boot()
	out.Work = workMessage(s.cfg.Loads.DomainTotal(now))
	out.Demand = demandMessage(s.cfg.Loads.DomainDemand(now))
	out.Uses = useMessages(s.pool.DomainUses())
	out.Speeds = speedMessages(s.cfg.Speeds.Domain(to, now))
	return out
}

func (s *Service) baseStatus(to string) *loadpb.Status {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	out := &loadpb.Status{
		Host:       s.cfg.Self.Name,
		Domain:     s.cfg.Self.FailureDomain,
		Leaving:    leaving,
		LeaseFence: s.cfg.Lease.HeldGrant(),
		Pauses:     s.pauses(),
		Versions:   s.versions(),
		Suspects:   s.suspects(),
		Crashes:    s.crashes(),
		Brittle:    s.brittle(),
		Placements: lo.Map(s.cfg.PlacementUpdates.Take(hubSubscriber+to, s.cfg.Clock.Boot()), placementMessage),
	}
	if _, fingerprint, _, ok := s.cfg.Store.Endpoints(); ok {
		out.Roster = fingerprint
	}
	s.addHeld(out)
	return out
}
