// Package speed learns how fast each endpoint is, and how many requests it handles well.
//
// The load pattern is a service whose endpoints differ in speed, or of which one slows down
// before its slots are full, while each of many hosts sends it a request only every few
// seconds. So hosts pool their observations: each sends its own sums, and hubs add them up.
// An observation is the speed that a response time shows, relative to the mean that the
// host observes at the service. Observations fade within seconds, so a change is followed
// and an error heals. They belong to one incarnation of the endpoint, so a restarted one
// begins at the mean.
//
// Endpoints are compared at the same fill of their slots: a busy endpoint is not taken for a
// slow one. While they agree within noise, all count as equal.
package speed

import (
	"math"
	"sync"
	"time"

	"cicadastand.dev/core/coord/load"
)

const (
	// initialRate is the prefill rate assumed before there is any observation, in tokens
	// per second.
	initialRate = 80_000
	// ownSmoothing is the weight of one observation in the rate of an engine at this host.
	ownSmoothing = 0.1
	// serviceSmoothing is the weight of one observation in the averages of a service.
	serviceSmoothing = 0.02
	// minPrefillTokens is the number of tokens below which the time to the first token
	// says little about the prefill rate.
	minPrefillTokens = 1000
	// firstTokenOverhead is the part of the time to the first token that is not prefill.
	firstTokenOverhead = 15 * time.Millisecond
	// minRate and maxRate limit an observed prefill rate, so that a single outlier does not
	// keep requests away from an endpoint.
	minRate = 10_000
	maxRate = 200_000
	// minServiceObservations is the number of observations of a service before its mean is
	// used as a reference.
	minServiceObservations = 10
	// trim bounds how far an observation counts from the endpoint's mean, as a logarithm:
	// preempted requests take ten times as long and more.
	trim = 1.4
	// fullWeightTime is the expected prefill time from which an observation has the weight 1.
	// The time of a short prompt is mostly noise from queued tokens that are known late.
	fullWeightTime    = 100 * time.Millisecond
	minObservedWeight = 0.1
	// initialNoise is the assumed variance of an observation of weight 1, and noiseSmoothing
	// the weight of one observation in its average.
	initialNoise   = 0.25
	noiseSmoothing = 0.01
)

// Incarnation identifies one start of an endpoint.
type Incarnation struct {
	Endpoint string
	// StartedMs is the start time in milliseconds since the Unix epoch.
	StartedMs int64
}

// Endpoint is an endpoint of a service.
type Endpoint struct {
	Incarnation
	Slots int
}

// Estimate is what is known of an endpoint's capacity.
type Estimate struct {
	// Relative is the speed relative to the mean of the service; 1 if it does not differ.
	Relative float64
	// Comfortable is the number of requests in progress up to which the endpoint keeps its
	// response times; 0 if that is the number of its slots.
	Comfortable int
}

// Sample is one observed response.
type Sample struct {
	Service  string
	Endpoint Endpoint
	// InProgress is the number of requests at the endpoint, this one included.
	InProgress int
	// Took is the time to the first token or to the response's header.
	Took time.Duration
}

// Config configures a Table.
type Config struct {
	// Disabled makes all endpoints of a service count as equal.
	Disabled bool
}

// Table holds this host's observations and those of its peers. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg      Config
	mu       sync.Mutex
	own      map[Incarnation]*sums
	peers    map[string]*peer
	services map[string]*service
	// rates has the prefill rates of the engines that this host has observed itself.
	rates map[Incarnation]float64
	// known has the estimates of the listed endpoints of all services.
	known map[Incarnation]*estimate
	sent  map[string]*sentTo
	// lastPooled is nil before the first use.
	lastPooled *pooled
}

// peer has the observations that a peer has sent.
type peer struct {
	scope load.Scope
	sums  map[Incarnation]*received
}

type received struct {
	sums
	at time.Duration
}

