// Package claim ensures that a non-idempotent call is sent at most once over all
// hosts.
//
// Before a call is sent, a claim for its idempotency key is appended to the
// platform's log. The first claim in the order of the log wins, and only the
// winning attempt sends the call, once. This depends on no lease and no clock: a
// pause between winning and sending is harmless, since no other attempt may send.
package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/ledger"
	"cicadastand.dev/core/state/stream"
)

// Log appends to the platform's log.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may
	// nevertheless be in the log.
	Append(ctx context.Context, name string, data []byte) (uint64, error)
}

// Config holds the settings and dependencies of a Coordinator.
type Config struct {
	Clock  clock.Service
	Log    Log
	Ledger ledger.Config
	Logger hclog.Logger
}

// Call describes a non-idempotent call.
type Call struct {
	ID      ledger.ID
	Digest  string
	Created time.Time
	// Endpoint is the endpoint that the call is sent to if the attempt wins.
	Endpoint string
}

// Coordinator holds this host's attempts, and the state of each key as derived
// from the claims stream.
//
// Lock order: Coordinator.mu is a leaf; no other lock is taken while it is held.
type Coordinator struct {
	cfg   Config
	mu    sync.Mutex
	table *ledger.Table
	next  uint64
	// attempts holds the attempts whose Begin has not returned, by ID.
	attempts map[string]*Attempt
	// changed holds a channel for each watched key, closed at the key's next record.
	changed map[ledger.ID]chan struct{}
	// queue holds the records to append; inFlight is the number of records in the
	// append in progress.
	queue    []ledger.Record
	inFlight int
	// wake signals Run that the queue has a record. idle is closed and replaced when an
	// append leaves the queue empty.
	wake chan struct{}
	idle chan struct{}
	// oldestOffset is the oldest offset in the log when this host last found records
	// trimmed that it had not read; 0 if that never happened. From completeFrom on,
	// the windows of all claims among those records have passed.
	oldestOffset uint64
	completeFrom time.Time
}

// New returns a coordinator that has not read any records.
func New(cfg Config) *Coordinator {
	return &Coordinator{
		cfg:      cfg,
		table:    ledger.New(cfg.Ledger),
		next:     1,
		attempts: make(map[string]*Attempt),
		changed:  make(map[ledger.ID]chan struct{}),
		wake:     make(chan struct{}, 1),
		idle:     make(chan struct{}),
	}
}

// Begin claims a call and waits for the verdict. It returns an attempt that has
// won, or an error with the reason why the call must not be sent: ErrHeld,
// ErrDone, ErrConflict, ErrExpired or ErrNotRun.
func (c *Coordinator) Begin(ctx context.Context, call Call) (*Attempt, error) {
	a, err := c.start(call)
	if err != nil {
		return nil, err
	}
	defer c.forget(a)
	select {
	case <-a.decided:
		return c.result(a)
	case <-ctx.Done():
	}
	// The attempt may have won in the meantime. It can still be abandoned, since
	// nothing was sent.
	proof, _ := a.Abandon()
	return nil, &ErrNotRun{Proof: proof, Reason: "the claim was not decided before the deadline"}
}

func (c *Coordinator) start(call Call) (*Attempt, error) {
	rec := ledger.Record{
		Kind:     ledger.KindClaim,
		ID:       call.ID,
		Attempt:  uuid.NewString(),
		Digest:   call.Digest,
		Created:  call.Created,
		Endpoint: call.Endpoint,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isRetentionTooShort() {
		return nil, &ErrNotRun{Proof: NotRun{Attempt: rec.Attempt}, Reason: "the log keeps claims for too short a time"}
	}
	if err := c.verdictError(rec, c.table.Check(rec, c.cfg.Clock.Now())); err != nil {
		return nil, err
	}
	a := &Attempt{owner: c, rec: rec, decided: make(chan struct{})}
	c.attempts[rec.Attempt] = a
	c.enqueue(rec)
	return a, nil
}

func (c *Coordinator) result(a *Attempt) (*Attempt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.verdictError(a.rec, a.verdict); err != nil {
		return nil, err
	}
	return a, nil
}

// verdictError returns the error for a verdict, or nil for Won; the caller holds the lock.
func (c *Coordinator) verdictError(rec ledger.Record, v ledger.Verdict) error {
	entry, _ := c.table.Get(rec.ID)
	switch v {
	case ledger.Won:
		return nil
	case ledger.Held:
		return &ErrHeld{ID: rec.ID}
	case ledger.Done:
		return &ErrDone{ID: rec.ID, Outcome: *entry.Outcome}
	case ledger.Conflict:
		return &ErrConflict{ID: rec.ID}
	case ledger.Expired:
		return &ErrExpired{ID: rec.ID}
	default:
		return &ErrNotRun{Proof: NotRun{Attempt: rec.Attempt}, Reason: "the claim was withdrawn"}
	}
}

func (c *Coordinator) forget(a *Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.attempts, a.rec.Attempt)
}

