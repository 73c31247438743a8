// Package avoid holds the endpoints that asked to get no requests for a time.
//
// An endpoint that is full may say with a rejection for how long it wants nothing from this
// host. The load pattern is a burst in which several endpoints say so at once, with ends
// close to each other: when a time ends, all requests that went elsewhere would come back at
// the same moment, from all hosts. So the time is extended by a random part on each host,
// and the number of requests in flight then grows with each one that is served.
package avoid

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxExtension and extensionShare bound by how much a wait is extended.
	maxExtension   = time.Second
	extensionShare = 0.25
	// fullLimit is the number of requests in flight from which on they are not limited.
	fullLimit = 32
)

// Table holds the waits of endpoints. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	mu    sync.Mutex
	waits map[string]*wait
}

// wait is the wait of one incarnation of an endpoint.
type wait struct {
	// started is when the incarnation started.
	started time.Time
	until   time.Duration
	// limit is the number of requests that may be in flight after the wait.
	limit    int
	inFlight int
}

// New returns an empty table.
func New() *Table { return &Table{waits: make(map[string]*wait)} }

// Record records that an endpoint asked at now to get nothing for a time. It returns the
// end of the wait. Of two waits the later end holds.
func (t *Table) Record(endpoint string, started time.Time, now, span time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.current(endpoint, started)
	if w == nil {
		w = &wait{started: started}
		t.waits[endpoint] = w
	}
	extension := min(maxExtension, time.Duration(extensionShare*float64(span)))
	w.until = max(w.until, now+span+time.Duration(rand.Float64()*float64(extension)))
	w.limit = 1
	return w.until
}

// Left returns the time until an endpoint may get requests; 0 if it may now, or once
// requests in flight are served.
func (t *Table) Left(endpoint string, started time.Time, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.current(endpoint, started); w != nil {
		return max(0, w.until-now)
	}
	return 0
}

// MaySend reports whether an endpoint may get a request now.
func (t *Table) MaySend(endpoint string, started time.Time, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.current(endpoint, started)
	return w == nil || now >= w.until && w.inFlight < w.limit
}

// Begin counts a request to an endpoint. It reports false if the endpoint may not get one.
func (t *Table) Begin(endpoint string, started time.Time, now time.Duration) (*Request, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.current(endpoint, started)
	if w == nil {
		return &Request{}, true
	}
	if now < w.until || w.inFlight >= w.limit {
		return nil, false
	}
	w.inFlight++
	return &Request{table: t, endpoint: endpoint, wait: w}, true
}

// Request is a request that was sent after a wait. The zero value is one without.
type Request struct {
	table    *Table
	endpoint string
	wait     *wait
	served   bool
}

// Served records that the endpoint serves the request: more may be in flight.
func (r *Request) Served() {
	if r.wait == nil || r.served {
		return
	}
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.served = true
	r.wait.limit *= 2
	if r.wait.limit >= fullLimit && r.table.waits[r.endpoint] == r.wait {
		delete(r.table.waits, r.endpoint)
	}
}

// Done records that the request has ended.
func (r *Request) Done() {
	if r.wait == nil {
		return
	}
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.wait.inFlight--
}

// current returns the wait of an incarnation, or nil. That of an earlier one has ended. The
// caller holds the lock.
func (t *Table) current(endpoint string, started time.Time) *wait {
	w := t.waits[endpoint]
	if w != nil && started.After(w.started) {
		delete(t.waits, endpoint)
		return nil
	}
	return w
}

// Retain removes the waits that have ended of endpoints that are no longer known.
func (t *Table) Retain(known func(endpoint string) bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, w := range t.waits {
		if !known(endpoint) && now >= w.until {
			delete(t.waits, endpoint)
		}
	}
}
