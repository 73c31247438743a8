package kvmap

import (
	"sync"
	"time"
)

const (
	// maxNews bounds the placements that wait for one peer. In a burst the older
	// ones are told, and the rest is found out by reading again.
	maxNews = 128
	// forgetReader is when a peer that takes no news is dropped.
	forgetReader = 3 * time.Second
)

// Outbox holds the placements that each peer is still to be told of. It is safe
// for concurrent use.
//
// Lock order: Outbox.mu is a leaf.
type Outbox struct {
	mu      sync.Mutex
	readers map[string]*reader
}

type reader struct {
	seen    time.Duration
	waiting []Placement
}

// NewOutbox returns news without readers.
func NewOutbox() *Outbox { return &Outbox{readers: make(map[string]*reader)} }

// Publish keeps a placement for all readers that want it.
func (n *Outbox) Publish(p Placement, wants func(reader string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, r := range n.readers {
		if len(r.waiting) < maxNews && wants(name) {
			r.waiting = append(r.waiting, p)
		}
	}
}

// Take returns what waits for a reader, and keeps news for it from now on.
func (n *Outbox) Take(name string, now time.Duration) []Placement {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other, r := range n.readers {
		if other != name && now-r.seen > forgetReader {
			delete(n.readers, other)
		}
	}
	r, ok := n.readers[name]
	if !ok {
		r = &reader{}
		n.readers[name] = r
	}
	out := r.waiting
	r.waiting, r.seen = nil, now
	return out
}
