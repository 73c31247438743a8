package front

import (
	"net/http"
	"strings"

	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/usage"
	"cicadastand.dev/router/invoke"
)

// Request and response headers of calls to services.
const (
	headerKey        = "Idempotency-Key"
	headerKeyCreated = "Idempotency-Key-Created"
	headerRetryCount = "Idempotency-Retry-Count"
	headerSource     = "Cicada-Outcome-Source"
)

// service handles a call to a service.
func (s *Server) service(x *exchange) error {
	name := x.r.PathValue("service")
	svc, ok := x.view.Fleet.Service(name)
	if !ok || !x.contract.AllowsService(name) {
		return openai.NewError(http.StatusNotFound, openai.CodeNotFound, "the contract names no service %q", name)
	}
	body, err := x.readBody(s.cfg.MaxBodyBytes, 0)
	if err != nil {
		return err
	}
	req := invoke.Request{
		ID:           x.id,
		Account:      x.contract.Account,
		Service:      svc,
		Method:       x.r.Method,
		Path:         "/" + strings.TrimPrefix(x.r.PathValue("path"), "/"),
		Query:        x.r.URL.RawQuery,
		ContentType:  x.r.Header.Get("Content-Type"),
		Body:         body,
		Key:          x.r.Header.Get(headerKey),
		KeyCreated:   x.r.Header.Get(headerKeyCreated),
		FirstAttempt: x.r.Header.Get(headerRetryCount) == "0",
	}
	s.cfg.Usage.CountRequest(x.usageKey())
	if err := s.cfg.Limits.Acquire(x.contract, 0, s.cfg.Clock.Now()); err != nil {
		e := admissionError(err)
		s.cfg.Usage.CountRejected(x.usageKey(), string(e.Code))
		return e
	}
	defer s.cfg.Limits.Release(x.contract.Account)
	s.cfg.Usage.CountAdmitted(x.usageKey())
	return s.call(x, req)
}

func (s *Server) call(x *exchange, req invoke.Request) error {
	ctx, cancel := clock.WithTimeout(x.r.Context(), s.cfg.Clock, x.deadline)
	defer cancel()
	x.possibleRetry = false // the call below checks the idempotency key
	resp, err := s.cfg.Caller.Call(ctx, req)
	now := s.cfg.Clock.Now()
	s.cfg.Usage.CountResult(x.usageKey(), usage.Result{Complete: err == nil, InTime: now.Sub(x.started) <= x.deadline})
	if err != nil {
		return err
	}
	h := x.w.Header()
	if resp.ContentType != "" {
		h.Set("Content-Type", resp.ContentType)
	}
	h.Set(HeaderRunState, string(openai.Completed))
	h.Set(headerSource, string(resp.Source))
	x.w.WriteHeader(resp.Status)
	if _, err := x.w.Write(resp.Body); err != nil {
		x.log.Debug("failed to write response", "error", err)
	}
	return nil
}
