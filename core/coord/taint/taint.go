// Package taint detects parts of prompts that crash every engine that begins to write on
// them. Requests with such a part may have nothing else in common.
//
// The evidence consists of pairs of a part and an endpoint that crashed before a request
// with that part had its first event. A first event of a request with the part dismisses
// its pairs. Dismissed wins over suspected, so that hosts can merge pairs in any order and
// more than once. The part that explains most crashes is rejected, if they are too many, and
// they no longer count against other parts.
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
	// soundFor is how long after the last first event of a part crashes don't count
	// against it. Requests in flight at several engines that crash together share a part
	// that is much in use; it must not be rejected until one of them is sent again.
	soundFor = 2 * time.Second
	// changeTime is how long a change is sent to other hosts, over several messages.
	changeTime = time.Second
	// repeatInterval and repeatTime say how often, and how long, the pairs of rejected
	// parts are sent without a change, for hosts that were restarted or cut off.
	repeatInterval = time.Second
	repeatTime     = 70 * time.Millisecond
	// maxPairs bounds the pairs; those of the oldest crashes are dropped.
	maxPairs = 4096
	// maxSound bounds the parts whose last first event is remembered, in each of two
	// generations.
	maxSound = 4096
)

// Pair is a crash of an endpoint before a request with a part had its first event.
type Pair struct {
	Part string
	// Endpoint is the incarnation that crashed.
	Endpoint string
	// Depth is the position of the part in the prompt, from 0.
	Depth int
	// Crashed is when the endpoint crashed, as time since boot.
	Crashed time.Duration
	// Dismissed is set once the part is known not to crash engines.
	Dismissed bool
}

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
	// changed is when the pair was added or dismissed, and hidden is set while no other
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
	// sound and soundBefore hold the last first event of parts, in two generations.
	sound, soundBefore map[string]time.Duration
	soundSince         time.Duration
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:         cfg,
		parts:       make(map[string]*evidence),
		crowded:     make(map[string]*evidence),
		rejected:    make(map[string][]string),
		sound:       make(map[string]time.Duration),
		soundBefore: make(map[string]time.Duration),
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

// RecordCrash records the crash of an endpoint on which a request with the parts, in the
// order of its prompt, had no event yet.
func (t *Table) RecordCrash(endpoint string, parts []string, now time.Duration) {
	t.mu.Lock()
	for depth, part := range parts {
		t.join(Pair{Part: part, Endpoint: endpoint, Depth: depth, Crashed: now}, now)
	}
	t.trim(now)
	changes := t.decide()
	t.mu.Unlock()
	t.report(changes, false)
}

// RecordFirstEvent dismisses the pairs of the parts of a request that has its first event, and
// returns their number.
func (t *Table) RecordFirstEvent(parts []string, now time.Duration) int {
	t.mu.Lock()
	dismissed := 0
	for _, part := range parts {
		t.markSound(part, now)
		e := t.parts[part]
		if e == nil || e.open == 0 {
			continue
		}
		dismissed += e.open
		for _, p := range e.pairs {
			t.dismiss(p, now)
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

// dismiss dismisses a pair; the caller holds the lock.
func (t *Table) dismiss(p *pair, now time.Duration) {
	if p.Dismissed {
		return
	}
	p.Dismissed = true
	t.markChanged(p, now)
	t.addOpen(p.Part, -1)
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
	e := t.parts[in.Part]
	if e == nil {
		e = &evidence{pairs: make(map[string]*pair)}
		t.parts[in.Part] = e
	}
	known := e.pairs[in.Endpoint]
	if known == nil {
		known = &pair{Pair: in}
		if !in.Dismissed && t.isSound(in.Part, in.Crashed) {
			// Other hosts learn of it only if they suspect the part.
			known.Dismissed, known.hidden = true, true
		} else {
			t.markChanged(known, now)
		}
		e.pairs[in.Endpoint] = known
		t.count++
		if !known.Dismissed {
			t.addOpen(in.Part, 1)
		}
		return
	}
	known.Depth = max(known.Depth, in.Depth)
	known.Crashed = min(known.Crashed, in.Crashed)
	switch {
	case in.Dismissed:
		t.dismiss(known, now)
	case known.Dismissed && (known.hidden || now-known.changed >= changeTime):
		// The other host lacks the dismissal.
		t.markChanged(known, now)
	}
}

// markSound records a first event of a part; the caller holds the lock.
func (t *Table) markSound(part string, now time.Duration) {
	if now-t.soundSince > 2*soundFor || len(t.sound) >= maxSound {
		t.soundBefore, t.sound, t.soundSince = t.sound, make(map[string]time.Duration), now
	}
	t.sound[part] = now
}

// isSound reports whether a part had a first event shortly before a crash, or since; the
// caller holds the lock.
func (t *Table) isSound(part string, crashed time.Duration) bool {
	last, ok := t.sound[part]
	if !ok {
		last, ok = t.soundBefore[part]
	}
	return ok && crashed-last < soundFor
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
			if !p.Dismissed {
				t.addOpen(part, -1)
			}
		}
		if len(e.pairs) == 0 {
			delete(t.parts, part)
		}
	}
}
