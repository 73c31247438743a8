package taint

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// progressInterval is the time between two looks of one answer at the crashes that it may
	// dismiss.
	progressInterval = 100 * time.Millisecond
	// contestMargin is how much longer than at a crash a live answer must have gone on for the
	// crash not to count while the answer lives. It covers the jitter of connections.
	contestMargin = 50 * time.Millisecond
)

// Answer is a streamed answer in progress. Its methods are not safe for concurrent use.
type Answer struct {
	table *Table
	parts []string
	// began is the time of the first event, and looked that of the last look at crashes.
	began, looked time.Duration
	// age is the time from the first event to the last one.
	age atomic.Int64
}

// Begin records the first event of an answer to a request with the parts. The caller must call
// End.
func (t *Table) Begin(parts []string, now time.Duration) *Answer {
	a := &Answer{table: t, parts: parts, began: now, looked: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.live[a] = true
	return a
}

// Progress records a further event, and returns the number of pairs that it dismisses: an answer
// that goes on shows that the endpoint did not crash on what others may have crashed on.
func (a *Answer) Progress(now time.Duration) (dismissed int) {
	age := now - a.began
	a.age.Store(int64(age))
	if now-a.looked < progressInterval {
		return 0
	}
	a.looked = now
	return a.table.recordAge(a.parts, age, now)
}

// RanFor returns the time since the first event; not 0, which stands for no event.
func (a *Answer) RanFor(now time.Duration) time.Duration { return max(now-a.began, precision) }

// End records that the answer has no more events. RecordWhole is to be called too if its endpoint
// is known to have sent it to its end.
func (a *Answer) End() {
	t := a.table
	t.mu.Lock()
	delete(t.live, a)
	// It may have contested crashes.
	var changes []Change
	if slices.ContainsFunc(a.parts, func(part string) bool { return t.crowded[part] != nil }) {
		changes = t.decide()
	}
	t.mu.Unlock()
	t.report(changes, false)
}

// RecordWhole records that an endpoint sent an answer to a request with the parts to its end. It
// returns the number of pairs that this dismisses.
func (t *Table) RecordWhole(parts []string, now time.Duration) (dismissed int) {
	return t.recordAge(parts, whole, now)
}

// recordAge dismisses the pairs of the parts that an answer of an age has outlived.
func (t *Table) recordAge(parts []string, age, now time.Duration) (dismissed int) {
	if age = age.Truncate(precision); age >= SettledTime {
		age = whole
	}
	t.mu.Lock()
	for _, part := range parts {
		if age >= OutliveMargin {
			t.markEndured(part, age, now)
		}
		e := t.parts[part]
		if e == nil || e.open == 0 {
			continue
		}
		for _, p := range e.pairs {
			if !p.IsDismissed() && age >= p.Ran+OutliveMargin {
				p.Outlived = age
				t.markChanged(p, now)
				t.addOpen(part, -1)
				dismissed++
			}
		}
	}
	var changes []Change
	if dismissed > 0 {
		changes = t.decide()
	}
	t.mu.Unlock()
	t.report(changes, false)
	return dismissed
}

// oldest returns for how long the oldest live answer with each of the crowded parts has gone on;
// the caller holds the lock.
func (t *Table) oldest() map[string]time.Duration {
	out := make(map[string]time.Duration, len(t.crowded))
	if len(t.crowded) == 0 {
		return out
	}
	for a := range t.live {
		for _, part := range a.parts {
			if t.crowded[part] != nil {
				out[part] = max(out[part], time.Duration(a.age.Load()))
			}
		}
	}
	return out
}
