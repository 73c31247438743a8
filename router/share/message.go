package share

import (
	"net/netip"
	"strings"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/pause"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/room"
	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
	"cicadastand.dev/core/state/kvmap"
	"cicadastand.dev/core/state/site"
)

// hubSubscriber is the prefix of the names under which other hubs subscribe to
// placement updates. Hosts of the domain subscribe under their plain name.
const hubSubscriber = "hub "

func isHubSubscriber(subscriber string) bool { return strings.HasPrefix(subscriber, hubSubscriber) }

func workMessage(work map[string]load.Work) []*loadpb.Work {
	return lo.MapToSlice(work, func(id string, w load.Work) *loadpb.Work {
		out := &loadpb.Work{Endpoint: id, Waiting: uint32(max(0, w.Waiting)), Running: uint32(max(0, w.Running)), Sent: float32(w.Sent), Memory: uint32(max(0, w.EstimatedMemory()))}
		for rank, n := range w.Tokens {
			if n > 0 {
				// Lower ranks without an entry have 0 tokens.
				out.Tokens = append(append(out.Tokens, make([]uint32, rank-len(out.Tokens))...), uint32(n))
			}
		}
		return out
	})
}

func workFrom(in []*loadpb.Work) map[string]load.Work {
	return lo.SliceToMap(in, func(w *loadpb.Work) (string, load.Work) {
		out := load.Work{Waiting: int(w.GetWaiting()), Running: int(w.GetRunning()), Sent: float64(w.GetSent()), Memory: int(w.GetMemory())}
		if out.Memory == 0 {
			// The previous release does not send it.
			out.Unsized = out.Requests()
		}
		for rank, n := range w.GetTokens()[:min(len(w.GetTokens()), call.Ranks)] {
			out.Tokens[rank] = int(n)
		}
		return w.GetEndpoint(), out
	})
}

func demandMessage(demand load.Demand) []*loadpb.Demand {
	return lo.MapToSlice(demand, func(service string, perSecond float64) *loadpb.Demand {
		return &loadpb.Demand{Service: service, PerSecond: float32(perSecond)}
	})
}

func demandFrom(in []*loadpb.Demand) load.Demand {
	return lo.SliceToMap(in, func(d *loadpb.Demand) (string, float64) { return d.GetService(), float64(d.GetPerSecond()) })
}

func (s *Service) suspects() []*loadpb.Suspect {
	now := s.cfg.Clock.Now()
	return lo.Map(s.cfg.Poison.Suspects(maxSuspects, now), func(p poison.Suspect, _ int) *loadpb.Suspect {
		return &loadpb.Suspect{Fingerprint: p.Fingerprint[:], Crashes: uint32(p.Crashes), AgeMs: uint32(max(0, now.Sub(p.LastCrash).Milliseconds()))}
	})
}

func (s *Service) mergeSuspects(in []*loadpb.Suspect) {
	now := s.cfg.Clock.Now()
	s.cfg.Poison.Merge(lo.FilterMap(in, func(m *loadpb.Suspect, _ int) (poison.Suspect, bool) {
		out := poison.Suspect{Crashes: int(m.GetCrashes()), LastCrash: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)}
		return out, copy(out.Fingerprint[:], m.GetFingerprint()) == len(out.Fingerprint)
	}), now)
}

// crashes returns the evidence that peers may lack on parts of prompts that crash engines.
func (s *Service) crashes() []*loadpb.Crash {
	now := s.cfg.Clock.Boot()
	byEndpoint := lo.GroupBy(s.cfg.Taint.Pairs(maxTaints, now), func(p taint.Pair) string { return p.Endpoint })
	return lo.MapToSlice(byEndpoint, func(endpoint string, pairs []taint.Pair) *loadpb.Crash {
		crashed := lo.MinBy(pairs, func(a, b taint.Pair) bool { return a.Crashed < b.Crashed }).Crashed
		return &loadpb.Crash{Endpoint: endpoint, AgeMs: uint32(max(0, (now - crashed).Milliseconds())), Parts: lo.Map(pairs, taintMessage)}
	})
}

