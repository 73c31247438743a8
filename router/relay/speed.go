package relay

import (
	"sync"
	"time"
)

const (
	// initialRate is the reading speed assumed of an endpoint not yet observed, in tokens a second.
	initialRate = 80_000
	// rateWeight is the weight of one observation.
	rateWeight = 0.1
	// minRead is the prompt below which a first token says little of the speed.
	minRead = 1000
	// firstTokenTime is the part of the time to the first token that is not reading.
	firstTokenTime = 15 * time.Millisecond
	// minRate and maxRate keep a single odd observation from shutting an endpoint out.
	minRate = 10_000
	maxRate = 200_000
)

// speed learns how fast each endpoint reads prompts. It is safe for concurrent use.
type speed struct {
	mu sync.Mutex
	by map[string]float64
}

func newSpeed() *speed { return &speed{by: make(map[string]float64)} }

// rate returns an endpoint's speed in tokens a second.
func (s *speed) rate(endpoint string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.by[endpoint]; ok {
		return r
	}
	return initialRate
}

// observe takes the time to a first token, before which a number of prompt tokens
// had to be read: the prompt's own and those of what was ahead of it.
func (s *speed) observe(endpoint string, read int, took time.Duration) {
	took -= firstTokenTime
	if read < minRead || took <= 0 {
		return
	}
	seen := max(minRate, min(maxRate, float64(read)/took.Seconds()))
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.by[endpoint]
	if !ok {
		r = initialRate
	}
	s.by[endpoint] = r + rateWeight*(seen-r)
}
