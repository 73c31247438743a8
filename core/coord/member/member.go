// Package member tracks the other hosts of the system, from the platform's host
// list, which lags, and from direct contact. The hosts' views need not agree: a
// wrong view costs efficiency, but no guarantee depends on it.
package member

import (
	"net/netip"
	"slices"
	"sort"
	"sync"
	"time"
)

// State is the last known state of a host.
type State string

// The states of a host.
const (
	// Live hosts were in contact recently.
	Live State = "live"
	// Silent hosts were not in contact for at least Config.SilentAfter.
	Silent State = "silent"
	// Gone hosts were not in contact for at least Config.GoneAfter.
	Gone State = "gone"
	// Leaving hosts announced that they shut down.
	Leaving State = "leaving"
)

// Host is a host of the system.
type Host struct {
	Name          string         `json:"name"`
	FailureDomain string         `json:"failure-domain"`
	Address       netip.AddrPort `json:"address"`
	State         State          `json:"state"`
	LastContact   time.Time      `json:"heard"`
	Listed        bool           `json:"listed"`
	leaving       bool
	firstSeen     time.Time
}

// Config sets the time-outs after which hosts count as silent or gone.
type Config struct {
	// Self is this host; it is always live.
	Self Host
	// SilentAfter is the time without contact after which a host is silent.
	SilentAfter time.Duration
	// GoneAfter is the time without contact after which a host is gone.
	GoneAfter time.Duration
	// PartitionShare is the share of hosts that must be out of contact at once for a
	// network partition to be more likely than as many crashes. GoneAfter is then
	// multiplied by PartitionFactor.
	PartitionShare  float64
	PartitionFactor int
	// ForgetAfter is the time without contact after which a gone host that is not
	// listed is removed.
	ForgetAfter time.Duration
}

// DefaultConfig returns the default time-outs.
func DefaultConfig(self Host) Config {
	return Config{
		Self:            self,
		SilentAfter:     3 * time.Second,
		GoneAfter:       6 * time.Second,
		PartitionShare:  0.34,
		PartitionFactor: 5,
		ForgetAfter:     10 * time.Minute,
	}
}

// Table holds the last known state of each host. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg   Config
	mu    sync.Mutex
	hosts map[string]*Host
}

// New returns a table that contains only this host.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg, hosts: make(map[string]*Host)}
	self := cfg.Self
	self.State = Live
	t.hosts[self.Name] = &self
	return t
}

// SetListed applies the platform's host list. A listed host need not be alive, and a
// host that is not listed may be.
func (t *Table) SetListed(listed []Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.hosts {
		h.Listed = false
	}
	for _, l := range listed {
		h := t.upsert(l, now)
		h.Listed = true
		if l.State == Leaving && l.Name != t.cfg.Self.Name {
			h.leaving = true
		}
	}
}

// Merge applies a peer's digest: which hosts exist, and when each was last in
// contact.
func (t *Table) Merge(hosts []Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, reported := range hosts {
		h := t.upsert(reported, now)
		if reported.LastContact.After(h.LastContact) && !reported.LastContact.After(now) {
			h.LastContact = reported.LastContact
			h.leaving = reported.State == Leaving
		}
	}
}

// upsert returns the entry of a host. It adds the host if it is new, and updates the
// address and failure domain if an address is given.
func (t *Table) upsert(host Host, now time.Time) *Host {
	h, ok := t.hosts[host.Name]
	if !ok {
		h = &Host{Name: host.Name, FailureDomain: host.FailureDomain, Address: host.Address, firstSeen: now}
		t.hosts[host.Name] = h
	}
	if host.Address.IsValid() && host.Name != t.cfg.Self.Name {
		h.Address = host.Address
		h.FailureDomain = host.FailureDomain
	}
	return h
}

// RecordContact records direct contact with a host.
func (t *Table) RecordContact(host Host, leaving bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.upsert(host, now)
	h.LastContact = now
	h.leaving = leaving
}

