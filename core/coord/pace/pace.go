// Package pace keeps the request limits of endpoints.
//
// An endpoint that is short of capacity names in its responses the number of requests
// per second that it takes from all hosts together. The load pattern is that most
// endpoints of a service do so at once, with limits far below what they get, while the
// traffic goes on. Each host issues itself permits at its share of the limit, which is
// its share of the demand. Permits lapse, so that hosts which have saved some up do not
// use them all at the same moment, and each host issues them at times of its own, so that
// many hosts with small shares do not send at the same moment either. As these times are
// independent, hundreds of hosts sometimes send far more or far less than the limit for
// some seconds. Hosts hear what all of them send, and slow down or speed up by that.
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
	// gain is how strongly the rate of permits is corrected by the rate at which all hosts
	// send. The correction is bounded, so that the time until the next permit stays one after
	// which a client can come back.
	gain          = 3
	minCorrection = 0.25
	maxCorrection = 1.3
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

// counter counts the requests that all hosts send to an endpoint, as far as this host has
// heard of them.
type counter interface {
	RecordSent(endpoint string, now time.Duration)
	DropSent(endpoint string, now time.Duration)
	// Sent returns the average number of requests per second; ok is false while this host
	// hears of no other.
	Sent(endpoint string, now time.Duration) (perSecond float64, ok bool)
}

// Config has the dependencies of a Table.
type Config struct {
	Counter counter
}

// Table holds the limits of endpoints. It is safe for concurrent use.
//
// Lock order: Table.mu before the locks of Config.Counter.
type Table struct {
	cfg    Config
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
func New(cfg Config) *Table { return &Table{cfg: cfg, limits: make(map[string]*limit)} }

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
	return l == nil || t.issue(endpoint, l, share, now) <= now-age
}

// Take uses a permit for one request to an endpoint. It reports false if there is none.
func (t *Table) Take(endpoint string, share float64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[endpoint]
	if l == nil {
		return true
	}
	if t.issue(endpoint, l, share, now) > now {
		return false
	}
	t.use(endpoint, l, now)
	return true
}

func (t *Table) use(endpoint string, l *limit, now time.Duration) {
	l.next += l.interval
	t.cfg.Counter.RecordSent(endpoint, now)
}

// Wait returns the time until a permit for an endpoint is issued.
func (t *Table) Wait(endpoint string, share float64, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[endpoint]
	if l == nil {
		return 0
	}
	return max(0, t.issue(endpoint, l, share, now)-now)
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
	wait := max(0, t.issue(endpoint, l, share, now)-now)
	if wait > most {
		return wait, false
	}
	t.use(endpoint, l, now)
	return wait, true
}

// Return gives back a permit for a request that was not sent.
func (t *Table) Return(endpoint string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[endpoint]; l != nil {
		l.next -= l.interval
		t.cfg.Counter.DropSent(endpoint, now)
	}
}

// issue returns when the next permit is issued, by the current share of the demand and by
// what all hosts send. It skips the permits that have lapsed.
func (t *Table) issue(endpoint string, l *limit, share float64, now time.Duration) time.Duration {
	rate := max(l.rate, minRate)
	correction := t.correction(endpoint, rate, now)
	interval := maxInterval
	if perSecond := rate * share * correction; perSecond > 1/maxInterval.Seconds() {
		interval = time.Duration(float64(time.Second) / perSecond)
	}
	switch {
	case l.interval == 0:
		l.next = now + time.Duration(rand.Float64()*float64(interval))
	case l.next > now && interval != l.interval:
		l.next = now + time.Duration(float64(l.next-now)*float64(interval)/float64(l.interval))
	}
	life := permitLife
	if correction == minCorrection {
		// Unused permits lapse at once, or the hosts would use them all at the same moment
		// afterwards.
		life = 0
	}
	l.interval = max(1, interval)
	if oldest := now - life; l.next < oldest {
		l.next += time.Duration(math.Ceil(float64(oldest-l.next)/float64(l.interval))) * l.interval
	}
	return l.next
}

// correction returns the factor by which permits are issued faster or slower, since all
// hosts together send less or more than the limit.
func (t *Table) correction(endpoint string, rate float64, now time.Duration) float64 {
	sent, ok := t.cfg.Counter.Sent(endpoint, now)
	if !ok {
		return 1
	}
	return min(maxCorrection, max(minCorrection, 1+gain*(1-sent/rate)))
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
