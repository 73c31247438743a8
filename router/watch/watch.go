// Package watch keeps a host's mirror of the platform's store up to date.
//
// One host, the reader, reads the store for all others, since each read has a cost and
// most reads return nothing new. The hubs of the failure domains receive its reads and
// pass them on to the hosts of their domains. A hub that receives no recent read takes
// over for its domain, early enough that the hosts of the domain need not read the
// store themselves. These do so only if that fails as well.
package watch

import (
	"context"
	"math"
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
	// Role returns what this host reads the store for.
	Role func() Role
	// PublishedWait is how long one read waits for a new record of the operator. The
	// confirmation that an API key is still valid is at most two such reads old.
	PublishedWait time.Duration
	// EntriesInterval is the time between two reads of the endpoints' entries.
	EntriesInterval time.Duration
	// TakeoverAfter and DirectAfter are the ages of the newest known read, of this host
	// or of another one, after which a hub and any other host read the store themselves.
	TakeoverAfter time.Duration
	DirectAfter   time.Duration
	Logger        hclog.Logger
	Metrics       *metrics.Set
}

// Role is what a host reads the platform's store for.
type Role int

// The roles.
const (
	// Member is the role of a host that receives the reads of its hub.
	Member Role = iota
	// Hub is the role of a host that receives the reads of the reader, and passes them on
	// to the hosts of its failure domain.
	Hub
	// Reader is the role of the host that reads for all others.
	Reader
)

// String returns the name of the role in logs.
func (r Role) String() string { return [...]string{"member", "hub", "reader"}[r] }

// neverReceived is the start of the newest received read before there is one.
const neverReceived = time.Duration(math.MinInt64 / 2)

const (
	// retryPause is the delay after a failed read. Each call has a cost, and faster
	// retries would add load to a store that rejects requests.
	retryPause = 400 * time.Millisecond
	// pollInterval is the time between two checks of whether to read.
	pollInterval = 100 * time.Millisecond
	// outageAfter is the time without a read after which entries may have expired
	// because the store was unavailable, so that endpoints could not renew them.
	outageAfter = 2500 * time.Millisecond
	// startVersionAge is the assumed age of the weights versions that a host finds at its
	// start, until another host sends their age.
	startVersionAge = 2 * time.Second
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
	// eras is signalled when this host learns that the store was restored.
	eras chan struct{}

	mu        sync.Mutex
	published readMark
	// records are the operator's newest records by key.
	records map[string][]byte
	// outdated is set while the store has an older configuration than this host: it was
	// restored from a copy, and the operator has not written its newest one again.
	outdated    bool
	endpoints   *endpointList
	entriesMark readMark
	fingerprint uint64
}

// readMark is the newest read of a topic, by this host or by another one.
type readMark struct {
	feed.ReadMark
	known bool
	// received is when the newest read that another host has passed on was started.
	received time.Duration
	// failed is set if the last read by this host failed, so that the state is no
	// longer known to be current.
	failed bool
}

// update records a successful read.
func (m *readMark) update(read feed.ReadMark) {
	m.ReadMark, m.known, m.failed = read, true, false
}

// New returns a watcher that has not started.
func New(cfg Config) *Watcher {
	return &Watcher{
		cfg:         cfg,
		failures:    cfg.Metrics.NewCounter("cicada_store_read_failures_total"),
		reads:       cfg.Metrics.NewCounter("cicada_store_reads_total"),
		newRecords:  make(chan struct{}, 1),
		eras:        make(chan struct{}, 1),
		records:     make(map[string][]byte),
		endpoints:   newEndpointList(),
		published:   readMark{received: neverReceived},
		entriesMark: readMark{received: neverReceived},
	}
}

// Restored is signalled when this host learns that the store was restored.
func (w *Watcher) Restored() <-chan struct{} { return w.eras }

