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
	table := eject.New(eject.Config{First: 100 * time.Millisecond, Longest: time.Second})
	now := time.Duration(0)
	trials := 0
	for now < 5*time.Second {
		if !table.Shunned("e", now) {
			trials++
			for range 8 { // those under way together count once
				table.Failed("e", now)
			}
		}
		now += 10 * time.Millisecond
	}
	is.True(trials <= 9)
	is.True(trials >= 5)
	is.True(table.Succeeded("e"))
	is.True(!table.Succeeded("e"))
	is.True(!table.Shunned("e", now))
}

func TestARefusalIsAShortPauseAndNoFailure(t *testing.T) {
	is := is.New(t)
	table := eject.New(eject.Config{First: time.Second, Longest: time.Second})
	table.Refused("e", 0, 100)
	is.True(table.Shunned("e", 99))
	is.True(!table.Shunned("e", 100))
	table.Keep(func(string) bool { return false })
	is.True(!table.Shunned("e", 0))
}
