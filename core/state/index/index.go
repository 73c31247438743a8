// Package index tracks which endpoints are likely to have which prompt pieces in
// their KV cache. Its data is an estimate: if it is wrong, the endpoint computes
// the piece again.
package index

import (
	"math"
	"sync"
	"time"

	"cicadastand.dev/core/state/prefix"
)

// Config bounds an index.
type Config struct {
	// MaxKeys bounds the number of keys; the least recently updated ones are evicted first.
	MaxKeys int
	// Lifetime is the assumed time that an endpoint keeps a piece, until Observe
	// has adjusted it for the endpoint.
	Lifetime time.Duration
	// MinLifetime and MaxLifetime bound the lifetime that Observe computes.
	MinLifetime, MaxLifetime time.Duration
}

// DefaultConfig returns the bounds for one host.
func DefaultConfig() Config {
	return Config{MaxKeys: 50_000, Lifetime: 20 * time.Second, MinLifetime: time.Second, MaxLifetime: 2 * time.Minute}
}

// holder is an endpoint that had a piece at confirmedAt, or is expected to have
// it because a request with the piece was sent to it at expectedAt.
type holder struct {
	endpoint    string
	confirmedAt time.Time
	expectedAt  time.Time
}

// latest returns the later of the two times.
func (h holder) latest() time.Time {
	if h.expectedAt.After(h.confirmedAt) {
		return h.expectedAt
	}
	return h.confirmedAt
}

// entry holds the holders of and the demand for one key. It is an element of the
// LRU list.
type entry struct {
	key        prefix.Key
	holders    []holder
	demand     decayingCount
	prev, next *entry
}

// decayingCount counts events, each with a weight that decays exponentially with
// the time constant demandDecay.
type decayingCount struct {
	count float64
	at    time.Time
}

// demandDecay is the time in which the weight of a counted request falls to 1/e.
const demandDecay = 10 * time.Second

func (d *decayingCount) value(at time.Time) float64 {
	return d.count * math.Exp(-max(0, at.Sub(d.at).Seconds())/demandDecay.Seconds())
}

func (d *decayingCount) add(at time.Time) {
	d.count = d.value(at) + 1
	d.at = at
}

// Demand is the recent demand for a piece.
type Demand struct {
	// Requests is the decayed number of requests with the piece.
	Requests float64
	// Share is Requests divided by the decayed number of all requests.
	Share float64
}

// Index maps keys to holders. It is safe for concurrent use.
//
// Lock order: Index.mu is a leaf.
type Index struct {
	cfg     Config
	mu      sync.Mutex
	entries map[prefix.Key]*entry
	// lru is the sentinel of a circular list of the entries. The least recently
	// updated entry is first.
	lru          entry
	incarnations map[string]string
	lifetimes    map[string]time.Duration
	total        decayingCount
}

// New returns an empty index.
func New(cfg Config) *Index {
	x := &Index{
		cfg:          cfg,
		entries:      make(map[prefix.Key]*entry),
		incarnations: make(map[string]string),
		lifetimes:    make(map[string]time.Duration),
	}
	x.lru.prev, x.lru.next = &x.lru, &x.lru
	return x
}

// Len returns the number of keys in the index.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.entries)
}

// Lifetime returns the estimated time that an endpoint keeps a piece.
func (x *Index) Lifetime(endpoint string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lifetime(endpoint)
}

// SetIncarnation removes the endpoint as a holder of all pieces if its
// incarnation has changed, since a restart empties its cache.
func (x *Index) SetIncarnation(endpoint, incarnation string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.incarnations[endpoint] == incarnation {
		return
	}
	x.incarnations[endpoint] = incarnation
	for _, e := range x.entries {
		e.removeHolder(endpoint)
	}
}

// Confirm records that an incarnation of an endpoint had the pieces of a chain
// at a time. Reports of another than the known incarnation are ignored.
func (x *Index) Confirm(endpoint, incarnation string, chain []prefix.Key, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if known, ok := x.incarnations[endpoint]; ok && known != incarnation {
		return
	}
	x.incarnations[endpoint] = incarnation
	for _, k := range chain {
		h := x.touch(k).holderFor(endpoint)
		if at.After(h.confirmedAt) {
			h.confirmedAt = at
		}
	}
	x.evictExcess()
}

// Expect records that a request with a chain was sent to an endpoint, so that the
// next request with the same prefix is expected to hit its cache.
func (x *Index) Expect(endpoint string, chain []prefix.Key, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, k := range chain {
		x.touch(k).holderFor(endpoint).expectedAt = at
	}
	x.evictExcess()
}

// Evict records that an incarnation of an endpoint evicted a piece.
func (x *Index) Evict(endpoint, incarnation string, key prefix.Key) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.incarnations[endpoint] != incarnation {
		return
	}
	if e, ok := x.entries[key]; ok {
		e.removeHolder(endpoint)
	}
}

// RequestedAtLeast returns the number of leading pieces that at least n recent
// requests contained.
func RequestedAtLeast(demand []Demand, n int) int {
	// Half a request less than n allows for the decay of the earlier requests.
	enough := float64(n) - 0.5
	for i, d := range demand {
		if d.Requests < enough {
			return i
		}
	}
	return len(demand)
}

