package invoke

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"cicadastand.dev/core/proto/engine"
	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/trans/dialer"
)

const (
	maxAnswerBytes  = 16 << 20
	idleConnsPerSvc = 32
)

// oneShot sends one request over one connection that is already open. It can't
// send twice: there is no second connection, and the transport gets no way to
// repeat a request on its own.
type oneShot struct {
	client *http.Client
	conn   net.Conn
}

// dialOnce opens the connection. After an error, nothing was sent.
func dialOnce(ctx context.Context, dial dialer.Func, address netip.AddrPort) (*oneShot, error) {
	conn, err := dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	s := &oneShot{conn: conn}
	var used sync.Once
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			err := errors.New("the connection was used")
			var out net.Conn
			used.Do(func() { out, err = conn, nil })
			return out, err
		},
	}
	s.client = &http.Client{Transport: transport, CheckRedirect: keepRedirect}
	return s, nil
}

// send sends the request. After an error the service may have run it.
func (s *oneShot) send(ctx context.Context, req *Request, e fleet.Endpoint, fence uint64) (Response, error) {
	r, err := newRequest(ctx, req, e)
	if err != nil {
		return Response{}, err
	}
	r.Header.Set(engine.HeaderFence, strconv.FormatUint(fence, 10))
	r.GetBody = nil
	return do(s.client, r)
}

func (s *oneShot) close() { _ = s.conn.Close() }

// keepRedirect hands a redirect to the caller instead of following it.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newRepeatableClient(dial dialer.Func) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnsPerSvc, DialContext: dial}
	return &http.Client{Transport: transport, CheckRedirect: keepRedirect}
}

func newRequest(ctx context.Context, req *Request, e fleet.Endpoint) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: e.Address.String(), Path: req.Path, RawQuery: req.Query}
	r, err := http.NewRequestWithContext(ctx, req.Method, target.String(), bytes.NewReader(req.Body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if req.ContentType != "" {
		r.Header.Set("Content-Type", req.ContentType)
	}
	r.Header.Set(engine.HeaderRequestID, req.ID)
	r.Header.Set(engine.HeaderAccount, req.Account)
	if req.Key != "" {
		r.Header.Set("Idempotency-Key", req.Key)
	}
	return r, nil
}

func do(client *http.Client, r *http.Request) (Response, error) {
	resp, err := client.Do(r)
	if err != nil {
		return Response{}, fmt.Errorf("send call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Response{}, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return Response{}, errors.New("the answer is too large")
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body, Source: SourceEndpoint}, nil
}

// callRepeatable sends a call that may be repeated, to another endpoint if need be.
func (c *Caller) callRepeatable(ctx context.Context, req Request) (Response, error) {
	budget := c.retries.Get(req.Account)
	budget.Deposit()
	failed := make(map[string]bool)
	for {
		endpoint, ok := c.next(req.Service.Name, failed)
		if !ok {
			break
		}
		answer, err := c.sendRepeatable(ctx, &req, endpoint)
		if err == nil && answer.Status != http.StatusServiceUnavailable {
			c.cfg.Health.RecordSuccess(endpoint.Name)
			return answer, nil
		}
		failed[endpoint.Name] = true
		if err != nil && ctx.Err() == nil {
			c.cfg.Health.RecordFailure(endpoint.Name, c.cfg.Clock.Now())
		}
		if ctx.Err() != nil || !budget.TryWithdraw() {
			break
		}
	}
	if isDeadline(ctx) {
		e := openai.NewError(http.StatusGatewayTimeout, openai.CodeDeadline, "the deadline has passed")
		e.RunState = openai.OutcomeUnknown
		return Response{}, e
	}
	e := openai.NewError(http.StatusBadGateway, openai.CodeUnavailable, "service %s does not answer", req.Service.Name)
	e.RunState = openai.OutcomeUnknown
	return Response{}, e
}

func (c *Caller) next(service string, failed map[string]bool) (fleet.Endpoint, bool) {
	for _, e := range c.usable(service) {
		if !failed[e.Name] {
			return e, true
		}
	}
	for _, e := range c.cfg.Views.View().Fleet.Serving(fleet.KindService, service) {
		if !failed[e.Name] {
			return e, true
		}
	}
	return fleet.Endpoint{}, false
}

func (c *Caller) sendRepeatable(ctx context.Context, req *Request, e fleet.Endpoint) (Response, error) {
	r, err := newRequest(ctx, req, e)
	if err != nil {
		return Response{}, err
	}
	return do(c.http, r)
}

// status asks the service what became of a key.
func (c *Caller) status(ctx context.Context, req *Request, e fleet.Endpoint) (Response, error) {
	ask := *req
	ask.Method = http.MethodGet
	ask.Path = strings.ReplaceAll(req.Service.StatusPath, "{key}", req.Key)
	ask.Query = ""
	ask.Body = nil
	answer, err := c.sendRepeatable(ctx, &ask, e)
	answer.Source = SourceStatus
	return answer, err
}
