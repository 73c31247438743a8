// Package room limits how many requests wait at brittle endpoints.
//
// The load pattern: the endpoints of a service say that they are brittle, often in a burst.
// They let fewer requests wait, without saying how many, and one that has to reject more than
// some in a second crashes. Its requests then go to the others, which crash in turn. So a host
// keeps the number of requests that wait at such an endpoint, from all hosts, below a limit.
// The limit falls with each rejection and rises slowly while requests are served, and after a
// rejection the endpoint gets nothing for a time. Hosts tell each other of rejections, so that
// each of them need not cause one.
package room

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// decrease is the factor by which the limit falls after a rejection, minLimit its
	// lower bound, and increase what it rises by for each request that is served.
	decrease = 0.6
	minLimit = 1.0
	increase = 0.02
	maxLimit = 256.0
	// rejectionsPerPause is about how often an endpoint rejects requests until all hosts know
	// that it does. The pause is so long that it bears that many.
	rejectionsPerPause = 3.5
	// maxExtension is the part by which a host extends a pause at most, at random, so that
	// they don't come back together.
	maxExtension = 0.25
	// minPause and maxPause bound the pause after a rejection.
	minPause = 150 * time.Millisecond
	maxPause = 3 * time.Second
	// newsTime is how long other hosts are told of a rejection.
	newsTime = 300 * time.Millisecond
)

// Change is the begin or the end of a time in which an endpoint is brittle.
type Change struct {
	Brittle       bool
	MaxRejections float64
	// Since is when the endpoint was first known to be brittle, and Rejections how often
	// it has rejected requests of this host since.
	Since      time.Duration
	Rejections int
}

// Table holds the brittle endpoints. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

type endpoint struct {
	maxRejections float64
	since         time.Duration
	// asked is when the request was sent whose response said so last.
	asked      time.Duration
	limit      float64
	pauseUntil time.Duration
	rejections int
	// rejectedAt is when an endpoint last rejected a request of this host.
	rejectedAt time.Duration
}

// News is what a host tells the others of a brittle endpoint that rejected a request.
type News struct {
	Endpoint      string
	MaxRejections float64
	// Limit is the number of requests that may wait there.
	Limit float64
	// PauseUntil is until when the endpoint gets nothing.
	PauseUntil time.Duration
}

// New returns an empty table.
func New() *Table { return &Table{endpoints: make(map[string]*endpoint)} }

// Name records that a response to a request sent at asked said that an endpoint is brittle.
// It returns false for ok if that is known.
func (t *Table) Name(id string, maxRejections float64, asked, now time.Duration) (c Change, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoint(id, now)
	e.asked = max(e.asked, asked)
	e.maxRejections = maxRejections
	return Change{Brittle: true, MaxRejections: maxRejections, Since: e.since}, ok
}

// endpoint returns the entry of an endpoint, and true if it is a new one; the caller holds the
// lock.
func (t *Table) endpoint(id string, now time.Duration) (e *endpoint, isNew bool) {
	if e = t.endpoints[id]; e == nil {
		e, isNew = &endpoint{since: now, limit: maxLimit}, true
		t.endpoints[id] = e
	}
	return e, isNew
}

// Lift records that a response to a request sent at asked did not say that an endpoint is
// brittle. It returns false for ok if it was not. Responses can overtake each other.
func (t *Table) Lift(id string, asked time.Duration) (c Change, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || asked <= e.asked {
		return Change{}, false
	}
	delete(t.endpoints, id)
	return Change{Since: e.since, Rejections: e.rejections}, true
}

// IsEmpty reports whether no endpoint is brittle.
func (t *Table) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.endpoints) == 0
}

// MaySend reports whether an endpoint may get another request of a host with a share of the
// demand. waiting is how many requests wait there, as far as the host knows, and own how many
// of them are its own. A host keeps to its part of the limit, since all others may be about to
// send to the same endpoint, for instance to one that is just back.
func (t *Table) MaySend(id string, waiting, own int, share float64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	return e == nil || now >= e.pauseUntil && float64(waiting) < e.limit && float64(own) < max(1, share*e.limit)
}

// RecordRejection records that an endpoint at which some requests waited rejected one.
func (t *Table) RecordRejection(id string, waiting int, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil {
		return
	}
	e.rejections++
	e.rejectedAt = now
	if now < e.pauseUntil {
		// It was sent before the pause.
		return
	}
	e.limit = max(minLimit, decrease*min(e.limit, float64(waiting)))
	e.pauseUntil = now + extend(pauseFor(e.maxRejections))
}

// pauseFor returns the pause after a rejection by an endpoint that bears some in a second.
func pauseFor(maxRejections float64) time.Duration {
	if maxRejections*maxPause.Seconds() < rejectionsPerPause {
		return maxPause
	}
	return max(minPause, time.Duration(rejectionsPerPause/maxRejections*float64(time.Second)))
}

func extend(pause time.Duration) time.Duration {
	return time.Duration((1 + maxExtension*rand.Float64()) * float64(pause))
}

// News returns what other hosts have to know.
func (t *Table) News(now time.Duration) []News {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []News
	for id, e := range t.endpoints {
		if e.rejections > 0 && now-e.rejectedAt < newsTime {
			out = append(out, News{Endpoint: id, MaxRejections: e.maxRejections, Limit: e.limit, PauseUntil: e.pauseUntil})
		}
	}
	return out
}

// Receive applies the news of another host.
func (t *Table) Receive(news []News, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range news {
		e, isNew := t.endpoint(n.Endpoint, now)
		if isNew {
			e.maxRejections = n.MaxRejections
		}
		e.limit = max(minLimit, min(e.limit, n.Limit))
		if n.PauseUntil > e.pauseUntil {
			e.pauseUntil = now + extend(min(n.PauseUntil-now, maxPause))
		}
	}
}

// RecordServed records that an endpoint serves a request.
func (t *Table) RecordServed(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		e.limit = min(maxLimit, e.limit+increase)
	}
}

// Retain removes the endpoints that are no longer known.
func (t *Table) Retain(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.endpoints {
		if !known(id) {
			delete(t.endpoints, id)
		}
	}
}
