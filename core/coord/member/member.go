// Package member tracks the other hosts of the system from the platform's
// lagging list and from direct contact. What it believes costs efficiency when
// wrong, and never a guarantee; no agreement is involved.
package member

import (
	"net/netip"
	"slices"
	"sort"
	"sync"
	"time"
)

// State is what is believed of a host.
type State string

// The states of a host.
const (
	// Live hosts were heard of lately.
	Live State = "live"
	// Silent hosts were not heard of for a time.
	Silent State = "silent"
	// Gone hosts were silent for long.
	Gone State = "gone"
	// Leaving hosts said that they stop.
	Leaving State = "leaving"
)

// Host is another host, or this one.
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

// Config bounds how fast hosts are given up.
type Config struct {
	// Self is this host; it is always live.
	Self Host
	// SilentAfter is the time without contact after which a host is silent.
	SilentAfter time.Duration
	// GoneAfter is the time without contact after which a host is gone.
	GoneAfter time.Duration
	// PartitionShare is the share of hosts that fall silent together from which on a
	// cut is more likely than as many deaths; giving up then takes MassFactor
	// times as long.
	PartitionShare  float64
	PartitionFactor int
	// ForgetAfter is when a host that is gone and not listed is dropped.
	ForgetAfter time.Duration
}

// DefaultConfig returns the usual bounds.
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

// Table holds what is believed of each host. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg   Config
	mu    sync.Mutex
	hosts map[string]*Host
}

// New returns a table that knows this host alone.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg, hosts: make(map[string]*Host)}
	self := cfg.Self
	self.State = Live
	t.hosts[self.Name] = &self
	return t
}

// SetListed takes the platform's list. Hosts on it need not be alive, and hosts that
// are missing may be.
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

// Merge takes what a peer told of other hosts: that they exist, and when they
// were last heard of.
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

func (t *Table) upsert(l Host, now time.Time) *Host {
	h, ok := t.hosts[l.Name]
	if !ok {
		h = &Host{Name: l.Name, FailureDomain: l.FailureDomain, Address: l.Address, firstSeen: now}
		t.hosts[l.Name] = h
	}
	if l.Address.IsValid() && l.Name != t.cfg.Self.Name {
		h.Address = l.Address
		h.FailureDomain = l.FailureDomain
	}
	return h
}

// RecordContact notes direct contact with a host.
func (t *Table) RecordContact(l Host, leaving bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.upsert(l, now)
	h.LastContact = now
	h.leaving = leaving
}

// UpdateStates renews the states. It returns the hosts whose state changed.
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

func stateAfter(h *Host, quiet, silentAfter, goneAfter time.Duration) State {
	switch {
	case h.leaving && quiet < goneAfter:
		return Leaving
	case quiet >= goneAfter:
		return Gone
	case quiet >= silentAfter:
		return Silent
	default:
		return Live
	}
}

// lastContact is when the host was last heard of, or first learnt of.
func (t *Table) lastContact(h *Host) time.Time {
	if h.LastContact.After(h.firstSeen) {
		return h.LastContact
	}
	return h.firstSeen
}

// timeouts stretches the times when many hosts are quiet at once.
func (t *Table) timeouts(now time.Time) (silentAfter, goneAfter time.Duration) {
	quiet, counted := 0, 0
	for name, h := range t.hosts {
		if name == t.cfg.Self.Name || h.State == Gone || h.leaving {
			continue
		}
		counted++
		if now.Sub(t.lastContact(h)) >= t.scaleTimeout(t.cfg.SilentAfter) {
			quiet++
		}
	}
	silentAfter = t.scaleTimeout(t.cfg.SilentAfter)
	goneAfter = t.scaleTimeout(t.cfg.GoneAfter)
	if quiet > 1 && float64(quiet) >= t.cfg.PartitionShare*float64(counted) {
		goneAfter *= time.Duration(t.cfg.PartitionFactor)
	}
	return silentAfter, goneAfter
}

// scaleTimeout stretches a time by the number of exchanges that it takes to hear of all
// hosts, since a digest holds a sample of them.
func (t *Table) scaleTimeout(d time.Duration) time.Duration {
	return d * time.Duration(1+len(t.hosts)/SampleSize)
}

// SampleSize is the number of other hosts that one digest tells of.
const SampleSize = 32

// Sample returns up to SampleSize of the other hosts that are not gone, chosen by
// shuffle, for a digest.
func (t *Table) Sample(shuffle func(n int, swap func(i, j int))) []Host {
	all := t.Find(FindOptions{WithoutSelf: true, States: []State{Live, Silent, Leaving}})
	shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), SampleSize)]
}

// FindOptions selects hosts.
type FindOptions struct {
	// States are those wanted; none for all.
	States []State
	// FailureDomain limits the answer to one failure domain, if set.
	FailureDomain string
	// WithoutSelf leaves this host out.
	WithoutSelf bool
}

// Find returns hosts by name.
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

// ActiveCount returns the number of hosts among which limits are split while
// nothing else is known: those that are listed or were heard of, this one included.
func (t *Table) ActiveCount() int {
	return len(t.Find(FindOptions{States: []State{Live, Silent, Leaving}}))
}
