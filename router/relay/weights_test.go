package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/mirror"
)

// A request may wait in an engine's queue, and the first host learns of a version late. Both
// count towards the bound.
func TestWaitAndLateNewsCountTowardsTheBoundOfOldWeights(t *testing.T) {
	is := is.New(t)
	const grace = 6 * time.Second
	c := clock.NewFake(time.Unix(1000, 0))
	c.Advance(time.Minute)
	m := mirror.New()
	m.SetWeights("m", 1, 0)
	m.SetWeights("m", 2, c.Boot())
	r := &Relay{cfg: Config{Clock: c, OldWeightsGrace: grace}}
	mayStart := func(version int, wait time.Duration) bool { return r.mayStart(m.View(), "m", version, wait) }
	c.Advance(4 * time.Second)
	is.True(mayStart(1, 0))
	is.True(mayStart(1, 1400*time.Millisecond))
	is.True(!mayStart(1, 1500*time.Millisecond)) // it would start 5.5 s after the host learnt of version 2
	is.True(mayStart(2, time.Minute))            // not replaced
	is.True(mayStart(0, time.Minute))            // not known
	c.Advance(1500 * time.Millisecond)
	is.True(!mayStart(1, 0))
}
