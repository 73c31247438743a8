package admit

import (
	"math"
	"sync"
	"time"

	"cicadastand.dev/core/state/fleet"
)

// FirstTokenLatency learns how long admitted requests of a rank take to their first token. It
// is safe for concurrent use.
type FirstTokenLatency struct {
	mu     sync.Mutex
	values rankPair[ewma]
}

// ewma is a moving mean and deviation, in seconds.
type ewma struct{ mean, deviation float64 }

const (
	latencyWeight = 0.05
	// usualDeviations is how many deviations above the mean count as usual.
	usualDeviations = 2
	// minWaitShare is the part of its target that a request may wait in any case.
	minWaitShare = 0.25
)

// Add takes the time from the admission of a request to its first token.
func (l *FirstTokenLatency) Add(rank fleet.Rank, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.values.of(rank)
	diff := d.Seconds() - v.mean
	v.mean += latencyWeight * diff
	v.deviation += latencyWeight * (math.Abs(diff) - v.deviation)
}

// MaxWaitWithoutBacklog returns how long a request may wait for admission whose account asks for
// little: the line is fair, so it holds up others by one request at most.
func MaxWaitWithoutBacklog(target time.Duration) time.Duration { return target / 2 }

// MaxWait returns how long a request may wait for admission and still have its
// first token by the target.
func (l *FirstTokenLatency) MaxWait(rank fleet.Rank, target time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.values.of(rank)
	usual := time.Duration((v.mean + usualDeviations*v.deviation) * float64(time.Second))
	return max(target-usual, time.Duration(minWaitShare*float64(target)))
}
