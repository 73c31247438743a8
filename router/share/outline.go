package share

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/spread"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
	"cicadastand.dev/core/state/pack"
)

const (
	// maxInlineBytes is the size up to which records are sent in the reply to a status message,
	// to hosts that fetch larger ones in segments: that of a few packets.
	maxInlineBytes = 4 << 10
	// maxInlineOldBytes is that size for hosts of the previous release, which know no segments.
	// A host that gets no records reads the platform's store.
	maxInlineOldBytes = 64 << 10
)

// outlined is the outline of the records that a host has.
type outlined struct {
	read          feed.ReadMark
	configVersion int64
	outline       pack.Outline
	fingerprint   uint64
}

// segments are the segments of the operator's records: those of this host's records, and those
// that have arrived of newer ones.
type segments struct {
	store *pack.Store
	gate  *spread.Gate

	mu  sync.Mutex
	own outlined
	// wanted is the outline of the newest records that were offered, and running their transfer.
	wanted  pack.Outline
	running *transfer
}

// outline returns the outline of this host's records, and false if it has none.
func (s *Service) outline() (outlined, bool) {
	read, _ := s.cfg.Store.Published()
	version := s.configVersion()
	s.segments.mu.Lock()
	defer s.segments.mu.Unlock()
	own := &s.segments.own
	if own.outline != nil && own.configVersion == version && own.read.Era == read.Era && own.read.Next == read.Next {
		own.read = read
		return *own, true
	}
	records := s.cfg.Store.Records()
	if len(records) == 0 {
		return outlined{}, false
	}
	o := s.segments.store.Add(lo.Map(records, func(r feed.Record, _ int) pack.Record { return pack.Record{Key: r.Key, Value: r.Value} }))
	*own = outlined{read: read, configVersion: version, outline: o, fingerprint: o.Fingerprint()}
	s.segments.store.Keep(o, s.segments.wanted)
	return *own, true
}

// setOutline records the outline of records that have just become those of this host.
func (s *Service) setOutline(o pack.Outline, of feed.ReadMark) {
	read, _ := s.cfg.Store.Published()
	if read.Era != of.Era || read.Next != of.Next {
		return
	}
	s.segments.mu.Lock()
	defer s.segments.mu.Unlock()
	s.segments.own = outlined{read: read, configVersion: s.configVersion(), outline: o, fingerprint: o.Fingerprint()}
	s.segments.store.Keep(o, s.segments.wanted)
}

func recordBytes(records []feed.Record) int {
	return lo.SumBy(records, func(r feed.Record) int { return len(r.Value) })
}

// addHeld adds to a status what this host has of the operator's records.
func (s *Service) addHeld(out *loadpb.Status) {
	// What this host has of the records does not depend on whether its last read failed.
	read, _ := s.cfg.Store.Published()
	out.PublishedEra, out.PublishedNext = read.Era, read.Next
	out.ConfigVersion = s.configVersion()
	out.Fetches = true
	size := recordBytes(s.cfg.Store.Records())
	if size <= maxInlineBytes {
		return
	}
	if own, ok := s.outline(); ok {
		out.Holds = own.fingerprint
	}
	if size > maxInlineOldBytes {
		// A hub of the previous release would send all records in a reply, in vain.
		out.PublishedEra, out.PublishedNext, out.ConfigVersion = math.MaxInt64, math.MaxInt64, math.MaxInt64
	}
	if t := s.runningTransfer(); t != nil {
		if fingerprint, ok := t.holds(); ok {
			out.Holds, out.Arriving = fingerprint, true
		}
	}
}

// addRecords adds this host's records to the reply to a status whose sender lacks some, or
// offers them in segments if they are large.
func (s *Service) addRecords(out *loadpb.Heard, in *loadpb.Status, read feed.ReadMark, now time.Duration) {
	theirs := feed.ReadMark{Era: in.GetPublishedEra(), Next: in.GetPublishedNext()}
	lacks := theirs.Precedes(read) || s.configVersion() > in.GetConfigVersion()
	if !lacks && !in.GetFetches() {
		return
	}
	records := s.cfg.Store.Records()
	size, limit := recordBytes(records), maxInlineBytes
	if !in.GetFetches() {
		limit = maxInlineOldBytes
	}
	switch {
	case lacks && size <= limit:
		out.Records = lo.Map(records, recordMessage)
		s.recordsSent.Inc()
		s.recordBytesSent.Add(size)
	case in.GetFetches() && size > limit:
		s.addOffer(out, in, lacks, now)
	}
}

