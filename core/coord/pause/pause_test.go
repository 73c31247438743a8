package pause_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/pause"
)

func TestAPauseBeginsAndEnds(t *testing.T) {
	is := is.New(t)
	table := pause.New()
	table.Plan("e", pause.Span{From: 10, Until: 20})
	is.True(!table.Paused("e", 9))
	is.True(table.Paused("e", 10))
	is.True(!table.Paused("e", 20))
	is.Equal(len(table.Current(19)), 1)
	is.Equal(len(table.Current(20)), 0)
}

func TestLoadedWeightsAreKnownAfterThePause(t *testing.T) {
	is := is.New(t)
	table := pause.New()
	table.Plan("e", pause.Span{From: 10, Until: 20, Weights: 3})
	is.Equal(table.LoadedWeights("e", 19), 0)
	is.Equal(table.LoadedWeights("e", 20), 3)
	is.Equal(table.LoadedWeights("other", 20), 0)
	table.Current(time.Minute) // past retention, the endpoint list contains the weights
	is.Equal(table.LoadedWeights("e", time.Minute), 0)
}

// Hubs relay a pause to each other repeatedly. If each message replaced the pause,
// it would shift by each message's transfer time and never end.
func TestAPauseIsNotExtendedByRelays(t *testing.T) {
	is := is.New(t)
	a, b := pause.New(), pause.New()
	a.Plan("e", pause.Span{From: 100, Until: 400})
	const delay = 5
	for now := time.Duration(0); now < 1000; now += 50 {
		for id, s := range a.Current(now) {
			b.Receive(id, pause.Span{From: s.From + delay, Until: s.Until + delay}, now)
		}
		for id, s := range b.Current(now) {
			a.Receive(id, pause.Span{From: s.From + delay, Until: s.Until + delay}, now)
		}
	}
	is.Equal(len(a.Current(1000)), 0)
	is.Equal(len(b.Current(1000)), 0)
}
