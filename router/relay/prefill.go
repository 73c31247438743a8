package relay

import (
	"sync"
	"time"
)

const (
	// initialRate is the prefill rate assumed before there is any observation, in tokens
	// per second.
	initialRate = 80_000
	// rateSmoothing and serviceSmoothing are the weights of one observation in the moving
	// averages of an endpoint and of its service.
	rateSmoothing    = 0.1
	serviceSmoothing = 0.02
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

// prefillRates estimates the prefill rate of each endpoint. The estimate of an endpoint
// without observations is that of its service: a host sends few long prompts to each
// endpoint. It is safe for concurrent use.
type prefillRates struct {
	mu       sync.Mutex
	rates    map[string]float64
	services map[string]*serviceRate
}

// serviceRate is the average prefill rate of the endpoints of a service.
type serviceRate struct {
	rate         float64
	observations int
}

// add updates the average. The first observations count equally.
func (r *serviceRate) add(observed float64) {
	r.observations++
	r.rate += max(serviceSmoothing, 1/float64(r.observations)) * (observed - r.rate)
}

func newPrefillRates() *prefillRates {
	return &prefillRates{rates: make(map[string]float64), services: make(map[string]*serviceRate)}
}

// rate returns the prefill rate of an endpoint of a service in tokens per second.
func (s *prefillRates) rate(service, endpoint string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current(service, endpoint)
}

// current is rate for a caller that holds the lock.
func (s *prefillRates) current(service, endpoint string) float64 {
	if r, ok := s.rates[endpoint]; ok {
		return r
	}
	if r, ok := s.services[service]; ok {
		return r.rate
	}
	return initialRate
}

// observe updates the rate from the time to a first token. tokens is the number of
// tokens in prefill before it: those of the prompt and those queued ahead of it.
func (s *prefillRates) observe(service, endpoint string, tokens int, took time.Duration) {
	took -= firstTokenOverhead
	if tokens < minPrefillTokens || took <= 0 {
		return
	}
	observed := max(minRate, min(maxRate, float64(tokens)/took.Seconds()))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services[service] == nil {
		s.services[service] = &serviceRate{}
	}
	s.services[service].add(observed)
	r := s.current(service, endpoint)
	s.rates[endpoint] = r + rateSmoothing*(observed-r)
}
