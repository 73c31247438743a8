package hosted_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/platform"
	"cicadastand.dev/router/hosted"
	"cicadastand.dev/stand/memdb"
	"cicadastand.dev/stand/server"
)

// revokeTime is the default of the field of the same name.
const revokeTime = 2 * time.Second

// eventuallyTimeout bounds the wait for an expected condition.
const eventuallyTimeout = 10 * time.Second

// cluster is a deployment in one process: a store, endpoints and hosts.
type cluster struct {
	t       *testing.T
	store   *memdb.Store
	servers map[string]*server.Endpoint
	address map[string]string
	hosts   []host
	// hostCount is the number of hosts to start, and storeAddress the address of the store.
	hostCount    int
	storeAddress string
	// weights divides the streams between services; nil for the service "engines" only.
	weights map[string]int
	// link is the path of the first two hosts to the endpoints; nil for a whole one.
	link *link
	// restarted is set if the hosts that start are not the first ones.
	restarted bool
	// routeTime is the time limit of all routes.
	routeTime time.Duration
	// versionTime is how long requests may start on weights after a newer version was published.
	versionTime time.Duration
	// revokeTime is how long an API key may be used after the last read of the configuration.
	revokeTime time.Duration
}

type host struct {
	*hosted.Host
	url   string
	ready string
	log   *hostLog
}

// hostLog holds what a host has logged.
type hostLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *hostLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// count returns how often a text was logged.
func (l *hostLog) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Count(l.text.Bytes(), []byte(text))
}

func newCluster(t *testing.T, hosts int) *cluster {
	t.Helper()
	c := &cluster{t: t, store: memdb.New(), servers: make(map[string]*server.Endpoint), address: make(map[string]string), versionTime: 6 * time.Second, revokeTime: revokeTime, routeTime: 3 * time.Second}
	store := httptest.NewServer(c.store)
	t.Cleanup(store.Close)
	c.hostCount, c.storeAddress = hosts, strings.TrimPrefix(store.URL, "http://")
	return c
}

// startHosts starts the hosts. Their first read returns what the store holds by then.
func (c *cluster) startHosts() {
	for len(c.hosts) < c.hostCount {
		c.hosts = append(c.hosts, c.startHost(len(c.hosts), c.storeAddress))
	}
}

// Ports are taken from a range below the ephemeral ports of the kernel, from 32768 on, so
// that no outgoing connection takes one before its host listens.
const (
	firstPort = 10_000
	portCount = 10_000
)

// portsTaken is the number of ports that freeAddress has tried in this test process.
var portsTaken atomic.Int64

// freeAddress returns a loopback address with an unused port. Other test processes do not
// get it during the test: the UDP port of the same number is held as a claim.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portsTaken.Add(1)%portCount)
		claim, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			_ = claim.Close()
			continue
		}
		_ = l.Close()
		t.Cleanup(func() { _ = claim.Close() })
		return netip.MustParseAddrPort(address)
	}
	t.Fatal("no free port at 127.0.0.1")
	return netip.AddrPort{}
}

