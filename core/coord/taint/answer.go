package taint

import "time"

const (
	// progressInterval is the time between two looks of one answer at the crashes that it may
	// dismiss.
	progressInterval = 100 * time.Millisecond
	// maxGap is the longest time between two events that counts. After a pause of this host or of
	// a client that reads slowly, events may be read long after the endpoint has sent them, and
	// crashed. It is too short to dismiss a crash alone.
	maxGap = OutliveMargin - 50*time.Millisecond
)

// Answer is a streamed answer in progress. It is not safe for concurrent use.
type Answer struct {
	table *Table
	parts []string
	// age is for how long it has gone on after its first event, without what pauses have beyond
	// maxGap.
	age time.Duration
	// last is the time of the last event, and looked that of the last look at crashes.
	last, looked time.Duration
}

// Begin returns the answer to a request with the parts, at its first event.
func (t *Table) Begin(parts []string, now time.Duration) *Answer {
	return &Answer{table: t, parts: parts, last: now, looked: now}
}

// Progress records a further event, and returns the number of pairs that it dismisses: an answer
// that goes on shows that the endpoint did not crash on what others may have crashed on.
func (a *Answer) Progress(now time.Duration) (dismissed int) {
	a.age, a.last = a.ageAt(now), now
	if now-a.looked < progressInterval {
		return 0
	}
	a.looked = now
	return a.table.recordAge(a.parts, a.age, now)
}

// RanFor returns for how long the answer has gone on after its first event; not 0, which stands
// for no event.
func (a *Answer) RanFor(now time.Duration) time.Duration { return max(a.ageAt(now), precision) }

func (a *Answer) ageAt(now time.Duration) time.Duration { return a.age + min(now-a.last, maxGap) }

// RecordWhole records that an endpoint sent an answer to a request with the parts to its end. It
// returns the number of pairs that this dismisses.
func (t *Table) RecordWhole(parts []string, now time.Duration) (dismissed int) {
	return t.recordAge(parts, whole, now)
}

// recordAge records that an answer has gone on for some time after its first event, which
// dismisses the pairs of the parts that it has outlived. It returns their number.
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
