// Package hubs decides which host of a failure domain speaks for it.
//
// It answers the growth of a system: if each host told each other host, messages
// would grow with the square of their number, and so would reads of the store.
// Hosts of a domain tell one of them, their hub, and hubs tell each other. All
// hosts choose alike without exchanging anything; a hub that does not answer is
// passed over for a time, so no agreement is needed and no work depends on it. A
// hub carries the messages of its whole domain, so hosts with fast links go first.
package hubs

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"cicadastand.dev/core/proto/feed"
)

// Config says who this host is.
type Config struct {
	Self feed.Host
	// RetryAfter is when a hub that did not answer is tried again.
	RetryAfter time.Duration
}

// Table knows the hosts that have registered. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg   Config
	mu    sync.Mutex
	hosts map[string]feed.Host
	// retryAt is when a host that failed is tried again.
	retryAt map[string]time.Duration
}

// New returns a table that knows this host alone.
func New(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		hosts:   map[string]feed.Host{cfg.Self.Name: cfg.Self},
		retryAt: make(map[string]time.Duration),
	}
}

// Add takes a host. It reports whether anything about it is new.
func (t *Table) Add(h feed.Host) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.Name == t.cfg.Self.Name || t.hosts[h.Name] == h {
		return false
	}
	t.hosts[h.Name] = h
	delete(t.retryAt, h.Name)
	return true
}

// maxMeshHosts is the number of hosts up to which each tells all others: it then
// costs less than the delay through a hub.
const maxMeshHosts = 12

// IsMesh reports whether the system is small enough for each host to tell all others.
func (t *Table) IsMesh() bool { return t.Len() <= maxMeshHosts }

// Reachable returns all other hosts that answer.
func (t *Table) Reachable(now time.Duration) []feed.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Filter(lo.Values(t.hosts), func(h feed.Host, _ int) bool {
		return h.Name != t.cfg.Self.Name && now >= t.retryAt[h.Name]
	})
}

// Len returns the number of hosts that are known.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.hosts)
}

// MarkFailed notes that a host did not answer.
func (t *Table) MarkFailed(name string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAt[name] = now + t.cfg.RetryAfter
}

// MarkReachable notes that a host answered.
func (t *Table) MarkReachable(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.retryAt, name)
}

// OwnHub returns the hub of this host's domain. It may be this host.
func (t *Table) OwnHub(now time.Duration) feed.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.selectHub(t.cfg.Self.FailureDomain, now)
	if !ok {
		return t.cfg.Self
	}
	return h
}

// OtherHubs returns the hubs of the other domains.
func (t *Table) OtherHubs(now time.Duration) []feed.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	domains := lo.Uniq(lo.MapToSlice(t.hosts, func(_ string, h feed.Host) string { return h.FailureDomain }))
	var out []feed.Host
	for _, d := range domains {
		if d == t.cfg.Self.FailureDomain {
			continue
		}
		if h, ok := t.selectHub(d, now); ok {
			out = append(out, h)
		}
	}
	return out
}

// selectHub returns the host of a domain that comes first by rendezvous hashing,
// among those that answer and have the fastest link.
func (t *Table) selectHub(domain string, now time.Duration) (feed.Host, bool) {
	candidates := lo.Filter(lo.Values(t.hosts), func(h feed.Host, _ int) bool {
		return h.FailureDomain == domain && now >= t.retryAt[h.Name]
	})
	if len(candidates) == 0 {
		return feed.Host{}, false
	}
	return slices.MinFunc(candidates, func(a, b feed.Host) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hashScore(domain, a.Name), hashScore(domain, b.Name)), cmp.Compare(a.Name, b.Name))
	}), true
}

func hashScore(domain, host string) uint64 { return xxhash.Sum64String(domain + "/" + host) }
