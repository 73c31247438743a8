// Package front implements the HTTP API for callers: OpenAI-compatible completions and
// calls to services.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/admit"
	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/coord/limit"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/usage"
	"cicadastand.dev/core/trans/httpd"
	"cicadastand.dev/router/invoke"
	"cicadastand.dev/router/send"
)

// Views returns the current configuration.
type Views interface {
	View() *conf.View
}

// ConfigWaiter waits for the first configuration of a process.
type ConfigWaiter interface {
	// AwaitConfig waits until a configuration is loaded or ctx ends.
	AwaitConfig(ctx context.Context) error
}

// Gates returns the admission gate of a model.
type Gates interface {
	Gate(model string) *admit.Gate
}

// Runner runs admitted completions.
type Runner interface {
	Run(ctx context.Context, job *send.Job, sink send.Sink) (send.Result, error)
	// Version returns the weights version that new requests for a model use.
	Version(model fleet.Model) string
}

// Caller runs calls to services.
type Caller interface {
	Call(ctx context.Context, req invoke.Request) (invoke.Response, error)
}

// Config configures a Server.
type Config struct {
	Clock        clock.Service
	Views        Views
	ConfigWaiter ConfigWaiter
	Gates        Gates
	Runner       Runner
	Caller       Caller
	Limits       *limit.Limiter
	Poison       *poison.Table
	Usage        *usage.Counters
	MaxBodyBytes int64
	Logger       hclog.Logger
	Metrics      *metrics.Set
}

// Request and response headers of the API for callers.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderRank       = "Cicada-Rank"
	HeaderDeadline   = "Cicada-Deadline"
	HeaderLastEvent  = "Last-Event-ID"
	HeaderRunState   = "Cicada-Run-State"
	maxRequestIDSize = 128
)

// Server serves the API for callers.
type Server struct {
	cfg               Config
	stopping          atomic.Bool
	requests          *metrics.Counter
	inFlight          atomic.Int64
	firstTokenLatency admit.FirstTokenLatency
}

// New returns a server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, requests: cfg.Metrics.NewCounter("cicada_caller_requests_total")}
	cfg.Metrics.NewGauge("cicada_caller_requests_in_flight", func() float64 { return float64(s.inFlight.Load()) })
	return s
}

// Handler returns the handler of the HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.wrap(s.complete(openai.Chat)))
	mux.HandleFunc("POST /v1/completions", s.wrap(s.complete(openai.Text)))
	mux.HandleFunc("GET /v1/models", s.wrap(s.models))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.wrap(s.service))
	mux.HandleFunc("/", s.wrap(notFound))
	return mux
}

// Stop adds "Connection: close" to each response, so that callers open their next
// connection to another host. Requests that still arrive are served.
func (s *Server) Stop() { s.stopping.Store(true) }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// exchange is one request with the contract that applies to it.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	id       string
	contract *fleet.Contract
	view     *conf.View
	rank     fleet.Rank
	deadline time.Duration
	started  time.Time
	log      hclog.Logger
	// possibleRetry is set while the call may be a retry of one that ran, and its
	// idempotency key was not checked yet. An error must not have the run state not-run
	// then.
	possibleRetry bool
}

func (s *Server) wrap(handle func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		s.requests.Inc()
		x := &exchange{w: w, r: r, id: requestID(r), started: s.cfg.Clock.Now()}
		x.log = s.cfg.Logger.With("request", x.id)
		x.possibleRetry = r.Header.Get(headerKey) != "" && r.Header.Get(headerRetryCount) != "0"
		w.Header().Set(HeaderRequestID, x.id)
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if err := s.authorize(x); err != nil {
			x.fail(err)
			return
		}
		if err := handle(x); err != nil {
			x.fail(err)
		}
	}
}

// authorize authenticates the caller and checks the request against its contract.
func (s *Server) authorize(x *exchange) error {
	x.view = s.view(x.r.Context())
	if x.view.Offset == 0 {
		e := openai.NewError(http.StatusServiceUnavailable, openai.CodeNotReady, "this host has no configuration yet")
		e.RetryAfter = time.Second
		return e
	}
	key, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return openai.NewError(http.StatusUnauthorized, openai.CodeUnauthorized, "Authorization must be Bearer and a key")
	}
	contract, ok := x.view.Authenticate(key)
	if !ok {
		return openai.NewError(http.StatusUnauthorized, openai.CodeUnauthorized, "the key belongs to no account")
	}
	x.contract = contract
	return x.readRankAndDeadline()
}

// firstConfigTimeout is how long a request waits for the first configuration of a
// process that has just started.
const firstConfigTimeout = time.Second

