package eject_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/eject"
)

// Load pattern: an endpoint crashes with many requests on it, stays away for
// seconds, and comes back.
func TestThePauseGrowsWithEachFailedTrial(t *testing.T) {
	is := is.New(t)
	table := eject.New(eject.Config{InitialPause: 100 * time.Millisecond, MaxPause: time.Second})
	now := time.Duration(0)
	trials := 0
	for now < 5*time.Second {
		if !table.Ejected("e", now) {
			trials++
			for range 8 { // those under way together count once
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

func TestARefusalIsAShortPauseAndNoFailure(t *testing.T) {
	is := is.New(t)
	table := eject.New(eject.Config{InitialPause: time.Second, MaxPause: time.Second})
	table.RecordRejection("e", 0, 100)
	is.True(table.Ejected("e", 99))
	is.True(!table.Ejected("e", 100))
	table.Retain(func(string) bool { return false })
	is.True(!table.Ejected("e", 0))
}
