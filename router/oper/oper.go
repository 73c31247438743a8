// Package oper is the interface for operators, described by OpenAPI.
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

// Publisher publishes changes.
type Publisher interface {
	// Publish appends a change and returns its verdict once it was read back.
	Publish(ctx context.Context, change conf.Change) (conf.Verdict, error)
}

// Usages collects what callers received.
type Usages interface {
	Usages(ctx context.Context, account string) ([]usage.Report, []string)
}

// Readiness tells whether the process can serve, and if not, why.
type Readiness interface {
	Ready() (bool, string)
}

// Config says what a Server works with.
type Config struct {
	Clock     clock.Service
	Publisher Publisher
	Store     *follow.Store
	Members   *member.Table
	Health    *health.Table
	Usages    Usages
	Readiness Readiness
	// Dump returns the state of the process for a person to read.
	Dump func() any
	// Drain starts a graceful stop.
	Drain func()
	// Keys are the operators' keys.
	Keys    []prefs.OperatorKey
	Logger  hclog.Logger
	Metrics *metrics.Set
}

// publishTimeout bounds how long a publication waits for its verdict.
const publishTimeout = 10 * time.Second

// Server answers operators.
type Server struct{ cfg Config }

// New returns a server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// authorKey is the context key of the operator's name.
type authorKey struct{}

// Handler returns the HTTP interface.
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

// authenticate lets operators with a known key in.
func (s *Server) authenticate(api huma.API) func(huma.Context, func(huma.Context)) {
	return func(ctx huma.Context, next func(huma.Context)) {
		key, _ := strings.CutPrefix(ctx.Header("Authorization"), "Bearer ")
		name, ok := s.findOperator(key)
		if !ok {
			if err := huma.WriteErr(api, ctx, http.StatusUnauthorized, "the key belongs to no operator"); err != nil {
				s.cfg.Logger.Debug("answer can't be written", "error", err)
			}
			return
		}
		next(huma.WithValue(ctx, authorKey{}, name))
	}
}

func (s *Server) findOperator(key string) (string, bool) {
	hash := fleet.HashKey(key)
	for _, k := range s.cfg.Keys {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(k.Hash))) == 1 {
			return k.Name, true
		}
	}
	return "", false
}
