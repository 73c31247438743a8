package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playing is the cluster of the case that is played.
var playing *cluster

// must ends the case if a stand-in can't do its part.
func must(err error) {
	if err == nil {
		return
	}
	if playing == nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCantRun)
	}
	playing.note("can't run: %v", err)
	playing.end(exitCantRun)
}

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// cluster is a small deployment on loopback addresses.
type cluster struct {
	root    string
	dir     string
	net     string
	memory  int
	store   *store
	engines []*engine
	hosts   []*host
	record  *os.File
	started time.Time
	trouble string

	// ending is held by the one who ends the processes, or starts one again.
	ending sync.Mutex

	mu   sync.Mutex
	runs []run
}

// host is one process of the router.
type host struct {
	name string
	ip   string
	zone string
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

func (h *host) front() string { return h.ip + ":8782" }

func newCluster(root, recordFile string) *cluster {
	dir, err := os.MkdirTemp("", "probe")
	must(err)
	record, err := os.Create(recordFile)
	must(err)
	pid := os.Getpid()
	trouble := os.Getenv("TROUBLE")
	if trouble == "" {
		trouble = "1"
	}
	c := &cluster{root: root, dir: dir, net: fmt.Sprintf("127.%d.%d.", 10+pid%200, (pid/200)%250), memory: 134, record: record, started: time.Now(), trouble: trouble}
	playing = c
	c.store = newStore(c.ip(100) + ":0")
	c.note("TROUBLE=%s", trouble)
	return c
}

func (c *cluster) ip(n int) string { return c.net + strconv.Itoa(n) }

// note writes a line to the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(c.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(c.record, line)
	fmt.Println(line)
}

func (c *cluster) began(r run) {
	c.mu.Lock()
	c.runs = append(c.runs, r)
	c.mu.Unlock()
	if !strings.Contains(r.id, "warm") {
		c.note("engine %s (software %s) runs %s from event %d", r.engine, r.build, r.id, r.first)
	}
}

func (c *cluster) runsOf(id string) []run {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []run
	for _, r := range c.runs {
		if r.id == id {
			out = append(out, r)
		}
	}
	return out
}

// startHosts starts one process for each zone, with the command of the deploy file.
func (c *cluster) startHosts(zones ...string) {
	command := deployCommand(filepath.Join(c.root, "deploy", "system.toml"))
	for i, zone := range zones {
		h := &host{name: string(rune('a' + i)), ip: c.ip(i + 1), zone: zone, done: make(chan struct{})}
		settings := filepath.Join(c.dir, h.name+".toml")
		must(os.WriteFile(settings, []byte(c.settings(h)), 0o600))
		h.log = filepath.Join(c.dir, h.name+".log")
		out, err := os.Create(h.log)
		must(err)
		h.cmd = exec.Command(filepath.Join(c.root, command[0]), command[1:]...)
		h.cmd.Dir = c.root
		h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADASTAND_SETTINGS=" + settings}
		h.cmd.Stdout, h.cmd.Stderr = out, out
		must(h.cmd.Start())
		go func() {
			_ = h.cmd.Wait()
			close(h.done)
		}()
		c.hosts = append(c.hosts, h)
	}
}

// deployCommand returns the words of the command of the one role.
func deployCommand(path string) []string {
	raw, err := os.ReadFile(path)
	must(err)
	for _, line := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	must(fmt.Errorf("no command in %s", path))
	return nil
}

func (c *cluster) settings(h *host) string {
	return fmt.Sprintf(`node_name = "%[1]s"
role = "router"
machine_class = "front"
serves = ["front"]
ip = "%[2]s"
zone = "%[3]s"
region = "r"
internal_ports = [7340,7355]
seeds = []
first_start = true
loss_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[listen]
front = "%[2]s:8782"
ready = "%[2]s:8789"
control = "%[2]s:8783"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %[4]d
max_fds = 4100
link_mbps = 1000.0
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
address = "%[5]s"
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
`, h.name, h.ip, h.zone, c.memory, c.store.address)
}

