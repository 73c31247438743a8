// Package mirror holds what this host has seen in the platform's store, with the
// age of each part.
//
// Ages are counted on a clock that goes on while the host is suspended. A read
// proves what was newest when it began, so a stamp is the start of a read and
// never its end.
package mirror

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadastand.dev/core/state/site"
)

// View is what the host believes at one moment. It is immutable.
type View struct {
	// Config is nil until a configuration was read.
	Config *site.Config
	// Endpoints by the ID of their incarnation.
	Endpoints map[string]*site.Endpoint
	// ByService lists the endpoints that take requests.
	ByService map[string][]*site.Endpoint
	// Weights are the versions named for each model, in the order of their naming.
	Weights map[string][]WeightsVersion
	// EndpointsRead reports whether the list of endpoints was read at least once.
	EndpointsRead bool
}

// WeightsVersion is a version of a model's weights, and when this host learnt of it.
type WeightsVersion struct {
	Version  int
	LearntAt time.Duration
}

// NewestWeights returns the newest version named for a model; 0 if none was.
func (v *View) NewestWeights(model string) int {
	if n := len(v.Weights[model]); n > 0 {
		return v.Weights[model][n-1].Version
	}
	return 0
}

// ReplacedAt returns when this host learnt of the first version that is newer than
// the given one, and false if there is none.
func (v *View) ReplacedAt(model string, version int) (time.Duration, bool) {
	for _, n := range v.Weights[model] {
		if n.Version > version {
			return n.LearntAt, true
		}
	}
	return 0, false
}

// maxVersions bounds the versions that are remembered of a model; engines that are
// further behind count as replaced when the oldest of them was named.
const maxVersions = 32

// Mirror keeps the current view. It is safe for concurrent use.
//
// Lock order: Mirror.mu is a leaf.
type Mirror struct {
	mu           sync.Mutex
	view         atomic.Pointer[View]
	configReadAt atomic.Int64
}

// New returns a board on which nothing was seen.
func New() *Mirror {
	m := &Mirror{}
	m.view.Store(&View{Endpoints: map[string]*site.Endpoint{}, ByService: map[string][]*site.Endpoint{}, Weights: map[string][]WeightsVersion{}})
	m.configReadAt.Store(-1)
	return m
}

// View returns what is believed now.
func (m *Mirror) View() *View { return m.view.Load() }

// MarkConfigCurrent notes that a read which began at started showed the configuration held
// here as the newest.
func (m *Mirror) MarkConfigCurrent(started time.Duration) {
	for {
		old := m.configReadAt.Load()
		if int64(started) <= old || m.configReadAt.CompareAndSwap(old, int64(started)) {
			return
		}
	}
}

// ConfigAge returns how long ago the configuration was known to be the newest, and
// false if it never was.
func (m *Mirror) ConfigAge(now time.Duration) (time.Duration, bool) {
	stamp := m.configReadAt.Load()
	if stamp < 0 || m.view.Load().Config == nil {
		return 0, false
	}
	return now - time.Duration(stamp), true
}

// SetConfig takes a configuration. One that is not newer is ignored, so that a
// host never goes back. It reports whether the configuration was taken.
func (m *Mirror) SetConfig(c *site.Config) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := *m.view.Load()
	if v.Config != nil && c.Version <= v.Config.Version {
		return false
	}
	v.Config = c
	m.view.Store(&v)
	return true
}

// SetWeights takes the version named for a model, unless a newer one is known.
// It reports whether the version was taken.
func (m *Mirror) SetWeights(model string, version int, now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := *m.view.Load()
	if version <= v.NewestWeights(model) {
		return false
	}
	v.Weights = maps.Clone(v.Weights)
	named := append(slices.Clone(v.Weights[model]), WeightsVersion{Version: version, LearntAt: now})
	v.Weights[model] = named[max(0, len(named)-maxVersions):]
	m.view.Store(&v)
	return true
}

// SetEndpoints replaces the list of endpoints.
func (m *Mirror) SetEndpoints(all map[string]*site.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := *m.view.Load()
	v.Endpoints = all
	v.ByService = byService(all)
	v.EndpointsRead = true
	m.view.Store(&v)
}

// byService groups the endpoints that take requests. Of two incarnations at one
// address only the younger can be alive.
func byService(all map[string]*site.Endpoint) map[string][]*site.Endpoint {
	youngest := make(map[string]*site.Endpoint, len(all))
	for _, e := range all {
		address := e.Address.String()
		if other, ok := youngest[address]; !ok || e.Started.After(other.Started) {
			youngest[address] = e
		}
	}
	out := make(map[string][]*site.Endpoint)
	for _, e := range youngest {
		if !e.Draining {
			out[e.Service] = append(out[e.Service], e)
		}
	}
	for _, list := range out {
		// All hosts see the endpoints in the same order.
		slices.SortFunc(list, func(a, b *site.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}
