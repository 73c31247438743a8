// Package pace keeps the request limits of endpoints.
//
// An endpoint that is short of capacity names in its responses the number of requests
// per second that it takes from all hosts together. The load pattern is that most
// endpoints of a service do so at once, with limits far below what they get, while the
// traffic goes on. Each host issues itself permits at its share of the limit, which is
// its share of the demand. Permits lapse, so that hosts which have saved some up do not
// use them all at the same moment, and each host issues them at times of its own, so that
// many hosts with small shares do not send at the same moment either.
package pace

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// permitLife is how long a permit can be used. Over a span of some seconds, the use of
	// permits that were issued before adds at most one second's worth of the limit.
	permitLife = time.Second
	// SpareAge is the age at which a permit is not likely to be used any more.
	SpareAge = permitLife / 2
	// minRate replaces lower limits, in requests per second. Without any request, no host
	// would learn that the limit has ended.
	minRate = 0.25
	// maxInterval bounds the time between two permits of a host with a tiny share.
	maxInterval = time.Hour
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
	// next is when the next permit that is not used is issued, and interval the time
	// between two permits; 0 before the first.
	next     time.Duration
	interval time.Duration
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

// MayTake reports whether a host with a share of the demand may send a request to an
// endpoint now: whether the endpoint names no limit, or a permit was issued at least age ago.
func (t *Table) MayTake(endpoint string, share float64, now, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[endpoint]
	return l == nil || l.issue(share, now) <= now-age
}

// Take uses a permit for one request to an endpoint. It reports false if there is none.
func (t *Table) Take(endpoint string, share float64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[endpoint]
	if l == nil {
		return true
	}
	if l.issue(share, now) > now {
		return false
	}
	l.next += l.interval
	return true
}

// Wait returns the time until a permit for an endpoint is issued.
func (t *Table) Wait(endpoint string, share float64, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[endpoint]
	if l == nil {
		return 0
	}
	return max(0, l.issue(share, now)-now)
}

// Reserve uses the next permit for one request to an endpoint and returns the time until
// it is issued. It reports false, and uses none, if that is more than most.
func (t *Table) Reserve(endpoint string, share float64, now, most time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[endpoint]
	if l == nil {
		return 0, true
	}
	wait := max(0, l.issue(share, now)-now)
	if wait > most {
		return wait, false
	}
	l.next += l.interval
	return wait, true
}

// Return gives back a permit for a request that was not sent.
func (t *Table) Return(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[endpoint]; l != nil {
		l.next -= l.interval
	}
}

// issue returns when the next permit is issued, by the current share of the demand. It
// skips the permits that have lapsed.
func (l *limit) issue(share float64, now time.Duration) time.Duration {
	interval := maxInterval
	if perSecond := max(l.rate, minRate) * share; perSecond > 1/maxInterval.Seconds() {
		interval = time.Duration(float64(time.Second) / perSecond)
	}
	switch {
	case l.interval == 0:
		l.next = now + time.Duration(rand.Float64()*float64(interval))
	case l.next > now:
		l.next = now + time.Duration(float64(l.next-now)*float64(interval)/float64(l.interval))
	}
	l.interval = max(1, interval)
	if oldest := now - permitLife; l.next < oldest {
		l.next += time.Duration(math.Ceil(float64(oldest-l.next)/float64(l.interval))) * l.interval
	}
	return l.next
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
