// Package hubs selects the hub of each failure domain: the host that aggregates and
// relays the state of its domain.
//
// If each host sent its state to each other host, the number of messages would grow
// with the square of the number of hosts, and so would the reads of the platform's store.
// Instead the hosts of a domain send to their hub, and the hubs send to each other.
// All hosts select the same hub without communication. A hub that does not respond
// is skipped for a time, so no consensus is needed and no request depends on one
// particular hub. A hub carries the messages of its whole domain, so hosts with
// faster links are preferred.
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

// Config configures a Table.
type Config struct {
	// Self is this host.
	Self feed.Host
	// RetryAfter is how long a host that did not respond is skipped.
	RetryAfter time.Duration
}

// Table holds the registered hosts. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg   Config
	mu    sync.Mutex
	hosts map[string]feed.Host
	// retryAt is the time until which a failed host is skipped.
	retryAt map[string]time.Duration
	// slow counts the messages in a row that a host has left without a response, though it sent
	// something meanwhile.
	slow map[string]int
}

// New returns a table that contains only this host.
func New(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		hosts:   map[string]feed.Host{cfg.Self.Name: cfg.Self},
		retryAt: make(map[string]time.Duration),
		slow:    make(map[string]int),
	}
}

// Add adds or updates a host. It reports whether the entry changed.
func (t *Table) Add(h feed.Host) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.Name == t.cfg.Self.Name || t.hosts[h.Name] == h {
		return false
	}
	t.hosts[h.Name] = h
	delete(t.retryAt, h.Name)
	delete(t.slow, h.Name)
	return true
}

// maxMeshHosts is the number of hosts up to which each host sends directly to all
// others: the extra messages then cost less than the delay through a hub.
const maxMeshHosts = 12

// IsMesh reports whether the system is small enough for each host to send directly
// to all others.
func (t *Table) IsMesh() bool { return t.Len() <= maxMeshHosts }

// Reachable returns all other hosts that are not skipped after a failure.
func (t *Table) Reachable(now time.Duration) []feed.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Filter(lo.Values(t.hosts), func(h feed.Host, _ int) bool {
		return h.Name != t.cfg.Self.Name && now >= t.retryAt[h.Name]
	})
}

// All returns all registered hosts, this one included.
func (t *Table) All() []feed.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Values(t.hosts)
}

// Len returns the number of registered hosts, this one included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.hosts)
}

// Host returns the registered host with a name.
func (t *Table) Host(name string) (feed.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[name]
	return h, ok
}

// Domains returns the failure domains of all registered hosts.
func (t *Table) Domains() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Uniq(lo.MapToSlice(t.hosts, func(_ string, h feed.Host) string { return h.FailureDomain }))
}

// Members returns the number of registered hosts in this host's failure domain.
func (t *Table) Members() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.CountBy(lo.Values(t.hosts), func(h feed.Host) bool { return h.FailureDomain == t.cfg.Self.FailureDomain })
}

// MarkFailed records that a host did not respond.
func (t *Table) MarkFailed(name string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAt[name] = now + t.cfg.RetryAfter
}

// maxSlow is the number of messages in a row after which a slow host counts as failed: a hub that
// only sends parts of responses is of no use to its domain.
const maxSlow = 3

// MarkSlow records that a host did not respond in time, but sent something meanwhile. Another
// hub would have a slower link. It reports whether the host counts as failed.
func (t *Table) MarkSlow(name string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slow[name]++
	if t.slow[name] < maxSlow {
		return false
	}
	delete(t.slow, name)
	t.retryAt[name] = now + t.cfg.RetryAfter
	return true
}

// MarkReachable records that a host responded.
func (t *Table) MarkReachable(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.retryAt, name)
	delete(t.slow, name)
}

// OwnHub returns the hub of this host's failure domain, which may be this host.
func (t *Table) OwnHub(now time.Duration) feed.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.selectHub(t.cfg.Self.FailureDomain, now)
	if !ok {
		return t.cfg.Self
	}
	return h
}

// OtherHubs returns the hubs of the other failure domains.
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

// IsLead reports whether this host is the first by rendezvous hashing among the hubs of
// all failure domains. It reads the platform's store for the other hubs.
func (t *Table) IsLead(now time.Duration) bool {
	own := t.OwnHub(now)
	score := leadScore(own)
	return own.Name == t.cfg.Self.Name && lo.EveryBy(t.OtherHubs(now), func(h feed.Host) bool { return score < leadScore(h) })
}

func leadScore(h feed.Host) uint64 { return xxhash.Sum64String("lead/" + h.Name) }

// selectHub returns the hub of a failure domain: of the hosts that are not skipped
// and have the fastest link, the first by rendezvous hashing.
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
