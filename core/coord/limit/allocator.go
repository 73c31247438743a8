package limit

import (
	"slices"
	"sync"
	"time"
)

// AllocatorConfig configures an Allocator.
type AllocatorConfig struct {
	// Lease is how long a granted share is valid.
	Lease time.Duration
	// Headroom multiplies the reported demand, so that it may grow by this factor
	// until the host's next report.
	Headroom float64
}

// DefaultAllocatorConfig returns the default configuration.
func DefaultAllocatorConfig() AllocatorConfig {
	return AllocatorConfig{Lease: 3 * time.Second, Headroom: 1.5}
}

// Allocator splits the limits of client accounts over the hosts. Each host runs one
// for the accounts that rendezvous hashing assigns to it. It is safe for concurrent
// use.
//
// Lock order: Allocator.mu is a leaf.
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

// NewAllocator returns an allocator without reports.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	return &Allocator{cfg: cfg, accounts: make(map[string][]report)}
}

// Lease returns how long a granted share is valid.
func (a *Allocator) Lease() time.Duration { return a.cfg.Lease }

// Report records a host's demand for an account whose limit is total. It returns
// the fraction of the limit that the host may spend until the lease ends.
//
// The shares granted in one round of reports add up to the limit. An earlier share
// stays valid until its host reports again, so while demand shifts, the sum of the
// valid shares may exceed the limit, but for no longer than one lease.
func (a *Allocator) Report(host, account string, demand, total float64, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	reports := slices.DeleteFunc(a.accounts[account], func(r report) bool {
		return r.host == host || now.Sub(r.at) > a.cfg.Lease
	})
	reports = append(reports, report{host: host, amount: demand * a.cfg.Headroom, at: now})
	a.accounts[account] = reports
	demands := make([]Demand, len(reports))
	for i, r := range reports {
		demands[i] = Demand{Host: r.host, Amount: r.amount}
	}
	shares := Split(total, demands)
	return shares[len(shares)-1].Amount / total
}

// DropExpired removes accounts whose reports are all older than the lease.
func (a *Allocator) DropExpired(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, reports := range a.accounts {
		last := reports[len(reports)-1]
		if now.Sub(last.at) > a.cfg.Lease {
			delete(a.accounts, name)
		}
	}
}

// Len returns the number of accounts with reports.
func (a *Allocator) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.accounts)
}
