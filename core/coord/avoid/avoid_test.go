package avoid_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/avoid"
)

var born = time.UnixMilli(1000)

// In a burst an endpoint asks for a wait, again while it lasts, and requests go on to come.
func TestNothingIsSentDuringAWaitAndLittleAfterIt(t *testing.T) {
	is := is.New(t)
	table := avoid.New()
	table.Record("e", born, 0, 4*time.Second)
	until := table.Record("e", born, time.Second, time.Second) // the later end holds
	is.True(until >= 4*time.Second && until <= 5*time.Second)
	var inFlight []*avoid.Request
	sent := 0
	send := func(now time.Duration) {
		for range 100 {
			if r, ok := table.Begin("e", born, now); ok {
				inFlight = append(inFlight, r)
				sent++
			}
		}
	}
	for now := time.Duration(0); now < until; now += 10 * time.Millisecond {
		send(now)
	}
	is.Equal(sent, 0)
	for _, want := range []int{1, 2, 4, 8, 16} { // requests in flight, once all before are served
		before := sent
		send(until)
		is.Equal(sent-before, want)
		for n, r := range inFlight {
			if n == 0 { // one response a round
				r.Served()
			}
			r.Done()
		}
		inFlight = nil
	}
	send(until)
	is.Equal(len(inFlight), 100) // the wait is over
}

func TestAWaitEndsWithItsIncarnation(t *testing.T) {
	is := is.New(t)
	table := avoid.New()
	table.Record("e", born, 0, time.Hour)
	is.True(!table.MaySend("e", born, time.Minute))
	is.True(table.Left("e", born, time.Minute) >= time.Hour-time.Minute)
	table.Retain(func(string) bool { return false }, time.Minute) // its entry may come back
	is.True(!table.MaySend("e", born, time.Minute))
	is.True(table.MaySend("e", born.Add(time.Second), time.Minute))
	is.True(table.MaySend("other", born, 0))
}
