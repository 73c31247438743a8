// Package watch keeps a host's board current from the platform's store.
//
// The hub of a failure domain reads for all of its hosts: each read has its
// price, and most show only that nothing is new. A host reads for itself what
// its hub has seen and it has not, and everything while it hears of no fresh
// read.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

// Store is the reading side of the platform's store.
type Store interface {
	// Published returns what the operator published since an offset, waiting up
	// to wait for something new.
	Published(ctx context.Context, from int64, wait time.Duration) (feed.Published, error)
	// Decode decodes records that another host has read.
	Decode(records []feed.Record) feed.Published
	// Entries returns what endpoints have written since an offset.
	Entries(ctx context.Context, from int64) (feed.Entries, error)
}

// Clock is the service that tells both kinds of time.
type Clock interface {
	clock.Service
	clock.Boot
}

// Config says what a Watcher works with.
type Config struct {
	Clock  Clock
	Store  Store
	Mirror *mirror.Mirror
	// IsHub reports whether this host reads for its failure domain.
	IsHub func() bool
	// PublishedWait is how long one read waits for the operator. The proof that a
	// key holds is as old as two such reads at most.
	PublishedWait time.Duration
	// EntriesInterval is the time between reads of the endpoints' entries.
	EntriesInterval time.Duration
	// DirectAfter is the age of the newest read, anyone's, at which a host reads
	// for itself.
	DirectAfter time.Duration
	Logger      hclog.Logger
	Metrics     *metrics.Set
}

const (
	// retryPause is the wait after a read that failed. Each call has its price,
	// and a store that turns hosts away is not helped by more of them.
	retryPause = 400 * time.Millisecond
	// pollInterval is the time between looks at whether to read.
	pollInterval = 200 * time.Millisecond
	// outageAfter is the time without a read after which entries may have lapsed
	// because the store was away: the renewals of the endpoints failed as well.
	outageAfter = 2500 * time.Millisecond
	// renewTime is how long endpoints that live have to renew their entries after
	// the store's return, as the platform promises it.
	renewTime = 2 * time.Second
)

// Watcher reads the store in two loops.
//
// Lock order: Watcher.mu, then the lock of the board.
type Watcher struct {
	cfg      Config
	failures *metrics.Counter
	reads    *metrics.Counter
	// newRecords is signalled when another host has read more of the operator.
	newRecords chan struct{}

	mu        sync.Mutex
	published readMark
	// records are the newest of the operator by key.
	records     map[string][]byte
	endpoints   *endpointList
	entriesMark readMark
	fingerprint uint64
}

// readMark is the newest read of a topic.
type readMark struct {
	known   bool
	next    int64
	started time.Duration
	// failed is set if the last read of this host failed: what it has says nothing of
	// what is newest any more.
	failed bool
}

// New returns a watcher.
func New(cfg Config) *Watcher {
	return &Watcher{
		cfg:        cfg,
		failures:   cfg.Metrics.NewCounter("cicada_store_read_failures_total"),
		reads:      cfg.Metrics.NewCounter("cicada_store_reads_total"),
		newRecords: make(chan struct{}, 1),
		records:    make(map[string][]byte),
		endpoints:  newEndpointList(),
	}
}

// shouldRead reports whether this host reads for itself.
func (w *Watcher) shouldRead(m readMark) bool {
	return !m.known || m.failed || w.cfg.IsHub() || w.cfg.Clock.Boot()-m.started > w.cfg.DirectAfter
}

func (w *Watcher) publishedMark() readMark {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.published
}

// RunPublished follows the operator until ctx ends.
func (w *Watcher) RunPublished(ctx context.Context) {
	tick := w.cfg.Clock.Subscribe(pollInterval)
	defer tick.Stop()
	status := w.newStoreStatus("configuration")
	trimmed := false
	for {
		m := w.publishedMark()
		wait := w.cfg.PublishedWait
		if !w.shouldRead(m) {
			select {
			case <-w.newRecords:
				wait = 0
			case <-tick.C():
				continue
			case <-ctx.Done():
				return
			}
		}
		from := m.next
		if !m.known || trimmed {
			from = feed.Newest
		}
		started := w.cfg.Clock.Boot()
		w.reads.Inc()
		p, err := w.cfg.Store.Published(ctx, from, wait)
		if ctx.Err() != nil {
			return
		}
		status.record(err)
		trimmed = feed.IsErrTrimmed(err)
		if err != nil {
			w.mu.Lock()
			w.published.failed = true
			w.mu.Unlock()
			w.pauseAfter(ctx, err)
			continue
		}
		w.applyPublished(p, started)
	}
}

// pauseAfter waits after a failure, unless the next read is another one.
func (w *Watcher) pauseAfter(ctx context.Context, err error) {
	if feed.IsErrTrimmed(err) {
		return
	}
	w.failures.Inc()
	// An error means that ctx has ended, which the caller sees as well.
	_ = clock.Sleep(ctx, w.cfg.Clock, retryPause)
}

