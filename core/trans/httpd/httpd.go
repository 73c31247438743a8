// Package httpd runs an HTTP server with bounds on its callers and a graceful stop.
package httpd

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Config says where a server listens and what it bounds.
type Config struct {
	Address netip.AddrPort
	Handler http.Handler
	Logger  hclog.Logger
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// ReadTimeout bounds the reading of a whole request.
	ReadTimeout time.Duration
	// IdleTimeout bounds the life of an idle connection.
	IdleTimeout time.Duration
}

// The bounds used where a Config leaves them out.
const (
	DefaultMaxHeaderBytes = 32 << 10
	DefaultReadTimeout    = 30 * time.Second
	DefaultIdleTimeout    = 90 * time.Second
)

// Server is an HTTP server that is listening.
type Server struct {
	cfg       Config
	http      *http.Server
	listener  net.Listener
	done      chan struct{}
	stopping  atomic.Bool
	openConns atomic.Int64
}

// Listen opens the listener and starts to serve.
func Listen(ctx context.Context, cfg Config) (*Server, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", cfg.Address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Address, err)
	}
	if cfg.TLS != nil {
		listener = tls.NewListener(listener, cfg.TLS)
	}
	s := &Server{cfg: cfg, listener: listener, done: make(chan struct{})}
	s.http = &http.Server{
		Handler:           cfg.Handler,
		MaxHeaderBytes:    orDefault(cfg.MaxHeaderBytes, DefaultMaxHeaderBytes),
		ReadHeaderTimeout: orDefault(cfg.ReadTimeout, DefaultReadTimeout),
		ReadTimeout:       orDefault(cfg.ReadTimeout, DefaultReadTimeout),
		IdleTimeout:       orDefault(cfg.IdleTimeout, DefaultIdleTimeout),
		ErrorLog:          cfg.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	s.http.ConnState = s.trackConn
	go s.run()
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return addr
}

// trackConn keeps the number of open connections.
func (s *Server) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	default:
	}
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int64 { return s.openConns.Load() }

// StopListening refuses new connections. Those that are open are still served:
// closing an idle one could cross a request on its way.
func (s *Server) StopListening() {
	s.stopping.Store(true)
	_ = s.listener.Close()
	<-s.done
}

// Shutdown refuses new connections and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop server on %s: %w", s.cfg.Address, err)
	}
	<-s.done
	return nil
}

// Close drops all connections at once.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

func (s *Server) run() {
	defer close(s.done)
	err := s.http.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) && !s.stopping.Load() {
		s.cfg.Logger.Error("server ended", "address", s.cfg.Address, "error", err)
	}
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
