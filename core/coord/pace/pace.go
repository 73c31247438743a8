// Package pace holds the request limits of endpoints.
//
// An endpoint that is short of capacity names in its responses the number of requests
// per second that it takes from all hosts together.
package pace

import (
	"sync"
	"time"
)

// Change is a change of an endpoint's request limit.
type Change struct {
	Endpoint string
	// Limited is set if the endpoint names a limit, which is Rate requests per second.
	Limited bool
	Rate    float64
	// Since is when the first limit was named.
	Since time.Duration
}

// Table holds the limits of endpoints. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	mu     sync.Mutex
	limits map[string]*limit
}

// limit is the limit of one endpoint.
type limit struct {
	rate  float64
	since time.Duration
	// asked is when the request was sent whose response named the limit.
	asked time.Duration
}

// New returns an empty table.
func New() *Table { return &Table{limits: make(map[string]*limit)} }

// Name records that a response to a request sent at asked has named a limit. It returns
// false for ok if the limit is known.
func (t *Table) Name(endpoint string, rate float64, asked, now time.Duration) (c Change, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[endpoint]
	if l == nil {
		l = &limit{since: now}
		t.limits[endpoint] = l
	} else if asked < l.asked || rate == l.rate {
		l.asked = max(l.asked, asked)
		return Change{}, false
	}
	l.rate, l.asked = rate, asked
	return Change{Endpoint: endpoint, Limited: true, Rate: rate, Since: l.since}, true
}

// Lift records that a response to a request sent at asked named no limit. It returns false
// for ok if there was none. Responses can overtake each other, so one to an earlier request
// than that which named the limit does not end it.
func (t *Table) Lift(endpoint string, asked time.Duration) (c Change, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[endpoint]
	if l == nil || asked <= l.asked {
		return Change{}, false
	}
	delete(t.limits, endpoint)
	return Change{Endpoint: endpoint, Since: l.since}, true
}

// Retain removes the limits of endpoints that are no longer known.
func (t *Table) Retain(known func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint := range t.limits {
		if !known(endpoint) {
			delete(t.limits, endpoint)
		}
	}
}
