// Package eject implements outlier ejection: endpoints that failed recently get no
// requests for a while.
//
// It covers endpoints that crash or stop responding while the endpoint list still
// contains them: only the first requests fail, later ones go to other endpoints. The
// pause doubles while trial requests fail, and ends with the first success.
package eject

import (
	"sync"
	"time"
)

// Config sets the length of ejections.
type Config struct {
	// InitialPause is the pause after the first failure, MaxPause its upper limit.
	InitialPause time.Duration
	MaxPause     time.Duration
}

// Table holds the ejected endpoints. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg    Config
	mu     sync.Mutex
	states map[string]state
}

type state struct {
	until time.Duration
	// pause is the length of the last pause after a failure; 0 if there was none.
	pause time.Duration
}

// New returns an empty table.
func New(cfg Config) *Table { return &Table{cfg: cfg, states: make(map[string]state)} }

// RecordFailure ejects an endpoint after a failure. It reports whether the table
// had no entry for it.
func (t *Table) RecordFailure(endpoint string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.states[endpoint]
	if known && now < s.until {
		// Requests that were in flight together fail together and count once.
		return false
	}
	s.pause = min(max(t.cfg.InitialPause, 2*s.pause), t.cfg.MaxPause)
	s.until = now + s.pause
	t.states[endpoint] = s
	return !known
}

// RecordRejection pauses requests to an endpoint that is healthy but rejected a request.
func (t *Table) RecordRejection(endpoint string, now, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[endpoint]
	s.until = max(s.until, now+pause)
	t.states[endpoint] = s
}

// RecordSuccess ends the ejection of an endpoint. It reports whether the table had an
// entry for it.
func (t *Table) RecordSuccess(endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.states[endpoint]
	delete(t.states, endpoint)
	return known
}

// Ejected reports whether an endpoint gets no requests at the time now. After its pause,
// requests to it are trials: a failure starts a longer pause.
func (t *Table) Ejected(endpoint string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.states[endpoint].until
}

// Retain removes the entries of endpoints that are no longer known.
func (t *Table) Retain(known func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint := range t.states {
		if !known(endpoint) {
			delete(t.states, endpoint)
		}
	}
}
