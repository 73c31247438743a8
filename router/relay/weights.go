package relay

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

// reportedWeights holds the weights versions that engines reported in responses,
// which are more recent than the endpoint list. It is safe for concurrent use.
type reportedWeights struct {
	mu       sync.Mutex
	reported map[string]int
	// rejected is the version that an engine turned out not to have loaded.
	rejected map[string]int
}

func newReportedWeights() *reportedWeights {
	return &reportedWeights{reported: make(map[string]int), rejected: make(map[string]int)}
}

// engineWeights is the version that an engine is assumed to have loaded.
type engineWeights struct {
	version int
	// valid is false if no version is known or the engine has rejected this one.
	valid bool
}

// weightsOf returns the newest version that an engine is known to have loaded: from
// its entry in the endpoint list, from its responses, or from the end of a pause in
// which it was to load another version.
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

// recordMismatch records that an engine does not have a version loaded.
func (w *reportedWeights) recordMismatch(endpoint string, version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rejected[endpoint] = version
}

// recordReported records the version that an engine reported in a response.
func (w *reportedWeights) recordReported(endpoint string, version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > w.reported[endpoint] {
		w.reported[endpoint] = version
	}
}

// Prune removes the state of endpoints that are no longer listed.
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

const (
	// queueMargin is the time that a request may spend in an engine's queue before it
	// starts to run.
	queueMargin = time.Second
	// learnMargin is the time from the publication of a version until the first host
	// learns of it.
	learnMargin = 500 * time.Millisecond
)

// mayStart reports whether a request may start after a wait on a version of the weights. A
// version of 0 is not known, and permitted.
func (r *Relay) mayStart(view *mirror.View, model string, version int, wait time.Duration) bool {
	at, replaced := view.ReplacedAt(model, version)
	return version == 0 || !replaced || r.cfg.Clock.Boot()-at+wait < r.cfg.OldWeightsGrace-learnMargin
}

// permitted returns the endpoints on whose weights requests may still start.
func (r *Relay) permitted(list []*site.Endpoint, view *mirror.View, model string) []*site.Endpoint {
	return lo.Filter(list, func(e *site.Endpoint, _ int) bool {
		return r.mayStart(view, model, r.weightsOf(e, model).version, queueMargin)
	})
}
