// Package pause tracks when endpoints receive no requests because they load weights.
//
// An engine rejects requests while it loads weights, and hosts learn of an order to
// load them a few hundred milliseconds late. With weights published in quick
// succession, many requests would be rejected. So the host that sends the orders, which
// is the lease holder, announces each pause beforehand. Messages give the start and the
// end of a pause relative to the time of sending, since hosts don't share a clock.
package pause

import (
	"sync"
	"time"
)

// Span is the time span of one pause, on the host's own clock.
type Span struct {
	From  time.Duration
	Until time.Duration
	// Weights is the version that the endpoint loads during the pause.
	Weights int
}

// retention is how long a pause is retained after its end. By then the endpoint list
// contains the loaded version.
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

// Plan sets a pause that this host has scheduled.
func (t *Table) Plan(endpoint string, s Span) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans[endpoint] = s
}

// Receive adds a pause announced by a peer, unless the endpoint has a pause that has
// not ended. Peers forward the pauses that they know, and each transfer shifts a pause
// by the time that it takes, so the first copy is kept.
func (t *Table) Receive(endpoint string, s Span, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.spans[endpoint]; !ok || known.Until <= now {
		t.spans[endpoint] = s
	}
}

// Paused reports whether an endpoint must not receive requests now.
func (t *Table) Paused(endpoint string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.spans[endpoint]
	return ok && now >= s.From && now < s.Until
}

// LoadedWeights returns the version that an endpoint should have loaded in a pause
// that ended recently; 0 if there is none.
func (t *Table) LoadedWeights(endpoint string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.spans[endpoint]; now >= s.Until {
		return s.Weights
	}
	return 0
}

// Current returns the pauses that have not ended, and drops those past retention.
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
