// Package kvmap remembers which prompt parts each endpoint and each store holds in
// its cache, as far as requests show it.
package kvmap

import (
	"container/list"
	"sync"
	"time"

	"cicadastand.dev/core/proto/call"
)

// capacityShare is the part of an endpoint's cache that is taken to be filled by
// what this host knows of; running requests and other hosts use the rest.
const capacityShare = 0.5

// Index remembers parts by endpoint. The least recently used ones go first, as
// at the endpoint. It is safe for concurrent use.
//
// Lock order: Index.mu is a leaf.
type Index struct {
	mu     sync.Mutex
	caches map[string]*cache
}

// Placement is one prompt's shared part at an endpoint.
type Placement struct {
	Endpoint string
	// Weights is the version that the endpoint reads with.
	Weights int
	// CacheSalt separates accounts that share nothing.
	CacheSalt string
	Parts     []call.Part
	// Capacity is the endpoint's cache in tokens.
	Capacity int
	// LearntAt is when the host learnt of it.
	LearntAt time.Duration
}

type cache struct {
	// weights is the version that the parts were made with.
	weights int
	tokens  int
	order   *list.List
	parts   map[string]*list.Element
}

type cachedPart struct {
	key    string
	tokens int
	at     time.Duration
}

// New returns an index that knows of nothing.
func New() *Index { return &Index{caches: make(map[string]*cache)} }

// CachedTokens returns how many leading tokens of a prompt the endpoint holds, going by
// what was learnt since a time.
func (x *Index) CachedTokens(endpoint string, weights int, wall string, parts []call.Part, since time.Duration) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.caches[endpoint]
	if c == nil || c.weights != weights {
		return 0
	}
	held := 0
	for _, p := range parts {
		e, ok := c.parts[wall+"/"+p.ID]
		if !ok || e.Value.(cachedPart).at < since {
			break
		}
		held += p.Tokens
	}
	return held
}

// Add notes that an endpoint reads a prompt. What was made with older weights
// than the endpoint is known to have is ignored.
func (x *Index) Add(p Placement) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.caches[p.Endpoint]
	if c != nil && c.weights > p.Weights {
		return
	}
	if c == nil || c.weights < p.Weights {
		c = &cache{weights: p.Weights, order: list.New(), parts: make(map[string]*list.Element)}
		x.caches[p.Endpoint] = c
	}
	for _, in := range p.Parts {
		c.add(cachedPart{key: p.CacheSalt + "/" + in.ID, tokens: in.Tokens, at: p.LearntAt})
	}
	for c.tokens > int(capacityShare*float64(p.Capacity)) && c.order.Len() > 0 {
		c.dropOldest()
	}
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

// Retain forgets the endpoints that are not known any more.
func (x *Index) Retain(known func(endpoint string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for endpoint := range x.caches {
		if !known(endpoint) {
			delete(x.caches, endpoint)
		}
	}
}
