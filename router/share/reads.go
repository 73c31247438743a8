package share

import (
	"context"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
)

// receiveReads applies the reads of the store in the reply of a host to a status message
// that was sent at sent.
func (s *Service) receiveReads(ctx context.Context, from feed.Host, in *loadpb.Heard, sent time.Duration) {
	if m := in.GetPublished(); m.GetKnown() {
		read := feed.ReadMark{Era: m.GetEra(), Next: m.GetNext(), Started: sent - readAge(m)}
		if records := in.GetRecords(); len(records) > 0 {
			s.cfg.Store.ReceiveRecords(lo.Map(records, recordFrom), read, from.Name)
		}
		if offer := in.GetOffer(); offer != nil && s.lacks(read, in.GetConfigVersion()) {
			s.cfg.Store.ReceiveOffer(read)
			s.receiveOffer(ctx, from, read, offer)
		} else {
			s.cfg.Store.ReceivePublished(read)
		}
	}
	if m := in.GetRosterRead(); m.GetKnown() {
		s.cfg.Store.ReceiveEndpoints(endpointsFrom(in.GetEndpoints()), feed.ReadMark{Era: m.GetEra(), Started: sent - readAge(m)})
	}
}

// readAge returns the age that the hub states for a read. Subtracted from the time at
// which the status message was sent, it gives a lower bound for the start of the read,
// however late the reply arrives.
func readAge(m *loadpb.Mark) time.Duration { return time.Duration(m.GetAgeMs()) * time.Millisecond }

// addReads adds the reads of the store that include selects to a reply, with the records or
// an offer of them, and the endpoint list, if the sender of the status lacks them.
func (s *Service) addReads(out *loadpb.Heard, in *loadpb.Status, include func(feed.ReadMark) bool) {
	now := s.cfg.Clock.Boot()
	if read, ok := s.cfg.Store.Published(); ok && include(read) {
		out.Published = newMark(read, now)
		out.ConfigVersion = s.configVersion()
		s.addRecords(out, in, read, now)
	}
	if list, fingerprint, read, ok := s.cfg.Store.Endpoints(); ok && include(read) {
		out.RosterRead = newMark(feed.ReadMark{Era: read.Era, Started: read.Started}, now)
		if fingerprint != in.GetRoster() {
			out.Endpoints = endpointMessages(list)
		}
	}
}

// configVersion returns the version of this host's configuration; 0 if it has none.
func (s *Service) configVersion() int64 {
	if c := s.cfg.Mirror.View().Config; c != nil {
		return c.Version
	}
	return 0
}

func newMark(read feed.ReadMark, now time.Duration) *loadpb.Mark {
	// Rounding up keeps the age from being understated.
	return &loadpb.Mark{Known: true, Era: read.Era, Next: read.Next, AgeMs: uint32(max(0, (now-read.Started).Milliseconds()+1))}
}
