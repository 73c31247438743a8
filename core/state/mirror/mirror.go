// Package mirror holds this host's copy of the configuration, endpoint list and
// model weights versions in the platform's store.
//
// Times are taken from a clock that keeps counting while the host is suspended.
// A read proves what was the newest state when it started, but the state may have
// changed before it ended. Ages therefore count from the start of a read.
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

// View is a snapshot of the mirrored state. It is immutable.
type View struct {
	// Config is nil until a configuration has been read.
	Config *site.Config
	// Endpoints holds the endpoints by the ID of their incarnation.
	Endpoints map[string]*site.Endpoint
	// ByService lists the endpoints that accept requests, by service.
	ByService map[string][]*site.Endpoint
	// Weights lists the weights versions published for each model, oldest first.
	Weights map[string][]WeightsVersion
	// EndpointsRead is set once the endpoint list has been read.
	EndpointsRead bool
}

// WeightsVersion is a version of a model's weights and the earliest time at which a host is
// known to have learnt of it. A host that was suspended or restarted learns of a version
// long after its publication.
type WeightsVersion struct {
	Version  int
	LearntAt time.Duration
	// Assumed is set while no host has told when it learnt of the version.
	Assumed bool
}

// NewestWeights returns the newest weights version of a model, or 0 if none is known.
func (v *View) NewestWeights(model string) int {
	if n := len(v.Weights[model]); n > 0 {
		return v.Weights[model][n-1].Version
	}
	return 0
}

// ReplacedAt returns when the first version newer than the given one was learnt of, and
// false if there is none.
func (v *View) ReplacedAt(model string, version int) (time.Duration, bool) {
	for _, w := range v.Weights[model] {
		if w.Version > version {
			return w.LearntAt, true
		}
	}
	return 0, false
}

// maxVersions bounds the weights versions stored per model. A version older than
// all stored ones counts as replaced at the time of the oldest stored one.
const maxVersions = 32

// Mirror holds the current view and updates it. It is safe for concurrent use.
//
// Lock order: Mirror.mu is a leaf.
type Mirror struct {
	mu sync.Mutex
	// leaving holds when the incarnations started that said that they are draining.
	leaving map[string]time.Time
	view    atomic.Pointer[View]
	// configRead and endpointsRead are the starts of the newest reads that found the
	// configuration and the endpoint list to be current.
	configRead    readTime
	endpointsRead readTime
}

// readTime is the start of the newest read; negative before the first one.
type readTime struct{ at atomic.Int64 }

func (r *readTime) mark(started time.Duration) {
	for {
		old := r.at.Load()
		if int64(started) <= old || r.at.CompareAndSwap(old, int64(started)) {
			return
		}
	}
}

func (r *readTime) get() (time.Duration, bool) {
	at := r.at.Load()
	return time.Duration(at), at >= 0
}

// New returns an empty mirror.
func New() *Mirror {
	m := &Mirror{leaving: make(map[string]time.Time)}
	m.view.Store(&View{Endpoints: map[string]*site.Endpoint{}, ByService: map[string][]*site.Endpoint{}, Weights: map[string][]WeightsVersion{}})
	m.configRead.at.Store(-1)
	m.endpointsRead.at.Store(-1)
	return m
}

// View returns the current view.
func (m *Mirror) View() *View { return m.view.Load() }

// MarkConfigCurrent records that a read which began at started found the mirrored
// configuration to be the newest.
func (m *Mirror) MarkConfigCurrent(started time.Duration) { m.configRead.mark(started) }

// MarkEndpointsCurrent is like MarkConfigCurrent for the endpoint list.
func (m *Mirror) MarkEndpointsCurrent(started time.Duration) { m.endpointsRead.mark(started) }

// EndpointsReadAt returns the start of the newest read that the endpoint list is known to
// agree with, and false if there is none.
func (m *Mirror) EndpointsReadAt() (time.Duration, bool) { return m.endpointsRead.get() }

// ConfigAge returns the time since the configuration was last known to be the
// newest, and false if it never was.
func (m *Mirror) ConfigAge(now time.Duration) (time.Duration, bool) {
	readAt, ok := m.configRead.get()
	if !ok || m.view.Load().Config == nil {
		return 0, false
	}
	return now - readAt, true
}

// SetConfig installs a configuration and reports whether it did. A configuration
// that is not newer is ignored, so the version never decreases.
func (m *Mirror) SetConfig(c *site.Config) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := *m.view.Load()
	if v.Config != nil && c.Version <= v.Config.Version {
		return false
	}
	v.Config = c
	v.ByService = m.byService(v.Endpoints, c)
	m.view.Store(&v)
	return true
}

// SetWeights adds a weights version of a model, which a host has learnt of at a time, and
// reports whether it is the newest one and was not known. Of the times given for one version
// the earliest is kept. A host may learn of a version after it has learnt of its successor.
func (m *Mirror) SetWeights(model string, version int, learntAt time.Duration) bool {
	return m.addWeights(model, WeightsVersion{Version: version, LearntAt: learntAt})
}

// AssumeWeights is like SetWeights for a version whose age is not known. The time is used
// until SetWeights gives one.
func (m *Mirror) AssumeWeights(model string, version int, learntAt time.Duration) bool {
	return m.addWeights(model, WeightsVersion{Version: version, LearntAt: learntAt, Assumed: true})
}

func (m *Mirror) addWeights(model string, w WeightsVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := *m.view.Load()
	versions := slices.Clone(v.Weights[model])
	at, known := slices.BinarySearchFunc(versions, w, func(a, b WeightsVersion) int { return cmp.Compare(a.Version, b.Version) })
	switch {
	case !known:
		versions = slices.Insert(versions, at, w)
	case !w.Assumed && (versions[at].Assumed || versions[at].LearntAt > w.LearntAt):
		versions[at] = w
	default:
		return false
	}
	isNewest := at == len(versions)-1
	v.Weights = maps.Clone(v.Weights)
	v.Weights[model] = versions[max(0, len(versions)-maxVersions):]
	m.view.Store(&v)
	return isNewest && !known
}

// SetEndpoints replaces the endpoint list.
func (m *Mirror) SetEndpoints(all map[string]*site.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := *m.view.Load()
	v.Endpoints = all
	v.ByService = m.byService(all, v.Config)
	v.EndpointsRead = true
	m.view.Store(&v)
}

// maxLeaving bounds the endpoints that are remembered as leaving. Entries of those that are
// gone may come back late, so they are not forgotten with their entry.
const maxLeaving = 4096

// MarkLeaving records that an incarnation of an endpoint has said that it is draining, and
// reports whether that was not known. It holds whatever its entry says, until the endpoint
// starts again.
func (m *Mirror) MarkLeaving(endpoint string, started time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, ok := m.leaving[endpoint]; ok && !started.After(at) {
		return false
	}
	v := *m.view.Load()
	if len(m.leaving) >= maxLeaving {
		maps.DeleteFunc(m.leaving, func(id string, _ time.Time) bool { return v.Endpoints[id] == nil })
	}
	m.leaving[endpoint] = started
	known := v.Endpoints[endpoint]
	v.ByService = m.byService(v.Endpoints, v.Config)
	m.view.Store(&v)
	return known == nil || !known.Draining
}

// isDraining reports whether an endpoint drains by its entry or by what it has said; the
// caller holds the lock.
func (m *Mirror) isDraining(e *site.Endpoint) bool {
	at, said := m.leaving[e.ID]
	return e.Draining || said && !e.Started.After(at)
}

// byService groups the endpoints that accept requests by service. Of several
// incarnations at one address it uses only the youngest, since the older ones
// can no longer be running. Entries of services that the configuration does not have come
// from other writers, and hide none. The caller holds the lock.
func (m *Mirror) byService(all map[string]*site.Endpoint, config *site.Config) map[string][]*site.Endpoint {
	isConfigured := func(e *site.Endpoint) bool { return config == nil || config.Services[e.Service] != nil }
	youngest := make(map[string]*site.Endpoint, len(all))
	for _, e := range all {
		address := e.Address.String()
		other, ok := youngest[address]
		if !ok || isConfigured(e) && !isConfigured(other) || isConfigured(e) == isConfigured(other) && e.Started.After(other.Started) {
			youngest[address] = e
		}
	}
	out := make(map[string][]*site.Endpoint)
	for _, e := range youngest {
		if !m.isDraining(e) {
			out[e.Service] = append(out[e.Service], e)
		}
	}
	for _, list := range out {
		// Sorted by ID so that all hosts use the same order.
		slices.SortFunc(list, func(a, b *site.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}
