package limit

import (
	"slices"
	"sync"
	"time"
)

// AllocatorConfig bounds what a keeper remembers.
type AllocatorConfig struct {
	// Lease is how long a granted share holds.
	Lease time.Duration
	// Headroom is the factor by which a host's demand may grow until its next report.
	Headroom float64
}

// DefaultAllocatorConfig returns the usual bounds.
func DefaultAllocatorConfig() AllocatorConfig {
	return AllocatorConfig{Lease: 3 * time.Second, Headroom: 1.5}
}

// Allocator splits the limits of the accounts that rendezvous assigns to this host.
// It is safe for concurrent use.
//
// Lock order: Keeper.mu is a leaf.
type Allocator struct {
	cfg      AllocatorConfig
	mu       sync.Mutex
	accounts map[string][]report
}

// report is one host's latest demand.
type report struct {
	host   string
	amount float64
	at     time.Time
}

// NewAllocator returns a keeper that has heard no report.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	return &Allocator{cfg: cfg, accounts: make(map[string][]report)}
}

// Lease returns how long a granted share holds.
func (k *Allocator) Lease() time.Duration { return k.cfg.Lease }

// Report takes a host's demand on an account, whose limit is total, and returns
// the part of the limit that the host may spend until the lease ends.
//
// The parts that one round of reports gets add up to the limit. A part granted
// earlier holds until the host reports again, so while demand shifts the parts
// in force exceed the limit for at most one lease.
func (k *Allocator) Report(host, account string, demand, total float64, now time.Time) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	reports := slices.DeleteFunc(k.accounts[account], func(r report) bool {
		return r.host == host || now.Sub(r.at) > k.cfg.Lease
	})
	reports = append(reports, report{host: host, amount: demand * k.cfg.Headroom, at: now})
	k.accounts[account] = reports
	demands := make([]Demand, len(reports))
	for i, r := range reports {
		demands[i] = Demand{Host: r.host, Amount: r.amount}
	}
	shares := Split(total, demands)
	return shares[len(shares)-1].Amount / total
}

// DropExpired drops accounts whose reports are all out of date.
func (k *Allocator) DropExpired(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, reports := range k.accounts {
		last := reports[len(reports)-1]
		if now.Sub(last.at) > k.cfg.Lease {
			delete(k.accounts, name)
		}
	}
}

// Len returns the number of accounts kept.
func (k *Allocator) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.accounts)
}