// UpdateStates recomputes the state of each other host. It returns the hosts whose
// state changed.
func (t *Table) UpdateStates(now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	silentAfter, goneAfter := t.timeouts(now)
	var changed []Host
	for name, h := range t.hosts {
		if name == t.cfg.Self.Name {
			continue
		}
		before := h.State
		h.State = stateAfter(h, now.Sub(t.lastContact(h)), silentAfter, goneAfter)
		if h.State != before {
			changed = append(changed, *h)
		}
		if h.State == Gone && !h.Listed && now.Sub(t.lastContact(h)) > t.cfg.ForgetAfter {
			delete(t.hosts, name)
		}
	}
	return changed
}

func stateAfter(h *Host, sinceContact, silentAfter, goneAfter time.Duration) State {
	switch {
	case h.leaving && sinceContact < goneAfter:
		return Leaving
	case sinceContact >= goneAfter:
		return Gone
	case sinceContact >= silentAfter:
		return Silent
	default:
		return Live
	}
}

// lastContact returns the time of the last contact with a host, or the time at which
// it was added if that is later.
func (t *Table) lastContact(h *Host) time.Time {
	if h.LastContact.After(h.firstSeen) {
		return h.LastContact
	}
	return h.firstSeen
}

// timeouts returns the times without contact after which a host is silent or gone.
// The second is longer while many hosts are out of contact at once.
func (t *Table) timeouts(now time.Time) (silentAfter, goneAfter time.Duration) {
	outOfContact, counted := 0, 0
	for name, h := range t.hosts {
		if name == t.cfg.Self.Name || h.State == Gone || h.leaving {
			continue
		}
		counted++
		if now.Sub(t.lastContact(h)) >= t.scaleTimeout(t.cfg.SilentAfter) {
			outOfContact++
		}
	}
	silentAfter = t.scaleTimeout(t.cfg.SilentAfter)
	goneAfter = t.scaleTimeout(t.cfg.GoneAfter)
	if outOfContact > 1 && float64(outOfContact) >= t.cfg.PartitionShare*float64(counted) {
		goneAfter *= time.Duration(t.cfg.PartitionFactor)
	}
	return silentAfter, goneAfter
}

// scaleTimeout multiplies a time-out by the number of digests that it takes to cover
// all hosts, since each digest contains only a sample of them.
func (t *Table) scaleTimeout(d time.Duration) time.Duration {
	return d * time.Duration(1+len(t.hosts)/SampleSize)
}

// SampleSize is the maximum number of other hosts in one digest.
const SampleSize = 32

// Sample returns up to SampleSize other hosts that are not gone, in the order given
// by shuffle, for a digest.
func (t *Table) Sample(shuffle func(n int, swap func(i, j int))) []Host {
	all := t.Find(FindOptions{WithoutSelf: true, States: []State{Live, Silent, Leaving}})
	shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), SampleSize)]
}

// FindOptions filters the hosts that Find returns.
type FindOptions struct {
	// States limits the result to hosts in one of these states, if not empty.
	States []State
	// FailureDomain limits the result to one failure domain, if set.
	FailureDomain string
	// WithoutSelf excludes this host.
	WithoutSelf bool
}

// Find returns the hosts that match the options, sorted by name.
func (t *Table) Find(opts FindOptions) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Host
	for _, h := range t.hosts {
		switch {
		case opts.WithoutSelf && h.Name == t.cfg.Self.Name:
		case opts.FailureDomain != "" && h.FailureDomain != opts.FailureDomain:
		case len(opts.States) > 0 && !slices.Contains(opts.States, h.State):
		default:
			out = append(out, *h)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ActiveCount returns the number of hosts that are not gone, this one included. An
// account's limits are split evenly among them until shares are granted.
func (t *Table) ActiveCount() int {
	return len(t.Find(FindOptions{States: []State{Live, Silent, Leaving}}))
}
