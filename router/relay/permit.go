package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/pace"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/site"
)

const (
	// permitWaitShare is the part of a request's target latency for which a request of the
	// most urgent rank waits for a permit; for each rank below it is that part of the wait
	// above. Permits that urgent requests have reserved are not there for others, so that
	// under shortage urgent requests come first.
	permitWaitShare = 0.25
	// permitWaitStarted is how long a stream that has begun waits for a permit: less than
	// the gap after which clients abandon a stream.
	permitWaitStarted = time.Second
)

// chooseWithin selects an endpoint within the request limits, and takes a permit for it.
// list has the endpoints that should be used, usable all that may be. If all limits in the
// list are reached, the request waits for the next permit for a short time.
func (j *job) chooseWithin(ctx context.Context, list, usable []*site.Endpoint) (choice, *rejection) {
	if c, ok := j.takePermit(ctx, list); ok {
		return c, nil
	}
	c, fault := j.awaitPermit(ctx, list)
	if fault == nil || ctx.Err() != nil {
		return c, fault
	}
	if c, ok := j.takePermit(ctx, usable); ok {
		return c, nil
	}
	j.r.limited.Inc()
	return choice{}, fault
}

// takePermit selects an endpoint whose limit is not reached. It reports false if there is
// none in the list.
func (j *job) takePermit(ctx context.Context, list []*site.Endpoint) (choice, bool) {
	r := j.r
	age := time.Duration(0)
	if j.isShortPrompt() {
		age = pace.SpareAge
	}
	for range maxChoices {
		now := r.cfg.Clock.Boot()
		share := j.demandShare(now)
		mayTake := func(age time.Duration) []*site.Endpoint {
			return lo.Filter(list, func(e *site.Endpoint, _ int) bool { return r.cfg.Pace.MayTake(e.ID, share, now, age) })
		}
		open := mayTake(age)
		if len(open) == 0 && age > 0 {
			open = mayTake(0)
		}
		if len(open) == 0 {
			return choice{}, false
		}
		c := j.chooseFrom(ctx, open)
		if r.cfg.Pace.Take(c.endpoint.ID, share, now) {
			c.permitted = true
			return c, true
		}
	}
	return choice{}, false
}

// awaitPermit reserves the next permit of an endpoint in a list and waits for it.
func (j *job) awaitPermit(ctx context.Context, list []*site.Endpoint) (choice, *rejection) {
	r := j.r
	now := r.cfg.Clock.Boot()
	share := j.demandShare(now)
	wait := func(e *site.Endpoint) time.Duration { return r.cfg.Pace.Wait(e.ID, share, now) }
	next := lo.MinBy(list, func(a, b *site.Endpoint) bool { return wait(a) < wait(b) })
	after, ok := r.cfg.Pace.Reserve(next.ID, share, now, j.permitWait())
	if !ok {
		return choice{}, newRejection(http.StatusServiceUnavailable, after+j.spread(retryAfterBusy), "the request limits of %d endpoints of %s are reached, the next permit is issued in %d ms", len(list), j.serviceName, after.Milliseconds())
	}
	j.permitWaited += after
	if err := clock.Sleep(ctx, r.cfg.Clock, after); err != nil {
		r.cfg.Pace.Return(next.ID, r.cfg.Clock.Boot())
		return choice{}, errTimeout
	}
	c := j.chooseFrom(ctx, []*site.Endpoint{next})
	c.permitted = true
	return c, nil
}

// isShortPrompt reports whether the prompt is shorter than others of the service. A limit
// counts requests whatever their length, so short prompts leave permits to long ones while
// there are endpoints without a limit.
func (j *job) isShortPrompt() bool {
	return j.isModel() && float64(j.params.PromptTokens) < j.r.prompts.mean(j.serviceName)
}

// demandShare returns this host's part of the demand for the service of the request.
func (j *job) demandShare(now time.Duration) float64 {
	return j.r.cfg.Loads.DemandShare(j.serviceName, j.r.cfg.HostCount(), now)
}

// permitWait returns how long the request may wait for a permit.
func (j *job) permitWait() time.Duration {
	now := j.r.cfg.Clock.Now()
	most := j.deadline.Sub(now) / 2
	if j.started {
		return min(most, permitWaitStarted)
	}
	wait := float64(j.route.TargetLatency)
	for range j.rank() + 1 {
		wait *= permitWaitShare
	}
	return min(most, time.Duration(wait))
}

// spread returns a part of a time that differs between requests, so that clients don't come
// back together.
func (j *job) spread(most time.Duration) time.Duration {
	return time.Duration(j.jitter() * float64(most))
}

// returnPermit gives back the permit of a choice to which the request was not sent.
func (j *job) returnPermit(c choice) {
	if c.permitted {
		j.r.cfg.Pace.Return(c.endpoint.ID, j.r.cfg.Clock.Boot())
	}
}
