// Package poison keeps a request that crashes each engine that runs it from
// taking down the fleet.
//
// A request that was in flight at an engine that crashed is a suspect. Suspects
// run one at a time for each engine, and a suspect that has crashed a set
// number of engines is refused. One that completes is cleared.
package poison

import (
	"fmt"
	"sync"
	"time"
)

// Fingerprint identifies the content of a request for one account.
type Fingerprint [16]byte

// Suspect is a request and the crashes that it was part of.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     int
	LastCrash   time.Time
}

// Config bounds the table.
type Config struct {
	// Retention is how long a suspect is remembered after its last crash.
	Retention time.Duration
}

// DefaultConfig returns the bounds used without a fleet description.
func DefaultConfig() Config { return Config{Retention: 10 * time.Minute} }

// ErrRejected reports a request that has crashed too many engines.
type ErrRejected struct{ Crashes int }

// Error gives the number of crashes.
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

// Check refuses a request that was part of limit crashes or more.
func (t *Table) Check(fp Fingerprint, limit int, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.suspect(fp, now)
	if ok && s.Crashes >= limit {
		return &ErrRejected{Crashes: s.Crashes}
	}
	return nil
}

// Start notes that a request runs at an endpoint. It reports false, and notes
// nothing, if the request is a suspect and the endpoint runs another one.
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

// Finish notes that a request no longer runs at an endpoint.
func (t *Table) Finish(endpoint string, fp Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := t.inFlight[endpoint]
	running[fp]--
	if running[fp] <= 0 {
		delete(running, fp)
	}
}

// RecordCompletion clears a request that ran to its end.
func (t *Table) RecordCompletion(fp Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspects, fp)
}

// RecordCrash makes suspects of a request that was lost in a crash and returns it.
// While other suspects ran beside it, the blame is theirs as well.
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

// Merge takes what a peer knows of suspects. The higher count stands.
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

// suspect returns a suspect that is still remembered; the caller holds the lock.
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
