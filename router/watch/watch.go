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

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/mirror"
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
	// arrivingTime is the time without a part of offered records after which they are not taken
	// to be arriving, and maxArriving how many times longer a host waits for them than for a read.
	arrivingTime = 500 * time.Millisecond
	maxArriving  = 2
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
	// configBytes is the size of the records with the newest configuration.
	configBytes *metrics.Gauge
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
	// arrival is when a part of offered records has last arrived.
	arrival time.Duration
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
		configBytes: cfg.Metrics.NewGauge("cicada_config_bytes", nil),
		newRecords:  make(chan struct{}, 1),
		eras:        make(chan struct{}, 1),
		records:     make(map[string][]byte),
		endpoints:   newEndpointList(),
		published:   readMark{received: neverReceived, arrival: neverReceived},
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
		// Records that are arriving would arrive later beside a read of the same records.
		arriving := now-m.arrival < arrivingTime && now-m.Started < maxArriving*w.cfg.DirectAfter
		return now-m.Started > w.cfg.DirectAfter && !arriving
	}
	return (role == Reader || now-m.received > w.cfg.TakeoverAfter) && now-m.Started >= interval
}

func (w *Watcher) publishedMark() readMark {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.published
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
