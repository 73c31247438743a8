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
	// Weights is the version that the endpoint loads meanwhile.
	Weights int
}

// retention is how long a pause that is over is remembered: by then the list of
// endpoints shows the weights.
const retention = 3 * time.Second

// Table holds the pauses of endpoints. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	mu    sync.Mutex
	spans map[string]Span
}

// New returns an empty table.
func New() *Table { return &Table{spans: make(map[string]Span)} }

// Plan sets a pause that this host has decided.
func (t *Table) Plan(endpoint string, s Span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans[endpoint] = s
}

// Receive takes a pause from a peer. The first word on it stands: the same pause
// comes back from others, each time a little later.
func (t *Table) Receive(endpoint string, s Span, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.spans[endpoint]; !ok || known.Until <= now {
		t.spans[endpoint] = s
	}
}

// Paused reports whether an endpoint takes no requests now.
func (t *Table) Paused(endpoint string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.spans[endpoint]
	return ok && now >= s.From && now < s.Until
}

// LoadedWeights returns the version that an endpoint should have loaded by now; 0 if no
// pause of it has ended lately.
func (t *Table) LoadedWeights(endpoint string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.spans[endpoint]; now >= s.Until {
		return s.Weights
	}
	return 0
}

// Current returns the pauses that have not ended.
func (t *Table) Current(now time.Duration) map[string]Span {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Span, len(t.spans))
	for endpoint, s := range t.spans {
		if s.Until+retention <= now {
			delete(t.spans, endpoint)
		}
		if s.Until > now {
			out[endpoint] = s
		}
	}
	return out
}
