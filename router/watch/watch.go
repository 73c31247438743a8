// Package watch keeps a host's mirror of the platform's store up to date.
//
// The hub of a failure domain reads the store for all hosts of the domain, since each
// read has a cost and most reads return nothing new. Another host reads the store
// only if the hub has seen newer records than it has, or while it receives no recent
// read from the hub.
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

// Store reads from the platform's store.
type Store interface {
	// Published returns the operator's records since an offset. It waits up to wait
	// for a new record.
	Published(ctx context.Context, from int64, wait time.Duration) (feed.Published, error)
	// Decode decodes records that another host has read.
	Decode(records []feed.Record) feed.Published
	// Entries returns the entries that endpoints have written since an offset.
	Entries(ctx context.Context, from int64) (feed.Entries, error)
}

// Clock provides both the wall clock and the clock that continues during suspension.
type Clock interface {
	clock.Service
	clock.Boot
}

// Config configures a Watcher.
type Config struct {
	Clock  Clock
	Store  Store
	Mirror *mirror.Mirror
	// IsHub reports whether this host reads for its failure domain.
	IsHub func() bool
	// PublishedWait is how long one read waits for a new record of the operator. The
	// confirmation that an API key is still valid is at most two such reads old.
	PublishedWait time.Duration
	// EntriesInterval is the time between two reads of the endpoints' entries.
	EntriesInterval time.Duration
	// DirectAfter is the age of the newest known read, of this host or of another
	// one, after which a host reads the store itself.
	DirectAfter time.Duration
	Logger      hclog.Logger
	Metrics     *metrics.Set
}

const (
	// retryPause is the delay after a failed read. Each call has a cost, and faster
	// retries would add load to a store that rejects requests.
	retryPause = 400 * time.Millisecond
	// pollInterval is the time between two checks of whether to read.
	pollInterval = 200 * time.Millisecond
	// outageAfter is the time without a read after which entries may have expired
	// because the store was unavailable, so that endpoints could not renew them.
	outageAfter = 2500 * time.Millisecond
	// renewTime is the time within which live endpoints renew their entries once the
	// store is available again. The platform guarantees it.
	renewTime = 2 * time.Second
)

// Watcher reads the store in two loops: one for the operator's records and one for
// the endpoints' entries.
//
// Lock order: Watcher.mu, then the lock of the mirror.
type Watcher struct {
	cfg      Config
	failures *metrics.Counter
	reads    *metrics.Counter
	// newRecords is signalled when another host has read newer records of the
	// operator than this host has.
	newRecords chan struct{}

	mu        sync.Mutex
	published readMark
	// records are the operator's newest records by key.
	records     map[string][]byte
	endpoints   *endpointList
	entriesMark readMark
	fingerprint uint64
}

// readMark is the newest read of a topic, by this host or by another one.
type readMark struct {
	known   bool
	next    int64
	started time.Duration
	// failed is set if the last read by this host failed, so that the state is no
	// longer known to be current.
	failed bool
}

// New returns a watcher that has not started.
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

// shouldRead reports whether this host reads the store itself.
func (w *Watcher) shouldRead(m readMark) bool {
	return !m.known || m.failed || w.cfg.IsHub() || w.cfg.Clock.Boot()-m.started > w.cfg.DirectAfter
}

func (w *Watcher) publishedMark() readMark {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.published
}

// RunPublished follows the operator's records until ctx ends.
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

// pauseAfter waits after a failed read. It does not wait if the log was trimmed, since
// the next read starts at another offset.
func (w *Watcher) pauseAfter(ctx context.Context, err error) {
	if feed.IsErrTrimmed(err) {
		return
	}
	w.failures.Inc()
	// Sleep fails only if ctx has ended, which the caller checks as well.
	_ = clock.Sleep(ctx, w.cfg.Clock, retryPause)
}

