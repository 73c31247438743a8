package route

import "sync"

const (
	initialPrior = 0.7
	// minPrior keeps hosts placing alike while nobody holds anything.
	minPrior    = 0.1
	priorWeight = 0.02
)

// Prior is the learnt belief that the owner of a prefix holds a piece of which
// this host knows nothing. It is safe for concurrent use.
type Prior struct {
	mu    sync.Mutex
	value float64
}

// NewPrior returns the belief before anything was observed.
func NewPrior() *Prior { return &Prior{value: initialPrior} }

// Value returns the belief, between 0 and 1.
func (p *Prior) Value() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.value
}

// Learn takes what an owner turned out to hold: of a chain of pieces, known were
// expected by evidence and found were cached.
func (p *Prior) Learn(pieces int, known float64, found int) {
	unknown := float64(pieces) - known
	if unknown < 1 {
		return
	}
	share := max(0, min(1, (float64(found)-known)/unknown))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.value = max(minPrior, p.value+priorWeight*(share-p.value))
}
