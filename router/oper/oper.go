// Package oper implements the HTTP API for operators, which is described by OpenAPI.
package oper

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/member"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/usage"
	"cicadastand.dev/router/prefs"
)

// Publisher publishes changes of the configuration.
type Publisher interface {
	// Publish appends a change to the log and returns its verdict once the change has been
	// read back.
	Publish(ctx context.Context, change conf.Change) (conf.Verdict, error)
}

// Usages collects usage reports from all hosts.
type Usages interface {
	// Usages returns the reports, and the names of the hosts that did not respond.
	Usages(ctx context.Context, account string) ([]usage.Report, []string)
}

// Readiness tells whether the process can serve requests.
type Readiness interface {
	// Ready returns the state and, if the process is not ready, the reason.
	Ready() (bool, string)
}

// Config holds the dependencies of a Server.
type Config struct {
	Clock     clock.Service
	Publisher Publisher
	Store     *follow.Store
	Members   *member.Table
	Health    *health.Table
	Usages    Usages
	Readiness Readiness
	// Dump returns the internal state of the process, for debugging.
	Dump func() any
	// Drain starts a graceful stop.
	Drain func()
	// Keys holds the operators' API keys.
	Keys    []prefs.OperatorKey
	Logger  hclog.Logger
	Metrics *metrics.Set
}

// publishTimeout limits how long a publication waits for its verdict.
const publishTimeout = 10 * time.Second

// Server serves the HTTP API for operators.
type Server struct{ cfg Config }

// New returns a server for the API.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// authorKey is the context key of the operator's name, the author of changes.
type authorKey struct{}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.cfg.Metrics.WritePrometheus(w) })
	cfg := huma.DefaultConfig("cicadastand operators' interface", "1")
	cfg.Components.SecuritySchemes = map[string]*huma.SecurityScheme{"key": {Type: "http", Scheme: "bearer"}}
	api := humago.New(mux, cfg)
	api.UseMiddleware(s.authenticate(api))
	s.register(api)
	return mux
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.cfg.Readiness.Ready()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte(reason + "\n"))
}

// authenticate rejects requests without an operator's API key.
func (s *Server) authenticate(api huma.API) func(huma.Context, func(huma.Context)) {
	return func(ctx huma.Context, next func(huma.Context)) {
		key, _ := strings.CutPrefix(ctx.Header("Authorization"), "Bearer ")
		name, ok := s.findOperator(key)
		if !ok {
			if err := huma.WriteErr(api, ctx, http.StatusUnauthorized, "the key belongs to no operator"); err != nil {
				s.cfg.Logger.Debug("failed to write response", "error", err)
			}
			return
		}
		next(huma.WithValue(ctx, authorKey{}, name))
	}
}

// findOperator returns the name of the operator with a key.
func (s *Server) findOperator(key string) (string, bool) {
	hash := fleet.HashKey(key)
	for _, k := range s.cfg.Keys {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(k.Hash))) == 1 {
			return k.Name, true
		}
	}
	return "", false
}
