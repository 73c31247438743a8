// Package ledger folds the claims stream into the state of each call that may
// not be repeated.
//
// The fold is a pure function of the stream, so all hosts reach the same
// verdict for every claim, whoever appended it and however often.
package ledger

import (
	"container/heap"
	"slices"
	"time"
)

// Verdict is the fate of one claim.
type Verdict string

// The verdicts of a claim.
const (
	// Won means that the attempt alone may send the call.
	Won Verdict = "won"
	// Held means that another attempt won and its outcome is not recorded.
	Held Verdict = "held"
	// Done means that the outcome is recorded.
	Done Verdict = "done"
	// Conflict means that the key was used for another call.
	Conflict Verdict = "conflict"
	// Expired means that the key is too old, or too far in the future, to be judged.
	Expired Verdict = "expired"
	// Withdrawn means that the attempt released its claim before the log had it.
	Withdrawn Verdict = "withdrawn"
)

// Phase is how far the call of a key has come.
type Phase string

// The phases of a key.
const (
	// PhaseFree means that nothing was sent and the next claim wins.
	PhaseFree Phase = "free"
	// PhaseHeld means that an attempt won and may have sent.
	PhaseHeld Phase = "held"
	// PhaseDone means that the outcome is known.
	PhaseDone Phase = "done"
)

// Entry is the state of one key.
type Entry struct {
	Phase    Phase
	Attempt  string
	Digest   string
	Created  time.Time
	Endpoint string
	// Fence is the log offset of the winning claim.
	Fence   uint64
	Outcome *Outcome

	released []string
}

// The age of keys is bounded by constants, since every host has to reach the
// same verdict at every time.
const (
	// Window is how long after its creation a key may be claimed.
	Window = time.Hour
	// Skew is how far in the future a key's creation may lie.
	Skew = time.Minute
)

// DefaultConfig returns the bounds that all hosts share.
func DefaultConfig() Config { return Config{Window: Window, Skew: Skew} }

// Config bounds the age of keys.
type Config struct {
	// Window is how long after its creation a key may be claimed.
	Window time.Duration
	// Skew is how far in the future a key's creation may lie.
	Skew time.Duration
}

// Table is the fold of the claims stream. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	entries   map[ID]*Entry
	expiry    expiryHeap
	watermark time.Time
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, entries: make(map[ID]*Entry)}
}

// Len returns the number of keys kept.
func (t *Table) Len() int { return len(t.entries) }

// Get returns a copy of the state of a key.
func (t *Table) Get(id ID) (Entry, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Apply folds one record that the log accepted at the given offset and time.
// The verdict is empty for records that are not claims.
func (t *Table) Apply(offset uint64, at time.Time, r Record) Verdict {
	if at.After(t.watermark) {
		t.watermark = at
	}
	t.expire()
	switch r.Kind {
	case KindClaim:
		return t.applyClaim(offset, r)
	case KindOutcome:
		t.applyOutcome(r)
	case KindRelease:
		t.applyRelease(r)
	}
	return ""
}

// Check tells what a claim would get if it were next in the log.
func (t *Table) Check(r Record, now time.Time) Verdict {
	if t.outOfWindow(r.Created, now) {
		return Expired
	}
	e, ok := t.entries[r.ID]
	if !ok {
		return Won
	}
	return e.verdict(r)
}

func (t *Table) applyClaim(offset uint64, r Record) Verdict {
	if t.outOfWindow(r.Created, t.watermark) {
		return Expired
	}
	e := t.entry(r.ID, r.Created)
	verdict := e.verdict(r)
	if verdict == Won && e.Phase == PhaseFree {
		e.Phase = PhaseHeld
		e.Attempt = r.Attempt
		e.Digest = r.Digest
		e.Endpoint = r.Endpoint
		e.Fence = offset
	}
	return verdict
}

func (t *Table) applyOutcome(r Record) {
	e, ok := t.entries[r.ID]
	if !ok || e.Phase != PhaseHeld || r.Outcome == nil {
		return
	}
	e.Phase = PhaseDone
	e.Outcome = r.Outcome
}

// applyRelease frees the key if the attempt holds it, and bars the attempt from
// winning later, since its claim may reach the log after its applyRelease.
func (t *Table) applyRelease(r Record) {
	if t.outOfWindow(r.Created, t.watermark) {
		return
	}
	e := t.entry(r.ID, r.Created)
	if !slices.Contains(e.released, r.Attempt) {
		e.released = append(e.released, r.Attempt)
	}
	if e.Phase == PhaseHeld && e.Attempt == r.Attempt {
		e.Phase = PhaseFree
		e.Attempt = ""
	}
}

func (t *Table) entry(id ID, created time.Time) *Entry {
	if e, ok := t.entries[id]; ok {
		return e
	}
	e := &Entry{Phase: PhaseFree, Created: created}
	t.entries[id] = e
	heap.Push(&t.expiry, expiring{id: id, at: created.Add(t.cfg.Window + t.cfg.Skew)})
	return e
}

func (t *Table) outOfWindow(created, now time.Time) bool {
	return now.Sub(created) > t.cfg.Window || created.Sub(now) > t.cfg.Skew
}

// expire drops the keys that no claim can use again.
func (t *Table) expire() {
	for len(t.expiry) > 0 && t.expiry[0].at.Before(t.watermark) {
		item, _ := heap.Pop(&t.expiry).(expiring)
		delete(t.entries, item.id)
	}
}

func (e *Entry) verdict(r Record) Verdict {
	if slices.Contains(e.released, r.Attempt) {
		return Withdrawn
	}
	if !e.Created.Equal(r.Created) {
		return Conflict
	}
	switch {
	case e.Phase == PhaseFree:
		return Won
	case e.Digest != r.Digest:
		return Conflict
	case e.Phase == PhaseDone:
		return Done
	case e.Attempt == r.Attempt:
		return Won
	default:
		return Held
	}
}

// expiring is a key and the time from which it can be dropped.
type expiring struct {
	id ID
	at time.Time
}

// expiryHeap orders keys by the time from which they can be dropped.
type expiryHeap []expiring

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends x; it is for container/heap.
func (h *expiryHeap) Push(x any) {
	item, _ := x.(expiring)
	*h = append(*h, item)
}

// Pop removes the last item; it is for container/heap.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
