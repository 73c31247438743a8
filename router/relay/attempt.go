package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"cicadastand.dev/core/coord/avoid"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/shed"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/router/conns"
)

// rejectionPause is how long an endpoint gets no requests after it rejected one: about
// the time it needs to load weights, or to prefill some queued prompts.
const rejectionPause = 150 * time.Millisecond

// attempt sends the request to one endpoint. If fault is nil, the client has its
// response; otherwise retry reports whether the request can safely be sent again.
func (j *job) attempt(ctx context.Context) (retry bool, fault *rejection) {
	r := j.r
	j.awaitConfirmation(ctx)
	if err := r.cfg.Poison.Check(j.fingerprint, maxCrashes, r.cfg.Clock.Now()); err != nil {
		return false, newRejection(http.StatusServiceUnavailable, 0, "%v", err)
	}
	if fault := j.checkParts(); fault != nil {
		return false, fault
	}
	c, begun, fault := j.begin(ctx)
	if fault != nil {
		return false, fault
	}
	defer begun.Done()
	// An account may have become isolated while the request waited for a permit.
	j.view = r.cfg.Mirror.View()
	timeout := max(time.Millisecond, j.clientDeadline.Sub(r.cfg.Clock.Now()))
	j.sends++
	j.attempts++
	j.endpoint = c.endpoint.ID
	j.tried[c.endpoint.ID] = true
	j.answer = nil
	j.recordPlacement(c, c.weights)
	tracked := r.cfg.Loads.Track(c.endpoint.ID, j.rank(), c.prefillTokens, c.memory)
	defer tracked.Done()
	sent, asked := r.cfg.Clock.Now(), r.cfg.Clock.Boot()
	ctx, stop := j.untilCutOff(ctx)
	defer stop()
	resp, err := r.cfg.Conns.Send(ctx, conns.Target{Incarnation: c.endpoint.ID, Address: c.endpoint.Address}, j.request(c, timeout), j.isResponseTo)
	if !conns.IsErrUnsent(err) {
		j.recordArrival()
	}
	if err != nil {
		return j.sendFailed(ctx, c, err)
	}
	defer resp.Close()
	r.cfg.Reach.RecordReached(j.serviceName, asked)
	decoded := r.cfg.Codec.DecodeResponse(resp.Status, resp.Header)
	j.recordNotice(c.endpoint, resp, decoded, asked)
	return j.receive(ctx, c, resp, decoded, begun, tracked, sent)
}

// recordArrival records that an endpoint has received the request, or may have.
func (j *job) recordArrival() {
	j.arrivals++
	j.unsent = 0
}

// maxChoices is how often an endpoint is chosen while other requests take the place at the
// chosen ones.
const maxChoices = 3

// begin chooses an endpoint to which the request may be sent now.
func (j *job) begin(ctx context.Context) (choice, *avoid.Request, *rejection) {
	for range maxChoices {
		c, fault := j.chooseWithRoom(ctx)
		if fault != nil {
			return choice{}, nil, fault
		}
		j.chosen = c
		if fault := j.checkChoice(c); fault != nil {
			j.returnPermit(c)
			return choice{}, nil, fault
		}
		if begun, ok := j.r.cfg.Avoid.Begin(c.endpoint.ID, c.endpoint.Started, j.r.cfg.Clock.Boot()); ok {
			return c, begun, nil
		}
		j.returnPermit(c)
	}
	return choice{}, nil, j.rejectBusy("endpoints of %s take few requests after their waits", j.serviceName)
}

// checkChoice returns a rejection if the request must not be sent to its endpoint.
func (j *job) checkChoice(c choice) *rejection {
	r := j.r
	// The part may have been rejected while the request waited for room or a permit.
	if fault := j.checkParts(); fault != nil {
		return fault
	}
	if j.isModel() {
		if ok, wait := shed.Decide(j.shedRequest(c)); !ok {
			return newRejection(http.StatusServiceUnavailable, wait, "first token is expected in %d ms, and %.1f requests wait for each engine", c.firstToken.Milliseconds(), c.waiting)
		}
		if !r.mayStart(r.cfg.Mirror.View(), j.params.Model, c.weights, c.firstToken) {
			return r.rejectOldWeights("first token is expected in %d ms, too late for the weights of endpoint %s", c.firstToken.Milliseconds(), c.endpoint.ID)
		}
	}
	// The host may have been suspended since the request was received.
	if j.account != nil && !r.isConfigFresh() {
		return newRejection(http.StatusServiceUnavailable, r.retryAfterStale(), "configuration is too old to accept keys")
	}
	if r.cfg.Clock.Now().After(j.clientDeadline) {
		return errTimeout
	}
	return nil
}

