// Package pause knows which endpoints take no requests, and when.
//
// It answers weights that are named in quick succession: an engine turns away
// what arrives while it loads, and hosts learn of an order some hundred
// milliseconds late. So the holder plans the pause before the order, and tells
// it as a span of time that each host keeps by its own clock.
package pause

import (
	"sync"
	"time"
)

// Span is the time of one pause, on the host's own clock.
type Span struct {
	From  time.Duration
	Until time.Duration
}

// Table holds the pauses of endpoints. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	mu sync.Mutex
	by map[string]Span
}

// New returns an empty table.
func New() *Table { return &Table{by: make(map[string]Span)} }

// Plan sets a pause that this host has decided.
func (t *Table) Plan(endpoint string, s Span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.by[endpoint] = s
}

// Heard takes a pause from a peer. The first word on it stands: the same pause
// comes back from others, each time a little later.
func (t *Table) Heard(endpoint string, s Span, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.by[endpoint]; !ok || known.Until <= now {
		t.by[endpoint] = s
	}
}

// Paused reports whether an endpoint takes no requests now.
func (t *Table) Paused(endpoint string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.by[endpoint]
	return ok && now >= s.From && now < s.Until
}

// Current returns the pauses that have not ended.
func (t *Table) Current(now time.Duration) map[string]Span {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Span, len(t.by))
	for endpoint, s := range t.by {
		if s.Until <= now {
			delete(t.by, endpoint)
			continue
		}
		out[endpoint] = s
	}
	return out
}
