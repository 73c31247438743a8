// Package shed implements load shedding: it decides which requests are rejected
// before they are sent to an engine.
//
// It protects urgent requests during bursts of low-priority ones. A request that
// waits at an engine until it times out takes the place of one that could have been
// served in time, and its client learns of the failure only then. So a request whose
// first token can't come in time is rejected at once, with a retry time at which the
// queue will be shorter. Jitter on that time keeps clients from retrying all at once.
//
// When endpoints crash or hosts are restarted in a burst, clients resume their streams by the
// hundred, while queues are long. These are rejected only if they would time out: their first
// events are lost work otherwise, and no later request makes up for them.
package shed

import "time"

const (
	// busyQueueLength is the number of waiting requests per engine from which on
	// requests are rejected for missing their target. Below it there is capacity, and
	// a large prompt is served however long it takes. On large sites without a burst,
	// two to three requests wait per engine, including the one in prefill.
	busyQueueLength = 4.0
	// maxTargetShare is the fraction of the target that the time to the first token may
	// be expected to take. It is below 1 since more urgent requests that arrive later
	// are served first, and since a short queue leaves the engine's memory to cached
	// prefixes.
	maxTargetShare = 0.55
	// retryAfterShare is the minimum retry time of a request that can no longer meet its
	// target, as a fraction of its remaining time. maxRetryAfterShare is the maximum that
	// clients accept, jitter included, as a fraction of the same.
	retryAfterShare    = 0.15
	maxRetryAfterShare = 1.0 / 3
	// minRetryAfter is the minimum retry time, and maxRetryAfter the maximum without
	// jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// jitterShare is the maximum jitter as a fraction of the retry time.
	jitterShare = 0.5
)

// Request describes a request and its expected latency.
type Request struct {
	// Waiting is the average number of waiting requests per engine.
	Waiting float64
	// ExpectedFirstToken is the expected time to the first token at the best engine.
	// ExpectedWait is the part of it until the engine starts the prefill.
	ExpectedFirstToken time.Duration
	ExpectedWait       time.Duration
	// Elapsed is the time since the request was received.
	Elapsed time.Duration
	// Target is the target for the time to the first token, or 0 if none is set.
	Target time.Duration
	// Remaining is the time until the request's deadline, which the client or the route's
	// time-out sets.
	Remaining time.Duration
	// Started is set if a part of the response was already sent to the client.
	Started bool
	// Resumed is set if the client has received the first events from an earlier request.
	// The target was for the first of these.
	Resumed bool
	// Jitter is a number from 0 to 1 that differs among requests.
	Jitter float64
}

// Decide reports whether a request is sent to an engine. If it is rejected,
// retryAfter is the time after which the client should retry.
func Decide(r Request) (send bool, retryAfter time.Duration) {
	if r.Started {
		return true, 0
	}
	overrun := r.ExpectedFirstToken - r.Remaining
	if r.Target > 0 && !r.Resumed && r.Waiting >= busyQueueLength {
		overrun = max(overrun, r.ExpectedFirstToken+r.Elapsed-share(maxTargetShare, r.Target))
	}
	if overrun <= 0 {
		return true, 0
	}
	// After a wait of overrun, the queue is short enough. A request that would miss its
	// target even then, counted from its arrival, need not retry that soon.
	wait := overrun
	if r.Elapsed+overrun+r.ExpectedFirstToken-r.ExpectedWait > r.Target {
		wait = max(wait, share(retryAfterShare, r.Remaining))
	}
	wait = min(wait, maxRetryAfter, share(maxRetryAfterShare/(1+jitterShare), r.Remaining))
	return false, max(minRetryAfter, share(1+jitterShare*r.Jitter, wait))
}

// MaxHold returns how long a request for which no engine has memory may still wait in the
// host: it must be able to meet its target afterwards, and half of its remaining time is kept
// for the engine and for a retry.
func MaxHold(r Request) time.Duration {
	target := r.Target
	switch {
	case target <= 0:
		target = r.Elapsed + r.Remaining
	case r.Waiting >= busyQueueLength:
		target = share(maxTargetShare, target)
	}
	return min(target-r.Elapsed-r.ExpectedFirstToken, r.Remaining/2-r.ExpectedFirstToken)
}

// RetryForRoom returns the retry time of a request that is rejected because no engine has
// memory for it. room is the expected time until one has. Clients that are rejected together
// don't come back together, since the jitter is as long as that time.
func RetryForRoom(r Request, room time.Duration) time.Duration {
	wait := min(max(minRetryAfter, room+r.ExpectedWait), maxRetryAfter)
	return max(minRetryAfter, min(share(1+r.Jitter, wait), share(maxRetryAfterShare, r.Remaining)))
}

func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }
