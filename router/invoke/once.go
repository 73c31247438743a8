package invoke

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cicadastand.dev/core/coord/claim"
	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/ledger"
)

// callOnce runs a call that is not retryable. It claims the key, and sends the call
// only if it wins the claim. If another attempt has the key, it waits for the
// outcome of that attempt.
func (c *Caller) callOnce(ctx context.Context, req *Request, call claim.Call) (Response, error) {
	for {
		attempt, err := c.cfg.Claims.Begin(ctx, call)
		if err == nil {
			return c.sendClaimed(ctx, req, attempt)
		}
		var done *claim.ErrDone
		if errors.As(err, &done) {
			return recordedResponse(done.Outcome), nil
		}
		if !claim.IsErrHeld(err) {
			return Response{}, claimError(req, err)
		}
		entry, err := c.cfg.Claims.Await(c.withOutcomeWait(ctx), call.ID)
		switch {
		case err == nil && entry.Phase == ledger.PhaseDone:
			return recordedResponse(*entry.Outcome), nil
		case err != nil:
			return c.resolveOutcome(ctx, req, entry)
		}
	}
}

// withOutcomeWait limits the wait for the outcome of another attempt, so that time is
// left to request the outcome from the service.
func (c *Caller) withOutcomeWait(ctx context.Context) context.Context {
	ctx, cancel := clock.WithTimeout(ctx, c.cfg.Clock, outcomeWait)
	context.AfterFunc(ctx, cancel)
	return ctx
}

const (
	// outcomeWait is how long a retry waits for the record of the outcome.
	outcomeWait = 1500 * time.Millisecond
	// sendTimeout limits the time of a call, which continues if its caller disconnects.
	sendTimeout = 30 * time.Second
	// resolveTimeout limits the time of requesting an outcome from the service.
	resolveTimeout = 2 * time.Second
)

// sendClaimed sends the call after its claim has won, and records the outcome.
func (c *Caller) sendClaimed(ctx context.Context, req *Request, attempt *claim.Attempt) (Response, error) {
	log := c.cfg.Logger.With("request", req.ID, "key", req.Key, "attempt", attempt.ID())
	endpoint, ok := c.endpoint(attempt.Endpoint())
	if !ok || ctx.Err() != nil {
		return Response{}, c.abandon(req, attempt, "the deadline has passed, or the endpoint is gone")
	}
	client, err := dialOnce(ctx, c.cfg.Dial, endpoint.Address)
	if err != nil {
		c.cfg.Health.RecordFailure(endpoint.Name, c.cfg.Clock.Now())
		log.Info("endpoint is unreachable", "endpoint", endpoint.Name, "error", err)
		return Response{}, c.abandon(req, attempt, "the endpoint can't be reached")
	}
	defer client.close()
	if !attempt.MarkSending() {
		return Response{}, c.abandon(req, attempt, "the attempt was abandoned")
	}
	// The call continues if its caller disconnects, since its outcome has to be recorded.
	sending, cancel := clock.WithTimeout(context.WithoutCancel(ctx), c.cfg.Clock, sendTimeout)
	defer cancel()
	sent := c.cfg.Clock.Now()
	resp, err := client.send(sending, req, endpoint, attempt.FencingToken())
	if err != nil {
		log.Warn("call failed after it may have been sent, outcome unknown", "endpoint", endpoint.Name, "error", err)
		c.cfg.Health.RecordFailure(endpoint.Name, c.cfg.Clock.Now())
		entry := ledger.Entry{Attempt: attempt.ID(), Endpoint: endpoint.Name}
		return c.resolveOutcome(sending, req, entry)
	}
	c.cfg.Health.RecordSuccess(endpoint.Name, sent)
	attempt.Complete(outcome(resp))
	return resp, nil
}

// abandon cancels an attempt that has sent nothing. Its error has the run state not-run,
// which is correct for all calls with the key: only this attempt, which won the claim,
// could have sent one.
func (c *Caller) abandon(req *Request, attempt *claim.Attempt, reason string) error {
	if _, ok := attempt.Abandon(); !ok {
		return outcomeUnknown(req, "the call may have been sent")
	}
	e := openai.NewError(http.StatusServiceUnavailable, openai.CodeUnavailable, "%s", reason)
	e.RetryAfter = time.Second
	return e
}

// resolveOutcome requests the outcome of a call from the service, after the response
// was lost or another attempt did not record its outcome in time.
func (c *Caller) resolveOutcome(ctx context.Context, req *Request, entry ledger.Entry) (Response, error) {
	endpoint, ok := c.endpoint(entry.Endpoint)
	if !ok {
		return Response{}, outcomeUnknown(req, "the endpoint that may have run the call is gone")
	}
	ctx, cancel := clock.WithTimeout(context.WithoutCancel(ctx), c.cfg.Clock, resolveTimeout)
	defer cancel()
	var resp Response
	var err error
	switch {
	case endpoint.ChecksKeys:
		// The endpoint runs each key once, so a retry returns the outcome.
		resp, err = c.sendRetryable(ctx, req, endpoint)
		resp.Source = SourceRecord
	case req.Service.StatusPath != "":
		resp, err = c.status(ctx, req, endpoint)
	default:
		return Response{}, outcomeUnknown(req, "the answer was lost")
	}
	if err != nil || resp.Status >= http.StatusBadRequest {
		return Response{}, outcomeUnknown(req, "the answer was lost, and the service does not tell the outcome")
	}
	id := ledger.ID{Account: req.Account, Service: req.Service.Name, Key: req.Key}
	c.cfg.Claims.RecordOutcome(id, entry.Attempt, outcome(resp))
	return resp, nil
}

func recordedResponse(o ledger.Outcome) Response {
	return Response{Status: o.Status, ContentType: o.ContentType, Body: o.Body, Source: SourceRecord}
}

func outcome(resp Response) ledger.Outcome {
	o := ledger.Outcome{Status: resp.Status, ContentType: resp.ContentType}
	if len(resp.Body) <= maxRecordedBody {
		o.Body = resp.Body
	}
	return o
}

func outcomeUnknown(_ *Request, reason string) error {
	e := openai.NewError(http.StatusGatewayTimeout, openai.CodeOutcomeUnknown, "%s; repeat with the same key to learn the outcome", reason)
	e.RunState = openai.OutcomeUnknown
	return e
}

// claimError converts the reason why a claim did not win to the error for the
// caller. An undecided claim means that this request was not sent, but an earlier
// request with the key may have been, which only the caller knows.
func claimError(req *Request, err error) error {
	switch {
	case claim.IsErrConflict(err):
		return openai.NewError(http.StatusConflict, openai.CodeKeyConflict, "the key was used for another call")
	case claim.IsErrExpired(err):
		e := openai.NewError(http.StatusGone, openai.CodeKeyExpired, "the key was created too long ago, or in the future")
		e.RunState = openai.OutcomeUnknown
		return e
	default:
		e := openai.NewError(http.StatusServiceUnavailable, openai.CodeUnavailable, "%v", err)
		e.RunState = req.undecidedRunState()
		e.RetryAfter = time.Second
		return e
	}
}