// RecordOutcome queues the outcome of an attempt; Run retries until it is in the log.
func (c *Coordinator) RecordOutcome(id ledger.ID, attempt string, outcome ledger.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(ledger.Record{Kind: ledger.KindOutcome, ID: id, Attempt: attempt, Outcome: &outcome})
}

// Entry returns the state of a key according to the records read so far.
func (c *Coordinator) Entry(id ledger.ID) (ledger.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Get(id)
}

// Await blocks until the key is no longer held by an attempt, and returns its state.
func (c *Coordinator) Await(ctx context.Context, id ledger.ID) (ledger.Entry, error) {
	for {
		c.mu.Lock()
		entry, _ := c.table.Get(id)
		changed := c.watch(id)
		c.mu.Unlock()
		if entry.Phase != ledger.PhaseHeld {
			return entry, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return entry, fmt.Errorf("wait for the outcome of %s: %w", id, ctx.Err())
		}
	}
}

// Stats holds the counts and the position of a coordinator.
type Stats struct {
	Keys              int    `json:"keys"`
	Attempts          int    `json:"attempts"`
	Queued            int    `json:"queued"`
	Next              uint64 `json:"next"`
	RetentionTooShort bool   `json:"retention-too-short"`
}

// Stats returns the current counts.
func (c *Coordinator) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{Keys: c.table.Len(), Attempts: len(c.attempts), Queued: len(c.queue) + c.inFlight, Next: c.next, RetentionTooShort: c.isRetentionTooShort()}
}

// watch returns a channel that is closed at the next record for a key; the caller
// holds the lock.
func (c *Coordinator) watch(id ledger.ID) chan struct{} {
	ch, ok := c.changed[id]
	if !ok {
		ch = make(chan struct{})
		c.changed[id] = ch
	}
	return ch
}

// Next returns the offset of the next record to read.
func (c *Coordinator) Next() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// Trimmed records that the log no longer has the records before first. Whether the
// remaining records go back far enough is known once the first of them is read.
func (c *Coordinator) Trimmed(first uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oldestOffset = first
	c.next = first
}

// Apply processes records of the claims stream.
func (c *Coordinator) Apply(records []stream.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		if r.Offset == c.next {
			c.next++
			c.checkRetention(r)
			c.applyRecord(r)
		}
	}
}

// checkRetention sets completeFrom if r is the first record after trimmed ones that
// this host had not read. The trimmed claims are older than r, which bounds the end
// of their windows. The caller holds the lock.
func (c *Coordinator) checkRetention(r stream.Record) {
	if r.Offset == c.oldestOffset {
		c.completeFrom = r.Time.Add(c.cfg.Ledger.Window + c.cfg.Ledger.Skew)
	}
}

// isRetentionTooShort reports whether claims that were trimmed before this host
// read them may be in their window, so that no new claim can be judged; the caller
// holds the lock.
func (c *Coordinator) isRetentionTooShort() bool {
	trimmed := c.oldestOffset > 0 && c.next == c.oldestOffset
	return trimmed || c.cfg.Clock.Now().Before(c.completeFrom)
}

func (c *Coordinator) applyRecord(r stream.Record) {
	records, err := ledger.DecodeBatch(r.Data)
	if err != nil {
		c.cfg.Logger.Error("failed to decode claims record", "offset", r.Offset, "error", err)
		return
	}
	for _, rec := range records {
		verdict := c.table.Apply(r.Offset, r.Time, rec)
		c.setVerdict(rec, verdict, r.Offset)
		if ch, ok := c.changed[rec.ID]; ok {
			close(ch)
			delete(c.changed, rec.ID)
		}
	}
}

// setVerdict stores the verdict on the claim of one of this host's attempts, and
// wakes its caller; the caller holds the lock.
func (c *Coordinator) setVerdict(rec ledger.Record, verdict ledger.Verdict, offset uint64) {
	a, ok := c.attempts[rec.Attempt]
	if !ok || rec.Kind != ledger.KindClaim || a.phase != claiming {
		return
	}
	a.verdict = verdict
	a.phase = lost
	if verdict == ledger.Won {
		a.phase = won
		a.fencingToken = offset
	}
	close(a.decided)
}
