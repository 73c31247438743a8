package kvmap

import (
	"sync"
	"time"
)

const (
	// maxPending bounds the placements that wait for one peer. In a burst the older
	// ones are told, and the rest is found out by reading again.
	maxPending = 128
	// subscriberTTL is when a peer that takes no news is dropped.
	subscriberTTL = 3 * time.Second
)

// Outbox holds the placements that each peer is still to be told of. It is safe
// for concurrent use.
//
// Lock order: Outbox.mu is a leaf.
type Outbox struct {
	mu          sync.Mutex
	subscribers map[string]*subscriber
}

type subscriber struct {
	lastTake time.Duration
	pending  []Placement
}

// NewOutbox returns news without readers.
func NewOutbox() *Outbox { return &Outbox{subscribers: make(map[string]*subscriber)} }

// Publish keeps a placement for all readers that want it.
func (o *Outbox) Publish(p Placement, wants func(reader string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, r := range o.subscribers {
		if len(r.pending) < maxPending && wants(name) {
			r.pending = append(r.pending, p)
		}
	}
}

// Take returns what waits for a reader, and keeps news for it from now on.
func (o *Outbox) Take(name string, now time.Duration) []Placement {
	o.mu.Lock()
	defer o.mu.Unlock()
	for other, r := range o.subscribers {
		if other != name && now-r.lastTake > subscriberTTL {
			delete(o.subscribers, other)
		}
	}
	r, ok := o.subscribers[name]
	if !ok {
		r = &subscriber{}
		o.subscribers[name] = r
	}
	out := r.pending
	r.pending, r.lastTake = nil, now
	return out
}