// CountRequest counts a request with a chain and returns the demand for each piece.
func (x *Index) CountRequest(chain []prefix.Key, at time.Time) []Demand {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.total.add(at)
	out := make([]Demand, len(chain))
	for i, k := range chain {
		e := x.touch(k)
		e.demand.add(at)
		out[i] = Demand{Requests: e.demand.count, Share: e.demand.count / x.total.count}
	}
	x.evictExcess()
	return out
}

// ExpectedPieces returns, for each endpoint, how many leading pieces of a chain it
// is expected to have at a time. A piece counts with a confidence that decreases
// with its age relative to the endpoint's piece lifetime.
func (x *Index) ExpectedPieces(chain []prefix.Key, endpoints []string, at time.Time) []float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	expectedPieces := make([]float64, len(endpoints))
	for i, name := range endpoints {
		expectedPieces[i] = x.expectedPieces(chain, name, at)
	}
	return expectedPieces
}

// Observe adjusts the piece lifetime of an endpoint from a response that found
// the given number of leading pieces of a chain in its cache. The lifetime rises
// to the age of the last piece that was found, and falls towards the age of the
// first missing one if that was expected to be still there. Only confirmed
// pieces count.
func (x *Index) Observe(endpoint string, chain []prefix.Key, cached int, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	lifetime := x.lifetime(endpoint)
	if cached > 0 {
		if h, ok := x.findHolder(chain[cached-1], endpoint); ok && !h.confirmedAt.IsZero() {
			lifetime = max(lifetime, at.Sub(h.confirmedAt))
		}
	}
	if cached < len(chain) {
		if h, ok := x.findHolder(chain[cached], endpoint); ok && !h.confirmedAt.IsZero() && at.Sub(h.confirmedAt) < lifetime {
			lifetime -= (lifetime - at.Sub(h.confirmedAt)) / lifetimeShrinkDivisor
		}
	}
	x.lifetimes[endpoint] = min(max(lifetime, x.cfg.MinLifetime), x.cfg.MaxLifetime)
}

const (
	// lifetimeShrinkDivisor determines how fast the lifetime falls: if a piece is
	// missing before the lifetime has passed, the lifetime is reduced by its difference
	// from the age of the piece, divided by this number.
	lifetimeShrinkDivisor = 4
	// confidenceDecayStart is the share of the lifetime after which the confidence
	// starts to decrease.
	confidenceDecayStart = 0.7
)

func (x *Index) lifetime(endpoint string) time.Duration {
	if l, ok := x.lifetimes[endpoint]; ok {
		return l
	}
	return x.cfg.Lifetime
}

func (x *Index) findHolder(key prefix.Key, endpoint string) (holder, bool) {
	e, ok := x.entries[key]
	if !ok {
		return holder{}, false
	}
	for _, h := range e.holders {
		if h.endpoint == endpoint {
			return h, true
		}
	}
	return holder{}, false
}

func (x *Index) expectedPieces(chain []prefix.Key, endpoint string, at time.Time) float64 {
	lifetime := float64(x.lifetime(endpoint))
	sum, confidence := 0.0, 1.0
	for _, k := range chain {
		h, ok := x.findHolder(k, endpoint)
		if !ok {
			break
		}
		confidence = min(confidence, confidenceAt(float64(at.Sub(h.latest()))/lifetime))
		if confidence <= 0 {
			break
		}
		sum += confidence
	}
	return sum
}

// confidenceAt returns the confidence that a piece is still cached, given its age
// as a share of the lifetime.
func confidenceAt(share float64) float64 {
	switch {
	case share <= confidenceDecayStart:
		return 1
	case share >= 1:
		return 0
	default:
		return (1 - share) / (1 - confidenceDecayStart)
	}
}

func (x *Index) touch(k prefix.Key) *entry {
	e, ok := x.entries[k]
	if ok {
		e.unlink()
	} else {
		e = &entry{key: k}
		x.entries[k] = e
	}
	e.linkBefore(&x.lru)
	return e
}

func (x *Index) evictExcess() {
	for len(x.entries) > x.cfg.MaxKeys {
		oldest := x.lru.next
		oldest.unlink()
		delete(x.entries, oldest.key)
	}
}

// holderFor returns the entry's holder for an endpoint and adds it if it is missing.
func (e *entry) holderFor(endpoint string) *holder {
	for i := range e.holders {
		if e.holders[i].endpoint == endpoint {
			return &e.holders[i]
		}
	}
	e.holders = append(e.holders, holder{endpoint: endpoint})
	return &e.holders[len(e.holders)-1]
}

func (e *entry) removeHolder(endpoint string) {
	for i := range e.holders {
		if e.holders[i].endpoint == endpoint {
			e.holders = append(e.holders[:i], e.holders[i+1:]...)
			return
		}
	}
}

func (e *entry) unlink() {
	e.prev.next = e.next
	e.next.prev = e.prev
}

func (e *entry) linkBefore(successor *entry) {
	e.prev, e.next = successor.prev, successor
	successor.prev.next = e
	successor.prev = e
}