// shouldRead reports whether this host reads the store itself. interval is the time
// between the reads of a host that reads for others. A hub reads while it receives no
// recent read of another host, whatever it has read itself.
func (w *Watcher) shouldRead(m readMark, role Role, interval time.Duration) bool {
	if !m.known || m.failed {
		return true
	}
	now := w.cfg.Clock.Boot()
	if role == Member {
		return now-m.Started > w.cfg.DirectAfter
	}
	return (role == Reader || now-m.received > w.cfg.TakeoverAfter) && now-m.Started >= interval
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
	readNewest, readsForOthers := false, false
	for {
		m := w.publishedMark()
		wait := w.cfg.PublishedWait
		role := w.cfg.Role()
		reads := w.shouldRead(m, role, 0)
		if forOthers := reads && role != Member; forOthers != readsForOthers {
			readsForOthers = forOthers
			w.logReadsForOthers(forOthers, role, m)
		}
		if m.failed || role == Hub && !m.Own {
			// A current read is needed at once: keys can't be used without one.
			wait = 0
		}
		if !reads {
			select {
			case <-w.newRecords:
				wait = 0
			case <-tick.C():
				continue
			case <-ctx.Done():
				return
			}
		}
		from := m.Next
		if !m.known || readNewest {
			from = feed.Newest
		}
		started := w.cfg.Clock.Boot()
		w.reads.Inc()
		p, err := w.cfg.Store.Published(ctx, from, wait)
		if ctx.Err() != nil {
			return
		}
		status.record(err)
		readNewest = feed.IsErrTrimmed(err)
		if readNewest {
			w.cfg.Logger.Info("store lacks the operator's records from an offset on", "from", from, "error", err)
		}
		if err != nil {
			w.mu.Lock()
			w.published.failed = true
			w.mu.Unlock()
			w.pauseAfter(ctx, err)
			continue
		}
		if from != feed.Newest && p.Era > m.Era {
			// The offset was of an earlier era.
			readNewest = true
			continue
		}
		if !w.applyPublished(p, started, true) {
			// Sleep fails only if ctx has ended, which the loop checks as well.
			_ = clock.Sleep(ctx, w.cfg.Clock, retryPause)
		}
	}
}

