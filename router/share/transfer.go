package share

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/spread"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/pack"
)

const (
	// fetchTimeout limits a call for one batch or an outline, which a link of 10 Mbit/s carries in
	// a fiftieth of it. Their size does not depend on that of the records.
	fetchTimeout = time.Second
	// fetchWorkers is the number of batches that a host waits for at a time. One that waits for a
	// slow source does not hold up the other.
	fetchWorkers = 2
	// fetchPause is the time between two looks at what can be fetched: about one batch.
	fetchPause = 20 * time.Millisecond
)

// transfer moves the operator's records from other hosts to this one, in segments. It ends
// when they are complete, when newer ones are offered, or when it stalls.
//
// Lock order: segments.mu, then transfer.mu.
type transfer struct {
	s       *Service
	from    feed.Host
	cancel  context.CancelFunc
	started time.Duration

	mu sync.Mutex
	// read and fingerprint are those of the offer, and then of the outline.
	read        feed.ReadMark
	fingerprint uint64
	sources     map[string]feed.Host
	// plan is nil until the outline has arrived.
	plan    *spread.Plan
	arrived int
	bytes   int
	busy    int
	failed  int
}

// lacks reports whether another host has records that this one lacks.
func (s *Service) lacks(read feed.ReadMark, configVersion int64) bool {
	own, _ := s.cfg.Store.Published()
	return own.Precedes(read) || configVersion > s.configVersion()
}

func (s *Service) runningTransfer() *transfer {
	s.segments.mu.Lock()
	defer s.segments.mu.Unlock()
	return s.segments.running
}

// receiveOffer starts the transfer of records that a host offers, or adds sources to the
// running one. Newer records replace those of a running transfer; the segments that they share
// have then arrived already.
func (s *Service) receiveOffer(ctx context.Context, from feed.Host, read feed.ReadMark, offer *loadpb.Offer) {
	s.segments.mu.Lock()
	defer s.segments.mu.Unlock()
	sources := append(offer.GetSources(), from.Name)
	if t := s.segments.running; t != nil {
		if !t.isReplacedBy(read, sources) {
			return
		}
		t.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	t := &transfer{s: s, from: from, read: read, cancel: cancel, fingerprint: offer.GetFingerprint(), started: s.cfg.Clock.Boot(), sources: make(map[string]feed.Host)}
	t.offer(sources)
	s.segments.running = t
	// The first segments are about to come: a read of the store would delay them.
	s.cfg.Store.RecordsArrive(t.started)
	go t.run(ctx)
}

// isReplacedBy reports whether the records of an offer are newer than those of the transfer. It
// adds the sources of an offer of the same records.
func (t *transfer) isReplacedBy(read feed.ReadMark, sources []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !read.Precedes(t.read) && !t.read.Precedes(read) {
		t.offer(sources)
	}
	return t.read.Precedes(read)
}

// offer adds sources; the caller holds the lock if the transfer has begun.
func (t *transfer) offer(names []string) {
	for _, name := range names {
		host, ok := t.s.cfg.Hubs.Host(name)
		if !ok || name == t.s.cfg.Self.Name {
			continue
		}
		t.sources[name] = host
		if t.plan != nil {
			t.plan.Offer(name)
		}
	}
}

// holds returns the fingerprint of the records, and false if no segment has arrived.
func (t *transfer) holds() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fingerprint, t.arrived > 0
}

func (t *transfer) run(ctx context.Context) {
	defer t.end()
	outline, err := t.begin(ctx)
	if err != nil {
		if ctx.Err() == nil {
			t.s.cfg.Logger.Info("outline of records did not arrive", "from", t.from.Name, "error", err)
			t.s.cfg.Store.ReceivePublished(t.read)
		}
		return
	}
	var workers sync.WaitGroup
	for range fetchWorkers {
		workers.Add(1)
		w := &fetchWorker{t: t, done: &workers}
		go w.loop(ctx)
	}
	workers.Wait()
	t.finish(ctx, outline)
}

// end removes the transfer if no newer one has replaced it.
func (t *transfer) end() {
	t.cancel()
	t.s.segments.mu.Lock()
	defer t.s.segments.mu.Unlock()
	if t.s.segments.running == t {
		t.s.segments.running = nil
	}
}

// errNoOutline reports a host that has no records to offer any more.
var errNoOutline = errors.New("host has no current read of the records")

