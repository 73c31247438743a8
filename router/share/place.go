package share

import (
	"context"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/proto/loadpb"
)

const (
	// placeTimeout is how long a request waits for the hub's decision. Some request
	// bodies take as long to transfer over a 10 Mbit/s link, and the wait is short
	// compared to any latency target.
	placeTimeout = 40 * time.Millisecond
	// maxUnanswered is the number of consecutive failed queries after which the hub
	// is not queried for queryPause.
	maxUnanswered = 2
	queryPause    = 500 * time.Millisecond
	// reservationTime covers one interval between status messages and the time to
	// send the request. After that the status of the host includes the request.
	reservationTime = 75 * time.Millisecond
)

// Place asks the hub of the failure domain to choose the endpoint of a request. It
// returns false if this host has to choose the endpoint: in a mesh without hubs, or if
// the hub does not respond.
func (s *Service) Place(ctx context.Context, q place.Query) (place.Decision, bool) {
	now := s.cfg.Clock.Boot()
	if s.cfg.Hubs.IsMesh() {
		return place.Decision{}, false
	}
	hub := s.cfg.Hubs.OwnHub(now)
	if hub.Name == s.cfg.Self.Name {
		return place.Decide(q, s.cfg.Loads.AtEndpoints(candidateIDs(q), now)), true
	}
	s.mu.Lock()
	paused := now < s.queryAfter
	s.mu.Unlock()
	if paused {
		return place.Decision{}, false
	}
	client, err := s.peers.client(hub)
	if err != nil {
		s.cfg.Logger.Warn("can't connect to peer", "peer", hub.Name, "error", err)
		return place.Decision{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	placed, err := client.Place(ctx, queryMessage(s.cfg.Self.Name, q))
	if err != nil || int(placed.GetIndex()) >= len(q.Candidates) {
		s.mu.Lock()
		if s.unanswered++; s.unanswered >= maxUnanswered {
			s.queryAfter = now + queryPause
		}
		s.mu.Unlock()
		s.unplaced.Inc()
		s.cfg.Logger.Info("placement by hub failed", "hub", hub.Name, "error", err)
		return place.Decision{}, false
	}
	s.mu.Lock()
	s.unanswered = 0
	s.mu.Unlock()
	return place.Decision{Position: int(placed.GetIndex()), TokensAhead: int(placed.GetAhead()), Wait: time.Duration(placed.GetWaitUs()) * time.Microsecond, Lacking: int(placed.GetLacking())}, true
}

func candidateIDs(q place.Query) []string {
	return lo.Map(q.Candidates, func(c place.Candidate, _ int) string { return c.ID })
}

func queryMessage(host string, q place.Query) *loadpb.Query {
	return &loadpb.Query{
		Host:  host,
		Rank:  uint32(q.Rank),
		Holds: q.Holds,
		Candidates: lo.Map(q.Candidates, func(c place.Candidate, _ int) *loadpb.Candidate {
			return &loadpb.Candidate{
				Endpoint:    c.ID,
				Tokens:      uint32(c.PrefillTokens),
				CostUs:      uint32(c.Cost.Microseconds()),
				Rate:        uint32(c.PrefillRate),
				Slots:       uint32(c.Slots),
				Memory:      uint32(c.Memory),
				Capacity:    uint32(c.Capacity),
				Comfortable: uint32(c.Comfortable),
			}
		}),
	}
}

func queryFrom(in *loadpb.Query) place.Query {
	return place.Query{
		Rank:  min(int(in.GetRank()), call.Ranks-1),
		Holds: in.GetHolds(),
		Candidates: lo.Map(in.GetCandidates(), func(c *loadpb.Candidate, _ int) place.Candidate {
			return place.Candidate{
				ID:            c.GetEndpoint(),
				PrefillTokens: int(c.GetTokens()),
				Cost:          time.Duration(c.GetCostUs()) * time.Microsecond,
				PrefillRate:   float64(max(1, c.GetRate())),
				Slots:         int(c.GetSlots()),
				Memory:        int(c.GetMemory()),
				Capacity:      int(c.GetCapacity()),
				Comfortable:   int(c.GetComfortable()),
			}
		}),
	}
}

// decideFor chooses an endpoint for a host of the domain. It reserves the work there
// until the status of that host can include the request. A request that is not sent for
// lack of memory reserves nothing.
func (s *Service) decideFor(in *loadpb.Query) *loadpb.Placed {
	q := queryFrom(in)
	if len(q.Candidates) == 0 {
		return &loadpb.Placed{}
	}
	now := s.cfg.Clock.Boot()
	decision := place.Decide(q, s.cfg.Loads.AtEndpoints(candidateIDs(q), now))
	candidate := q.Candidates[decision.Position]
	if decision.Lacking == 0 || !q.Holds {
		s.cfg.Loads.Reserve(in.GetHost(), candidate.ID, q.Rank, candidate.PrefillTokens, candidate.Memory, now+reservationTime)
	}
	return &loadpb.Placed{Index: uint32(decision.Position), Ahead: uint32(decision.TokensAhead), WaitUs: uint32(decision.Wait.Microseconds()), Lacking: uint32(decision.Lacking)}
}
