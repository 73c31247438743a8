package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// Figures of the small deployment epma-bancos.
	memoryMB  = 134
	kvTokens  = 212434
	modelSlot = 32
	routeHost = "quotes.example"
	modelPath = "/check/"
	longPath  = "/quote/"
	orderPath = "/orders/"
	readPath  = "/stock/"
	key       = "ctnfzs989anu6wsjnban"
)

// world is one small deployment on loopback addresses.
type world struct {
	dir     string
	root    string
	prefix  string
	store   *store
	routers []*router
	engines []*engine
	runs    *runs
	record  *record
	// started is set once the system has started for the first time.
	started bool
}

// runs counts at how many engines each request has run.
type runs struct {
	mu sync.Mutex
	by map[string][]string
}

func (r *runs) add(id, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[id] = append(r.by[id], engine)
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.by[id]
}

func (r *runs) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.by)
}

// record writes what happens to a file.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func newWorld(root string, rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "trial-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, root: root, runs: &runs{by: make(map[string][]string)}, record: rec}
	// A free loopback network: all ports are the same on all machines.
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", w.prefix+"9:8784")
		if err != nil {
			continue
		}
		_ = l.Close()
		if w.store, err = startStore(w.prefix + "9:8784"); err == nil {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free loopback address")
}

func (w *world) publish(version int, change func(config map[string]any)) {
	route := func(name, path, kind, service string, timeout, target, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": routeHost, "path_prefix": path, "route_kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": priority, "service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable, "target_gap_ms": 400}
	}
	config := map[string]any{
		"version": version,
		"routes": []any{
			route("long", longPath, "streaming", "asistente", 12000, 500, 0, 2, true),
			route("check", modelPath, "streaming", "asistente", 2500, 1500, 2, 1, false),
			route("order", orderPath, "non_idempotent", "pedidos", 2000, 300, 2, 1, false),
			route("stock", readPath, "idempotent", "pedidos", 2000, 300, 2, 2, false),
		},
		"services": []any{
			map[string]any{"name": "asistente", "health_path": "/health", "max_connections": 230, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": modelSlot, "kv_capacity": kvTokens, "token_kv_bytes": 327680, "link_mbps": 1500000.0, "moves": true, "backups": true, "stride": 7,
				"max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": model}}}},
			map[string]any{"name": "pedidos", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "sese880", "api_keys": []any{key}, "priority": 1, "isolated": false}},
	}
	if change != nil {
		change(config)
	}
	w.store.put("keyed.op", "config", config)
	w.store.put("keyed.op", "version/"+model, map[string]any{"model": model, "version": 1})
}

// router is a process of the project.
type router struct {
	name  string
	ip    string
	front string
	ready string
	cmd   *exec.Cmd
	log   string
	done  chan struct{}
	// link is the bandwidth of the machine's link in Mbit/s.
	link int
}

func (w *world) settings(r *router, zone string) string {
	return fmt.Sprintf(`node_name = %q
role = "router"
machine_class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "sierra-centro"
internal_ports = [7340,7355]
seeds = []
first_start = %v
loss_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
quito-norte = "sierra-centro"
quito-sur = "sierra-centro"
latacunga = "sierra-centro"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = %d.0
disk_mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
downgrade_ms = 250
stretch_max_ms = 5000
strict_revoke = true
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 52
recover_s = 12
transit_ms = 120
reuse_window_s = 10
fencing_enforced = false
lease_ms = 3000
thaw_ms = 300
version_ms = 6000
version_all_ms = 8400
[platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
`, r.name, r.ip, zone, !w.started, r.front, r.ready, memoryMB, r.link, w.store.addr)
}

// startRouter starts a process with the command of the deploy file.
func (w *world) startRouter(n int, zone string, options ...func(*router)) (*router, error) {
	ip := fmt.Sprintf("%s%d", w.prefix, 10+n)
	r := &router{name: fmt.Sprintf("front-%s-%d", zone, n), ip: ip, front: ip + ":8782", ready: ip + ":8789", done: make(chan struct{}), link: 1000}
	for _, set := range options {
		set(r)
	}
	path := filepath.Join(w.dir, r.name+".toml")
	if err := os.WriteFile(path, []byte(w.settings(r, zone)), 0o600); err != nil {
		return nil, err
	}
	r.log = filepath.Join(w.dir, r.name+".out")
	out, err := os.Create(r.log)
	if err != nil {
		return nil, err
	}
	r.cmd = exec.Command(filepath.Join(w.root, "target/cicada-router"), "-metrics-port", "9464")
	r.cmd.Dir = w.root
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", "CICADASTAND_SETTINGS=" + path}
	r.cmd.Stdout, r.cmd.Stderr = out, out
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = r.cmd.Wait()
		_ = out.Close()
		close(r.done)
	}()
	w.routers = append(w.routers, r)
	return r, nil
}

// restart starts the process of a machine again.
func (w *world) restart(i int, zone string) error {
	rest := w.routers
	r, err := w.startRouter(i, zone)
	w.routers = rest
	if err == nil {
		w.routers[i] = r
	}
	return err
}

// resident returns the resident memory of the process in bytes, without the pages of its files; 0 once
// it has ended.
func (r *router) resident() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, pages, shared int64
	if _, err := fmt.Sscan(string(raw), &size, &pages, &shared); err != nil {
		return 0
	}
	return (pages - shared) * int64(os.Getpagesize())
}

func (r *router) hasEnded() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// awaitReady waits until all routers say that they are ready.
func (w *world) awaitReady(most time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range w.routers {
			if resp, err := client.Get("http://" + r.ready + "/api/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.routers) {
			w.started = true
			return nil
		}
	}
	return fmt.Errorf("routers are not ready")
}

func (w *world) close() {
	for _, r := range w.routers {
		_ = r.cmd.Process.Kill()
		<-r.done
	}
	for _, e := range w.engines {
		e.end()
	}
	if w.store != nil {
		_ = w.store.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// startAll publishes the configuration and starts engines and routers, and waits until they know each
// other.
func (w *world) startAll(models, orders int) error {
	zones := []string{"quito-norte", "quito-sur", "latacunga"}
	w.publish(7, nil)
	for i := range models {
		e, err := w.startEngine(fmt.Sprintf("i-m%02d", i), "asistente", zones[i%len(zones)], fmt.Sprintf("%s%d:8180", w.prefix, 100+i), true)
		if err != nil {
			return err
		}
		w.engines = append(w.engines, e)
	}
	for i := range orders {
		e, err := w.startEngine(fmt.Sprintf("i-o%02d", i), "pedidos", zones[i%len(zones)], fmt.Sprintf("%s%d:8180", w.prefix, 140+i), false)
		if err != nil {
			return err
		}
		w.engines = append(w.engines, e)
	}
	for i, zone := range zones {
		if _, err := w.startRouter(i, zone); err != nil {
			return err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // until the hosts know each other
	w.record.say("%d routers and %d engines are ready", len(w.routers), len(w.engines))
	return nil
}

func mustJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return strings.TrimSpace(string(raw))
}
