package route

import "sync"

const (
	initialHitRate = 0.7
	// minHitRate keeps hosts placing alike while nobody holds anything.
	minHitRate   = 0.1
	sampleWeight = 0.02
)

// HitRate is the learnt belief that the owner of a prefix holds a piece of which
// this host knows nothing. It is safe for concurrent use.
type HitRate struct {
	mu    sync.Mutex
	value float64
}

// NewHitRate returns the belief before anything was observed.
func NewHitRate() *HitRate { return &HitRate{value: initialHitRate} }

// Value returns the belief, between 0 and 1.
func (p *HitRate) Value() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.value
}

// Observe takes what an owner turned out to hold: of a chain of pieces, known were
// expected by evidence and found were cached.
func (p *HitRate) Observe(pieces int, known float64, found int) {
	unknown := float64(pieces) - known
	if unknown < 1 {
		return
	}
	share := max(0, min(1, (float64(found)-known)/unknown))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.value = max(minHitRate, p.value+sampleWeight*(share-p.value))
}