func (w *Watcher) applyPublished(p feed.Published, started time.Duration) {
	for _, fault := range p.Faults {
		w.cfg.Logger.Warn("record of the operator can't be used", "error", fault)
	}
	if p.Config != nil && w.cfg.Mirror.SetConfig(p.Config) {
		w.cfg.Logger.Info("configuration", "version", p.Config.Version, "next", p.Next)
	}
	for model, version := range p.Weights {
		if w.cfg.Mirror.SetWeights(model, version, w.cfg.Clock.Boot()) {
			w.cfg.Logger.Info("weights named", "model", model, "version", version, "next", p.Next)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.published.known && p.Next < w.published.next {
		return
	}
	for _, r := range p.Records {
		w.records[r.Key] = r.Value
	}
	w.published = readMark{known: true, next: p.Next, started: started}
	w.cfg.Mirror.MarkConfigCurrent(started)
}

// Records returns the newest records of the operator.
func (w *Watcher) Records() []feed.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.MapToSlice(w.records, func(key string, value []byte) feed.Record { return feed.Record{Key: key, Value: value} })
}

// ReceiveRecords takes the newest records of the operator from another host, which
// has read them up to next.
func (w *Watcher) ReceiveRecords(records []feed.Record, next int64, started time.Duration) {
	if m := w.publishedMark(); m.known && next <= m.next {
		return
	}
	p := w.cfg.Store.Decode(records)
	p.Next = next
	w.applyPublished(p, started)
}

// Published returns the offset after the newest record of the operator, and the
// start of the read that showed it.
func (w *Watcher) Published() (next int64, started time.Duration, ok bool) {
	m := w.publishedMark()
	return m.next, m.started, m.known && !m.failed
}

// ReceivePublished takes a read of another host: if it showed nothing that this
// host lacks, it proves the same of what this host has.
func (w *Watcher) ReceivePublished(next int64, started time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.published.known || next > w.published.next:
		select {
		case w.newRecords <- struct{}{}:
		default:
		}
	case next == w.published.next && started > w.published.started:
		w.published.started, w.published.failed = started, false
		w.cfg.Mirror.MarkConfigCurrent(started)
	}
}

// RunEntries follows the endpoints' entries until ctx ends.
func (w *Watcher) RunEntries(ctx context.Context) {
	tick := w.cfg.Clock.Subscribe(w.cfg.EntriesInterval)
	defer tick.Stop()
	status := w.newStoreStatus("endpoints")
	for {
		w.mu.Lock()
		m := w.entriesMark
		w.mu.Unlock()
		if w.shouldRead(m) {
			w.readEntries(ctx, m.next, status)
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) readEntries(ctx context.Context, from int64, status *storeStatus) {
	if from == 0 {
		from = feed.Newest
	}
	started := w.cfg.Clock.Boot()
	w.reads.Inc()
	e, err := w.cfg.Store.Entries(ctx, from)
	if ctx.Err() != nil {
		return
	}
	status.record(err)
	if err == nil {
		w.applyEntries(e, started)
		return
	}
	w.mu.Lock()
	w.entriesMark.failed = true
	if feed.IsErrTrimmed(err) {
		w.entriesMark.next = 0
	}
	w.mu.Unlock()
	w.pauseAfter(ctx, err)
}

func (w *Watcher) applyEntries(e feed.Entries, started time.Duration) {
	for _, fault := range e.Faults {
		w.cfg.Logger.Warn("entry names no endpoint", "error", fault)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entriesMark = readMark{known: true, next: e.Next, started: started}
	w.updateMirror(w.endpoints.apply(e, w.cfg.Clock.Boot()), e.Next)
}

// updateMirror passes the list on; the caller holds the lock.
func (w *Watcher) updateMirror(changes []change, next int64) {
	for _, c := range changes {
		w.cfg.Logger.Info("endpoint", "id", c.id, "change", c.kind, "next", next)
	}
	if len(changes) > 0 || !w.cfg.Mirror.View().EndpointsRead {
		list := w.endpoints.list()
		w.fingerprint = mirror.Fingerprint(list)
		w.cfg.Mirror.SetEndpoints(list)
	}
}

// Endpoints returns the endpoints with their fingerprint and the start of the read.
// While lapsed entries are held, it vouches for nothing: hosts that could read all
// the time know better which endpoints have gone.
func (w *Watcher) Endpoints() (list map[string]*site.Endpoint, fingerprint uint64, started time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cfg.Mirror.View().Endpoints, w.fingerprint, w.entriesMark.started, w.entriesMark.known && !w.entriesMark.failed && !w.endpoints.isHolding(w.cfg.Clock.Boot())
}

// ReceiveEndpoints takes the endpoints from another host; nil if they are those that
// this host believes. A read that is no newer than this host's own is ignored.
func (w *Watcher) ReceiveEndpoints(list map[string]*site.Endpoint, started time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entriesMark.known && started <= w.entriesMark.started {
		return
	}
	// Where this host would read on is not known any more.
	w.entriesMark = readMark{known: true, started: started}
	if list != nil {
		w.updateMirror(w.endpoints.replace(list, w.cfg.Clock.Boot()), 0)
	}
}

// storeStatus logs when a dependency is lost and regained.
type storeStatus struct {
	w           *Watcher
	name        string
	failing     bool
	lastSuccess time.Duration
}

func (w *Watcher) newStoreStatus(name string) *storeStatus {
	return &storeStatus{w: w, name: name, lastSuccess: w.cfg.Clock.Boot()}
}

func (s *storeStatus) record(err error) {
	now := s.w.cfg.Clock.Boot()
	failed := err != nil && !feed.IsErrTrimmed(err)
	switch {
	case failed && !s.failing:
		s.w.cfg.Logger.Warn("store lost", "reads", s.name, "error", err)
	case !failed && s.failing:
		s.w.cfg.Logger.Info("store regained", "reads", s.name, "away-ms", (now - s.lastSuccess).Milliseconds())
	}
	s.failing = failed
	if !failed {
		s.lastSuccess = now
	}
}