func (w *Watcher) applyPublished(p feed.Published, started time.Duration) {
	for _, fault := range p.Faults {
		w.cfg.Logger.Warn("ignored invalid record of the operator", "error", fault)
	}
	if p.Config != nil && w.cfg.Mirror.SetConfig(p.Config) {
		w.cfg.Logger.Info("configuration updated", "version", p.Config.Version, "next", p.Next)
	}
	for model, version := range p.Weights {
		if w.cfg.Mirror.SetWeights(model, version, w.cfg.Clock.Boot()) {
			w.cfg.Logger.Info("new weights version published", "model", model, "version", version, "next", p.Next)
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

// Records returns the operator's newest record of each key.
func (w *Watcher) Records() []feed.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.MapToSlice(w.records, func(key string, value []byte) feed.Record { return feed.Record{Key: key, Value: value} })
}

// ReceiveRecords applies the operator's newest records, which another host has read up
// to offset next.
func (w *Watcher) ReceiveRecords(records []feed.Record, next int64, started time.Duration) {
	if m := w.publishedMark(); m.known && next <= m.next {
		return
	}
	p := w.cfg.Store.Decode(records)
	p.Next = next
	w.applyPublished(p, started)
}

// Published returns the offset after the operator's newest record, and when the read
// that confirmed it started. It returns false without a current read.
func (w *Watcher) Published() (next int64, started time.Duration, ok bool) {
	m := w.publishedMark()
	return m.next, m.started, m.known && !m.failed
}

// ReceivePublished applies the result of another host's read. If it ended at the
// offset that this host has, the configuration of this host was current when that read
// started. If it ended later, this host has to read the new records.
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

// RunEntries polls the endpoints' entries until ctx ends.
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
		w.cfg.Logger.Warn("ignored invalid endpoint entry", "error", fault)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entriesMark = readMark{known: true, next: e.Next, started: started}
	w.updateMirror(w.endpoints.apply(e, w.cfg.Clock.Boot()), e.Next)
}

// updateMirror copies the endpoint list to the mirror if it has changed or if the
// mirror has none yet. The caller holds the lock.
func (w *Watcher) updateMirror(changes []change, next int64) {
	for _, c := range changes {
		w.cfg.Logger.Info("endpoint changed", "id", c.id, "change", c.kind, "next", next)
	}
	if len(changes) > 0 || !w.cfg.Mirror.View().EndpointsRead {
		list := w.endpoints.list()
		w.fingerprint = mirror.Fingerprint(list)
		w.cfg.Mirror.SetEndpoints(list)
	}
}

// Endpoints returns the endpoint list, its fingerprint and when the read started. It
// returns false without a current read, and also while the list keeps expired entries:
// hosts that could read all the time know better which endpoints are gone.
func (w *Watcher) Endpoints() (list map[string]*site.Endpoint, fingerprint uint64, started time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cfg.Mirror.View().Endpoints, w.fingerprint, w.entriesMark.started, w.entriesMark.known && !w.entriesMark.failed && !w.endpoints.keepsExpired(w.cfg.Clock.Boot())
}

// ReceiveEndpoints applies the endpoint list of another host; list is nil if it equals
// this host's list. A read that is not newer than the known one is ignored.
func (w *Watcher) ReceiveEndpoints(list map[string]*site.Endpoint, started time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entriesMark.known && started <= w.entriesMark.started {
		return
	}
	// The end offset of that read is unknown, so the next read by this host requests
	// the current entries of all endpoints instead of the records since an offset.
	w.entriesMark = readMark{known: true, started: started}
	if list != nil {
		w.updateMirror(w.endpoints.replace(list, w.cfg.Clock.Boot()), 0)
	}
}

// storeStatus logs when reads of the store start to fail and when they succeed again.
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
		s.w.cfg.Logger.Warn("store reads are failing", "reads", s.name, "error", err)
	case !failed && s.failing:
		s.w.cfg.Logger.Info("store reads succeed again", "reads", s.name, "away-ms", (now - s.lastSuccess).Milliseconds())
	}
	s.failing = failed
	if !failed {
		s.lastSuccess = now
	}
}