func taintMessage(p taint.Pair, _ int) *loadpb.Taint {
	return &loadpb.Taint{Id: p.Part, Depth: uint32(p.Depth), Dismissed: p.IsDismissed(), RanMs: uint32(p.Ran.Milliseconds()), OutlivedMs: uint32(p.Outlived.Milliseconds())}
}

func (s *Service) mergeCrashes(in []*loadpb.Crash) {
	now := s.cfg.Clock.Boot()
	s.cfg.Taint.Merge(lo.FlatMap(in, func(c *loadpb.Crash, _ int) []taint.Pair {
		crashed := now - time.Duration(c.GetAgeMs())*time.Millisecond
		return lo.Map(c.GetParts(), func(p *loadpb.Taint, _ int) taint.Pair {
			return taint.Pair{
				Part: p.GetId(), Endpoint: c.GetEndpoint(), Depth: int(p.GetDepth()), Crashed: crashed,
				Ran: time.Duration(p.GetRanMs()) * time.Millisecond, Outlived: outlived(p),
			}
		})
	}), now)
}

// outlived returns for how long another answer is known to have gone on. Older builds know of
// its first event only, which dismisses crashes before the first event.
func outlived(p *loadpb.Taint) time.Duration {
	if p.GetDismissed() && p.GetOutlivedMs() == 0 {
		return taint.OutliveMargin
	}
	return time.Duration(p.GetOutlivedMs()) * time.Millisecond
}

// pauses returns the current pauses with their start and end relative to now, since
// hosts don't share a clock.
func (s *Service) pauses() []*loadpb.Pause {
	now := s.cfg.Clock.Boot()
	return lo.MapToSlice(s.cfg.Pauses.Current(now), func(id string, p pause.Span) *loadpb.Pause {
		return &loadpb.Pause{Endpoint: id, FromMs: int32((p.From - now).Milliseconds()), UntilMs: int32((p.Until - now).Milliseconds()), Weights: uint32(p.Weights)}
	})
}

func (s *Service) receivePauses(in []*loadpb.Pause) {
	now := s.cfg.Clock.Boot()
	for _, p := range in {
		s.cfg.Pauses.Receive(p.GetEndpoint(), pause.Span{
			From:    now + time.Duration(p.GetFromMs())*time.Millisecond,
			Until:   now + time.Duration(p.GetUntilMs())*time.Millisecond,
			Weights: int(p.GetWeights()),
		}, now)
	}
}

func (s *Service) brittle() []*loadpb.Brittle {
	now := s.cfg.Clock.Boot()
	return lo.Map(s.cfg.Room.News(now), func(n room.News, _ int) *loadpb.Brittle {
		return &loadpb.Brittle{Endpoint: n.Endpoint, MaxRejections: float32(n.MaxRejections), Limit: float32(n.Limit), PauseMs: uint32(max(0, (n.PauseUntil - now).Milliseconds()))}
	})
}

func (s *Service) receiveBrittle(in []*loadpb.Brittle) {
	if len(in) == 0 {
		return
	}
	now := s.cfg.Clock.Boot()
	s.cfg.Room.Receive(lo.Map(in, func(m *loadpb.Brittle, _ int) room.News {
		return room.News{
			Endpoint:      m.GetEndpoint(),
			MaxRejections: float64(m.GetMaxRejections()),
			Limit:         float64(m.GetLimit()),
			PauseUntil:    now + time.Duration(m.GetPauseMs())*time.Millisecond,
		}
	}), now)
}

// versions returns the recently published versions of weights with their ages.
func (s *Service) versions() []*loadpb.WeightsVersion {
	now := s.cfg.Clock.Boot()
	var out []*loadpb.WeightsVersion
	for model, versions := range s.cfg.Mirror.View().Weights {
		for i, v := range versions {
			newsTime := olderNewsTime
			if i == len(versions)-1 {
				newsTime = newestNewsTime
			}
			age := now - v.LearntAt
			if !v.Assumed && age < newsTime {
				out = append(out, &loadpb.WeightsVersion{Model: model, Version: uint32(v.Version), AgeMs: uint32(max(0, age.Milliseconds()))})
			}
		}
	}
	return out
}

func (s *Service) receiveVersions(in []*loadpb.WeightsVersion) {
	now := s.cfg.Clock.Boot()
	for _, v := range in {
		if s.cfg.Mirror.SetWeights(v.GetModel(), int(v.GetVersion()), now-time.Duration(v.GetAgeMs())*time.Millisecond) {
			s.cfg.Logger.Info("new weights version received from peer", "model", v.GetModel(), "version", v.GetVersion(), "age-ms", v.GetAgeMs())
		}
	}
}

func recordMessage(r feed.Record, _ int) *loadpb.Record {
	return &loadpb.Record{Key: r.Key, Value: r.Value}
}

func recordFrom(r *loadpb.Record, _ int) feed.Record {
	return feed.Record{Key: r.GetKey(), Value: r.GetValue()}
}

func placementMessage(p kvmap.Placement, _ int) *loadpb.Placement {
	return &loadpb.Placement{
		Endpoint: p.Endpoint,
		Weights:  uint32(p.Weights),
		Wall:     p.CacheSalt,
		Capacity: uint32(p.Capacity),
		Parts: lo.Map(p.Parts, func(part call.Part, _ int) *loadpb.Part {
			return &loadpb.Part{Id: part.ID, Tokens: uint32(part.Tokens)}
		}),
	}
}

func placementFrom(p *loadpb.Placement, now time.Duration) kvmap.Placement {
	return kvmap.Placement{
		Endpoint:  p.GetEndpoint(),
		Weights:   int(p.GetWeights()),
		CacheSalt: p.GetWall(),
		Capacity:  int(p.GetCapacity()),
		LearntAt:  now,
		Parts: lo.Map(p.GetParts(), func(part *loadpb.Part, _ int) call.Part {
			return call.Part{ID: part.GetId(), Tokens: int(part.GetTokens())}
		}),
	}
}

func endpointMessages(list map[string]*site.Endpoint) []*loadpb.Endpoint {
	return lo.MapToSlice(list, func(_ string, e *site.Endpoint) *loadpb.Endpoint {
		return &loadpb.Endpoint{
			Id:        e.ID,
			Service:   e.Service,
			Address:   e.Address.String(),
			Domain:    e.FailureDomain,
			Build:     e.Build,
			Slots:     uint32(e.Slots),
			Leaving:   e.Draining,
			StartedMs: e.Started.UnixMilli(),
			Sequence:  e.Sequence,
			Weights:   lo.MapValues(e.Weights, func(v int, _ string) uint32 { return uint32(v) }),
		}
	})
}

// endpointsFrom decodes a list of endpoints; it returns nil for an empty one.
func endpointsFrom(in []*loadpb.Endpoint) map[string]*site.Endpoint {
	if len(in) == 0 {
		return nil
	}
	out := make(map[string]*site.Endpoint, len(in))
	for _, m := range in {
		address, err := netip.ParseAddrPort(m.GetAddress())
		if err != nil {
			// The hub has already parsed this address, so an entry without a valid one
			// is not usable.
			continue
		}
		out[m.GetId()] = &site.Endpoint{
			ID:            m.GetId(),
			Service:       m.GetService(),
			Address:       address,
			FailureDomain: m.GetDomain(),
			Build:         m.GetBuild(),
			Slots:         int(m.GetSlots()),
			Draining:      m.GetLeaving(),
			Started:       time.UnixMilli(m.GetStartedMs()),
			Sequence:      m.GetSequence(),
			Weights:       lo.MapValues(m.GetWeights(), func(v uint32, _ string) int { return int(v) }),
		}
	}
	return out
}
