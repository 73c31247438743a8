// Package budget bounds the sends beyond the first of each request.
//
// It answers the load that comes when endpoints fail or are full while clients
// press: each repeat takes room from requests that were not sent yet. All hosts
// share one bound for a service, so each keeps to its own first sends and an
// even part of what is allowed on top; a host that sees fewer peers than there
// are would take more, so the part follows the most hosts seen lately.
package budget

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the number of buckets in a window.
	bucketsPerWindow = 10
	// buckets is one more: the window slides, and the oldest bucket leaves as a whole.
	buckets = bucketsPerWindow + 1
)

// Config bounds the repeats for a service.
type Config struct {
	// Window is the span that the bound holds for.
	Window time.Duration
	// Ratio is how many repeats each request allows.
	Ratio float64
	// Extra is how many repeats all hosts together may send on top.
	Extra float64
}

// Tracker keeps the budgets of all services on this host. It is safe for
// concurrent use.
//
// Lock order: Tracker.mu is a leaf.
type Tracker struct {
	cfg     Config
	mu      sync.Mutex
	hosts   int
	windows map[string]*window
}

type window struct {
	bucket   int64
	requests [buckets]float64
	retries  [buckets]float64
}

// New returns a book of a single host.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, hosts: 1, windows: make(map[string]*window)} }

// SetHosts sets the number of hosts that share the bound.
func (t *Tracker) SetHosts(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = max(1, n)
}

// RecordRequest notes a request for a service.
func (t *Tracker) RecordRequest(service string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, i := t.window(service, now)
	w.requests[i]++
}

// TakeRetry takes one repeat, and reports whether it may be sent.
func (t *Tracker) TakeRetry(service string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, i := t.window(service, now)
	requests, retries := 0.0, 0.0
	oldest := (i + 1) % buckets
	for j := range buckets {
		if j != oldest {
			requests += w.requests[j]
		}
		retries += w.retries[j]
	}
	if retries+1 > requests*t.cfg.Ratio+t.cfg.Extra/float64(t.hosts) {
		return false
	}
	w.retries[i]++
	return true
}

// window returns the counts of a service with the buckets that have passed emptied.
func (t *Tracker) window(service string, now time.Duration) (*window, int) {
	w, ok := t.windows[service]
	if !ok {
		w = &window{}
		t.windows[service] = w
	}
	bucket := int64(now / (t.cfg.Window / bucketsPerWindow))
	for step := max(w.bucket+1, bucket-buckets+1); step <= bucket; step++ {
		w.requests[step%buckets], w.retries[step%buckets] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w, int(w.bucket % buckets)
}
