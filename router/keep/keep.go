// Package keep records in the platform's store at which build of its service each stream
// began, and finds that build for streams which clients resume. Package origin has the
// decisions.
package keep

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/origin"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/mirror"
)

// Log holds the records of origins and of base builds.
type Log interface {
	// AppendOrigins records origins, and returns the era of the store. After an error they
	// may have been recorded all the same.
	AppendOrigins(ctx context.Context, batch feed.OriginBatch) (int64, error)
	// Origins returns the recorded origins from an offset on.
	Origins(ctx context.Context, from int64) (feed.Origins, error)
	// Bases returns the base builds of all services.
	Bases(ctx context.Context) (feed.Bases, error)
	// PutBase sets the base build of a service if none was set since a read that ended at an
	// offset.
	PutBase(ctx context.Context, at int64, base feed.Base) error
	// EraState returns the newest statement on the log of origins, and PutEraState records one.
	EraState(ctx context.Context) (feed.EraState, error)
	PutEraState(ctx context.Context, state feed.EraState) error
	// StartMarks returns the newest mark of each host, and PutStartMark records one.
	StartMarks(ctx context.Context) (feed.StartMarks, error)
	PutStartMark(ctx context.Context, mark feed.StartMark) error
}

// Peers are the other hosts, which hold copies of the records.
type Peers interface {
	// CopyOrigins has other hosts hold copies of origins, and waits until each is held by one.
	CopyOrigins(ctx context.Context, origins []feed.Origin) error
	// AskOrigin returns what hosts say of the origin of a stream, this one included.
	AskOrigin(ctx context.Context, service string, stream feed.StreamKey) []origin.Statement
}

// Clock provides both the wall clock and the clock that continues during suspension.
type Clock interface {
	clock.Service
	clock.Boot
}

// Config configures a Keeper.
type Config struct {
	Clock Clock
	// Host is the name of this host.
	Host   string
	Log    Log
	Peers  Peers
	Table  *origin.Table
	Mirror *mirror.Mirror
	// Era returns the newest era of the store that this host knows.
	Era func() int64
	// IsLead reports whether this host sets base builds for all others.
	IsLead func() bool
	// HostCount returns the number of hosts.
	HostCount func() int
	// IsPartitioned reports whether this host has no contact with any other host.
	IsPartitioned func() bool
	// WriteRate is the number of writes per second that the store takes from all hosts.
	WriteRate float64
	Logger    hclog.Logger
	Metrics   *metrics.Set
}

const (
	// retention is how long origins are kept. It is longer than any client resumes a stream.
	retention = 30 * time.Second
	// maxListAge is longer than the endpoint list takes to get to a host while the store
	// responds: a host whose hub passes nothing on reads the store itself by then.
	maxListAge = 2 * time.Second
	// settleTime allows for the time in which a list gets from host to host.
	settleTime = maxListAge + 500*time.Millisecond
	// renewAfter is the age from which on the record of a stream that is still sent is
	// repeated: some platforms keep records for 20 s.
	renewAfter = 8 * time.Second
	// suspectAfter is the time without a response of the store after which new streams avoid
	// builds whose streams need a record. The store responds within some milliseconds.
	suspectAfter = 150 * time.Millisecond
	// retryPause is the pause after a write that failed.
	retryPause = 400 * time.Millisecond
	// writeShare is the part of the store's writes for origins, minWriteInterval the
	// least time between two writes of a host.
	writeShare       = 0.25
	minWriteInterval = 20 * time.Millisecond
	// maxBatch bounds the origins of one write, and maxPending those that wait for one.
	maxBatch   = 1000
	maxPending = 8 * maxBatch
)

// RecordTimeout is how long the first event of a stream may wait for its record: well below
// the gap after which clients abandon a stream.
const RecordTimeout = time.Second