// view returns the current configuration, and waits for the first one if there is none.
func (s *Server) view(ctx context.Context) *conf.View {
	if v := s.cfg.Views.View(); v.Offset > 0 {
		return v
	}
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.Clock, firstConfigTimeout)
	defer cancel()
	if err := s.cfg.ConfigWaiter.AwaitConfig(ctx); err != nil {
		s.cfg.Logger.Debug("no configuration was loaded in time", "error", err)
	}
	return s.cfg.Views.View()
}

// readRankAndDeadline reads the rank and the deadline from the request headers and
// checks them against the contract. The default is the rank of the contract and the
// deadline of the resulting rank, which a header can only shorten.
func (x *exchange) readRankAndDeadline() error {
	x.rank = x.contract.Rank
	if v := x.r.Header.Get(HeaderRank); v != "" {
		x.rank = fleet.Rank(v)
	}
	if !x.rank.Valid() {
		return badHeader(HeaderRank, "must be urgent or other")
	}
	if !x.contract.AllowsRank(x.rank) {
		e := openai.NewError(http.StatusForbidden, openai.CodeForbidden, "the contract does not allow rank %s", x.rank)
		e.Param = HeaderRank
		return e
	}
	x.deadline = x.contract.Target(x.rank).Deadline
	if v := x.r.Header.Get(HeaderDeadline); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return badHeader(HeaderDeadline, "must be a duration such as 800ms")
		}
		x.deadline = min(d, x.deadline)
	}
	return nil
}

func (x *exchange) usageKey() usage.Key { return usage.Key{Account: x.contract.Account, Rank: x.rank} }

// fail responds with an error.
func (x *exchange) fail(err error) {
	e := openai.AsError(err)
	if x.possibleRetry && e.RunState == openai.NotRun {
		e.RunState = openai.OutcomeUnknown
	}
	x.log.Debug("request failed", "code", e.Code, "state", e.RunState, "error", e.Message)
	x.w.Header().Set(HeaderRunState, string(e.RunState))
	e.Write(x.w)
}

func badHeader(name, reason string) error {
	e := openai.NewError(http.StatusBadRequest, openai.CodeBadField, "%s %s", name, reason)
	e.Param = name
	return e
}

func notFound(x *exchange) error {
	return openai.NewError(http.StatusNotFound, openai.CodeNotFound, "no such path: %s", x.r.URL.Path)
}

func (s *Server) models(x *exchange) error {
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for _, m := range x.view.Fleet.Models {
		if x.contract.AllowsModel(m.Name) {
			list.Data = append(list.Data, openai.Model{ID: m.Name, Object: "model", OwnedBy: "cicadastand"})
		}
	}
	return x.writeJSON(list)
}

func (x *exchange) writeJSON(body any) error {
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set(HeaderRunState, string(openai.Completed))
	if err := json.NewEncoder(x.w).Encode(body); err != nil {
		x.log.Debug("failed to write response", "error", err)
	}
	return nil
}

// parsedCopies is the number of copies of the body of a completion besides what was received:
// its decoded texts, and the request that is sent to engines.
const parsedCopies = 2

// readBody reads the request body and charges it, and copies that are made of it later.
func (x *exchange) readBody(limit, copies int64) ([]byte, error) {
	ctx := x.r.Context()
	lease := httpd.LeaseOf(ctx)
	body, err := lease.ReadBody(ctx, x.w, x.r.Body, x.r.ContentLength, limit)
	if err == nil && copies > 0 {
		err = lease.Take(ctx, hold.Bodies, copies*int64(len(body)))
	}
	if err != nil {
		return nil, x.bodyReadError(err)
	}
	return body, nil
}

// bodyReadError maps a failure to read the request body to an error of the API.
func (x *exchange) bodyReadError(err error) error {
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return openai.NewError(http.StatusRequestEntityTooLarge, openai.CodeTooLarge, "the body may have at most %d bytes", big.Limit)
	case errors.Is(err, httpd.ErrNoRoom):
		x.w.Header().Set("Connection", "close")
		e := openai.NewError(http.StatusServiceUnavailable, openai.CodeUnavailable, "%v", err)
		e.RetryAfter = time.Second
		return e
	case errors.Is(err, httpd.ErrStalled):
		x.w.Header().Set("Connection", "close")
		return openai.NewError(http.StatusRequestTimeout, openai.CodeUnavailable, "%v", err)
	default:
		return openai.NewError(http.StatusBadRequest, openai.CodeBadField, "the body can't be read: %v", err)
	}
}