// addOffer offers this host's records to the sender of a status. Whether it lacks some is not
// known if its own records are large; it holds other segments then.
func (s *Service) addOffer(out *loadpb.Heard, in *loadpb.Status, lacks bool, now time.Duration) {
	own, ok := s.outline()
	if !ok {
		return
	}
	s.segments.gate.Hold(in.GetHost(), in.GetHolds(), now)
	if lacks || in.GetHolds() != own.fingerprint || in.GetArriving() {
		out.Offer = &loadpb.Offer{Fingerprint: own.fingerprint, Sources: s.segments.gate.Sources(in.GetHost(), own.fingerprint, now)}
	}
}

// Outline returns the segments of this host's records.
func (h *rpcServer) Outline(_ context.Context, in *loadpb.OutlineRequest) (*loadpb.OutlineReply, error) {
	s := h.Service
	s.recordPeerContact()
	own, ok := s.outline()
	if !ok {
		return &loadpb.OutlineReply{}, nil
	}
	s.cfg.Logger.Debug("outline of records sent", "host", in.GetHost(), "next", own.read.Next, "bytes", own.outline.Bytes())
	return &loadpb.OutlineReply{Published: newMark(own.read, s.cfg.Clock.Boot()), Records: outlineMessages(own.outline)}, nil
}

// Fetch returns those of the wanted segments that this host has, up to the size of a batch.
func (h *rpcServer) Fetch(_ context.Context, in *loadpb.FetchRequest) (*loadpb.FetchReply, error) {
	s := h.Service
	s.recordPeerContact()
	if !s.segments.gate.Enter(in.GetForDomain(), s.cfg.Clock.Boot()) {
		s.fetchesBusy.Inc()
		return &loadpb.FetchReply{Busy: true}, nil
	}
	size := 0
	defer func() { s.segments.gate.Sent(size) }()
	out := &loadpb.FetchReply{}
	for _, raw := range in.GetIds() {
		id, ok := pack.IDFrom(raw)
		if !ok {
			continue
		}
		packed, err := s.segments.store.Packed(id)
		if err != nil {
			return nil, fmt.Errorf("segment for %s: %w", in.GetHost(), err)
		}
		if packed == nil {
			continue
		}
		if size > 0 && size+len(packed) > int(in.GetMaxBytes()) {
			break
		}
		out.Segments = append(out.Segments, &loadpb.FetchedSegment{Id: raw, Packed: packed})
		size += len(packed)
	}
	if size > 0 {
		s.recordsSent.Inc()
		s.recordBytesSent.Add(size)
	}
	return out, nil
}

func outlineMessages(o pack.Outline) []*loadpb.RecordOutline {
	return lo.Map(o, func(r pack.RecordOutline, _ int) *loadpb.RecordOutline {
		return &loadpb.RecordOutline{Key: r.Key, Segments: lo.Map(r.Segments, func(seg pack.Segment, _ int) *loadpb.Segment {
			return &loadpb.Segment{Id: seg.ID[:], Size: uint32(seg.Size)}
		})}
	})
}

// outlineFrom decodes an outline, which must be one that a host can make.
func outlineFrom(in []*loadpb.RecordOutline) (pack.Outline, error) {
	out := make(pack.Outline, 0, len(in))
	for _, m := range in {
		r := pack.RecordOutline{Key: m.GetKey()}
		for _, seg := range m.GetSegments() {
			id, ok := pack.IDFrom(seg.GetId())
			if !ok {
				return nil, fmt.Errorf("record %s: %w", m.GetKey(), pack.ErrCorrupt)
			}
			r.Segments = append(r.Segments, pack.Segment{ID: id, Size: int(seg.GetSize())})
		}
		out = append(out, r)
	}
	if err := out.Check(); err != nil {
		return nil, fmt.Errorf("check outline: %w", err)
	}
	return out, nil
}