// shedRequest returns the input of the load shedding decision.
func (j *job) shedRequest(c choice) shed.Request {
	now := j.r.cfg.Clock.Now()
	return shed.Request{
		Waiting:            c.waiting,
		ExpectedFirstToken: c.firstToken,
		ExpectedWait:       c.wait,
		Elapsed:            now.Sub(j.start),
		Target:             j.route.TargetLatency,
		Remaining:          j.deadline.Sub(now),
		Started:            j.started,
		Resumed:            j.isResumed(),
		Jitter:             j.jitter(),
	}
}

// isResumed reports whether the client resumes a stream.
func (j *job) isResumed() bool { return j.params.LastEvent > 0 && j.isResumable() }

// jitter returns a number from 0 to 1 that differs between requests.
func (j *job) jitter() float64 { return float64(j.fingerprint[0]) / 256 }

// isResponseTo reports whether a response belongs to the request with an ID. A response
// without an ID is accepted as the first one on a connection.
func (j *job) isResponseTo(h http.Header, id string, reused bool) bool {
	got := j.r.cfg.Codec.ResponseID(h)
	return got == id || got == "" && !reused
}

// request returns the request that is sent to the chosen endpoint.
func (j *job) request(c choice, timeout time.Duration) conns.Request {
	attempt := call.Attempt{
		Incarnation: c.endpoint.ID,
		Timeout:     timeout,
		CacheSalt:   j.cacheSalt(),
		LastEvent:   max(j.lastEvent, j.params.LastEvent),
	}
	if j.account != nil {
		attempt.Account = j.account.Name
	}
	if j.isModel() {
		attempt.HasRank, attempt.Rank = true, j.rank()
		j.setCacheFields(&attempt, c)
	}
	return conns.Request{
		ID:     j.params.ID,
		Method: j.req.Method,
		URI:    j.req.RequestURI,
		Host:   j.req.Host,
		Header: j.r.cfg.Codec.Forward(j.req.Header, attempt),
		Body:   j.body,
		Once:   !j.route.Retryable(),
	}
}

// isModel reports whether the request is for a service that runs models.
func (j *job) isModel() bool { return j.service != nil && j.service.Engine != nil }

// sendFailed handles an attempt that got no response header.
func (j *job) sendFailed(ctx context.Context, c choice, err error) (retry bool, fault *rejection) {
	// What is recorded may end the context.
	ended := context.Cause(ctx)
	cutOff := errors.Is(ended, errCutOff)
	if ended == nil {
		j.recordFailure(c, err)
		j.recordUnreachable(c, err)
	}
	if conns.IsErrUnsent(err) && (ended == nil || cutOff) {
		j.returnPermit(c)
		j.attempts--
		j.unsent++
		return true, newRejection(http.StatusServiceUnavailable, retryAfterBusy, "endpoint %s: %v", c.endpoint.ID, err)
	}
	if cutOff {
		return j.breakForCut(c)
	}
	if ended != nil {
		return false, errTimeout
	}
	j.suspectCrash(c, err)
	return j.recordPossibleCrash(fmt.Sprintf("endpoint %s broke off: %v", c.endpoint.ID, err), err)
}

// breakForCut gives up an attempt since this host was found to be cut off.
func (j *job) breakForCut(c choice) (retry bool, fault *rejection) {
	return true, newRejection(http.StatusBadGateway, 0, "endpoint %s, after event %d: %v", c.endpoint.ID, j.lastEvent, errCutOff)
}