// service has the averages of a service as this host observes them.
type service struct {
	// rate is the mean rate, in tokens per second for engines, and logRate the mean of its
	// logarithm.
	rate         float64
	logRate      float64
	observations int
	// noise is the variance of an observation of weight 1.
	noise float64
	verdict
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:      cfg,
		own:      make(map[Incarnation]*sums),
		peers:    make(map[string]*peer),
		services: make(map[string]*service),
		rates:    make(map[Incarnation]float64),
		known:    make(map[Incarnation]*estimate),
		sent:     make(map[string]*sentTo),
	}
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{rate: initialRate, noise: initialNoise}
		t.services[name] = s
	}
	return s
}

// add updates the averages. The first observations count equally.
func (s *service) add(rate float64) {
	if s.observations == 0 {
		s.rate, s.logRate = rate, math.Log(rate)
	}
	s.observations++
	weight := max(serviceSmoothing, 1/float64(s.observations))
	s.rate += weight * (rate - s.rate)
	s.logRate += weight * (math.Log(rate) - s.logRate)
}

// ObservePrefill records the time to a first token. tokens is the number of tokens in prefill
// before it: those of the prompt and those queued ahead of it. compare is false if the time
// has parts that say nothing of the endpoint, such as a fetch of cached parts.
func (t *Table) ObservePrefill(o Sample, tokens int, compare bool, now time.Duration) {
	took := o.Took - firstTokenOverhead
	if tokens < minPrefillTokens || took <= 0 {
		return
	}
	rate := max(minRate, min(maxRate, float64(tokens)/took.Seconds()))
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(o.Service)
	s.add(rate)
	own, known := t.rates[o.Endpoint.Incarnation]
	if !known {
		own = s.rate * t.estimate(o.Endpoint.Incarnation).Relative
	}
	t.rates[o.Endpoint.Incarnation] = own + ownSmoothing*(rate-own)
	if !compare {
		return
	}
	expected := float64(tokens) / s.rate
	t.observe(s, o, rate, min(1, max(minObservedWeight, expected/fullWeightTime.Seconds())), now)
}

// ObserveCall records the time to the response of a service without a model. Times are
// expected to grow in proportion to the requests in progress beyond the slots.
func (t *Table) ObserveCall(o Sample, now time.Duration) {
	if o.Took <= 0 {
		return
	}
	rate := max(1, float64(o.InProgress)/float64(max(1, o.Endpoint.Slots))) / o.Took.Seconds()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(o.Service)
	s.add(rate)
	t.observe(s, o, rate, 1, now)
}

func (t *Table) observe(s *service, o Sample, rate, weight float64, now time.Duration) {
	if t.cfg.Disabled || s.observations < minServiceObservations {
		return
	}
	value, mean := math.Log(rate)-s.logRate, 0.0
	if e := t.known[o.Endpoint.Incarnation]; e != nil {
		mean = e.mean
	}
	value = max(mean-trim, min(mean+trim, value))
	s.noise += max(noiseSmoothing, 1/float64(s.observations)) * (weight*(value-mean)*(value-mean) - s.noise)
	own := t.own[o.Endpoint.Incarnation]
	if own == nil {
		own = &sums{at: now}
		t.own[o.Endpoint.Incarnation] = own
	}
	own.decayTo(now)
	bin := binOf(o.InProgress, o.Endpoint.Slots)
	own.weight[bin] += weight
	own.value[bin] += weight * value
	own.newest = now
}

// PrefillRate returns the prefill rate of an endpoint of a service in tokens per second. What
// this host has observed there itself goes before what it knows from others: its own times
// include the queues and fetches of its own requests.
func (t *Table) PrefillRate(name string, e Incarnation) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if own, ok := t.rates[e]; ok {
		return own
	}
	rate := float64(initialRate)
	if s := t.services[name]; s != nil && s.observations > 0 {
		rate = s.rate
	}
	return rate * t.estimate(e).Relative
}

// Estimate returns what is known of an endpoint.
func (t *Table) Estimate(e Incarnation) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate(e)
}

func (t *Table) estimate(e Incarnation) Estimate {
	if known := t.known[e]; known != nil {
		return Estimate{Relative: math.Exp(known.log), Comfortable: known.comfortable()}
	}
	return Estimate{Relative: 1}
}
