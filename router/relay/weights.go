package relay

import (
	"sync"
	"time"

	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

// weights remembers the versions that engines name in their answers, which are
// newer than the list of endpoints. It is safe for concurrent use.
type weights struct {
	mu sync.Mutex
	by map[string]int
	// wrong is a version that an engine turned out not to have.
	wrong map[string]int
}

func newWeights() *weights {
	return &weights{by: make(map[string]int), wrong: make(map[string]int)}
}

// belief is the version that an engine is taken to have.
type belief struct {
	version int
	// firm is false if the engine has refused it, or none is known.
	firm bool
}

// belief returns the version that an engine has by the newest word of it: its
// entry, its answers, or the end of a pause in which it was to load another one.
func (r *Relay) belief(e *site.Endpoint, model string) belief {
	loaded := r.cfg.Pauses.LoadedWeights(e.ID, r.cfg.Clock.Boot())
	w := r.weights
	w.mu.Lock()
	defer w.mu.Unlock()
	version, wrong := max(e.Weights[model], w.by[e.ID]), w.wrong[e.ID]
	if loaded > version && loaded != wrong {
		version = loaded
	}
	return belief{version: version, firm: version > 0 && version != wrong}
}

// refuted notes that an engine does not have a version.
func (w *weights) refuted(endpoint string, version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong[endpoint] = version
}

func (w *weights) answered(endpoint string, version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > w.by[endpoint] {
		w.by[endpoint] = version
	}
}

// Prune forgets the endpoints that are not known any more.
func (r *Relay) Prune(known func(endpoint string) bool) {
	r.weights.mu.Lock()
	defer r.weights.mu.Unlock()
	for id := range r.weights.by {
		if !known(id) {
			delete(r.weights.by, id)
		}
	}
	for id := range r.weights.wrong {
		if !known(id) {
			delete(r.weights.wrong, id)
		}
	}
}

// queueMargin is the time that a request may wait at an engine before it begins.
const queueMargin = time.Second

// current returns the endpoints whose weights requests may still begin on; all
// of them if there are none, since late service is better than none.
func (r *Relay) current(list []*site.Endpoint, view *mirror.View, model string) []*site.Endpoint {
	now := r.cfg.Clock.Boot()
	var out []*site.Endpoint
	for _, e := range list {
		at, replaced := view.ReplacedAt(model, r.belief(e, model).version)
		if !replaced || now-at < r.cfg.OldWeightsGrace-queueMargin {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}
