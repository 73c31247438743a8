// Package early decides which requests are refused before they wait.
//
// It answers a burst of the least urgent work beside urgent work: what waits at
// an engine until its time is over takes the place of what could have been
// served in time, and its client learns of it only at the end. A request whose
// first token can't come in time is refused at once, with the time at which the
// queue will be shorter, spread so that clients don't come back together.
package early

import "time"

const (
	// busyWaiting is the number of waiting requests for each engine from which on
	// lateness counts. Below it there is room, and a large prompt is served however
	// long it takes. On large sites without a burst, two to three wait, the one that
	// is read included.
	busyWaiting = 4.0
	// waitShare is the part of the target that a request may be expected to take:
	// more urgent requests that come meanwhile go before it, and a short queue
	// leaves the engine's memory to cached prompt parts.
	waitShare = 0.55
	// returnShare is the part of the time left after which a request comes back that
	// can't be in time any more, and returnLimit the most that clients accept.
	returnShare = 0.15
	returnLimit = 1.0 / 3
	// minReturn and maxReturn bound the time that clients are told.
	minReturn = 100 * time.Millisecond
	maxReturn = 4 * time.Second
	// spreadShare is the part of that time over which clients are spread.
	spreadShare = 0.5
)

// Demand is what is known of a request.
type Demand struct {
	// Waiting is how many requests wait for each engine, on average.
	Waiting float64
	// Expected is the time to the first token at the best engine, and Wait the part
	// of it until the engine begins with the prompt.
	Expected time.Duration
	Wait     time.Duration
	// Spent is the time since the request came in.
	Spent time.Duration
	// Target is the time in which the first token is wanted; 0 if none is set.
	Target time.Duration
	// Left is the time until the client or the route gives up.
	Left time.Duration
	// Begun is set if a part of the answer is on its way already.
	Begun bool
	// Spread is a number from 0 to 1 that differs among requests.
	Spread float64
}

// Decide reports whether a request is sent, and if not, when to come back.
func Decide(d Demand) (send bool, comeBack time.Duration) {
	if d.Begun {
		return true, 0
	}
	over := d.Expected - d.Left
	if d.Target > 0 && d.Waiting >= busyWaiting {
		over = max(over, d.Expected+d.Spent-share(waitShare, d.Target))
	}
	if over <= 0 {
		return true, 0
	}
	wait := over
	if d.Spent+over+d.Expected-d.Wait > d.Target {
		wait = max(wait, share(returnShare, d.Left))
	}
	wait = min(wait, maxReturn, share(returnLimit/(1+spreadShare), d.Left))
	return false, max(minReturn, share(1+spreadShare*d.Spread, wait))
}

func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }
