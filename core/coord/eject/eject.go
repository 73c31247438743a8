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
	// InitialPause is the pause after one failure, MaxPause the longest one.
	InitialPause time.Duration
	MaxPause     time.Duration
}

// Table holds the endpoints that are shunned. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg    Config
	mu     sync.Mutex
	states map[string]state
}

type state struct {
	until time.Duration
	pause time.Duration
}

// New returns an empty table.
func New(cfg Config) *Table { return &Table{cfg: cfg, states: make(map[string]state)} }

// RecordFailure notes a failure. It reports whether the endpoint was not shunned before.
func (t *Table) RecordFailure(endpoint string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.states[endpoint]
	if known && now < s.until {
		// Requests that were under way together fail together, and count once.
		return false
	}
	s.pause = min(max(t.cfg.InitialPause, 2*s.pause), t.cfg.MaxPause)
	s.until = now + s.pause
	t.states[endpoint] = s
	return !known
}

// RecordRejection notes that the endpoint takes nothing for a moment, though it is sound.
func (t *Table) RecordRejection(endpoint string, now, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[endpoint]
	s.until = max(s.until, now+pause)
	t.states[endpoint] = s
}

// RecordSuccess ends the shunning of an endpoint. It reports whether it was shunned.
func (t *Table) RecordSuccess(endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.states[endpoint]
	delete(t.states, endpoint)
	return known
}

// Ejected reports whether an endpoint takes no requests at now. Once its pause
// is over it takes one as a trial, and more if that succeeds.
func (t *Table) Ejected(endpoint string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.states[endpoint].until
}

// Retain forgets the endpoints that are not known any more.
func (t *Table) Retain(known func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint := range t.states {
		if !known(endpoint) {
			delete(t.states, endpoint)
		}
	}
}
