package origin

import (
	"cmp"
	"time"

	"cicadastand.dev/core/proto/feed"
)

// SetEra records the era of the store that this host has learnt of. It reports whether the store
// was restored from a copy.
func (t *Table) SetEra(era int64, now time.Duration) (restored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.era {
		return false
	}
	restored = t.era > 0
	if t.cfg.IsFirstStart && !restored {
		t.wholeEra = era
	}
	t.mayCover = t.isWhole(now) || t.isComplete(now)
	t.era, t.eraSince, t.covers = era, now, false
	t.sawRestore = t.sawRestore || restored
	clear(t.repeated)
	return restored
}

// Era returns the newest known era of the store; 0 if none is known.
func (t *Table) Era() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// NeedsEraState reports whether another host may know that the store's records are whole: this one
// does not, and has not seen a restore that could be the reason.
func (t *Table) NeedsEraState(now time.Duration) bool {
	if t.IsWhole(now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.sawRestore
}

// SetEraState applies the statement of another host that the store has. Without any, hosts have
// run software that makes none.
func (t *Table) SetEraState(s feed.EraState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Era == 0 || s.IsWhole {
		t.wholeEra = max(t.wholeEra, cmp.Or(s.Era, s.Read))
	}
}

// EraState returns what this host can state of the newest era, and false if it can state nothing: it
// has started in that era and does not know whether it began just before.
func (t *Table) EraState(now time.Duration) (feed.EraState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isWhole := t.isWhole(now)
	return feed.EraState{Era: t.era, IsWhole: isWhole}, t.era > 0 && (isWhole || t.sawRestore)
}

// AddRepeated remembers the marks of hosts that have repeated their records.
func (t *Table) AddRepeated(marks ...feed.RepeatMark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range marks {
		t.repeated[m] = true
	}
}

// HasRepeated reports whether a host has repeated in this era all records that it held.
func (t *Table) HasRepeated(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.repeated[feed.NewRepeatMark(host, t.era)]
}

// SetCopiedAfterStart records that the copy of the store from which an era began was made after
// the start of this host. What it lacks was written since, so this host got its copies.
func (t *Table) SetCopiedAfterStart(era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.covers = t.covers || era == t.era && t.mayCover
}

// IsComplete reports whether this host has the copies that it got of all records that the store
// may lack of streams that can still be resumed.
func (t *Table) IsComplete(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isComplete(now)
}

// isComplete is IsComplete; the caller holds the lock.
func (t *Table) isComplete(now time.Duration) bool {
	return t.cfg.IsFirstStart || now-t.cfg.Started > t.cfg.Retention || t.covers
}

// IsWhole reports whether the store has the records of all streams that can still be resumed. It
// may lack some once it was restored from a copy, and this host may have started after that.
func (t *Table) IsWhole(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isWhole(now)
}

// WholeIn returns the time until the store has the records of all streams that can still be
// resumed.
func (t *Table) WholeIn(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isWhole(now) {
		return 0
	}
	return t.eraSince + t.cfg.Retention - now
}

// isWhole is IsWhole; the caller holds the lock.
func (t *Table) isWhole(now time.Duration) bool {
	return t.era <= t.wholeEra || now-t.eraSince > t.cfg.Retention
}
