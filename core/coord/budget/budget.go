// Package budget limits the retries of requests with a budget for each service.
//
// It guards against retry storms: when endpoints fail or are full and the load
// stays high, each retry takes capacity from requests that were not sent yet.
// All hosts share one limit for a service. Each host may send retries in
// proportion to its own requests, plus an equal share of a fixed allowance. A
// host that sees fewer peers than there are would take too large a share, so the
// number of hosts to set is the highest number seen recently.
package budget

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the number of buckets in a window.
	bucketsPerWindow = 10
	// buckets is one more, since the window slides within the newest bucket and the
	// oldest one is dropped as a whole.
	buckets = bucketsPerWindow + 1
)

// Config sets the limit on the retries for each service.
type Config struct {
	// Window is the time span over which the limit holds.
	Window time.Duration
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of retries allowed in addition, over all hosts.
	Extra float64
}

// Tracker holds this host's retry budget for each service. It is safe for
// concurrent use.
//
// Lock order: Tracker.mu is a leaf.
type Tracker struct {
	cfg     Config
	mu      sync.Mutex
	hosts   int
	windows map[string]*window
}

// window counts the requests and retries for a service in a ring of buckets.
type window struct {
	// bucket is the number of the newest bucket, counted from time 0.
	bucket   int64
	requests [buckets]float64
	retries  [buckets]float64
}

// New returns a tracker for a single host.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, hosts: 1, windows: make(map[string]*window)} }

// SetHosts sets the number of hosts that share the limit.
func (t *Tracker) SetHosts(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = max(1, n)
}

// RecordRequest counts the first attempt of a request for a service.
func (t *Tracker) RecordRequest(service string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, i := t.window(service, now)
	w.requests[i]++
}

// TakeRetry takes one retry from the budget of a service. It reports false, and
// takes nothing, if the budget is exhausted.
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

// window returns the counts of a service, with expired buckets cleared, and the
// index of the newest bucket.
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
