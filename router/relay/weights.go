package relay

import (
	"sync"
	"time"

	"cicadastand.dev/core/state/sight"
	"cicadastand.dev/core/state/site"
)

// weights remembers the versions that engines name in their answers, which are
// newer than the list of endpoints. It is safe for concurrent use.
type weights struct {
	mu sync.Mutex
	by map[string]int
}

func newWeights() *weights { return &weights{by: make(map[string]int)} }

// of returns the version that an engine has, by the newest word of it.
func (w *weights) of(e *site.Endpoint, model string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(e.Weights[model], w.by[e.ID])
}

func (w *weights) answered(endpoint string, version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > w.by[endpoint] {
		w.by[endpoint] = version
	}
}

// Keep forgets the endpoints that are not known any more.
func (r *Relay) Keep(known func(endpoint string) bool) {
	r.weights.mu.Lock()
	defer r.weights.mu.Unlock()
	for id := range r.weights.by {
		if !known(id) {
			delete(r.weights.by, id)
		}
	}
}

// queueMargin is the time that a request may wait at an engine before it begins.
const queueMargin = time.Second

// current returns the endpoints whose weights requests may still begin on; all
// of them if there are none, since late service is better than none.
func (r *Relay) current(list []*site.Endpoint, view *sight.View, model string) []*site.Endpoint {
	now := r.cfg.Clock.Boot()
	var out []*site.Endpoint
	for _, e := range list {
		at, replaced := view.Replaced(model, r.weights.of(e, model))
		if !replaced || now-at < r.cfg.OldWeights-queueMargin {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}
