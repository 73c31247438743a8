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
	"cicadastand.dev/core/trans/httpc"
	"cicadastand.dev/core/trans/httpd"
)

const (
	maxResponseBytes    = 16 << 20
	idleConnsPerService = 32
)

// singleUseClient sends one request over a connection that is already open. The
// transport can't retry the request: dialing a second connection fails, and the request
// has no GetBody function to read the body again.
type singleUseClient struct {
	client *http.Client
	conn   net.Conn
}

// dialOnce opens a connection for one request. If it fails, nothing was sent.
func dialOnce(ctx context.Context, dial dialer.Func, address netip.AddrPort) (*singleUseClient, error) {
	conn, err := dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	s := &singleUseClient{conn: conn}
	var used sync.Once
	dialUsed := func(context.Context, string, string) (net.Conn, error) {
		err := errors.New("the connection was already used")
		var out net.Conn
		used.Do(func() { out, err = conn, nil })
		return out, err
	}
	s.client = httpc.New(httpc.Config{Dial: dialUsed, IsSingleUse: true, ReturnsRedirects: true})
	return s, nil
}

// send sends the request. If it fails, the service may have run the request.
func (s *singleUseClient) send(ctx context.Context, req *Request, e fleet.Endpoint, fencingToken uint64) (Response, error) {
	r, err := newRequest(ctx, req, e)
	if err != nil {
		return Response{}, err
	}
	r.Header.Set(engine.HeaderFence, strconv.FormatUint(fencingToken, 10))
	r.GetBody = nil
	return do(s.client, r)
}

func (s *singleUseClient) close() { _ = s.conn.Close() }

func newRetryableClient(dial dialer.Func) *http.Client {
	return httpc.New(httpc.Config{Dial: dial, MaxIdlePerHost: idleConnsPerService, ReturnsRedirects: true})
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
	body, err := httpd.LeaseOf(r.Context()).ReadResponse(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, fmt.Errorf("read response: %w", err)
	}
	if len(body) > maxResponseBytes {
		return Response{}, errors.New("the response is too large")
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body, Source: SourceEndpoint}, nil
}

// callRetryable runs a retryable call. If an endpoint fails, it retries the call on
// another one while the retry budget allows it.
func (c *Caller) callRetryable(ctx context.Context, req Request) (Response, error) {
	budget := c.retries.Get(req.Account)
	budget.Deposit()
	failed := make(map[string]bool)
	for {
		endpoint, ok := c.nextEndpoint(req.Service.Name, failed)
		if !ok {
			break
		}
		sent := c.cfg.Clock.Now()
		resp, err := c.sendRetryable(ctx, &req, endpoint)
		if err == nil && resp.Status != http.StatusServiceUnavailable {
			c.cfg.Health.RecordSuccess(endpoint.Name, sent)
			return resp, nil
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

// nextEndpoint returns an endpoint on which the call has not failed, if possible one
// of the best health state.
func (c *Caller) nextEndpoint(service string, failed map[string]bool) (fleet.Endpoint, bool) {
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

func (c *Caller) sendRetryable(ctx context.Context, req *Request, e fleet.Endpoint) (Response, error) {
	r, err := newRequest(ctx, req, e)
	if err != nil {
		return Response{}, err
	}
	return do(c.http, r)
}

// status requests the outcome for a key from the service's status path.
func (c *Caller) status(ctx context.Context, req *Request, e fleet.Endpoint) (Response, error) {
	query := *req
	query.Method = http.MethodGet
	query.Path = strings.ReplaceAll(req.Service.StatusPath, "{key}", req.Key)
	query.Query = ""
	query.Body = nil
	resp, err := c.sendRetryable(ctx, &query, e)
	resp.Source = SourceStatus
	return resp, err
}
