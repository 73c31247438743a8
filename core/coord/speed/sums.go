package speed

import (
	"math"
	"time"
)

// Bins is the number of ranges by which observations are kept apart: a quarter of the
// endpoint's slots each, and the last one for more requests than slots.
const Bins = 5

// quarter is the number of ranges up to the endpoint's slots.
const quarter = Bins - 1

// span is the time constant with which observations fade. At ten observations a second of
// each endpoint, an estimate rests on about forty, and follows a change within seconds.
const span = 4 * time.Second

// minWeight is the weight below which observations are dropped.
const minWeight = 0.02

// sums holds the weights and the weighted sums of observations in each range, decayed to a
// time. An observation is the logarithm of a speed relative to the service's mean.
type sums struct {
	weight [Bins]float64
	value  [Bins]float64
	at     time.Duration
	// newest is the time of the newest observation.
	newest time.Duration
}

// decayTo lets the observations fade until now.
func (s *sums) decayTo(now time.Duration) {
	if now <= s.at {
		return
	}
	f := math.Exp(-float64(now-s.at) / float64(span))
	for b := range Bins {
		s.weight[b] *= f
		s.value[b] *= f
	}
	s.at = now
}

// add adds observations that have decayed to the same time.
func (s *sums) add(o *sums) {
	for b := range Bins {
		s.weight[b] += o.weight[b]
		s.value[b] += o.value[b]
	}
	s.newest = max(s.newest, o.newest)
}

// subtract is the inverse of add, but for the time of the newest observation.
func (s *sums) subtract(o *sums) {
	for b := range Bins {
		if s.weight[b] -= o.weight[b]; s.weight[b] < minWeight {
			s.weight[b], s.value[b] = 0, 0
			continue
		}
		s.value[b] -= o.value[b]
	}
}

// total returns the weight and the weighted sum over all ranges.
func (s *sums) total() (weight, value float64) {
	for b := range Bins {
		weight += s.weight[b]
		value += s.value[b]
	}
	return weight, value
}

// binOf returns the range of a number of requests in progress, the observed one included.
func binOf(inProgress, slots int) int {
	return min(max(0, inProgress-1)*quarter/max(1, slots), Bins-1)
}

// lastBelow returns the highest number of requests in progress below a range.
func lastBelow(bin, slots int) int { return (bin*slots + quarter - 1) / quarter }
