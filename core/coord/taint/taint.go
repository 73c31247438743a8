// Package taint detects parts of prompts that crash every engine that begins to write on
// them. Requests with such a part may have nothing else in common.
//
// The evidence consists of pairs of a part and an endpoint that crashed while it had a request
// with that part, before the answer or a short time after its first event. A first event alone
// says nothing for a part, since the engine may crash right after it. What does is an answer
// that went on for longer after its first event than the crashed one, or that ended: it
// dismisses the pair. Hosts can merge pairs in any order and more than once.
//
// Engines also crash for other reasons, with many answers in progress. The parts of these are
// in some crashes only, and answers with them go on at other engines. Crashes on begun answers
// that come together, or late, therefore count for less. The part that explains most crashes is
// rejected, if they are too many, and they no longer count against other parts.
package taint

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// maxCrashes is the number of crashes, neither dismissed nor explained, from which on
	// a part is rejected.
	maxCrashes = 3
	// enduredFor is how long an answer to a request with a part dismisses crashes that happen
	// after it. Requests in flight at several engines that crash together share a part that is
	// much in use; it must not be rejected until one of them is sent again.
	enduredFor = 2 * time.Second
	// changeTime is how long a change is sent to other hosts, over several messages.
	changeTime = time.Second
	// repeatInterval and repeatTime say how often, and how long, the pairs of rejected
	// parts are sent without a change, for hosts that were restarted or cut off.
	repeatInterval = time.Second
	repeatTime     = 70 * time.Millisecond
	// maxPairs bounds the pairs; those of the oldest crashes are dropped.
	maxPairs = 4096
	// maxEndured bounds the parts whose last answers are remembered, in each of two generations.
	maxEndured = 4096
)

// Change is a part that became rejected, or is no longer.
type Change struct {
	Part     string
	Rejected bool
	// Endpoints are the endpoints whose crashes count against the part.
	Endpoints []string
	// FromPeer is set if the evidence of another host led to the change.
	FromPeer bool
}

// Config configures a table.
type Config struct {
	// Retention is how long a pair is stored after the crash.
	Retention time.Duration
	// Report receives each change.
	Report func(Change)
}

// ErrRejected reports a part of a prompt that crashes engines.
type ErrRejected struct {
	Part    string
	Crashes int
}

// Error names the part.
func (e *ErrRejected) Error() string {
	return fmt.Sprintf("part %s of the prompt crashed %d engines", e.Part, e.Crashes)
}

// pair is a Pair in a table.
type pair struct {
	Pair
	// changed is when the pair was added or last changed, and hidden is set while no other
	// host has to know of it.
	changed time.Duration
	hidden  bool
}

// evidence is the pairs of one part, by endpoint.
type evidence struct {
	pairs map[string]*pair
	// open is the number of pairs that are not dismissed.
	open int
}

// endurance is for how long an answer to a request with a part went on, and until when.
type endurance struct{ age, at time.Duration }

// Table holds the evidence. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg Config

	mu    sync.Mutex
	parts map[string]*evidence
	// count is the number of pairs.
	count int
	// lastChange is when a pair was last to be sent because it changed.
	lastChange time.Duration
	// crowded has the parts with pairs enough to be rejected.
	crowded map[string]*evidence
	// rejected holds, for each rejected part, the endpoints that count against it.
	rejected map[string][]string
	// endured and enduredBefore hold the last answers by part, in two generations.
	endured, enduredBefore map[string]endurance
	enduredSince           time.Duration
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:           cfg,
		parts:         make(map[string]*evidence),
		crowded:       make(map[string]*evidence),
		rejected:      make(map[string][]string),
		endured:       make(map[string]endurance),
		enduredBefore: make(map[string]endurance),
	}
}

// Check returns ErrRejected if one of the parts is rejected.
func (t *Table) Check(parts []string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if endpoints, ok := t.rejected[part]; ok {
			return &ErrRejected{Part: part, Crashes: len(endpoints)}
		}
	}
	return nil
}

// Crash is a crash of an endpoint that had a request whose answer had not settled.
type Crash struct {
	// Endpoint is the incarnation that crashed.
	Endpoint string
	// Parts are those of the request, in the order of its prompt.
	Parts []string
	// At is when the endpoint broke the request off, as time since boot.
	At time.Duration
	// Ran is the time from the first event of the answer to the crash; 0 if there was none.
	Ran time.Duration
}

// RecordCrash records a crash against the parts of a request.
func (t *Table) RecordCrash(c Crash, now time.Duration) {
	t.mu.Lock()
	for depth, part := range c.Parts {
		t.join(Pair{Part: part, Endpoint: c.Endpoint, Depth: depth, Crashed: c.At, Ran: c.Ran}, now)
	}
	t.trim(now)
	changes := t.decide()
	t.mu.Unlock()
	t.report(changes, false)
}

// Merge adds the pairs of another host.
func (t *Table) Merge(pairs []Pair, now time.Duration) {
	if len(pairs) == 0 {
		return
	}
	t.mu.Lock()
	for _, p := range pairs {
		t.join(p, now)
	}
	t.trim(now)
	changes := t.decide()
	t.mu.Unlock()
	t.report(changes, true)
}

