package hosted_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/platform"
	"cicadastand.dev/router/hosted"
	"cicadastand.dev/stand/depot"
	"cicadastand.dev/stand/model"
)

// revokeTime is how long a key may be used without proof in these tests.
const revokeTime = 2 * time.Second

// patience bounds the wait for something that has to happen.
const patience = 10 * time.Second

// rig is a small deployment: a store, endpoints and hosts.
type rig struct {
	t       *testing.T
	depot   *depot.Depot
	servers map[string]*model.Endpoint
	address map[string]string
	hosts   []host
	// planned is the number of hosts, and store where they find the store.
	planned int
	store   string
}

type host struct {
	*hosted.Host
	url   string
	ready string
}

func newRig(t *testing.T, hosts int) *rig {
	t.Helper()
	r := &rig{t: t, depot: depot.New(), servers: make(map[string]*model.Endpoint), address: make(map[string]string)}
	store := httptest.NewServer(r.depot)
	t.Cleanup(store.Close)
	r.planned, r.store = hosts, strings.TrimPrefix(store.URL, "http://")
	return r
}

// begin starts the hosts. What stands in the store by then is in their first read.
func (r *rig) begin() {
	for len(r.hosts) < r.planned {
		r.hosts = append(r.hosts, r.host(len(r.hosts), r.store))
	}
}

// freePort returns a port on which nothing listens.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (r *rig) host(i int, store string) host {
	callers, ready, peers := freePort(r.t), freePort(r.t), freePort(r.t)
	text := fmt.Sprintf(`
node_name = "host-%d"
zone = "zone-%d"
ip = "127.0.0.1"
internal_ports = [%d,%d]
heartbeat_ms = 1200
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
version_ms = 6000
[platform]
address = %q
`, i, i, peers.Port(), peers.Port(), callers, ready, revokeTime.Milliseconds(), store)
	path := filepath.Join(r.t.TempDir(), "local.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	p, err := platform.Open(path)
	if err != nil {
		r.t.Fatal(err)
	}
	h := hosted.New(hosted.Config{Platform: p, Clock: clock.New(), Logger: hclog.New(&hclog.LoggerOptions{Output: io.Discard})})
	if err := h.Start(context.Background()); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(h.Close)
	return host{Host: h, url: "http://" + callers.String(), ready: "http://" + ready.String() + platform.ReadinessPath}
}

// endpoint starts an endpoint and enters it into the store.
func (r *rig) endpoint(id, service, zone string, cfg model.Config) *model.Endpoint {
	cfg.ID = id
	e := model.New(cfg)
	server := httptest.NewServer(e)
	r.t.Cleanup(server.Close)
	r.servers[id], r.address[id] = e, strings.TrimPrefix(server.URL, "http://")
	r.enter(id, service, zone, "ready", 1)
	return e
}

func (r *rig) enter(id, service, zone, state string, sequence int) {
	r.put("keyed.servers", id, r.servers[id].Entry(service, r.address[id], zone, state, sequence))
}

func (r *rig) put(topic, key string, value any) {
	r.t.Helper()
	if err := r.depot.Put(topic, key, value); err != nil {
		r.t.Fatal(err)
	}
}

// config publishes a version whose only account has the given keys.
func (r *rig) config(version int, keys ...string) {
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "route_kind": kind, "service": service,
			"timeout_ms": 3000, "target_latency_ms": 500, "max_attempts": attempts, "resumable": kind == "streaming", "target_gap_ms": 300,
		}
	}
	r.put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("chat", "streaming", "engines", 2),
			route("order", "non_idempotent", "shop", 2),
			route("lookup", "idempotent", "shop", 2),
		},
		"services": []any{
			map[string]any{"name": "engines", "engine": map[string]any{"slots": 4, "kv_capacity": 100000, "token_kv_bytes": 327680, "link_mbps": 1100000, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "shop"},
			map[string]any{"name": "store", "kv_store_address": "127.0.0.1:9", "kv_capacity": 1000000},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "acme", "api_keys": keys, "isolated": true}},
	})
}

func (r *rig) isReady(h host) bool {
	resp, err := http.Get(h.ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *rig) eventually(what string, holds func() bool) {
	r.t.Helper()
	until := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(until) {
			r.t.Fatalf("not in %v: %s", patience, what)
		}
		time.Sleep(5 * time.Millisecond) // looks again until it holds
	}
}

// started publishes a configuration and waits until all hosts serve by it.
func (r *rig) started() {
	r.config(1, "key")
	r.begin()
	for _, h := range r.hosts {
		r.eventually("host is ready", func() bool { return r.isReady(h) })
	}
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r *rig) ask(h host, method, path, id, key, body string) reply {
	r.t.Helper()
	req, err := http.NewRequest(method, h.url, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.URL.Opaque = path
	req.Host = "a.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "2500", "X-Model": "m", "X-Token-Usage": "1000,20",
		"X-Prompt-Prefix": "aa:800,bb:200", "X-Tenant": "forged", "X-Hold": "forged",
	} {
		req.Header.Set(name, value)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}
