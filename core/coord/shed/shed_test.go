package shed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/shed"
)

const target = 1200 * time.Millisecond

func TestALargePromptIsServedWhereThereIsRoom(t *testing.T) {
	is := is.New(t)
	d := shed.Request{ExpectedFirstToken: 3 * target, Target: target, Remaining: 5 * target, Waiting: 3.9}
	send, _ := shed.Decide(d)
	is.True(send)
	d.Waiting = 4
	send, retryAfter := shed.Decide(d)
	is.True(!send)
	is.True(retryAfter >= 100*time.Millisecond && retryAfter <= 2*time.Second)
}

func TestWhatCantEndInTimeIsRefusedEvenWhereThereIsRoom(t *testing.T) {
	is := is.New(t)
	send, _ := shed.Decide(shed.Request{ExpectedFirstToken: 2 * time.Second, Target: time.Minute, Remaining: time.Second})
	is.True(!send)
	send, _ = shed.Decide(shed.Request{ExpectedFirstToken: 2 * time.Second, Target: time.Minute, Remaining: time.Second, Started: true})
	is.True(send) // what has begun is brought to its end
}

func TestClientsDontComeBackTogether(t *testing.T) {
	is := is.New(t)
	first := shed.Request{ExpectedFirstToken: 2 * target, ExpectedWait: 2 * target, Target: target, Remaining: 2 * target, Waiting: 5}
	last := first
	last.Jitter = 0.99
	_, soon := shed.Decide(first)
	_, later := shed.Decide(last)
	is.True(later > soon+soon/4)
}

func TestWhatIsLateAnywayComesBackWhenTheQueueIsGone(t *testing.T) {
	is := is.New(t)
	d := shed.Request{ExpectedFirstToken: target, ExpectedWait: target, Target: target, Remaining: 9 * target, Waiting: 5}
	_, soon := shed.Decide(d)
	d.Elapsed = target
	_, later := shed.Decide(d)
	is.True(soon < target)
	is.True(later >= target)
	is.True(later <= 3*target) // clients wait no longer than a third of their time
}

// Load pattern: 2.5 times the least urgent work for six seconds on engines that
// read 900 requests a second of the 1,200 that come. With the decision, what is
// served is in time, and nobody waits for nothing; without it the queue grows
// until every request is late.
func TestABurstIsServedInTimeOrRefusedAtOnce(t *testing.T) {
	const (
		rate    = 900.0  // requests read in a second
		arrival = 1200.0 // requests that come in a second
		engines = 9
		step    = time.Second / arrival
	)
	simulate := func(decide bool) (inTime, late, refused int) {
		queue := 0.0 // requests that wait
		for now := time.Duration(0); now < 6*time.Second; now += step {
			queue = max(0, queue-rate*step.Seconds())
			expected := time.Duration(queue / rate * float64(time.Second))
			send := true
			if decide {
				send, _ = shed.Decide(shed.Request{ExpectedFirstToken: expected, ExpectedWait: expected, Target: target, Remaining: 2 * target, Waiting: queue / engines})
			}
			switch {
			case !send:
				refused++
				continue
			case expected <= target:
				inTime++
			default:
				late++
			}
			queue++
		}
		return inTime, late, refused
	}
	is := is.New(t)
	inTime, late, refused := simulate(true)
	is.Equal(late, 0)
	is.True(inTime > int(rate*5))
	is.True(refused > 0)
	without, lateWithout, _ := simulate(false)
	is.True(without < inTime && lateWithout > 1000)
}
