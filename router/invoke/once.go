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

// callOnce runs a call that may not be repeated. It claims the key, and sends
// only as the winner. Where another attempt holds the key it waits for that
// attempt's outcome.
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

// withOutcomeWait bounds the wait for another attempt's outcome, so that time is left
// to ask the service itself.
func (c *Caller) withOutcomeWait(ctx context.Context) context.Context {
	ctx, cancel := clock.WithTimeout(ctx, c.cfg.Clock, outcomeWait)
	context.AfterFunc(ctx, cancel)
	return ctx
}

const (
	// outcomeWait is how long a repeat waits for the outcome record.
	outcomeWait = 1500 * time.Millisecond
	// sendTimeout bounds a send, which goes on when its caller leaves.
	sendTimeout = 30 * time.Second
	// resolveTimeout bounds a status call.
	resolveTimeout = 2 * time.Second
)

// sendClaimed sends the call as the winner of its key.
func (c *Caller) sendClaimed(ctx context.Context, req *Request, attempt *claim.Attempt) (Response, error) {
	log := c.cfg.Logger.With("request", req.ID, "key", req.Key, "attempt", attempt.ID())
	endpoint, ok := c.endpoint(attempt.Endpoint())
	if !ok || ctx.Err() != nil {
		return Response{}, c.abandon(req, attempt, "the deadline has passed, or the endpoint is gone")
	}
	client, err := dialOnce(ctx, c.cfg.Dial, endpoint.Address)
	if err != nil {
		c.cfg.Health.RecordFailure(endpoint.Name, c.cfg.Clock.Now())
		log.Info("endpoint can't be reached", "endpoint", endpoint.Name, "error", err)
		return Response{}, c.abandon(req, attempt, "the endpoint can't be reached")
	}
	defer client.close()
	if !attempt.MarkSending() {
		return Response{}, c.abandon(req, attempt, "the attempt was abandoned")
	}
	// The call goes on when its caller leaves: its outcome has to be recorded.
	sending, cancel := clock.WithTimeout(context.WithoutCancel(ctx), c.cfg.Clock, sendTimeout)
	defer cancel()
	resp, err := client.send(sending, req, endpoint, attempt.Fence())
	if err != nil {
		log.Warn("outcome is unknown", "endpoint", endpoint.Name, "error", err)
		c.cfg.Health.RecordFailure(endpoint.Name, c.cfg.Clock.Now())
		entry := ledger.Entry{Attempt: attempt.ID(), Endpoint: endpoint.Name}
		return c.resolveOutcome(sending, req, entry)
	}
	c.cfg.Health.RecordSuccess(endpoint.Name)
	attempt.Complete(outcome(resp))
	return resp, nil
}

// abandon gives up an attempt that has sent nothing. The word not-run is true
// of the key, since the attempt holds it and will never send.
func (c *Caller) abandon(req *Request, attempt *claim.Attempt, reason string) error {
	if _, ok := attempt.Abandon(); !ok {
		return outcomeUnknown(req, "the call may have been sent")
	}
	e := openai.NewError(http.StatusServiceUnavailable, openai.CodeUnavailable, "%s", reason)
	e.RetryAfter = time.Second
	return e
}

// resolveOutcome asks the service what became of a call whose answer is not known.
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
		// The endpoint runs each key once, so the same call again tells its outcome.
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

func outcome(a Response) ledger.Outcome {
	o := ledger.Outcome{Status: a.Status, ContentType: a.ContentType}
	if len(a.Body) <= maxRecordedBody {
		o.Body = a.Body
	}
	return o
}

func outcomeUnknown(_ *Request, reason string) error {
	e := openai.NewError(http.StatusGatewayTimeout, openai.CodeOutcomeUnknown, "%s; repeat with the same key to learn the outcome", reason)
	e.RunState = openai.OutcomeUnknown
	return e
}

// claimError turns the reason why a claim did not win into the caller's error. An
// undecided claim proves that this request was not sent; whether an earlier
// request with the key was, only its caller knows.
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
