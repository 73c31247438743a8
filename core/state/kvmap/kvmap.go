// Package kvmap tracks which prompt parts each engine and each KV cache store has
// cached, as far as it follows from the requests sent to them.
package kvmap

import (
	"container/list"
	"sync"
	"time"

	"cicadastand.dev/core/proto/call"
)

// capacityShare is the share of an endpoint's cache that this host assumes to be
// used by the parts it knows of. Running requests and the requests of other hosts
// use the rest.
const capacityShare = 0.5

// Index holds the cached parts by endpoint. It evicts the least recently used
// ones first, as the endpoints do. It is safe for concurrent use.
//
// Lock order: Index.mu is a leaf.
type Index struct {
	mu     sync.Mutex
	caches map[string]*cache
}

// Placement says that an endpoint has, or will have, the shared parts of a prompt
// in its cache.
type Placement struct {
	Endpoint string
	// Weights is the version of the model weights that the parts are computed with.
	Weights int
	// CacheSalt separates the cached parts of isolated accounts from those of others.
	CacheSalt string
	Parts     []call.Part
	// Capacity is the size of the endpoint's cache in tokens.
	Capacity int
	// LearntAt is when this host learnt of the placement.
	LearntAt time.Duration
}

type cache struct {
	// weights is the version of the model weights that the parts were computed with.
	weights int
	tokens  int
	order   *list.List
	parts   map[string]*list.Element
}

type cachedPart struct {
	key      string
	tokens   int
	learntAt time.Duration
}

// New returns an empty index.
func New() *Index { return &Index{caches: make(map[string]*cache)} }

// CachedTokens returns how many leading tokens of a prompt the endpoint has cached.
// It counts only placements that this host learnt of at the time since or later.
func (x *Index) CachedTokens(endpoint string, weights int, cacheSalt string, parts []call.Part, since time.Duration) int {
	tokens, _ := x.CachedSince(endpoint, weights, cacheSalt, parts, since)
	return tokens
}

// CachedSince is CachedTokens with the time at which this host last learnt that the endpoint
// has the last of these parts.
func (x *Index) CachedSince(endpoint string, weights int, cacheSalt string, parts []call.Part, since time.Duration) (tokens int, learntAt time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.caches[endpoint]
	if c == nil || c.weights != weights {
		return 0, 0
	}
	for _, p := range parts {
		e, ok := c.parts[cacheSalt+"/"+p.ID]
		if !ok || e.Value.(cachedPart).learntAt < since {
			break
		}
		tokens += p.Tokens
		learntAt = e.Value.(cachedPart).learntAt
	}
	return tokens, learntAt
}

// Add records a placement. Parts that were computed with older weights than those
// the endpoint is known to have are ignored; newer weights empty its cache first.
// It reports whether all parts but the last were already known to be there.
func (x *Index) Add(p Placement) (known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.caches[p.Endpoint]
	if c != nil && c.weights > p.Weights {
		return true
	}
	if c == nil || c.weights < p.Weights {
		c = &cache{weights: p.Weights, order: list.New(), parts: make(map[string]*list.Element)}
		x.caches[p.Endpoint] = c
	}
	known = true
	for i, part := range p.Parts {
		_, ok := c.parts[p.CacheSalt+"/"+part.ID]
		known = known && (ok || i == len(p.Parts)-1)
		c.add(cachedPart{key: p.CacheSalt + "/" + part.ID, tokens: part.Tokens, learntAt: p.LearntAt})
	}
	for c.tokens > int(capacityShare*float64(p.Capacity)) && c.order.Len() > 0 {
		c.dropOldest()
	}
	return known
}

func (c *cache) add(p cachedPart) {
	if e, ok := c.parts[p.key]; ok {
		e.Value = p
		c.order.MoveToFront(e)
		return
	}
	c.parts[p.key] = c.order.PushFront(p)
	c.tokens += p.tokens
}

func (c *cache) dropOldest() {
	e := c.order.Back()
	p := c.order.Remove(e).(cachedPart)
	delete(c.parts, p.key)
	c.tokens -= p.tokens
}

// Retain removes the endpoints for which known returns false.
func (x *Index) Retain(known func(endpoint string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for endpoint := range x.caches {
		if !known(endpoint) {
			delete(x.caches, endpoint)
		}
	}
}