// putConfig writes the operator's configuration: orders and lookups at the service "shop",
// streams at the service "engines", of which those under /chat/ may be resumed.
func (c *cluster) putConfig(version int) {
	route := func(name, prefix, kind, service string, timeout, attempts int, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": "a.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout, "target_latency_ms": 500, "priority": 0,
			"service": service, "max_attempts": attempts, "public": false, "sticky": service == "engines", "resumable": resumable, "target_gap_ms": 400}
	}
	c.store.put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("order", "/order/", "non_idempotent", "shop", 12000, 1, false),
			route("lookup", "/lookup/", "idempotent", "shop", 4000, 2, false),
			route("chat", "/chat/", "streaming", "engines", 12000, 2, true),
			route("note", "/note/", "streaming", "engines", 12000, 1, false),
		},
		"services": []any{
			map[string]any{"name": "shop", "health_path": "/health", "max_connections": 230, "protocol": "h1", "tls": false},
			map[string]any{"name": "engines", "health_path": "/health", "max_connections": 230, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 32, "kv_capacity": 212434, "token_kv_bytes": 327680, "link_mbps": 1500000.0, "moves": true, "backups": true, "stride": 7, "max_inflight": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t", "api_keys": []string{"key"}, "priority": 1, "isolated": false}},
	})
}

// eventually waits until a condition holds. The case can't run if it does not.
func (c *cluster) eventually(what string, most time.Duration, holds func() bool) {
	for until := time.Now().Add(most); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			c.note("can't run: %s", what)
			c.end(exitCantRun)
		}
	}
}

func (c *cluster) waitReady() {
	for _, h := range c.hosts {
		c.eventually("host "+h.name+" is ready", 15*time.Second, func() bool {
			resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + h.ip + ":8789/api/readiness")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == 200
		})
		c.eventually("host "+h.name+" knows the others", 15*time.Second, func() bool { return h.count("host registered") >= len(c.hosts)-1 })
	}
	c.note("all hosts are ready")
}

// count returns how often a text stands in the log of a host.
func (h *host) count(text string) int {
	raw, _ := os.ReadFile(h.log)
	return bytes.Count(raw, []byte(text))
}

// end ends all processes and exits.
func (c *cluster) end(code int) {
	c.ending.Lock()
	for _, h := range c.hosts {
		_ = h.cmd.Process.Kill()
		<-h.done
	}
	c.note("exit %d", code)
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
	os.Exit(code)
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	// events are the events of a stream, in order.
	events []string
	body   int
	err    error
	took   time.Duration
}

// channel is a client's channel to a host, which it keeps.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, r: bufio.NewReader(conn)}, nil
}

// request is a client's request.
type request struct {
	id, method, path string
	header           []string
	body             []byte
	deadline         time.Duration
}

// head returns the head of the request.
func (q request) head() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key\r\n", q.method, q.path, q.id, q.deadline.Milliseconds())
	for _, h := range q.header {
		head += h + "\r\n"
	}
	if q.method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return head + "\r\n"
}

// send sends a request and reads its answer.
func (ch *channel) send(q request, onEvent func(string)) answer {
	began := time.Now()
	if q.deadline == 0 {
		q.deadline = 12 * time.Second
	}
	_ = ch.conn.SetDeadline(began.Add(q.deadline + time.Second))
	if _, err := ch.conn.Write(append([]byte(q.head()), q.body...)); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	resp, err := http.ReadResponse(ch.r, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		lines := bufio.NewScanner(resp.Body)
		event := ""
		for lines.Scan() {
			if lines.Text() != "" {
				event += lines.Text() + "|"
				continue
			}
			a.events = append(a.events, event)
			if onEvent != nil {
				onEvent(event)
			}
			event = ""
		}
		a.err = lines.Err()
	} else {
		var n int64
		n, a.err = io.Copy(io.Discard, resp.Body)
		a.body = int(n)
	}
	a.took = time.Since(began)
	return a
}

// once sends a request on a new channel.
func once(h *host, q request) answer {
	ch, err := dial(h.front())
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = ch.conn.Close() }()
	return ch.send(q, nil)
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }
