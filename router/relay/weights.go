package relay

import (
	"sync"
	"time"

	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

// weights remembers the versions that engines name in their answers, which are
// newer than the list of endpoints. It is safe for concurrent use.
type reportedWeights struct {
	mu       sync.Mutex
	reported map[string]int
	// wrong is a version that an engine turned out not to have.
	rejected map[string]int
}

func newReportedWeights() *reportedWeights {
	return &reportedWeights{reported: make(map[string]int), rejected: make(map[string]int)}
}

// belief is the version that an engine is taken to have.
type engineWeights struct {
	version int
	// firm is false if the engine has refused it, or none is known.
	valid bool
}

// belief returns the version that an engine has by the newest word of it: its
// entry, its answers, or the end of a pause in which it was to load another one.
func (r *Relay) weightsOf(e *site.Endpoint, model string) engineWeights {
	loaded := r.cfg.Pauses.LoadedWeights(e.ID, r.cfg.Clock.Boot())
	w := r.weights
	w.mu.Lock()
	defer w.mu.Unlock()
	version, rejected := max(e.Weights[model], w.reported[e.ID]), w.rejected[e.ID]
	if loaded > version && loaded != rejected {
		version = loaded
	}
	return engineWeights{version: version, valid: version > 0 && version != rejected}
}

// refuted notes that an engine does not have a version.
func (w *reportedWeights) recordMismatch(endpoint string, version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rejected[endpoint] = version
}

func (w *reportedWeights) recordReported(endpoint string, version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > w.reported[endpoint] {
		w.reported[endpoint] = version
	}
}

// Prune forgets the endpoints that are not known any more.
func (r *Relay) Prune(known func(endpoint string) bool) {
	r.weights.mu.Lock()
	defer r.weights.mu.Unlock()
	for id := range r.weights.reported {
		if !known(id) {
			delete(r.weights.reported, id)
		}
	}
	for id := range r.weights.rejected {
		if !known(id) {
			delete(r.weights.rejected, id)
		}
	}
}

// queueMargin is the time that a request may wait at an engine before it begins.
const queueMargin = time.Second

// current returns the endpoints whose weights requests may still begin on; all
// of them if there are none, since late service is better than none.
func (r *Relay) withCurrentWeights(list []*site.Endpoint, view *mirror.View, model string) []*site.Endpoint {
	now := r.cfg.Clock.Boot()
	var out []*site.Endpoint
	for _, e := range list {
		at, replaced := view.ReplacedAt(model, r.weightsOf(e, model).version)
		if !replaced || now-at < r.cfg.OldWeightsGrace-queueMargin {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}
