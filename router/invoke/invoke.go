// Package invoke runs calls of plain services. Calls that may not be repeated go
// through a claim on the platform's log and are sent at most once.
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

// Request is a call of a plain service.
type Request struct {
	ID          string
	Account     string
	Service     fleet.Service
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Key is the caller's idempotency key; KeyCreated is its time, for keys that
	// don't carry one.
	Key        string
	KeyCreated string
	// FirstAttempt says that the caller has not sent this key before.
	FirstAttempt bool
}

// Source tells where an answer comes from.
type Source string

// The sources of answers.
const (
	// SourceEndpoint is the endpoint's answer to this call.
	SourceEndpoint Source = "endpoint"
	// SourceRecord is the recorded answer to an earlier call with the key.
	SourceRecord Source = "record"
	// SourceStatus is the answer of the service's status call.
	SourceStatus Source = "status"
)

// Response is what the service answered.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Source      Source
}

// Views gives the configuration in force.
type Views interface {
	View() *conf.View
}

// Config says what a Caller works with.
type Config struct {
	Clock  clock.Service
	Views  Views
	Health *health.Table
	Claims *claim.Coordinator
	// Dial makes connections to endpoints.
	Dial   dialer.Func
	Logger hclog.Logger
}

// maxRecordedBody bounds the body that is recorded with an outcome.
const maxRecordedBody = 64 << 10

// Caller runs calls.
type Caller struct {
	cfg     Config
	http    *http.Client
	retries *retry.Set
}

// New returns a caller.
func New(cfg Config) *Caller {
	return &Caller{cfg: cfg, http: newRetryableClient(cfg.Dial), retries: retry.NewSet(retry.DefaultConfig())}
}

// Close drops idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// undecidedRunState is the run state of a request whose key was not decided. A call
// that may have been sent before can't be said not to have run.
func (r *Request) undecidedRunState() openai.RunState {
	if r.retryable() || r.FirstAttempt || r.Key == "" {
		return openai.NotRun
	}
	return openai.OutcomeUnknown
}

func (r *Request) retryable() bool { return r.Service.IsRepeatable(r.Method, r.Path) }

// Call runs a request. Its errors are of type openai.Error.
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

// prepare checks the key and chooses the endpoint.
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

// choose picks the endpoint that rendezvous gives a key, among those that can
// take the call best.
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

// keyCreated returns when the caller made the key: from a UUID of version 7, or
// from the header beside it.
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

func digest(req *Request) string {
	h := sha256.New()
	for _, part := range []string{req.Method, req.Path, req.Query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// isDeadline reports whether ctx ended because its time was up.
func isDeadline(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
