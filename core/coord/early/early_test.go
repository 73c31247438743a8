package early_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/early"
)

const target = 1200 * time.Millisecond

func TestALargePromptIsServedWhereThereIsRoom(t *testing.T) {
	is := is.New(t)
	d := early.Demand{Expected: 3 * target, Target: target, Left: 5 * target, Waiting: 3.9}
	send, _ := early.Decide(d)
	is.True(send)
	d.Waiting = 4
	send, comeBack := early.Decide(d)
	is.True(!send)
	is.True(comeBack >= 100*time.Millisecond && comeBack <= 2*time.Second)
}

func TestWhatCantEndInTimeIsRefusedEvenWhereThereIsRoom(t *testing.T) {
	is := is.New(t)
	send, _ := early.Decide(early.Demand{Expected: 2 * time.Second, Target: time.Minute, Left: time.Second})
	is.True(!send)
	send, _ = early.Decide(early.Demand{Expected: 2 * time.Second, Target: time.Minute, Left: time.Second, Begun: true})
	is.True(send) // what has begun is brought to its end
}

func TestClientsDontComeBackTogether(t *testing.T) {
	is := is.New(t)
	first := early.Demand{Expected: 2 * target, Wait: 2 * target, Target: target, Left: 2 * target, Waiting: 5}
	last := first
	last.Spread = 0.99
	_, soon := early.Decide(first)
	_, later := early.Decide(last)
	is.True(later > soon+soon/4)
}

func TestWhatIsLateAnywayComesBackWhenTheQueueIsGone(t *testing.T) {
	is := is.New(t)
	d := early.Demand{Expected: target, Wait: target, Target: target, Left: 9 * target, Waiting: 5}
	_, soon := early.Decide(d)
	d.Spent = target
	_, later := early.Decide(d)
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
	play := func(decide bool) (inTime, late, refused int) {
		queue := 0.0 // requests that wait
		for now := time.Duration(0); now < 6*time.Second; now += step {
			queue = max(0, queue-rate*step.Seconds())
			expected := time.Duration(queue / rate * float64(time.Second))
			send := true
			if decide {
				send, _ = early.Decide(early.Demand{Expected: expected, Wait: expected, Target: target, Left: 2 * target, Waiting: queue / engines})
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
	inTime, late, refused := play(true)
	is.Equal(late, 0)
	is.True(inTime > int(rate*5))
	is.True(refused > 0)
	without, lateWithout, _ := play(false)
	is.True(without < inTime && lateWithout > 1000)
}