// Sweep drops the pairs whose retention has ended.
func (t *Table) Sweep(now time.Duration) {
	t.mu.Lock()
	t.drop(now - t.cfg.Retention)
	changes := t.decide()
	t.mu.Unlock()
	t.report(changes, false)
}

// Pairs returns the pairs that other hosts may lack: those that changed a short time ago
// and, now and then, those of the rejected parts. It returns up to limit, the newest first.
func (t *Table) Pairs(limit int, now time.Duration) []Pair {
	t.mu.Lock()
	defer t.mu.Unlock()
	repeat := now%repeatInterval < repeatTime && len(t.rejected) > 0
	if now-t.lastChange >= changeTime && !repeat {
		return nil
	}
	var out []*pair
	for part, e := range t.parts {
		_, rejected := t.rejected[part]
		for _, p := range e.pairs {
			if !p.hidden && now-p.changed < changeTime || repeat && rejected {
				out = append(out, p)
			}
		}
	}
	slices.SortFunc(out, func(a, b *pair) int {
		return cmp.Or(cmp.Compare(b.changed, a.changed), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return lo.Map(out[:min(len(out), limit)], func(p *pair, _ int) Pair { return p.Pair })
}

func (t *Table) report(changes []Change, fromPeer bool) {
	for _, c := range changes {
		c.FromPeer = fromPeer
		t.cfg.Report(c)
	}
}

// markChanged lets other hosts know of a pair; the caller holds the lock.
func (t *Table) markChanged(p *pair, now time.Duration) {
	p.changed, p.hidden, t.lastChange = now, false, now
}

// addOpen changes the number of suspected pairs of a part; the caller holds the lock.
func (t *Table) addOpen(part string, n int) {
	e := t.parts[part]
	e.open += n
	if e.open >= maxCrashes {
		t.crowded[part] = e
	} else {
		delete(t.crowded, part)
	}
}

// join merges a pair with what is known of it; the caller holds the lock.
func (t *Table) join(in Pair, now time.Duration) {
	in.Ran = min(in.Ran.Truncate(precision), SettledTime)
	e := t.parts[in.Part]
	if e == nil {
		e = &evidence{pairs: make(map[string]*pair)}
		t.parts[in.Part] = e
	}
	known := e.pairs[in.Endpoint]
	if known == nil {
		known = &pair{Pair: in}
		known.Outlived = max(known.Outlived, t.lastEndured(in.Part, in.Crashed))
		if !in.IsDismissed() && known.IsDismissed() {
			// Other hosts learn of it only if they suspect the part.
			known.hidden = true
		} else {
			t.markChanged(known, now)
		}
		e.pairs[in.Endpoint] = known
		t.count++
		if !known.IsDismissed() {
			t.addOpen(in.Part, 1)
		}
		return
	}
	was := known.IsDismissed()
	changed := known.raise(in)
	is := known.IsDismissed()
	switch {
	case was && !is:
		t.addOpen(in.Part, 1)
	case !was && is:
		t.addOpen(in.Part, -1)
	}
	// The other host may lack a dismissal.
	isBehind := is && !in.IsDismissed() && (known.hidden || now-known.changed >= changeTime)
	if changed && !known.hidden || isBehind {
		t.markChanged(known, now)
	}
}

// markEndured records for how long an answer has gone on; the caller holds the lock.
func (t *Table) markEndured(part string, age, now time.Duration) {
	if now-t.enduredSince > 2*enduredFor || len(t.endured) >= maxEndured {
		t.enduredBefore, t.endured, t.enduredSince = t.endured, make(map[string]endurance), now
	}
	if known := t.endured[part]; age >= known.age || now-known.at >= enduredFor {
		t.endured[part] = endurance{age: age, at: now}
	}
}

// lastEndured returns the longest time for which an answer to a request with a part went on, of
// the last ones shortly before a crash, or since; the caller holds the lock.
func (t *Table) lastEndured(part string, crashed time.Duration) time.Duration {
	var longest time.Duration
	for _, generation := range []map[string]endurance{t.endured, t.enduredBefore} {
		if last, ok := generation[part]; ok && crashed-last.at < enduredFor {
			longest = max(longest, last.age)
		}
	}
	return longest
}

// trim removes the pairs of the oldest crashes if there are too many; the caller holds the
// lock.
func (t *Table) trim(now time.Duration) {
	if t.count <= maxPairs {
		return
	}
	var crashed []time.Duration
	for _, e := range t.parts {
		for _, p := range e.pairs {
			crashed = append(crashed, p.Crashed)
		}
	}
	slices.Sort(crashed)
	// Half of the room is made at once, so that this is rare.
	t.drop(max(crashed[len(crashed)-maxPairs/2], now-t.cfg.Retention))
}

// drop removes the pairs of crashes before a time; the caller holds the lock.
func (t *Table) drop(before time.Duration) {
	for part, e := range t.parts {
		for endpoint, p := range e.pairs {
			if p.Crashed >= before {
				continue
			}
			delete(e.pairs, endpoint)
			t.count--
			if !p.IsDismissed() {
				t.addOpen(part, -1)
			}
		}
		if len(e.pairs) == 0 {
			delete(t.parts, part)
		}
	}
}
