package suite

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/proto/loadpb"
	"cicadastand.dev/core/proto/peerpb"
	"cicadastand.dev/stand/memdb"
	"cicadastand.dev/stand/server"
)

const (
	// hostMemory is the memory limit of the smallest hosts, and so the bound of the tests.
	hostMemory = 112 << 20
	// softMemoryPercent is the part of it that is Go's soft limit, as in the hosted mode.
	softMemoryPercent = 60
	// hostFiles is the limit of open descriptors.
	hostFiles = 700
	// maxBody and maxHeader are the limits of the operator's configuration.
	maxBody   = 4 << 20
	maxHeader = 16 << 10
	// servedTimeout is how long an ordinary request is repeated until it is served.
	servedTimeout = 15 * time.Second
)

// hostUnderTest is a router process that a crowd of clients meets. The program is built without
// the race detector, which takes several times the memory.
type hostUnderTest struct {
	pid  int
	done <-chan struct{}
	log  string
	// callers, peers and others are the addresses of its ports; others are for operators,
	// readiness or metrics.
	callers string
	peers   string
	others  string
	// peerMethod is a method of the port for other hosts.
	peerMethod string
	// order is the request line and header lines of an ordinary request that has a body, lookup
	// of one with a long response, and stream of one with a streamed response.
	order  string
	lookup string
	stream string
	// orderBody, lookupBody and streamBody are their bodies.
	orderBody  string
	lookupBody string
	streamBody string
}

// buildRouter builds the router without the race detector.
func buildRouter(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cicada-router")
	out, err := exec.Command("go", "build", "-o", path, "cicadastand.dev/router/cmd/cicada-router").CombinedOutput()
	if err != nil {
		t.Fatalf("build router: %v\n%s", err, out)
	}
	return path
}

// limitedProgram returns the command line that runs a program with the limit of descriptors.
func limitedProgram(path string) []string {
	return []string{"sh", "-c", "ulimit -n " + strconv.Itoa(hostFiles) + ` && exec "$0" "$@"`, path}
}

// startOwnHost starts a host in the own mode. Its memory limit is given as Go's soft limit.
func startOwnHost(t *testing.T, program string) *hostUnderTest {
	t.Helper()
	dir := t.TempDir()
	c, err := newCluster(dir, clusterOptions{
		Engines: 1, Routers: 1, Domains: 1, Services: 1,
		RouterProgram: limitedProgram(program),
		// Unread streams leave their slots of the engine after this time.
		CallersYAML: ", write-timeout: 3s",
		RouterEnv:   []string{"GOMEMLIMIT=" + strconv.Itoa(hostMemory*softMemoryPercent/100)},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	p := c.procs["r1"]
	head := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: host\r\nAuthorization: Bearer " + callerKey("small") + "\r\nContent-Type: application/json\r\n"
	}
	chat := `{"model":"advice","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"which cane?"}]}`
	return &hostUnderTest{
		pid: p.cmd.Process.Pid, done: p.done, log: filepath.Join(dir, "r1.log"),
		callers: c.callers["r1"].String(), peers: c.direct["r1"].String(), others: c.operators["r1"].String(),
		peerMethod: peerpb.Peer_Exchange_FullMethodName,
		order:      head("/v1/chat/completions"), orderBody: fmt.Sprintf(chat, 2, false),
		lookup: head("/v1/chat/completions"), lookupBody: fmt.Sprintf(chat, 2, false),
		stream: head("/v1/chat/completions"), streamBody: fmt.Sprintf(chat, 4000, true),
	}
}

// startHostedHost starts a host in the hosted mode, with a store and endpoints in this process.
func startHostedHost(t *testing.T, program string) *hostUnderTest {
	t.Helper()
	store := memdb.New()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	put := func(topic, key string, value any) {
		if err := store.Put(topic, key, value); err != nil {
			t.Fatal(err)
		}
	}
	endpoint := func(id, service string, cfg server.Config) *server.Endpoint {
		cfg.ID = id
		e := server.New(cfg)
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		put("keyed.servers", id, e.Entry(service, strings.TrimPrefix(s.URL, "http://"), "zone-0", "ready", 1))
		return e
	}
	endpoint("engine-1", "engines", server.Config{Name: "m", Events: 1_000_000})
	endpoint("shop-1", "shop", server.Config{})
	endpoint("archive-1", "archive", server.Config{}).SetBehavior(func(*http.Request) server.Behavior { return server.SendLongBody })
	put("keyed.op", "config", hostedConfig())

	address := func() string {
		a, err := freePort("127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		return a.String()
	}
	callers, ready, peers := address(), address(), address()
	_, peerPort, _ := net.SplitHostPort(peers)
	dir := t.TempDir()
	settings := filepath.Join(dir, "local.toml")
	text := fmt.Sprintf(hostedSettings, peerPort, peerPort, callers, ready, hostMemory>>20, hostFiles, strings.TrimPrefix(storeServer.URL, "http://"))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "router.log"))
	if err != nil {
		t.Fatal(err)
	}
	line := limitedProgram(program)
	cmd := exec.Command(line[0], line[1:]...)
	cmd.Env = append(os.Environ(), "CICADASTAND_SETTINGS="+settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &proc{cmd: cmd, done: make(chan struct{})}
	go p.run(log)
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.done
	})
	head := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\nX-Request-Id: r-" + strconv.FormatInt(time.Now().UnixNano(), 36) +
			"\r\nX-Deadline-Ms: 20000\r\nX-Model: m\r\nX-Token-Usage: 10,20\r\nX-Prompt-Prefix: aa:10\r\n"
	}
	h := &hostUnderTest{
		pid: cmd.Process.Pid, done: p.done, log: log.Name(),
		callers: callers, peers: peers, others: ready,
		peerMethod: loadpb.Load_Forward_FullMethodName,
		order:      head("/order/1"), orderBody: "cane",
		lookup: head("/archive/1"), lookupBody: "cane",
		stream: head("/chat/1"), streamBody: "cane",
	}
	return h
}

const hostedSettings = `
node_name = "host-0"
zone = "zone-0"
ip = "127.0.0.1"
internal_ports = [%s,%s]
heartbeat_ms = 1200
[listen]
front = %q
ready = %q
[limits]
cpu_share = 1.0
memory_mb = %d
max_fds = %d
[bounds]
drain_ms = 2000
grace_s = 4
revoke_ms = 2000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 40
lease_ms = 600
version_ms = 6000
[platform]
address = %q
`

func hostedConfig() map[string]any {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "route_kind": kind, "service": service,
			"timeout_ms": 20_000, "target_latency_ms": 20_000, "max_attempts": 1, "resumable": false, "target_gap_ms": 300,
		}
	}
	return map[string]any{
		"version":  1,
		"routes":   []any{route("chat", "streaming", "engines"), route("order", "non_idempotent", "shop"), route("archive", "idempotent", "archive")},
		"services": []any{map[string]any{"name": "engines"}, map[string]any{"name": "shop"}, map[string]any{"name": "archive"}},
		"limits":   map[string]any{"max_header_bytes": maxHeader, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
		"tenants":  []map[string]any{{"name": "acme", "api_keys": []string{"key"}}},
	}
}

// sendOrder sends an ordinary request on a new connection and returns the status of its response.
func (h *hostUnderTest) sendOrder(body string) (int, error) {
	conn, err := net.DialTimeout("tcp", h.callers, servedTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(servedTimeout)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(conn, withBody(h.order, body)); err != nil {
		return 0, err
	}
	return readStatus(conn)
}

// withBody adds a body to the head of a request.
func withBody(head, body string) string {
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// readStatus reads the status of a response and its body.
func readStatus(conn net.Conn) (int, error) {
	resp, err := http.ReadResponse(newReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// awaitServed repeats an ordinary request until it is served.
func (h *hostUnderTest) awaitServed(t *testing.T, what, body string) {
	t.Helper()
	deadline := time.Now().Add(servedTimeout)
	for {
		status, err := h.sendOrder(body)
		if err == nil && status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Errorf("%s was not served: status %d, error %v", what, status, err)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkWithinLimits checks that the process lives and is within the limits of its host.
func (h *hostUnderTest) checkWithinLimits(t *testing.T) {
	t.Helper()
	select {
	case <-h.done:
		t.Errorf("the process ended, its last log lines are:\n%s", lastLines(h.log))
		return
	default:
	}
	peak, files := h.peakMemory(t), h.openFiles(t)
	t.Logf("peak resident memory %.1f MB, %d descriptors", float64(peak)/(1<<20), files)
	if peak > hostMemory {
		t.Errorf("peak resident memory is %d bytes, the host has %d", peak, hostMemory)
	}
	if files > hostFiles {
		t.Errorf("%d descriptors are open, the host has %d", files, hostFiles)
	}
}

func lastLines(path string) string {
	const lines = 20
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// peakMemory returns the peak of the resident memory in bytes.
func (h *hostUnderTest) peakMemory(t *testing.T) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.pid))
	if err != nil {
		t.Fatal(err)
	}
	line, _ := lo.Find(strings.Split(string(raw), "\n"), func(l string) bool { return strings.HasPrefix(l, "VmHWM:") })
	var kilobytes int64
	if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err != nil {
		t.Fatalf("peak memory %q: %v", line, err)
	}
	return kilobytes << 10
}

// openFiles returns the number of open descriptors.
func (h *hostUnderTest) openFiles(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}
