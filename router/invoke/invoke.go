// Package invoke runs calls to services that are not inference engines. A call that
// is not retryable is claimed on the platform's log by its idempotency key and sent at
// most once.
package invoke

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/claim"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/retry"
	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/ledger"
	"cicadastand.dev/core/trans/dialer"
)

// Request is a call to a service.
type Request struct {
	ID          string
	Account     string
	Service     fleet.Service
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Key is the caller's idempotency key. KeyCreated is the time at which it was
	// created, for keys that don't contain a time.
	Key        string
	KeyCreated string
	// FirstAttempt is set if the caller states that it has not sent this key before.
	FirstAttempt bool
}

// Source says where a response comes from.
type Source string

// The sources of responses.
const (
	// SourceEndpoint is the endpoint's response to this call.
	SourceEndpoint Source = "endpoint"
	// SourceRecord is the recorded response to an earlier call with the same key.
	SourceRecord Source = "record"
	// SourceStatus is the response of the service's status call.
	SourceStatus Source = "status"
)

// Response is the service's response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Source      Source
}

// Views provides the current configuration.
type Views interface {
	View() *conf.View
}

// Config holds the dependencies of a Caller.
type Config struct {
	Clock  clock.Service
	Views  Views
	Health *health.Table
	Claims *claim.Coordinator
	// Dial opens connections to endpoints.
	Dial   dialer.Func
	Logger hclog.Logger
}

// maxRecordedBody is the maximum size in bytes of a body that is recorded with an
// outcome.
const maxRecordedBody = 64 << 10

// Caller runs calls to services.
type Caller struct {
	cfg     Config
	http    *http.Client
	retries *retry.Set
}

// New returns a Caller.
func New(cfg Config) *Caller {
	return &Caller{cfg: cfg, http: newRetryableClient(cfg.Dial), retries: retry.NewSet(retry.DefaultConfig())}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// undecidedRunState returns the run state of a request whose claim was not decided.
// If an earlier attempt with the key may have been sent, the outcome is unknown.
func (r *Request) undecidedRunState() openai.RunState {
	if r.retryable() || r.FirstAttempt || r.Key == "" {
		return openai.NotRun
	}
	return openai.OutcomeUnknown
}

func (r *Request) retryable() bool { return r.Service.IsRepeatable(r.Method, r.Path) }

// Call runs a request. Its errors are of type *openai.Error.
func (c *Caller) Call(ctx context.Context, req Request) (Response, error) {
	if req.retryable() {
		return c.callRetryable(ctx, req)
	}
	call, err := c.prepare(&req)
	if err != nil {
		return Response{}, err
	}
	return c.callOnce(ctx, &req, call)
}

// prepare validates the key and chooses the endpoint.
func (c *Caller) prepare(req *Request) (claim.Call, error) {
	created, err := keyCreated(req)
	if err != nil {
		return claim.Call{}, err
	}
	id := ledger.ID{Account: req.Account, Service: req.Service.Name, Key: req.Key}
	endpoint, err := c.choose(req)
	if err != nil {
		return claim.Call{}, err
	}
	return claim.Call{ID: id, Digest: digest(req), Created: created, Endpoint: endpoint.Name}, nil
}

// choose selects an endpoint by rendezvous hashing of the key, among the endpoints
// of the best health state.
func (c *Caller) choose(req *Request) (fleet.Endpoint, error) {
	usable := c.usable(req.Service.Name)
	if len(usable) == 0 {
		e := openai.NewError(http.StatusServiceUnavailable, openai.CodeUnavailable, "no endpoint of service %s can be used", req.Service.Name)
		e.RunState = req.undecidedRunState()
		e.RetryAfter = time.Second
		return fleet.Endpoint{}, e
	}
	candidates := make([]route.Candidate, len(usable))
	for i, e := range usable {
		candidates[i] = route.Candidate{Name: e.Name}
	}
	return usable[route.Owner(route.NameKey(req.Account+"/"+req.Key), candidates)], nil
}

// usable returns the endpoints of the best health state that has any.
func (c *Caller) usable(service string) []fleet.Endpoint {
	all := c.cfg.Views.View().Fleet.Serving(fleet.KindService, service)
	for _, class := range []health.State{health.Live, health.Suspect, health.Ejected} {
		var out []fleet.Endpoint
		for _, e := range all {
			if c.cfg.Health.Get(e.Name).State == class {
				out = append(out, e)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

func (c *Caller) endpoint(name string) (fleet.Endpoint, bool) {
	for _, e := range c.cfg.Views.View().Fleet.Endpoints {
		if e.Name == name {
			return e, true
		}
	}
	return fleet.Endpoint{}, false
}

// keyCreated returns when the caller created the key: the time in the header if it
// is set, otherwise the time in the key, which must be a UUID of version 7.
func keyCreated(req *Request) (time.Time, error) {
	if req.Key == "" || len(req.Key) > maxKeyLen {
		return time.Time{}, keyError("Idempotency-Key", openai.CodeKeyMissing, "must name the call, in 1 to %d bytes", maxKeyLen)
	}
	if req.KeyCreated != "" {
		at, err := time.Parse(time.RFC3339Nano, req.KeyCreated)
		if err != nil {
			return time.Time{}, keyError("Idempotency-Key-Created", openai.CodeBadField, "must be a time such as 2006-01-02T15:04:05Z")
		}
		return at.UTC(), nil
	}
	id, err := uuid.Parse(req.Key)
	if err != nil || id.Version() != uuidTimeVersion {
		return time.Time{}, keyError("Idempotency-Key", openai.CodeKeyMissing,
			"must be a UUID of version 7, or be sent with Idempotency-Key-Created")
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec).UTC(), nil
}

const (
	maxKeyLen       = 200
	uuidTimeVersion = 7
)

func keyError(param string, code openai.Code, format string, args ...any) error {
	e := openai.NewError(http.StatusBadRequest, code, "%s %s", param, fmt.Sprintf(format, args...))
	e.Param = param
	return e
}

// digest returns a hash of the call's content. A key must not be reused for a call
// with another digest.
func digest(req *Request) string {
	h := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// isDeadline reports whether ctx ended because its deadline passed.
func isDeadline(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
