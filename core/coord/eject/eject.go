// Package eject keeps requests away from endpoints that just failed.
//
// It answers endpoints that crash or fall silent while the list still shows
// them: the first failures cost requests, those after it go elsewhere. The pause
// grows while trials fail, and ends with the first success.
package eject

import (
	"sync"
	"time"
)

// Config bounds the pauses.
type Config struct {
	// First is the pause after one failure, Longest after many.
	First   time.Duration
	Longest time.Duration
}

// Table holds the endpoints that are shunned. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg Config
	mu  sync.Mutex
	by  map[string]state
}

type state struct {
	until time.Duration
	pause time.Duration
}

// New returns an empty table.
func New(cfg Config) *Table { return &Table{cfg: cfg, by: make(map[string]state)} }

// Failed notes a failure. It reports whether the endpoint was not shunned before.
func (t *Table) Failed(endpoint string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.by[endpoint]
	if known && now < s.until {
		// Requests that were under way together fail together, and count once.
		return false
	}
	s.pause = min(max(t.cfg.First, 2*s.pause), t.cfg.Longest)
	s.until = now + s.pause
	t.by[endpoint] = s
	return !known
}

// Refused notes that the endpoint takes nothing for a moment, though it is sound.
func (t *Table) Refused(endpoint string, now, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.by[endpoint]
	s.until = max(s.until, now+pause)
	t.by[endpoint] = s
}

// Succeeded ends the shunning of an endpoint. It reports whether it was shunned.
func (t *Table) Succeeded(endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.by[endpoint]
	delete(t.by, endpoint)
	return known
}

// Shunned reports whether an endpoint takes no requests at now. Once its pause
// is over it takes one as a trial, and more if that succeeds.
func (t *Table) Shunned(endpoint string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.by[endpoint].until
}

// Keep forgets the endpoints that are not known any more.
func (t *Table) Keep(known func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint := range t.by {
		if !known(endpoint) {
			delete(t.by, endpoint)
		}
	}
}