// begin requests the outline and plans the transfer.
func (t *transfer) begin(ctx context.Context) (pack.Outline, error) {
	s := t.s
	// The segments of this host's own records need not be sent again.
	s.outline()
	client, err := s.peers.client(t.from)
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := s.cfg.Clock.Boot()
	reply, err := client.Outline(call, &loadpb.OutlineRequest{Host: s.cfg.Self.Name})
	if err != nil {
		return nil, fmt.Errorf("request outline: %w", err)
	}
	m := reply.GetPublished()
	if !m.GetKnown() {
		return nil, errNoOutline
	}
	outline, err := outlineFrom(reply.GetRecords())
	if err != nil {
		return nil, err
	}
	s.segments.mu.Lock()
	s.segments.wanted = outline
	s.segments.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fingerprint = outline.Fingerprint()
	t.read = feed.ReadMark{Era: m.GetEra(), Next: m.GetNext(), Started: sent - readAge(m)}
	t.plan = spread.NewPlan(s.segments.store.Lacking(outline), rand.Float64, s.cfg.Clock.Boot())
	for name := range t.sources {
		t.plan.Offer(name)
	}
	return outline, nil
}

// finish applies the records if they are complete. If the transfer has stalled, this host reads
// the platform's store.
func (t *transfer) finish(ctx context.Context, outline pack.Outline) {
	s := t.s
	now := s.cfg.Clock.Boot()
	t.mu.Lock()
	read := t.read
	args := []any{"from", t.from.Name, "era", read.Era, "next", read.Next, "bytes", outline.Bytes(), "sources", len(t.sources),
		"segments", t.arrived, "received-bytes", t.bytes, "busy", t.busy, "failed", t.failed, "ms", (now - t.started).Milliseconds()}
	t.mu.Unlock()
	records, ok := s.segments.store.Records(outline)
	switch {
	case ctx.Err() != nil:
		s.cfg.Logger.Info("transfer of records replaced by a newer one", args...)
	case !ok:
		s.cfg.Logger.Warn("transfer of records stalled", args...)
		s.cfg.Store.ReceivePublished(read)
	default:
		s.cfg.Logger.Info("records received", args...)
		s.cfg.Store.ReceiveRecords(lo.Map(records, func(r pack.Record, _ int) feed.Record { return feed.Record{Key: r.Key, Value: r.Value} }), read, t.from.Name)
		s.setOutline(outline, read)
	}
}

// fetchWorker requests one batch after the other.
type fetchWorker struct {
	t    *transfer
	done *sync.WaitGroup
}

func (w *fetchWorker) loop(ctx context.Context) {
	defer w.done.Done()
	t, s := w.t, w.t.s
	for ctx.Err() == nil && !t.plan.IsDone() && !t.plan.IsStalled(s.cfg.Clock.Boot()) {
		request, ok := t.plan.Next(s.cfg.Clock.Boot())
		if !ok {
			// Sleep fails only if ctx has ended, which the loop checks as well.
			_ = clock.Sleep(ctx, s.cfg.Clock, fetchPause)
			continue
		}
		outcome, arrived, err := t.fetch(ctx, request)
		now := s.cfg.Clock.Boot()
		t.plan.Report(request, outcome, arrived, now)
		t.count(outcome, len(arrived))
		if len(arrived) > 0 {
			s.cfg.Store.RecordsArrive(now)
		}
		if err != nil && ctx.Err() == nil {
			s.cfg.Logger.Info("segments of records did not arrive", "from", request.Source, "error", err)
		}
	}
}

func (t *transfer) count(outcome spread.Outcome, arrived int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrived += arrived
	switch outcome {
	case spread.Busy:
		t.busy++
	case spread.Failed:
		t.failed++
	case spread.Served:
	}
}

// fetch requests one batch and holds the segments that have arrived.
func (t *transfer) fetch(ctx context.Context, r spread.Request) (spread.Outcome, []pack.ID, error) {
	s := t.s
	t.mu.Lock()
	source := t.sources[r.Source]
	t.mu.Unlock()
	client, err := s.peers.client(source)
	if err != nil {
		return spread.Failed, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := client.Fetch(ctx, &loadpb.FetchRequest{
		Host: s.cfg.Self.Name, ForDomain: source.FailureDomain != s.cfg.Self.FailureDomain, MaxBytes: spread.BatchBytes,
		Ids: lo.Map(r.Segments, func(seg pack.Segment, _ int) []byte { return seg.ID[:] }),
	})
	if err != nil {
		return spread.Failed, nil, fmt.Errorf("fetch segments: %w", err)
	}
	if reply.GetBusy() {
		return spread.Busy, nil, nil
	}
	var arrived []pack.ID
	for _, m := range reply.GetSegments() {
		id, _ := pack.IDFrom(m.GetId())
		seg, wanted := lo.Find(r.Segments, func(seg pack.Segment) bool { return seg.ID == id })
		if !wanted {
			continue
		}
		if err := s.segments.store.Put(seg, m.GetPacked()); err != nil {
			return spread.Failed, arrived, err
		}
		arrived = append(arrived, id)
		t.mu.Lock()
		t.bytes += len(m.GetPacked())
		t.mu.Unlock()
	}
	return spread.Served, arrived, nil
}
