// Package httpd runs an HTTP server with timeouts, a header size limit and graceful
// shutdown.
package httpd

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/state/clock"
)

// Config configures a server.
type Config struct {
	Address netip.AddrPort
	Handler http.Handler
	Clock   clock.Service
	Logger  hclog.Logger
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// MaxHeaderBytes limits the size of a request header.
	MaxHeaderBytes int
	// ReadTimeout limits the time to read a whole request.
	ReadTimeout time.Duration
	// WriteTimeout is how long a client may take no byte of what is written to it; 0 for no
	// limit.
	WriteTimeout time.Duration
	// Guard bounds what clients take, and Port is the name of the port there. With a Guard,
	// ReadTimeout limits only the time to read a head: bodies must make progress.
	Guard *Guard
	Port  string
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout time.Duration
}

// The defaults for limits that are not set in a Config.
const (
	DefaultMaxHeaderBytes = 32 << 10
	DefaultReadTimeout    = 30 * time.Second
	DefaultIdleTimeout    = 90 * time.Second
)

// Server is a running HTTP server.
type Server struct {
	cfg      Config
	http     *http.Server
	listener *listener
	done     chan struct{}

	mu sync.Mutex
	// unused holds the connections on which nothing was received.
	unused map[net.Conn]struct{}

	openConns atomic.Int64
}

// Listen opens the listener and starts serving requests.
func Listen(ctx context.Context, cfg Config) (*Server, error) {
	var lc net.ListenConfig
	tcp, err := lc.Listen(ctx, "tcp", cfg.Address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Address, err)
	}
	if cfg.Guard != nil && cfg.Guard.cfg.Hold.SocketBytes > 0 {
		// Connections inherit the size, which limits the window that clients are told.
		if err := setReadBuffer(tcp.(*net.TCPListener), cfg.Guard.cfg.Hold.SocketBytes); err != nil {
			cfg.Logger.Warn("failed to set the buffer size of connections", "address", cfg.Address, "error", err)
		}
	}
	l := &listener{TCPListener: tcp.(*net.TCPListener), clock: cfg.Clock, guard: cfg.Guard, port: cfg.Port, writeTimeout: cfg.WriteTimeout}
	s := &Server{cfg: cfg, listener: l, done: make(chan struct{}), unused: make(map[net.Conn]struct{})}
	s.http = &http.Server{
		Handler:           cfg.Handler,
		MaxHeaderBytes:    orDefault(cfg.MaxHeaderBytes, DefaultMaxHeaderBytes),
		ReadHeaderTimeout: orDefault(cfg.ReadTimeout, DefaultReadTimeout),
		ReadTimeout:       orDefault(cfg.ReadTimeout, DefaultReadTimeout),
		IdleTimeout:       orDefault(cfg.IdleTimeout, DefaultIdleTimeout),
		ErrorLog:          cfg.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	s.http.ConnState = s.trackConn
	if cfg.Guard != nil {
		s.http.Handler = cfg.Guard.wrapHandler(cfg.Handler)
		s.http.ConnContext = connContext
		s.http.ReadTimeout = 0
	}
	go s.run()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort {
	addr, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return addr
}

// trackConn counts open connections, and holds those that have sent nothing.
func (s *Server) trackConn(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unused, conn)
	if c := guarded(conn); c != nil && state == http.StateIdle {
		c.guard.account.SetPhase(c.holder, hold.Idle, c.guard.cfg.Clock.Boot())
	}
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
		s.unused[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	default:
	}
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int64 { return s.openConns.Load() }

// StopListening stops accepting connections. Open ones are still served, including idle
// ones: closing an idle connection could race with a request that is being sent on it.
func (s *Server) StopListening(ctx context.Context) {
	s.listener.stopping.Store(true)
	if err := s.listener.drain(ctx); err != nil {
		s.cfg.Logger.Warn("connections that are not accepted yet will be reset", "address", s.cfg.Address, "error", err)
	}
	_ = s.listener.Close()
	<-s.done
}

// unusedTime is how long, after connections are no longer accepted, one that has sent nothing
// stays open: its request may be on the way.
const unusedTime = 200 * time.Millisecond

// Shutdown stops accepting connections and waits for the requests in progress. Connections on
// which no request came are closed: the HTTP server would read one that comes later, and not
// answer it.
func (s *Server) Shutdown(ctx context.Context) error {
	s.listener.stopping.Store(true)
	defer s.listener.closing.Wait()
	if s.hasUnused() {
		if err := clock.Sleep(ctx, s.cfg.Clock, unusedTime); err != nil {
			return fmt.Errorf("stop server on %s: %w", s.cfg.Address, err)
		}
	}
	s.closeUnused()
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop server on %s: %w", s.cfg.Address, err)
	}
	<-s.done
	return nil
}

func (s *Server) hasUnused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unused) > 0
}

func (s *Server) closeUnused() {
	s.mu.Lock()
	unused := slices.Collect(maps.Keys(s.unused))
	s.mu.Unlock()
	for _, conn := range unused {
		if err := conn.Close(); err != nil {
			s.cfg.Logger.Debug("failed to close an unused connection", "error", err)
		}
	}
}

// Close closes all connections immediately.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

func (s *Server) run() {
	defer close(s.done)
	var l net.Listener = s.listener
	if s.cfg.TLS != nil {
		l = tls.NewListener(l, s.cfg.TLS)
	}
	err := s.http.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) && !s.listener.stopping.Load() {
		s.cfg.Logger.Error("HTTP server failed", "address", s.cfg.Address, "error", err)
	}
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
