package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"cicadastand.dev/core/coord/admit"
	"cicadastand.dev/core/coord/limit"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/usage"
	"cicadastand.dev/router/send"
)

func (s *Server) complete(kind openai.Kind) func(*exchange) error {
	return func(x *exchange) error {
		job, err := s.readJob(x, kind)
		if err != nil {
			return err
		}
		s.cfg.Usage.CountRequest(x.usageKey())
		permit, err := s.admit(x, job)
		if err != nil {
			e := admissionError(err)
			s.cfg.Usage.CountRejected(x.usageKey(), string(e.Code))
			return e
		}
		defer s.cfg.Limits.Release(x.contract.Account)
		defer permit.Release()
		s.cfg.Usage.CountAdmitted(x.usageKey())
		return s.run(x, job)
	}
}

func (s *Server) readJob(x *exchange, kind openai.Kind) (*send.Job, error) {
	body, err := x.readBody(s.cfg.MaxBodyBytes, parsedCopies)
	if err != nil {
		return nil, err
	}
	req, err := openai.Parse(kind, body)
	if err != nil {
		return nil, err
	}
	model, ok := x.view.Fleet.Model(req.Model)
	if !ok || !x.contract.AllowsModel(req.Model) {
		e := openai.NewError(http.StatusNotFound, openai.CodeNotFound, "the contract names no model %q", req.Model)
		e.Param = "model"
		return nil, e
	}
	resume := 0
	if v := x.r.Header.Get(HeaderLastEvent); v != "" {
		resume, err = strconv.Atoi(v)
		if err != nil || resume < 0 || !req.Stream {
			return nil, badHeader(HeaderLastEvent, "must be the number of an event of a stream")
		}
	}
	model.WeightsVersion = s.cfg.Runner.Version(model)
	return send.NewJob(x.id, x.contract.Account, x.rank, model, req, resume)
}

// admit applies the limits of the client account and waits in the admission queue.
func (s *Server) admit(x *exchange, job *send.Job) (*admit.Permit, error) {
	now := s.cfg.Clock.Now()
	if err := s.cfg.Poison.Check(job.Fingerprint(), x.view.Fleet.CrashLimit, now); err != nil {
		return nil, err
	}
	if err := s.cfg.Limits.Acquire(x.contract, job.Tokens(), now); err != nil {
		return nil, err
	}
	target := x.contract.Target(x.rank).FirstToken
	request := admit.Request{
		Account:               x.contract.Account,
		Rank:                  x.rank,
		Weight:                x.contract.Weight,
		Cost:                  float64(job.Tokens()),
		MaxWait:               min(s.firstTokenLatency.MaxWait(x.rank, target), x.deadline),
		MaxWaitWithoutBacklog: min(admit.MaxWaitWithoutBacklog(target), x.deadline),
	}
	permit, err := s.cfg.Gates.Gate(job.Model.Name).Acquire(x.r.Context(), request)
	if err != nil {
		s.cfg.Limits.Release(x.contract.Account)
		return nil, err
	}
	return permit, nil
}

func (s *Server) run(x *exchange, job *send.Job) error {
	admitted := s.cfg.Clock.Now()
	left := x.deadline - admitted.Sub(x.started)
	ctx, cancel := clock.WithTimeout(x.r.Context(), s.cfg.Clock, left)
	defer cancel()
	var out sink
	if job.Request.Stream {
		out = newStreamSink(x)
	} else {
		out = &bufferedSink{collector: openai.NewCollector(job.Request.Kind)}
	}
	result, err := s.cfg.Runner.Run(ctx, job, out)
	if !result.FirstToken.IsZero() {
		s.firstTokenLatency.Add(x.rank, result.FirstToken.Sub(admitted))
	}
	s.recordUsage(x, result, err)
	if err != nil {
		return s.runError(x, out, ctx, err)
	}
	return out.finish(x)
}

// recordUsage adds the result of an admitted request to the usage statistics.
func (s *Server) recordUsage(x *exchange, result send.Result, err error) {
	record := usage.Result{
		Complete:     err == nil,
		PromptTokens: result.PromptTokens,
		CachedTokens: result.CachedTokens,
		AnswerTokens: result.AnswerTokens,
	}
	if !result.FirstToken.IsZero() {
		record.FirstToken = result.FirstToken.Sub(x.started)
	}
	target := x.contract.Target(x.rank)
	record.InTime = record.FirstToken <= target.FirstToken && s.cfg.Clock.Now().Sub(x.started) <= target.Deadline
	s.cfg.Usage.CountResult(x.usageKey(), record)
	x.log.Debug("request ended", "endpoint", result.Endpoint, "sends", result.Sends,
		"cached-tokens", result.CachedTokens, "first-token", record.FirstToken.Round(time.Millisecond), "error", err)
}

// runError responds to an admitted request that was not completed. The connection is
// aborted if the caller has disconnected, and a started stream ends with an error event.
func (s *Server) runError(x *exchange, out sink, ctx context.Context, err error) error {
	if send.IsErrCaller(err) || x.r.Context().Err() != nil {
		x.log.Debug("caller disconnected before the response was complete", "error", err)
		panic(http.ErrAbortHandler)
	}
	e := completionError(ctx, err)
	if out.started() {
		x.log.Info("stream failed after its first event", "code", e.Code, "error", err)
		out.fail(x, e)
		return nil
	}
	return e
}

// completionError maps the failure of an admitted completion to an error of the API.
func completionError(ctx context.Context, err error) *openai.Error {
	var typed *openai.Error
	var suspect *poison.ErrRejected
	var incomplete *send.ErrIncomplete
	switch {
	case errors.As(err, &typed):
		return typed
	case errors.As(err, &suspect):
		e := openai.NewError(http.StatusUnprocessableEntity, openai.CodeSuspect, "%v", err)
		e.RunState = openai.OutcomeUnknown
		return e
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		e := openai.NewError(http.StatusGatewayTimeout, openai.CodeDeadline, "the deadline has passed")
		e.RunState = openai.OutcomeUnknown
		return e
	case send.IsErrRejected(err):
		e := openai.NewError(http.StatusServiceUnavailable, openai.CodeUnavailable, "%v", err)
		e.RetryAfter = time.Second
		return e
	case errors.As(err, &incomplete):
		e := openai.NewError(http.StatusBadGateway, openai.CodeIncomplete, "%v", err)
		e.RunState = openai.OutcomeUnknown
		return e
	default:
		e := openai.NewError(http.StatusServiceUnavailable, openai.CodeUnavailable, "%v", err)
		e.RunState = openai.OutcomeUnknown
		return e
	}
}

// admissionError maps the rejection of a request that was not sent to any endpoint to
// an error of the API.
func admissionError(err error) *openai.Error {
	var over *admit.ErrOverload
	var limited *limit.ErrLimit
	var suspect *poison.ErrRejected
	switch {
	case errors.As(err, &over):
		e := openai.NewError(http.StatusTooManyRequests, openai.CodeOverload, "%v", err)
		e.RetryAfter = max(over.RetryAfter, time.Second)
		return e
	case errors.As(err, &limited):
		e := openai.NewError(http.StatusTooManyRequests, openai.CodeLimit, "%v", err)
		e.Param = string(limited.Resource)
		e.RetryAfter = max(limited.RetryAfter, time.Second)
		return e
	case errors.As(err, &suspect):
		return openai.NewError(http.StatusUnprocessableEntity, openai.CodeSuspect, "%v", err)
	default:
		return openai.NewError(http.StatusServiceUnavailable, openai.CodeUnavailable, "%v", err)
	}
}

// requestID returns the request ID that the caller sent, or a new one if it sent none
// that is printable and short enough.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDSize {
		return uuid.NewString()
	}
	for _, c := range id {
		if c <= ' ' || c > '~' {
			return uuid.NewString()
		}
	}
	return id
}
