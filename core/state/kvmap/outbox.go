package kvmap

import (
	"sync"
	"time"
)

const (
	// maxPending bounds the placements queued for one peer. In a burst only the
	// oldest are sent. The parts of the others may be computed again, since the peer
	// does not know where they are cached.
	maxPending = 128
	// subscriberTTL is how long after its last Take a peer is removed.
	subscriberTTL = 3 * time.Second
)

// Outbox queues the placements that are to be sent to each peer. It is safe for
// concurrent use.
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

// NewOutbox returns an outbox without subscribers.
func NewOutbox() *Outbox { return &Outbox{subscribers: make(map[string]*subscriber)} }

// Publish queues a placement for each subscriber that wants it.
func (o *Outbox) Publish(p Placement, wants func(subscriber string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, s := range o.subscribers {
		if len(s.pending) < maxPending && wants(name) {
			s.pending = append(s.pending, p)
		}
	}
}

// Take returns and removes the placements queued for a subscriber. The first call
// with a name subscribes it. Other subscribers are removed if their last call was
// more than subscriberTTL ago.
func (o *Outbox) Take(name string, now time.Duration) []Placement {
	o.mu.Lock()
	defer o.mu.Unlock()
	for other, s := range o.subscribers {
		if other != name && now-s.lastTake > subscriberTTL {
			delete(o.subscribers, other)
		}
	}
	s, ok := o.subscribers[name]
	if !ok {
		s = &subscriber{}
		o.subscribers[name] = s
	}
	out := s.pending
	s.pending, s.lastTake = nil, now
	return out
}
