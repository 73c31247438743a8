// Package ledger derives the state of each call that must not run more than once
// from the claims stream.
//
// The state is a pure function of the stream, so all hosts reach the same verdict
// for every claim, no matter which host appended it and how often.
package ledger

import (
	"container/heap"
	"slices"
	"time"
)

// Verdict is the result of one claim.
type Verdict string

// The verdicts of a claim.
const (
	// Won means that only this attempt may send the call.
	Won Verdict = "won"
	// Held means that another attempt won and no outcome is recorded yet.
	Held Verdict = "held"
	// Done means that the outcome of the call is recorded.
	Done Verdict = "done"
	// Conflict means that the key was used for a different call.
	Conflict Verdict = "conflict"
	// Expired means that the key was created too long ago or too far in the future.
	Expired Verdict = "expired"
	// Withdrawn means that the log contains a release of the attempt before the claim.
	Withdrawn Verdict = "withdrawn"
)

// Phase is the state of the call of a key.
type Phase string

// The phases of a key.
const (
	// PhaseFree means that nothing was sent, so the next claim wins.
	PhaseFree Phase = "free"
	// PhaseHeld means that an attempt won and may have sent the call.
	PhaseHeld Phase = "held"
	// PhaseDone means that the outcome is recorded.
	PhaseDone Phase = "done"
)

// Entry is the state of one key.
type Entry struct {
	Phase    Phase
	Attempt  string
	Digest   string
	Created  time.Time
	Endpoint string
	// FencingToken is the fencing token: the log offset of the winning claim.
	FencingToken uint64
	Outcome      *Outcome

	released []string
}

// The bounds on the age of keys are constants, not settings, since all hosts have
// to reach the same verdicts.
const (
	// Window is how long after its creation a key may be claimed.
	Window = time.Hour
	// Skew is how far in the future a key's creation may lie.
	Skew = time.Minute
)

// DefaultConfig returns the bounds that all hosts use.
func DefaultConfig() Config { return Config{Window: Window, Skew: Skew} }

// Config bounds the age of keys.
type Config struct {
	// Window is how long after its creation a key may be claimed.
	Window time.Duration
	// Skew is how far in the future a key's creation may lie.
	Skew time.Duration
}

// Table holds the state of all keys after the records applied so far. It is not
// safe for concurrent use.
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

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.entries) }

// Get returns a copy of the state of a key.
func (t *Table) Get(id ID) (Entry, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Apply applies one record that the log accepted at the given offset and time.
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

// Check returns the verdict that a claim would get as the next record in the log, if
// the log accepted it at now.
func (t *Table) Check(r Record, now time.Time) Verdict {
	if t.outOfWindow(r.Created, now) {
		return Expired
	}
	e, ok := t.entries[r.ID]
	if !ok {
		return Won
	}
	return e.check(r)
}

func (t *Table) applyClaim(offset uint64, r Record) Verdict {
	if t.outOfWindow(r.Created, t.watermark) {
		return Expired
	}
	e := t.entry(r.ID, r.Created)
	verdict := e.check(r)
	if verdict == Won && e.Phase == PhaseFree {
		e.Phase = PhaseHeld
		e.Attempt = r.Attempt
		e.Digest = r.Digest
		e.Endpoint = r.Endpoint
		e.FencingToken = offset
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

// applyRelease frees the key if the attempt holds it. It also keeps the attempt from
// winning later, since its claim may reach the log after its release.
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

// expire removes the keys that are too old to be claimed.
func (t *Table) expire() {
	for len(t.expiry) > 0 && t.expiry[0].at.Before(t.watermark) {
		item, _ := heap.Pop(&t.expiry).(expiring)
		delete(t.entries, item.id)
	}
}

func (e *Entry) check(r Record) Verdict {
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

// expiring is a key and the time at which it expires.
type expiring struct {
	id ID
	at time.Time
}

// expiryHeap is a heap of keys ordered by the time at which they expire.
type expiryHeap []expiring

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	item, _ := x.(expiring)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
