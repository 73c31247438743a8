package admit

import (
	"math"
	"sync"
	"time"

	"cicadastand.dev/core/state/fleet"
)

// FirstTokenLatency estimates, for each rank, the time from the admission of a
// request to its first token. It is safe for concurrent use.
type FirstTokenLatency struct {
	mu     sync.Mutex
	values rankPair[ewma]
}

// ewma is an exponentially weighted moving average and mean deviation, in seconds.
type ewma struct{ mean, deviation float64 }

const (
	// latencyWeight is the weight of a new sample.
	latencyWeight = 0.05
	// usualDeviations is how many mean deviations above the average a request is
	// expected to take at most.
	usualDeviations = 2
	// minWaitShare is the fraction of the target that a request may always wait.
	minWaitShare = 0.25
)

// Add records the time from the admission of a request to its first token.
func (l *FirstTokenLatency) Add(rank fleet.Rank, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.values.of(rank)
	diff := d.Seconds() - v.mean
	v.mean += latencyWeight * diff
	v.deviation += latencyWeight * (math.Abs(diff) - v.deviation)
}

// MaxWaitWithoutBacklog returns how long a request may wait for admission if its
// account has no other request in the queue. Such a request can be given more
// time, since in a fair queue it delays other accounts by one request at most.
func MaxWaitWithoutBacklog(target time.Duration) time.Duration { return target / 2 }

// MaxWait returns how long a request may wait for admission and still be expected
// to have its first token within the target.
func (l *FirstTokenLatency) MaxWait(rank fleet.Rank, target time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.values.of(rank)
	usual := time.Duration((v.mean + usualDeviations*v.deviation) * float64(time.Second))
	return max(target-usual, time.Duration(minWaitShare*float64(target)))
}
