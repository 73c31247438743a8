// Package shed decides which requests are refused before they wait.
//
// It answers a burst of the least urgent work beside urgent work: what waits at
// an engine until its time is excess takes the place of what could have been
// served in time, and its client learns of it only at the end. A request whose
// first token can't come in time is refused at once, with the time at which the
// queue will be shorter, spread so that clients don't come back together.
package shed

import "time"

const (
	// busyQueueLength is the number of waiting requests for each engine from which on
	// lateness counts. Below it there is room, and a large prompt is served however
	// long it takes. On large sites without a burst, two to three wait, the one that
	// is read included.
	busyQueueLength = 4.0
	// maxTargetShare is the part of the target that a request may be expected to take:
	// more urgent requests that come meanwhile go before it, and a short queue
	// leaves the engine's memory to cached prompt parts.
	maxTargetShare = 0.55
	// retryAfterShare is the part of the time left after which a request comes back that
	// can't be in time any more, and maxRetryAfterShare the most that clients accept.
	retryAfterShare    = 0.15
	maxRetryAfterShare = 1.0 / 3
	// minRetryAfter and maxRetryAfter bound the time that clients are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// jitterShare is the part of that time excess which clients are spread.
	jitterShare = 0.5
)

// Request is what is known of a request.
type Request struct {
	// Waiting is how many requests wait for each engine, on average.
	Waiting float64
	// ExpectedFirstToken is the time to the first token at the best engine, and ExpectedWait the part
	// of it until the engine begins with the prompt.
	ExpectedFirstToken time.Duration
	ExpectedWait       time.Duration
	// Elapsed is the time since the request came in.
	Elapsed time.Duration
	// Target is the time in which the first token is wanted; 0 if none is set.
	Target time.Duration
	// Remaining is the time until the client or the route gives up.
	Remaining time.Duration
	// Started is set if a part of the answer is on its way already.
	Started bool
	// Jitter is a number from 0 to 1 that differs among requests.
	Jitter float64
}

// Decide reports whether a request is sent, and if not, when to come back.
func Decide(r Request) (send bool, retryAfter time.Duration) {
	if r.Started {
		return true, 0
	}
	excess := r.ExpectedFirstToken - r.Remaining
	if r.Target > 0 && r.Waiting >= busyQueueLength {
		excess = max(excess, r.ExpectedFirstToken+r.Elapsed-share(maxTargetShare, r.Target))
	}
	if excess <= 0 {
		return true, 0
	}
	wait := excess
	if r.Elapsed+excess+r.ExpectedFirstToken-r.ExpectedWait > r.Target {
		wait = max(wait, share(retryAfterShare, r.Remaining))
	}
	wait = min(wait, maxRetryAfter, share(maxRetryAfterShare/(1+jitterShare), r.Remaining))
	return false, max(minRetryAfter, share(1+jitterShare*r.Jitter, wait))
}

func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }
