package peer

import (
	"math"
	"net/netip"
	"time"

	"github.com/samber/lo"
	"google.golang.org/grpc/backoff"

	"google.golang.org/grpc"

	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/member"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/proto/peerpb"
	"cicadastand.dev/core/state/stream"
)

// connectParams returns short back-off times, so that a restarted peer is reachable
// again soon.
func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
		MinConnectTimeout: callTimeout,
	}
}

// Digest returns the summary of this host's state that is sent to a peer.
func (s *Service) Digest() *peerpb.Digest {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	sample := s.cfg.Members.Sample(s.shuffle)
	return &peerpb.Digest{
		From:         hostMessage(s.cfg.Self, now),
		Leaving:      leaving,
		ConfigOffset: s.cfg.Store.Offset(),
		Hosts:        lo.Map(sample, func(h member.Host, _ int) *peerpb.Host { return hostMessage(h, now) }),
		Suspects:     lo.Map(s.cfg.Poison.Suspects(maxSuspects, now), suspectMessage),
		Endpoints:    s.leavingEndpoints(),
	}
}

// leavingEndpoints returns the endpoints whose own reports say that they are leaving.
func (s *Service) leavingEndpoints() []*peerpb.EndpointNews {
	var out []*peerpb.EndpointNews
	for name, st := range s.cfg.Health.All() {
		if st.State == health.Leaving && st.Report.Leaving && len(out) < maxLeavingEndpoints {
			out = append(out, &peerpb.EndpointNews{Name: name, Incarnation: st.Report.Incarnation, Leaving: true})
		}
	}
	return out
}

// mergeDigest applies a peer's digest to the tables of hosts, suspects and endpoints.
func (s *Service) mergeDigest(d *peerpb.Digest) {
	now := s.cfg.Clock.Now()
	from, ok := hostFrom(d.GetFrom(), now)
	if !ok || from.Name == s.cfg.Self.Name {
		return
	}
	s.cfg.Members.RecordContact(from, d.GetLeaving(), now)
	s.cfg.Members.Merge(lo.FilterMap(d.GetHosts(), func(h *peerpb.Host, _ int) (member.Host, bool) { return hostFrom(h, now) }), now)
	s.cfg.Poison.Merge(lo.Map(d.GetSuspects(), suspectFrom), now)
	for _, e := range d.GetEndpoints() {
		st := s.cfg.Health.Get(e.GetName())
		if e.GetLeaving() && (st.Report.Incarnation == "" || st.Report.Incarnation == e.GetIncarnation()) {
			s.cfg.Health.MarkLeaving(e.GetName(), true)
		}
	}
}

func hostMessage(h member.Host, now time.Time) *peerpb.Host {
	return &peerpb.Host{
		Name:          h.Name,
		FailureDomain: h.FailureDomain,
		Address:       h.Address.String(),
		AgeMs:         ageMs(h.LastContact, now),
		Leaving:       h.State == member.Leaving,
	}
}

// neverContacted is the encoded age of a host that was never in contact.
const neverContacted = math.MaxUint32

func ageMs(contacted, now time.Time) uint32 {
	age := now.Sub(contacted).Milliseconds()
	if contacted.IsZero() || age >= neverContacted {
		return neverContacted
	}
	return uint32(max(0, age))
}

func hostFrom(h *peerpb.Host, now time.Time) (member.Host, bool) {
	address, err := netip.ParseAddrPort(h.GetAddress())
	if err != nil || h.GetName() == "" {
		return member.Host{}, false
	}
	out := member.Host{Name: h.GetName(), FailureDomain: h.GetFailureDomain(), Address: address, State: member.Live}
	if h.GetLeaving() {
		out.State = member.Leaving
	}
	if h.GetAgeMs() != neverContacted {
		out.LastContact = now.Add(-time.Duration(h.GetAgeMs()) * time.Millisecond)
	}
	return out, true
}

func suspectMessage(s poison.Suspect, _ int) *peerpb.Suspect {
	return &peerpb.Suspect{Fingerprint: s.Fingerprint[:], Crashes: uint32(s.Crashes), LastUnixMs: s.LastCrash.UnixMilli()}
}

func suspectFrom(s *peerpb.Suspect, _ int) poison.Suspect {
	out := poison.Suspect{Crashes: int(s.GetCrashes()), LastCrash: time.UnixMilli(s.GetLastUnixMs())}
	copy(out.Fingerprint[:], s.GetFingerprint())
	return out
}

func toLogRecord(r stream.Record, _ int) *peerpb.LogRecord {
	return &peerpb.LogRecord{Offset: r.Offset, TimeUnixUs: r.Time.UnixMicro(), Data: r.Data}
}

func fromLogRecords(records []*peerpb.LogRecord) []stream.Record {
	return lo.Map(records, func(r *peerpb.LogRecord, _ int) stream.Record {
		return stream.Record{Offset: r.GetOffset(), Time: time.UnixMicro(r.GetTimeUnixUs()).UTC(), Data: r.GetData()}
	})
}
