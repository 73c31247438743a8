// Package budget bounds the sends beyond the first of each request.
//
// It answers the load that comes when endpoints fail or are full while clients
// press: each repeat takes room from requests that were not sent yet. All hosts
// share one bound for a service, so each keeps to its own first sends and an
// even part of what is allowed on top; a host that sees fewer peers than there
// are would take more, so the part follows the most hosts seen lately.
package budget

import (
	"sync"
	"time"
)

const (
	// perWindow is the number of buckets in a window.
	perWindow = 10
	// buckets is one more: the window slides, and the oldest bucket leaves as a whole.
	buckets = perWindow + 1
)

// Config bounds the repeats for a service.
type Config struct {
	// Window is the span that the bound holds for.
	Window time.Duration
	// Ratio is how many repeats each request allows.
	Ratio float64
	// Extra is how many repeats all hosts together may send on top.
	Extra float64
}

// Book keeps the budgets of all services on this host. It is safe for
// concurrent use.
//
// Lock order: Book.mu is a leaf.
type Book struct {
	cfg   Config
	mu    sync.Mutex
	hosts int
	by    map[string]*window
}

type window struct {
	at      int64
	first   [buckets]float64
	repeats [buckets]float64
}

// New returns a book of a single host.
func New(cfg Config) *Book { return &Book{cfg: cfg, hosts: 1, by: make(map[string]*window)} }

// SetHosts sets the number of hosts that share the bound.
func (b *Book) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
}

// First notes a request for a service.
func (b *Book) First(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(service, now)
	w.first[i]++
}

// Repeat takes one repeat, and reports whether it may be sent.
func (b *Book) Repeat(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(service, now)
	first, repeats := 0.0, 0.0
	oldest := (i + 1) % buckets
	for j := range buckets {
		if j != oldest {
			first += w.first[j]
		}
		repeats += w.repeats[j]
	}
	if repeats+1 > first*b.cfg.Ratio+b.cfg.Extra/float64(b.hosts) {
		return false
	}
	w.repeats[i]++
	return true
}

// window returns the counts of a service with the buckets that have passed emptied.
func (b *Book) window(service string, now time.Duration) (*window, int) {
	w, ok := b.by[service]
	if !ok {
		w = &window{}
		b.by[service] = w
	}
	at := int64(now / (b.cfg.Window / perWindow))
	for step := max(w.at+1, at-buckets+1); step <= at; step++ {
		w.first[step%buckets], w.repeats[step%buckets] = 0, 0
	}
	w.at = max(w.at, at)
	return w, int(w.at % buckets)
}
