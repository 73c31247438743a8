// Package reach tells whether this host is cut off from the endpoints of a service.
//
// The load pattern is a partition: for seconds a host reaches no endpoint, while clients, the
// platform's store and the other hosts reach it. Each of its requests would wait for a
// connection until a timeout, and fail. A host that found several endpoints out of reach, and
// none within reach since, sends its requests through other hosts instead, those in progress
// too, and tries new connections from time to time until one succeeds. Endpoints that crash
// don't make a host cut off while others respond.
package reach

import (
	"sync"
	"time"
)

const (
	// minEndpoints is the number of endpoints that must be out of reach.
	minEndpoints = 2
	// quietTime is how long no endpoint must have been within reach: a little less than a
	// connection is waited for.
	quietTime = 250 * time.Millisecond
	// failureTime is how long an endpoint counts as out of reach.
	failureTime = 5 * time.Second
	// minProbeInterval and maxProbeInterval bound the time between two trials of a
	// connection; the time doubles if the host is cut off again soon after a success.
	minProbeInterval = 400 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// relapseTime is how long after a success the host counts as cut off again.
	relapseTime = 4 * time.Second
)

// Change is the begin or the end of a time in which this host is cut off from a service.
type Change struct {
	Service string
	CutOff  bool
	// Endpoints is the number of endpoints that were found out of reach.
	Endpoints int
	// Lasted is how long the host was cut off.
	Lasted time.Duration
}

// Config configures a Table.
type Config struct {
	// EndpointCount returns the number of endpoints of a service.
	EndpointCount func(service string) int
	// Report receives each change.
	Report func(Change)
}

// Table holds which endpoints were found out of reach. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*service
	watchers int
}

type service struct {
	// failed holds when endpoints were found out of reach, since one was within reach.
	failed map[string]time.Duration
	// reached is when an endpoint was last within reach, if one ever was.
	reached    time.Duration
	wasReached bool
	cutOff     bool
	since      time.Duration
	// ended is when the host was last found not to be cut off any more, if it ever was.
	ended    time.Duration
	hasEnded bool
	// probeAt is when the next connection is tried, after a time of probeInterval.
	probeAt       time.Duration
	probeInterval time.Duration
	// watchers are called when the host is cut off.
	watchers map[int]func()
}

// New returns an empty table.
func New(cfg Config) *Table { return &Table{cfg: cfg, services: make(map[string]*service)} }

func (t *Table) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{failed: make(map[string]time.Duration), watchers: make(map[int]func())}
		t.services[name] = s
	}
	return s
}

// RecordUnreachable records that an endpoint of a service did not accept a connection, or did
// not acknowledge what was sent.
func (t *Table) RecordUnreachable(name, endpoint string, now time.Duration) {
	needed := min(minEndpoints, t.cfg.EndpointCount(name))
	t.mu.Lock()
	s := t.service(name)
	s.failed[endpoint] = now
	for id, at := range s.failed {
		if now-at > failureTime {
			delete(s.failed, id)
		}
	}
	if s.cutOff || len(s.failed) < needed || s.wasReached && now-s.reached < quietTime {
		t.mu.Unlock()
		return
	}
	s.cutOff, s.since = true, now
	if s.hasEnded && now-s.ended < relapseTime {
		s.probeInterval = min(2*s.probeInterval, maxProbeInterval)
	} else {
		s.probeInterval = minProbeInterval
	}
	s.probeAt = now + s.probeInterval
	watchers := s.watchers
	s.watchers = make(map[int]func())
	change := Change{Service: name, CutOff: true, Endpoints: len(s.failed)}
	t.mu.Unlock()
	t.cfg.Report(change)
	for _, onCut := range watchers {
		onCut()
	}
}

// RecordReached records that an endpoint of a service responded or accepted a connection.
func (t *Table) RecordReached(name string, now time.Duration) {
	t.mu.Lock()
	s := t.service(name)
	s.reached, s.wasReached = max(s.reached, now), true
	if len(s.failed) == 0 && !s.cutOff {
		t.mu.Unlock()
		return
	}
	change := Change{Service: name, Endpoints: len(s.failed), Lasted: now - s.since}
	clear(s.failed)
	ended := s.cutOff
	if ended {
		s.cutOff, s.ended, s.hasEnded = false, now, true
	}
	t.mu.Unlock()
	if ended {
		t.cfg.Report(change)
	}
}

// ReachedWithin reports whether an endpoint of a service was within reach in a span of time
// before now.
func (t *Table) ReachedWithin(name string, span, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	return ok && s.wasReached && now-s.reached <= span
}

// IsCutOff reports whether this host is cut off from the endpoints of a service.
func (t *Table) IsCutOff(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	return ok && s.cutOff
}

// Watch calls onCut once when this host is found to be cut off from a service, until stop is
// called.
func (t *Table) Watch(name string, onCut func()) (stop func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchers++
	id, s := t.watchers, t.service(name)
	s.watchers[id] = onCut
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(s.watchers, id)
	}
}

// TakeProbes returns the services to which a connection should be tried now.
func (t *Table) TakeProbes(now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, s := range t.services {
		if s.cutOff && now >= s.probeAt {
			s.probeAt = now + s.probeInterval
			out = append(out, name)
		}
	}
	return out
}