// untilCutOff returns a context that also ends when this host is found to be cut off from the
// service, for requests that can then go through another host.
func (j *job) untilCutOff(ctx context.Context) (context.Context, func()) {
	if !j.route.Retryable() || j.forwardedBy != "" || j.r.cfg.HostCount() < 2 {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := j.r.cfg.Reach.Watch(j.serviceName, func() { cancel(errCutOff) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// recordUnreachable records an endpoint that can't be reached, rather than one that failed.
func (j *job) recordUnreachable(c choice, err error) {
	if conns.IsErrUnsent(err) || errors.Is(err, syscall.ETIMEDOUT) {
		j.r.cfg.Reach.RecordUnreachable(j.serviceName, c.endpoint.ID, j.r.cfg.Clock.Boot())
	}
}

// recordFailure records the failure of an endpoint, which may eject it.
func (j *job) recordFailure(c choice, err error) {
	if j.r.cfg.Ejection.RecordFailure(c.endpoint.ID, j.r.cfg.Clock.Boot()) {
		j.r.cfg.Logger.Warn("endpoint ejected after failures", "id", j.params.ID, "endpoint", c.endpoint.ID, "error", err)
	}
}

// recordPossibleCrash records that an endpoint disconnected or sent an invalid
// response while it may have been running the request. A connection that timed out, err, tells
// of the path to the endpoint and not of the request.
func (j *job) recordPossibleCrash(reason string, err error) (retry bool, fault *rejection) {
	if !errors.Is(err, syscall.ETIMEDOUT) {
		j.r.cfg.Poison.RecordCrash(j.fingerprint, j.r.cfg.Clock.Now())
	}
	return j.route.Retryable(), newRejection(http.StatusBadGateway, 0, "%s", reason)
}

// receive handles an endpoint's response.
func (j *job) receive(ctx context.Context, c choice, resp *conns.Response, decoded call.Response, begun *avoid.Request, tracked *load.Request, sent time.Time) (retry bool, fault *rejection) {
	r := j.r
	if decoded.NotRun || resp.Status == http.StatusMisdirectedRequest {
		j.discardBody(resp)
		if resp.Status == http.StatusMisdirectedRequest && c.valid {
			r.weights.recordMismatch(c.endpoint.ID, c.weights)
		}
		j.attempts--
		r.cfg.Ejection.RecordRejection(c.endpoint.ID, r.cfg.Clock.Boot(), rejectionPause)
		return true, j.rejectBusy("endpoint %s did not run the request: status %d", c.endpoint.ID, resp.Status)
	}
	begun.Served()
	if j.r.cfg.Ejection.RecordSuccess(c.endpoint.ID) {
		j.r.cfg.Logger.Info("endpoint responds again, ejection ended", "id", j.params.ID, "endpoint", c.endpoint.ID)
	}
	if decoded.Weights > c.weights {
		r.weights.recordReported(c.endpoint.ID, decoded.Weights)
		j.recordPlacement(c, decoded.Weights)
	}
	success := resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
	if !decoded.Sealed || resp.Header.Get("Content-Encoding") != "" {
		return j.recordPossibleCrash(fmt.Sprintf("endpoint %s gave an answer without proof, status %d", c.endpoint.ID, resp.Status), nil)
	}
	if success && j.route.Kind == site.Stream {
		return j.stream(ctx, c, resp, tracked, sent)
	}
	if success && !j.isModel() {
		j.observeSpeed(c, sent)
	}
	body, complete, err := j.held.readBody(resp)
	if err != nil {
		if errors.Is(context.Cause(ctx), errCutOff) {
			return j.breakForCut(c)
		}
		if ctx.Err() != nil {
			return false, errTimeout
		}
		j.recordUnreachable(c, err)
		j.suspectCrash(c, err)
		return j.recordPossibleCrash(fmt.Sprintf("endpoint %s cut its answer: %v", c.endpoint.ID, err), err)
	}
	if success && complete {
		j.recordWhole(c, resp)
	}
	full := &response{status: resp.Status, header: resp.Header, body: body, length: int64(len(body))}
	if !complete {
		full.length, full.rest = resp.Length, resp
	}
	if !success && full.rest == nil && j.route.Retryable() && !j.started {
		j.lastResponse = full
		return true, newRejection(http.StatusBadGateway, 0, "endpoint %s failed with %d", c.endpoint.ID, resp.Status)
	}
	if j.started {
		return false, newRejection(http.StatusBadGateway, 0, "endpoint %s answered a resumed stream with %d", c.endpoint.ID, resp.Status)
	}
	j.releaseBody()
	if err := j.writeResponse(full); err != nil {
		j.suspectCrash(c, err)
		j.r.cfg.Poison.RecordCrash(j.fingerprint, j.r.cfg.Clock.Now())
		return false, newRejection(http.StatusBadGateway, 0, "endpoint %s did not complete its answer: %v", c.endpoint.ID, err)
	}
	// A client that left has cut the rest of the answer short.
	if success && !complete && j.reason == "" {
		j.recordWhole(c, resp)
	}
	return false, nil
}

// discardBody reads the body of a short response so that its connection can be
// reused.
func (j *job) discardBody(resp *conns.Response) {
	if err := resp.Drain(); err != nil {
		j.r.cfg.Logger.Debug("failed to read the rest of a rejected attempt's response", "id", j.params.ID, "error", err)
	}
}
