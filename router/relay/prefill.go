package relay

import (
	"sync"
	"time"
)

const (
	// initialRate is the reading speed assumed of an endpoint not yet observed, in tokens a second.
	initialRate = 80_000
	// rateSmoothing is the weight of one observation.
	rateSmoothing = 0.1
	// minPrefillTokens is the prompt below which a first token says little of the speed.
	minPrefillTokens = 1000
	// firstTokenOverhead is the part of the time to the first token that is not reading.
	firstTokenOverhead = 15 * time.Millisecond
	// minRate and maxRate keep a single odd observation from shutting an endpoint out.
	minRate = 10_000
	maxRate = 200_000
)

// speed learns how fast each endpoint reads prompts. It is safe for concurrent use.
type prefillRates struct {
	mu    sync.Mutex
	rates map[string]float64
}

func newPrefillRates() *prefillRates { return &prefillRates{rates: make(map[string]float64)} }

// rate returns an endpoint's speed in tokens a second.
func (s *prefillRates) rate(endpoint string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rates[endpoint]; ok {
		return r
	}
	return initialRate
}

// observe takes the time to a first token, before which a number of prompt tokens
// had to be read: the prompt's own and those of what was ahead of it.
func (s *prefillRates) observe(endpoint string, tokens int, took time.Duration) {
	took -= firstTokenOverhead
	if tokens < minPrefillTokens || took <= 0 {
		return
	}
	observed := max(minRate, min(maxRate, float64(tokens)/took.Seconds()))
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rates[endpoint]
	if !ok {
		r = initialRate
	}
	s.rates[endpoint] = r + rateSmoothing*(observed-r)
}
