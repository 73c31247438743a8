package eject_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/eject"
)

// An endpoint crashes with many requests in flight, is unreachable for seconds, and is
// then reachable again.
func TestPauseGrowsWithFailedTrials(t *testing.T) {
	is := is.New(t)
	table := eject.New(eject.Config{InitialPause: 100 * time.Millisecond, MaxPause: time.Second})
	now := time.Duration(0)
	trials := 0
	for now < 5*time.Second {
		if !table.Ejected("e", now) {
			trials++
			for range 8 { // concurrent failures count once
				table.RecordFailure("e", now)
			}
		}
		now += 10 * time.Millisecond
	}
	is.True(trials <= 9)
	is.True(trials >= 5)
	is.True(table.RecordSuccess("e"))
	is.True(!table.RecordSuccess("e"))
	is.True(!table.Ejected("e", now))
}

func TestRejectionPausesWithoutFailure(t *testing.T) {
	is := is.New(t)
	table := eject.New(eject.Config{InitialPause: time.Second, MaxPause: time.Second})
	table.RecordRejection("e", 0, 100)
	is.True(table.Ejected("e", 99))
	is.True(!table.Ejected("e", 100))
	table.Retain(func(string) bool { return false })
	is.True(!table.Ejected("e", 0))
}
