package route

import "sync"

const (
	initialHitRate = 0.7
	// minHitRate keeps a preference for the rendezvous owner while caches are empty, so
	// that all hosts choose the same endpoint.
	minHitRate = 0.1
	// sampleWeight is the weight of a new observation in the moving average.
	sampleWeight = 0.02
)

// HitRate estimates the probability that the rendezvous owner of a prefix has cached a
// piece for which this host has no cache information. The estimate is an exponentially
// weighted moving average. It is safe for concurrent use.
type HitRate struct {
	mu    sync.Mutex
	value float64
}

// NewHitRate returns the estimate before the first observation.
func NewHitRate() *HitRate { return &HitRate{value: initialHitRate} }

// Value returns the estimate, between 0 and 1.
func (r *HitRate) Value() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}

// Observe updates the estimate after a request to the owner: of the pieces of its prompt,
// known were expected according to cache information and found were cached.
func (r *HitRate) Observe(pieces int, known float64, found int) {
	unknown := float64(pieces) - known
	if unknown < 1 {
		return
	}
	hitRate := max(0, min(1, (float64(found)-known)/unknown))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = max(minHitRate, r.value+sampleWeight*(hitRate-r.value))
}
