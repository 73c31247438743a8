// Package poison detects poison requests, which crash every engine that runs them, and
// keeps them from crashing the whole fleet.
//
// A request that was in flight on an engine when it crashed is a suspect. An engine runs
// at most one suspect at a time, and a suspect that was involved in a configured number
// of crashes is rejected. A suspect that completes is cleared.
package poison

import (
	"fmt"
	"sync"
	"time"
)

// Fingerprint identifies the content of a request of one account.
type Fingerprint [16]byte

// Suspect is a request that was in flight during engine crashes.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     int
	LastCrash   time.Time
}

// Config configures a table.
type Config struct {
	// Retention is how long a suspect is stored after its last crash.
	Retention time.Duration
}

// DefaultConfig returns the configuration used without a fleet description.
func DefaultConfig() Config { return Config{Retention: 10 * time.Minute} }

// ErrRejected reports a request that was in flight during too many engine crashes.
type ErrRejected struct{ Crashes int }

// Error includes the number of crashes.
func (e *ErrRejected) Error() string {
	return fmt.Sprintf("the request was running in %d engine crashes", e.Crashes)
}

// Table tracks requests in flight and suspects. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	mu       sync.Mutex
	cfg      Config
	inFlight map[string]map[Fingerprint]int
	suspects map[Fingerprint]*Suspect
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, inFlight: make(map[string]map[Fingerprint]int), suspects: make(map[Fingerprint]*Suspect)}
}

// Check returns ErrRejected for a request that was in flight during limit or more crashes.
func (t *Table) Check(fp Fingerprint, limit int, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.suspect(fp, now)
	if ok && s.Crashes >= limit {
		return &ErrRejected{Crashes: s.Crashes}
	}
	return nil
}

// IsSuspect reports whether a request was in flight during a crash.
func (t *Table) IsSuspect(fp Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.suspect(fp, now)
	return ok
}

// Start records that a request runs on an endpoint. It returns false, and records
// nothing, if the request is a suspect and the endpoint already runs a suspect.
func (t *Table) Start(endpoint string, fp Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.suspect(fp, now); ok && t.runsSuspect(endpoint, now) {
		return false
	}
	running := t.inFlight[endpoint]
	if running == nil {
		running = make(map[Fingerprint]int)
		t.inFlight[endpoint] = running
	}
	running[fp]++
	return true
}

// Finish records that a request no longer runs on an endpoint.
func (t *Table) Finish(endpoint string, fp Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := t.inFlight[endpoint]
	running[fp]--
	if running[fp] <= 0 {
		delete(running, fp)
	}
}

// RecordCompletion clears a request that completed from suspicion.
func (t *Table) RecordCompletion(fp Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspects, fp)
}

// RecordCrash counts an engine crash for a request that was in flight on the engine, and
// returns the updated suspect. Each request in flight is counted in this way, since any
// of them may have caused the crash.
func (t *Table) RecordCrash(fp Fingerprint, now time.Time) Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.suspect(fp, now)
	if !ok {
		s = &Suspect{Fingerprint: fp}
		t.suspects[fp] = s
	}
	s.Crashes++
	s.LastCrash = now
	return *s
}

// Merge adds the suspects of a peer. The higher crash count of the two is kept.
func (t *Table) Merge(suspects []Suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range suspects {
		known, ok := t.suspect(s.Fingerprint, now)
		if !ok {
			known = &Suspect{Fingerprint: s.Fingerprint}
			t.suspects[s.Fingerprint] = known
		}
		known.Crashes = max(known.Crashes, s.Crashes)
		if s.LastCrash.After(known.LastCrash) {
			known.LastCrash = s.LastCrash
		}
	}
}

// Suspects returns up to max suspects.
func (t *Table) Suspects(max int, now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Suspect
	for fp := range t.suspects {
		if s, ok := t.suspect(fp, now); ok && len(out) < max {
			out = append(out, *s)
		}
	}
	return out
}

// suspect returns a suspect unless it has expired; the caller holds the lock.
func (t *Table) suspect(fp Fingerprint, now time.Time) (*Suspect, bool) {
	s, ok := t.suspects[fp]
	if ok && now.Sub(s.LastCrash) > t.cfg.Retention {
		delete(t.suspects, fp)
		return nil, false
	}
	return s, ok
}

func (t *Table) runsSuspect(endpoint string, now time.Time) bool {
	for fp := range t.inFlight[endpoint] {
		if _, ok := t.suspect(fp, now); ok {
			return true
		}
	}
	return false
}