// logReadsForOthers logs that this host starts or stops to read the store for others.
func (w *Watcher) logReadsForOthers(reads bool, role Role, m readMark) {
	args := []any{"on", reads, "role", role.String()}
	if m.received != neverReceived {
		args = append(args, "received-age-ms", (w.cfg.Clock.Boot() - m.received).Milliseconds())
	}
	w.cfg.Logger.Info("store reads for other hosts", args...)
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

// applyPublished applies a read of the operator's records, by this host or another one. It
// reports false if the read ended before the known one. The configuration and the versions
// of weights never go back.
func (w *Watcher) applyPublished(p feed.Published, started time.Duration, own bool) bool {
	for _, fault := range p.Faults {
		w.cfg.Logger.Warn("ignored invalid record of the operator", "error", fault)
	}
	if p.Config != nil && w.cfg.Mirror.SetConfig(p.Config) {
		w.cfg.Logger.Info("configuration updated", "version", p.Config.Version, "era", p.Era, "next", p.Next)
	}
	w.applyWeights(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.published
	read := feed.ReadMark{Era: p.Era, Next: p.Next, Started: started, Own: own}
	if p.Era == 0 {
		read.Era = known.Era
	}
	restored := known.known && read.Era > known.Era
	for _, r := range p.Records {
		if !restored && !w.outdated || !w.isOlder(r) {
			w.records[r.Key] = r.Value
		}
	}
	if restored {
		w.cfg.Logger.Warn("store was restored from a copy", "reads", "configuration", "era", read.Era, "next", read.Next, "era-before", known.Era, "next-before", known.Next)
		select {
		case w.eras <- struct{}{}:
		default:
		}
	}
	if known.known && read.Precedes(known.ReadMark) {
		w.cfg.Logger.Info("ignored read of the operator's records that ends before the known one", "era", read.Era, "next", read.Next, "known-era", known.Era, "known-next", known.Next)
		return false
	}
	w.updateOutdated(p.Config)
	w.published.update(read)
	w.markConfigCurrent(started)
	return true
}

func (w *Watcher) applyWeights(p feed.Published) {
	starting := !w.publishedMark().known
	now := w.cfg.Clock.Boot()
	for model, version := range p.Weights {
		isNew := false
		if starting {
			isNew = w.cfg.Mirror.AssumeWeights(model, version, now-startVersionAge)
		} else {
			isNew = w.cfg.Mirror.SetWeights(model, version, now)
		}
		if isNew {
			w.cfg.Logger.Info("new weights version published", "model", model, "version", version, "next", p.Next)
		}
	}
}

// isOlder reports whether a record of the operator has an older version than this host
// knows.
func (w *Watcher) isOlder(r feed.Record) bool {
	p := w.cfg.Store.Decode([]feed.Record{r})
	view := w.cfg.Mirror.View()
	if p.Config != nil && view.Config != nil && p.Config.Version < view.Config.Version {
		return true
	}
	for model, version := range p.Weights {
		if version < view.NewestWeights(model) {
			return true
		}
	}
	return false
}

// updateOutdated compares a configuration in the store, nil if it was not read, with that of
// this host; the caller holds the lock.
func (w *Watcher) updateOutdated(stored *site.Config) {
	if stored == nil {
		return
	}
	outdated := stored.Version < w.cfg.Mirror.View().Config.Version
	if outdated != w.outdated {
		w.cfg.Logger.Info("store has an older configuration than this host", "on", outdated, "stored", stored.Version, "version", w.cfg.Mirror.View().Config.Version)
	}
	w.outdated = outdated
}

// markConfigCurrent records that a read which began at started found no newer configuration.
// A store that lacks the one of this host may also lack a newer one; the caller holds the
// lock.
func (w *Watcher) markConfigCurrent(started time.Duration) {
	if !w.outdated {
		w.cfg.Mirror.MarkConfigCurrent(started)
	}
}

// Records returns the operator's newest record of each key.
func (w *Watcher) Records() []feed.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.MapToSlice(w.records, func(key string, value []byte) feed.Record { return feed.Record{Key: key, Value: value} })
}

// ReceiveRecords applies the operator's newest records, which another host has. They
// include the records that it has read up to its mark.
func (w *Watcher) ReceiveRecords(records []feed.Record, read feed.ReadMark) {
	p := w.cfg.Store.Decode(records)
	p.Era, p.Next = read.Era, read.Next
	if m := w.publishedMark(); !m.known || m.Precedes(read) {
		w.applyPublished(p, read.Started, false)
		return
	}
	// The other host may still have a configuration that a restored store lacks.
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Config != nil && w.cfg.Mirror.SetConfig(p.Config) {
		w.cfg.Logger.Info("configuration received that the store lacks", "version", p.Config.Version)
		w.outdated = true
		for _, r := range records {
			w.records[r.Key] = r.Value
		}
	}
}

// Published returns the newest read of the operator's records. It returns false without
// a current read.
func (w *Watcher) Published() (feed.ReadMark, bool) {
	m := w.publishedMark()
	return m.ReadMark, m.known && !m.failed
}

// ReceivePublished applies the result of another host's read. If it ended at the
// offset that this host has, the configuration of this host was current when that read
// started. If it ended later, this host has to read the new records.
func (w *Watcher) ReceivePublished(read feed.ReadMark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.published.received = max(w.published.received, read.Started)
	switch {
	case !w.published.known || w.published.Precedes(read):
		select {
		case w.newRecords <- struct{}{}:
		default:
		}
	case !read.Precedes(w.published.ReadMark) && read.Started > w.published.Started:
		w.published.update(read)
		w.markConfigCurrent(read.Started)
	}
}

// RunEntries polls the endpoints' entries until ctx ends.
func (w *Watcher) RunEntries(ctx context.Context) {
	tick := w.cfg.Clock.Subscribe(pollInterval)
	defer tick.Stop()
	status := w.newStoreStatus("endpoints")
	for {
		w.mu.Lock()
		m := w.entriesMark
		w.mu.Unlock()
		if w.shouldRead(m, w.cfg.Role(), w.cfg.EntriesInterval) {
			w.readEntries(ctx, m, status)
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) readEntries(ctx context.Context, m readMark, status *storeStatus) {
	from := m.Next
	if from == 0 {
		from = feed.Newest
	}
	e, started, err := w.entries(ctx, from)
	if err == nil && !e.Complete && e.Era > m.Era {
		// The offset was of an earlier era.
		e, started, err = w.entries(ctx, feed.Newest)
	}
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
		w.entriesMark.Next = 0
	}
	w.mu.Unlock()
	w.pauseAfter(ctx, err)
}

// entries reads entries of endpoints and returns when the read started.
func (w *Watcher) entries(ctx context.Context, from int64) (feed.Entries, time.Duration, error) {
	started := w.cfg.Clock.Boot()
	w.reads.Inc()
	e, err := w.cfg.Store.Entries(ctx, from)
	return e, started, err
}

func (w *Watcher) applyEntries(e feed.Entries, started time.Duration) {
	for _, fault := range e.Faults {
		w.cfg.Logger.Warn("ignored invalid endpoint entry", "error", fault)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.entriesMark; known.known && e.Era > known.Era {
		w.cfg.Logger.Warn("store was restored from a copy", "reads", "endpoints", "era", e.Era, "next", e.Next, "era-before", known.Era, "next-before", known.Next)
	}
	w.entriesMark.update(feed.ReadMark{Era: e.Era, Next: e.Next, Started: started, Own: true})
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

// Endpoints returns the endpoint list, its fingerprint and its newest read. It returns
// false without a current read, and also while the list keeps expired entries:
// hosts that could read all the time know better which endpoints are gone.
func (w *Watcher) Endpoints() (list map[string]*site.Endpoint, fingerprint uint64, read feed.ReadMark, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cfg.Mirror.View().Endpoints, w.fingerprint, w.entriesMark.ReadMark, w.entriesMark.known && !w.entriesMark.failed && !w.endpoints.keepsExpired(w.cfg.Clock.Boot())
}

// ReceiveEndpoints applies the endpoint list of another host; list is nil if it equals
// this host's list. A read that is not newer than the known one is ignored.
func (w *Watcher) ReceiveEndpoints(list map[string]*site.Endpoint, read feed.ReadMark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entriesMark.received = max(w.entriesMark.received, read.Started)
	if w.entriesMark.known && read.Started <= w.entriesMark.Started {
		return
	}
	// The end offset of that read is unknown, so the next read by this host requests
	// the current entries of all endpoints instead of the records since an offset.
	w.entriesMark.update(feed.ReadMark{Era: read.Era, Started: read.Started})
	if list != nil {
		w.updateMirror(w.endpoints.replace(list, read.Era, w.cfg.Clock.Boot()), 0)
	}
}

// storeStatus logs when reads of the store start to fail and when they succeed again.
type storeStatus struct {
	w            *Watcher
	name         string
	failing      bool
	failingSince time.Duration
}

func (w *Watcher) newStoreStatus(name string) *storeStatus { return &storeStatus{w: w, name: name} }

func (s *storeStatus) record(err error) {
	now := s.w.cfg.Clock.Boot()
	failed := err != nil && !feed.IsErrTrimmed(err)
	switch {
	case failed && !s.failing:
		s.failingSince = now
		s.w.cfg.Logger.Warn("store reads are failing", "reads", s.name, "error", err)
	case !failed && s.failing:
		s.w.cfg.Logger.Info("store reads succeed again", "reads", s.name, "away-ms", (now - s.failingSince).Milliseconds())
	}
	s.failing = failed
}