// Keeper records and finds the origins of streams.
//
// Lock order: Keeper.mu is a leaf.
type Keeper struct {
	cfg    Config
	writes chan struct{}
	reads  chan struct{}
	copies chan struct{}

	mu      sync.Mutex
	pending []*entry
	// unrecorded are origins that wait to be copied to other hosts only.
	unrecorded []feed.Origin
	// recorded are the origins that this host has recorded, or holds copies of, oldest first. They
	// are repeated if the store is restored from a copy.
	recorded []recordedOrigin
	// writing is when the write in progress began; 0 if there is none.
	writing time.Duration
	failing bool
	// nextRead is the read that will begin next; nil if nobody waits for one.
	nextRead *read
	// services are the services whose streams can be resumed.
	services map[string]bool

	// eraState is the last statement that this host has written, start the mark of its start, and
	// markedEra the era in which the store has the mark. Only the loop of base builds uses them.
	eraState  feed.EraState
	start     feed.StartMark
	markedEra int64
	// nextState is when the state of the era is read again. Only the loop of reads uses it.
	nextState time.Duration
	// from and era are the position in the log of origins. Only the loop of reads uses them.
	from int64
	era  int64

	records  *metrics.Counter
	failures *metrics.Counter
	lookups  *metrics.Counter
}

// entry is an origin that waits to be recorded.
type entry struct {
	feed.Origin
	done chan struct{}
	// isRepeated is set if the origin was recorded in an earlier era, and repeatedIn on an entry
	// without an origin that comes after all others of such an era.
	isRepeated bool
	repeatedIn int64
}

type recordedOrigin struct {
	feed.Origin
	at time.Duration
}

// read is a read of the log of origins.
type read struct {
	done chan struct{}
	err  error
}

// NewTable returns the table of origins for a Keeper of a host that starts now.
func NewTable(now time.Duration, isFirstStart bool) *origin.Table {
	return origin.New(origin.Config{Retention: retention, MaxListAge: maxListAge, SettleTime: settleTime, IsFirstStart: isFirstStart, Started: now})
}

// New returns a keeper that has not started.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg:      cfg,
		start:    feed.StartMark{Host: cfg.Host, Start: strconv.FormatUint(rand.Uint64(), 16)},
		writes:   make(chan struct{}, 1),
		reads:    make(chan struct{}, 1),
		copies:   make(chan struct{}, 1),
		records:  cfg.Metrics.NewCounter("cicada_origin_records_total"),
		failures: cfg.Metrics.NewCounter("cicada_origin_failures_total"),
		lookups:  cfg.Metrics.NewCounter("cicada_origin_lookups_total"),
	}
}

// Record remembers that a stream begins at a build of a service. If another host could not
// tell, it waits until the store has a record, or fails and the stream may begin without one.
// After an error the stream must not begin.
func (k *Keeper) Record(ctx context.Context, service, id, build string) error {
	o := feed.Origin{Stream: feed.NewStreamKey(id), Build: build}
	k.cfg.Table.Add(k.cfg.Clock.Boot(), o)
	if o.Stream == 0 || !k.cfg.Table.NeedsRecord(service, build) {
		k.copyUnrecorded(service, o)
		return nil
	}
	ctx, cancel := clock.WithTimeout(ctx, k.cfg.Clock, RecordTimeout)
	defer cancel()
	e := newEntry(o)
	k.enqueue(e)
	tick := k.cfg.Clock.Subscribe(suspectAfter)
	defer tick.Stop()
	for {
		if k.fails() && k.cfg.Table.MayBeginUnrecorded(service) {
			return nil
		}
		select {
		case <-e.done:
			return nil
		case <-tick.C():
		case <-ctx.Done():
			return fmt.Errorf("record the origin of a stream: %w", context.Cause(ctx))
		}
	}
}

// Renew repeats the record of a stream that is still sent and whose origin was recorded
// or renewed at a time. It returns the time of the newest record.
func (k *Keeper) Renew(service, id, build string, at time.Duration) time.Duration {
	now := k.cfg.Clock.Boot()
	if now-at < renewAfter {
		return at
	}
	o := feed.Origin{Stream: feed.NewStreamKey(id), Build: build}
	k.cfg.Table.Add(now, o)
	if o.Stream != 0 && k.cfg.Table.NeedsRecord(service, build) {
		k.enqueue(newEntry(o))
	} else {
		k.copyUnrecorded(service, o)
	}
	return now
}

// copyUnrecorded has other hosts hold the origin of a stream that needs no record, if the store may
// lack records. The stream does not wait for it: without a copy it is not resumed.
func (k *Keeper) copyUnrecorded(service string, o feed.Origin) {
	if o.Stream == 0 || !k.cfg.Table.NeedsCopy(service, k.cfg.Clock.Boot()) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unrecorded) < maxPending {
		k.unrecorded = append(k.unrecorded, o)
	}
	signal(k.copies)
}

