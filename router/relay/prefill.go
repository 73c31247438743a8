package relay

import (
	"sync"
	"time"
)

const (
	// initialRate is the prefill rate assumed for an endpoint without observations, in
	// tokens per second.
	initialRate = 80_000
	// rateSmoothing is the weight of one observation in the moving average.
	rateSmoothing = 0.1
	// minPrefillTokens is the number of tokens below which the time to the first token
	// says little about the prefill rate.
	minPrefillTokens = 1000
	// firstTokenOverhead is the part of the time to the first token that is not prefill.
	firstTokenOverhead = 15 * time.Millisecond
	// minRate and maxRate limit an observation, so that a single outlier does not keep
	// requests away from an endpoint.
	minRate = 10_000
	maxRate = 200_000
)

// prefillRates estimates the prefill rate of each endpoint. It is safe for
// concurrent use.
type prefillRates struct {
	mu    sync.Mutex
	rates map[string]float64
}

func newPrefillRates() *prefillRates { return &prefillRates{rates: make(map[string]float64)} }

// rate returns an endpoint's prefill rate in tokens per second.
func (s *prefillRates) rate(endpoint string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rates[endpoint]; ok {
		return r
	}
	return initialRate
}

// observe updates the rate from the time to a first token. tokens is the number of
// tokens in prefill before it: those of the prompt and those queued ahead of it.
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
