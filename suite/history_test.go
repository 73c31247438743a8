package suite

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/claim"
	"cicadastand.dev/core/coord/commit"
	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/proto/logapi"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/ledger"
	"cicadastand.dev/core/state/stream"
	"cicadastand.dev/router/invoke"
	"cicadastand.dev/stand/fault"
	"cicadastand.dev/stand/platform"
	"cicadastand.dev/stand/service"
)

// historySeeds returns the number of seeds with which each history test runs. The
// environment variable CICADA_SEEDS overrides the default.
func historySeeds() int {
	if n, err := strconv.Atoi(os.Getenv("CICADA_SEEDS")); err == nil {
		return n
	}
	return 12
}

// testEnv holds a platform and an order service that inject faults. They and the hosts
// that use them run within the test process.
type testEnv struct {
	platform     *platform.Platform
	platformAddr netip.AddrPort
	service      *httptest.Server
	faults       *fault.Injector
	view         *conf.View
	servers      []*httptest.Server
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func newTestEnv(t *testing.T, seed uint64) *testEnv {
	p := platform.New(platform.Config{Clock: clock.New(), AppendsPerSecond: 10_000, Seed: seed})
	ps := httptest.NewServer(p.Handler())
	svc := service.New(service.Config{Clock: clock.New(), Work: time.Millisecond, Seed: seed})
	ss := httptest.NewServer(svc.Handler())
	env := &testEnv{platform: p, platformAddr: addressOf(ps), service: ss, servers: []*httptest.Server{ps, ss}}
	env.faults = fault.NewInjector(clock.New(), seed)
	state := conf.New()
	text := fmt.Sprintf("services: [{name: shop, status-path: \"/orders/{key}\"}]\nendpoints: [{name: s1, failure-domain: d, kind: service, serves: [shop], address: %q}]\n", addressOf(ss))
	rec := conf.Record{Kind: conf.KindChange, ID: "x", Change: &conf.Change{Document: "fleet", Text: text}}
	data, err := rec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if v := state.Apply(stream.Record{Offset: 1, Data: data}); v.Outcome != conf.Accepted {
		t.Fatal(v.Reason)
	}
	env.view = state.View()
	return env
}

// View returns the same configuration to all hosts.
func (env *testEnv) View() *conf.View { return env.view }

func (env *testEnv) close() {
	for _, s := range env.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

func (env *testEnv) setService(text string) error {
	resp, err := http.Post(env.service.URL+"/control/faults", "application/json", strings.NewReader(text))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// host holds the components of a router that handle orders and configuration.
type host struct {
	env     *testEnv
	log     *logapi.Client
	claims  *claim.Coordinator
	caller  *invoke.Caller
	store   *follow.Store
	publish *commit.Publisher
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	killed  chan struct{}
	// beforeDial is called before each connection is opened, at which time the order
	// has won its claim. Tests use it to delay the call.
	beforeDial func()
}

var errHostKilled = errors.New("the host has been killed")

func newHost(env *testEnv) *host {
	h := &host{env: env, killed: make(chan struct{}), store: follow.NewStore(), beforeDial: func() {}}
	logger := hclog.NewNullLogger()
	h.log = logapi.New(logapi.Config{Clock: clock.New(), Address: env.platformAddr, Timeout: 200 * time.Millisecond})
	h.claims = claim.New(claim.Config{Clock: clock.New(), Log: h.log, Ledger: ledger.DefaultConfig(), Logger: logger})
	h.caller = invoke.New(invoke.Config{
		Clock: clock.New(), Views: env, Health: health.New(health.DefaultConfig()), Claims: h.claims, Dial: h.dial, Logger: logger,
	})
	h.publish = commit.New(commit.Config{Clock: clock.New(), Log: h.log, Store: h.store, Logger: logger})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.start(func() { h.claims.Run(ctx) })
	h.start(func() { h.reader(stream.Claims, h.claims).Run(ctx) })
	h.start(func() { h.reader(stream.Config, h.store).Run(ctx) })
	return h
}

func (h *host) start(loop func()) { h.loops.Go(loop) }

func (h *host) reader(name string, sink follow.Sink) *follow.Reader {
	return follow.NewReader(follow.ReaderConfig{Clock: clock.New(), Log: h.log, Stream: name, Sink: sink, Logger: hclog.NewNullLogger()})
}

// dial calls beforeDial and opens a connection, unless the host has been killed in the
// meantime.
func (h *host) dial(ctx context.Context, network, address string) (net.Conn, error) {
	h.beforeDial()
	select {
	case <-h.killed:
		return nil, errHostKilled
	default:
		var d net.Dialer
		return d.DialContext(ctx, network, address)
	}
}

// kill ends a host at once, like a crash. Callers treat responses that it still
// returns as lost.
func (h *host) kill() {
	close(h.killed)
	h.cancel()
	h.loops.Wait()
	h.log.Close()
	h.caller.Close()
}

func (h *host) isKilled() bool {
	select {
	case <-h.killed:
		return true
	default:
		return false
	}
}