func (k *Keeper) enqueue(entries ...*entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range entries {
		if len(k.pending) < maxPending {
			k.pending = append(k.pending, e)
		}
	}
	signal(k.writes)
}

func newEntry(o feed.Origin) *entry { return &entry{Origin: o, done: make(chan struct{})} }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// BuildsToBegin returns the builds at which streams of a service should begin now, and false
// if they may begin at any: the base build while the store takes no records, otherwise those
// that all hosts know or miss in a list that is too old.
func (k *Keeper) BuildsToBegin(service string) ([]string, bool) {
	if !k.fails() {
		return k.cfg.Table.SettledBuilds(service, k.cfg.Clock.Boot())
	}
	base, ok := k.cfg.Table.Base(service)
	return []string{base.Build}, ok
}

// fails reports whether the store does not take records now.
func (k *Keeper) fails() bool {
	now := k.cfg.Clock.Boot()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.failing || k.writing > 0 && now-k.writing > suspectAfter
}

// Find returns the build of a service that began the stream of a request. It reads the store
// if this host does not know.
func (k *Keeper) Find(ctx context.Context, service, id string) (origin.Answer, error) {
	stream := feed.NewStreamKey(id)
	if build, ok := k.cfg.Table.Find(stream); ok {
		return origin.Answer{Build: build, From: origin.FromMemory}, nil
	}
	if build, ok := k.cfg.Table.Sole(service, k.cfg.Clock.Boot()); ok {
		return origin.Answer{Build: build, From: origin.FromList}, nil
	}
	if stream == 0 {
		return k.cfg.Table.Resolve(service, stream, k.cfg.Clock.Boot())
	}
	k.lookups.Inc()
	if err := k.awaitRead(ctx); err != nil {
		// While the store is away, no host learns of another build. This one would have heard
		// of the builds that were listed before.
		build, ok := k.cfg.Table.SoleListed(service, k.cfg.Clock.Boot())
		if ok && (k.cfg.HostCount() < 2 || !k.cfg.IsPartitioned()) {
			return origin.Answer{Build: build, From: origin.FromList}, nil
		}
		return origin.Answer{}, err
	}
	now := k.cfg.Clock.Boot()
	answer, err := k.cfg.Table.Resolve(service, stream, now)
	if answer.From == origin.FromBase && !k.cfg.Table.IsWhole(now) {
		return k.askPeers(ctx, service, stream)
	}
	return answer, err
}

// askPeers finds the origin of a stream of which the store has no record, though it may have lost
// one.
func (k *Keeper) askPeers(ctx context.Context, service string, stream feed.StreamKey) (origin.Answer, error) {
	own, _ := k.cfg.Table.Base(service)
	statements := k.cfg.Peers.AskOrigin(ctx, service, stream)
	for i := range statements {
		statements[i].IsComplete = statements[i].IsComplete || k.cfg.Table.HasRepeated(statements[i].Host)
	}
	answer, err := origin.Judge(own, statements)
	var lost *origin.ErrLost
	if errors.As(err, &lost) {
		lost.Left = k.cfg.Table.WholeIn(k.cfg.Clock.Boot())
	}
	return answer, err
}

// KeepCopies remembers origins that another host has recorded.
func (k *Keeper) KeepCopies(origins []feed.Origin) {
	now := k.cfg.Clock.Boot()
	k.cfg.Table.Add(now, origins...)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.remember(origins, now)
}

// remember adds origins to those that are repeated after a restore; the caller holds the lock.
func (k *Keeper) remember(origins []feed.Origin, now time.Duration) {
	for _, o := range origins {
		k.recorded = append(k.recorded, recordedOrigin{Origin: o, at: now})
	}
	old := slices.IndexFunc(k.recorded, func(r recordedOrigin) bool { return now-r.at <= retention })
	k.recorded = k.recorded[max(0, old):]
}

// State returns what this host says of the origin of a stream.
func (k *Keeper) State(service string, stream feed.StreamKey) origin.Statement {
	return k.cfg.Table.State(service, stream, k.cfg.Clock.Boot())
}

// awaitRead waits for a read of the store that begins after the call.
func (k *Keeper) awaitRead(ctx context.Context) error {
	k.mu.Lock()
	if k.nextRead == nil {
		k.nextRead = &read{done: make(chan struct{})}
		signal(k.reads)
	}
	r := k.nextRead
	k.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("read origins of streams: %w", context.Cause(ctx))
	}
}