func (c *cluster) startHost(i int, store string) host {
	callers, ready, peers := freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
	text := fmt.Sprintf(`
node_name = "host-%d"
zone = "zone-%d"
ip = "127.0.0.1"
internal_ports = [%d,%d]
heartbeat_ms = 1200
first_start = %t
[listen]
front = %q
ready = %q
[limits]
cpu_share = 1.0
memory_mb = 500
[bounds]
drain_ms = 2000
grace_s = 4
revoke_ms = %d
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 40
lease_ms = 600
version_ms = %d
quota_window_s = 8
quota_overage = 0.1
quota_slack = 140000
[platform]
address = %q
`, i, i, peers.Port(), peers.Port(), !c.restarted, callers, ready, c.revokeTime.Milliseconds(), c.versionTime.Milliseconds(), store)
	path := filepath.Join(c.t.TempDir(), "local.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p, err := platform.Open(path)
	if err != nil {
		c.t.Fatal(err)
	}
	log := &hostLog{}
	cfg := hosted.Config{Platform: p, Clock: clock.New(), Logger: hclog.New(&hclog.LoggerOptions{Output: log})}
	if c.link != nil && i < 2 {
		cfg.Dial = c.link.dial
	}
	h := hosted.New(cfg)
	if err := h.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(h.Close)
	return host{Host: h, url: "http://" + callers.String(), ready: "http://" + ready.String() + platform.ReadinessPath, log: log}
}

// startEndpoint starts an endpoint and adds its entry to the store.
func (c *cluster) startEndpoint(id, service, zone string, cfg server.Config) *server.Endpoint {
	cfg.ID = id
	e := server.New(cfg)
	httpServer := httptest.NewServer(e)
	c.t.Cleanup(httpServer.Close)
	c.servers[id], c.address[id] = e, strings.TrimPrefix(httpServer.URL, "http://")
	c.putEndpoint(id, service, zone, "ready", 1)
	return e
}

func (c *cluster) putEndpoint(id, service, zone, state string, sequence int) {
	c.put("keyed.servers", id, c.servers[id].Entry(service, c.address[id], zone, state, sequence))
}

func (c *cluster) put(topic, key string, value any) {
	c.t.Helper()
	if err := c.store.Put(topic, key, value); err != nil {
		c.t.Fatal(err)
	}
}

// putConfig publishes a configuration version whose only account has the given API keys.
func (c *cluster) putConfig(version int, keys ...string) {
	c.putTenants(version, map[string]any{"name": "acme", "api_keys": keys, "isolated": true})
}

func (c *cluster) putTenants(version int, tenants ...map[string]any) {
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "route_kind": kind, "service": service,
			"timeout_ms": c.routeTime.Milliseconds(), "target_latency_ms": 500, "max_attempts": attempts, "resumable": kind == "streaming", "target_gap_ms": 300,
		}
	}
	chat := route("chat", "streaming", "engines", 2)
	if c.weights != nil {
		delete(chat, "service")
		chat["backends"] = lo.MapToSlice(c.weights, func(service string, weight int) map[string]any {
			return map[string]any{"service": service, "weight": weight}
		})
	}
	c.put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{
			chat,
			route("order", "non_idempotent", "shop", 2),
			route("lookup", "idempotent", "shop", 2),
			route("ask", "idempotent", "engines", 2),
		},
		"services": []any{
			map[string]any{"name": "engines", "engine": map[string]any{"slots": 4, "kv_capacity": 100000, "token_kv_bytes": 327680, "link_mbps": 1100000, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "others", "engine": map[string]any{"slots": 4, "kv_capacity": 100000, "token_kv_bytes": 327680, "link_mbps": 1100000, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "shop"},
			map[string]any{"name": "store", "kv_store_address": "127.0.0.1:9", "kv_capacity": 1000000},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
}

func (c *cluster) isReady(h host) bool {
	resp, err := http.Get(h.ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	until := time.Now().Add(eventuallyTimeout)
	for !holds() {
		if time.Now().After(until) {
			c.t.Fatalf("condition did not hold within %v: %s", eventuallyTimeout, what)
		}
		time.Sleep(5 * time.Millisecond) // polls until the condition holds
	}
}

// startServing publishes a configuration, starts the hosts and waits until all of them are ready.
func (c *cluster) startServing() {
	c.putConfig(1, "key")
	c.startHosts()
	for _, h := range c.hosts {
		c.eventually("host is ready", func() bool { return c.isReady(h) })
	}
}

// response is the response that a client received.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (c *cluster) send(h host, method, path, id, key, body string) response {
	c.t.Helper()
	return c.sendPrompt(h, method, path, id, key, body, "aa:800,bb:200")
}

// sendPrompt sends a request whose prompt has the given parts.
func (c *cluster) sendPrompt(h host, method, path, id, key, body, parts string) response {
	c.t.Helper()
	return c.sendHeader(h, method, path, id, key, body, parts, nil)
}

// sendHeader sends a request with additional headers.
func (c *cluster) sendHeader(h host, method, path, id, key, body, parts string, header map[string]string) response {
	c.t.Helper()
	req, err := http.NewRequest(method, h.url, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.URL.Opaque = path
	req.Host = "a.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "2500", "X-Model": "m", "X-Token-Usage": fmt.Sprint(promptTokens(parts), ",20"),
		"X-Prompt-Prefix": parts, "X-Tenant": "forged", "X-Hold": "forged",
	} {
		req.Header.Set(name, value)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

// promptTokens returns the number of tokens of the parts of a prompt.
func promptTokens(parts string) int {
	sum := 0
	for part := range strings.SplitSeq(parts, ",") {
		_, text, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(text)
		sum += n
	}
	return sum
}

// rawServer is an endpoint that handles each connection on its own, without an HTTP server.
type rawServer struct {
	listener net.Listener
	handle   func(net.Conn)
}

// startRawServer starts a raw server in place of an endpoint that was started before.
func (c *cluster) startRawServer(id, service string, handle func(net.Conn)) {
	c.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	s := &rawServer{listener: l, handle: handle}
	go s.run()
	c.t.Cleanup(func() { _ = l.Close() })
	c.address[id] = l.Addr().String()
	c.putEndpoint(id, service, "zone-0", "ready", 2)
}

func (s *rawServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(conn)
	}
}

func (s *rawServer) loop(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.handle(conn)
}
