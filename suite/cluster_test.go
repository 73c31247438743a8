package suite

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cicadastand.dev/core/proto/logapi"
	"cicadastand.dev/core/state/fleet"
)

// envProgram is the environment variable that makes the test binary run as one of
// the programs.
const envProgram = "CICADA_SUITE_PROGRAM"

const (
	operatorKey  = "operator-key-of-the-suite"
	startTimeout = 20 * time.Second
	stopTimeout  = 30 * time.Second
)

// clusterOptions describes a cluster.
type clusterOptions struct {
	Engines  int
	Routers  int
	Domains  int
	Services int
	// KVStore makes the engines use the platform's KV cache store.
	KVStore bool
	// ChecksKeys declares in the fleet description that the services run each
	// idempotency key at most once.
	ChecksKeys bool
	// EngineArgs, ServiceArgs and PlatformArgs are added to the command lines of the test
	// doubles.
	EngineArgs   []string
	ServiceArgs  []string
	PlatformArgs []string
	// RouterProgram is the program and its first arguments that run the routers; empty for
	// this test binary. RouterEnv is added to its environment.
	RouterProgram []string
	RouterEnv     []string
	// CallersYAML is appended to the fields of the section callers.
	CallersYAML string
	// RouterYAML is appended to the routers' settings.
	RouterYAML string
	// FleetYAML is appended to the fleet description.
	FleetYAML string
}

// proc is one process of a cluster.
type proc struct {
	name string
	args []string
	// program is the program and its first arguments; empty for this test binary.
	program []string
	env     []string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
}

// cluster is a complete system of routers, platform, engines and services, each a
// process of its own. The processes reach each other through TCP proxies, which
// simulate network partitions.
type cluster struct {
	// number is part of the loopback addresses, so that clusters that run at the same
	// time use different ones.
	number     int64
	dir        string
	opts       clusterOptions
	partitions *partitionTable
	proxies    map[string]*tcpProxy
	// direct holds the addresses on which the processes listen for each other, callers
	// and operators the addresses of the routers' interfaces for callers and operators.
	direct    map[string]netip.AddrPort
	callers   map[string]netip.AddrPort
	operators map[string]netip.AddrPort
	mu        sync.Mutex
	procs     map[string]*proc
	http      *http.Client
}

// clusterCount is the number of clusters that this test process started. The first
// number depends on the process ID, so that concurrent test processes use different
// addresses.
var clusterCount atomic.Int64

const (
	// maxClusters keeps cluster.number within one byte of an IP address.
	maxClusters = 250
	// numberSpacing is the distance between the first numbers of test processes with
	// consecutive process IDs.
	numberSpacing = 61
)

// Ports are taken from a range below the ephemeral ports of the kernel, from 32768 on, so
// that no outgoing connection takes one before its process listens.
const (
	firstPort = 20_000
	portCount = 10_000
)

// portsTaken is the number of ports that freePort has tried in this test process.
var portsTaken atomic.Int64

// freePort returns an address with a port on which nothing listens. It does not return
// the same port again before it has tried all others.
func freePort(ip string) (netip.AddrPort, error) {
	var lastErr error
	for range portCount {
		port := firstPort + portsTaken.Add(1)%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			lastErr = err
			continue
		}
		defer func() { _ = l.Close() }()
		return netip.ParseAddrPort(l.Addr().String())
	}
	return netip.AddrPort{}, fmt.Errorf("no free port at %s: %w", ip, lastErr)
}

// newCluster starts a cluster and publishes its fleet description and the contracts of
// two client accounts, small and large.
func newCluster(dir string, opts clusterOptions) (*cluster, error) {
	c := &cluster{
		number:     (numberSpacing*int64(os.Getpid())+clusterCount.Add(1))%maxClusters + 1,
		dir:        dir,
		opts:       opts,
		partitions: newPartitionTable(),
		proxies:    make(map[string]*tcpProxy),
		direct:     make(map[string]netip.AddrPort),
		callers:    make(map[string]netip.AddrPort),
		operators:  make(map[string]netip.AddrPort),
		procs:      make(map[string]*proc),
		http:       &http.Client{Timeout: 60 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if err := c.build(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) build() error {
	if err := c.startTestDoubles(); err != nil {
		return err
	}
	if err := c.startRouters(); err != nil {
		return err
	}
	return c.publishDocuments()
}

func (c *cluster) startTestDoubles() error {
	if err := c.addTestDouble("platform", "platform", c.opts.PlatformArgs); err != nil {
		return err
	}
	for i := range c.opts.Engines {
		name := fmt.Sprintf("e%d", i+1)
		args := append([]string{"-name", name, "-restart-time", "500ms"}, c.opts.EngineArgs...)
		if c.opts.KVStore {
			args = append(args, "-kept-store", c.direct["platform"].String())
		}
		if err := c.addTestDouble(name, "engine", args); err != nil {
			return err
		}
	}
	for i := range c.opts.Services {
		if err := c.addTestDouble(fmt.Sprintf("s%d", i+1), "service", c.opts.ServiceArgs); err != nil {
			return err
		}
	}
	for name := range c.procs {
		if err := c.start(name); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) addTestDouble(name, kind string, args []string) error {
	direct, err := c.addProxy(name, fmt.Sprintf("127.%d.0.%d", c.number, len(c.procs)+1))
	if err != nil {
		return err
	}
	c.direct[name] = direct
	c.procs[name] = &proc{name: name, args: append([]string{"stand", kind, "-listen", direct.String()}, args...)}
	return nil
}

// addProxy starts a proxy for a process and returns the address on which the process
// has to listen.
func (c *cluster) addProxy(name, directIP string) (netip.AddrPort, error) {
	direct, err := freePort(directIP)
	if err != nil {
		return netip.AddrPort{}, err
	}
	listen := netip.MustParseAddrPort("127.0.0.1:0")
	p, err := newTCPProxy(name, listen, direct, c.partitions)
	if err != nil {
		return netip.AddrPort{}, err
	}
	c.proxies[name] = p
	return direct, nil
}

// proxyAddress returns the address of the proxy through which other processes reach a
// process.
func (c *cluster) proxyAddress(name string) netip.AddrPort {
	return netip.MustParseAddrPort(c.proxies[name].listener.Addr().String())
}

func (c *cluster) domain(i int) string { return fmt.Sprintf("domain-%d", i%c.opts.Domains+1) }

func (c *cluster) routerNames() []string {
	out := make([]string, c.opts.Routers)
	for i := range out {
		out[i] = fmt.Sprintf("r%d", i+1)
	}
	return out
}

func (c *cluster) startRouters() error {
	for i, name := range c.routerNames() {
		ip := fmt.Sprintf("127.%d.1.%d", c.number, i+1)
		c.partitions.setName(netip.MustParseAddr(ip), name)
		direct, err := c.addProxy(name, ip)
		if err != nil {
			return err
		}
		c.direct[name] = direct
		if c.callers[name], err = freePort(ip); err != nil {
			return err
		}
		if c.operators[name], err = freePort(ip); err != nil {
			return err
		}
	}
	var list logapi.HostsBody
	for i, name := range c.routerNames() {
		if err := c.writeSettings(i, name); err != nil {
			return err
		}
		list.Hosts = append(list.Hosts, logapi.Host{Name: name, FailureDomain: c.domain(i), Address: c.proxyAddress(name), State: logapi.HostLive})
		c.procs[name] = &proc{name: name, args: []string{"router", "-settings", c.settingsPath(name)}, program: c.opts.RouterProgram, env: c.opts.RouterEnv}
	}
	if err := c.control("platform", http.MethodPut, "/control/hosts", list, nil); err != nil {
		return err
	}
	for _, name := range c.routerNames() {
		if err := c.start(name); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) settingsPath(name string) string { return filepath.Join(c.dir, name+".yaml") }

func (c *cluster) writeSettings(i int, name string) error {
	var seeds []string
	for _, other := range c.routerNames() {
		if other != name {
			seeds = append(seeds, c.proxyAddress(other).String())
		}
	}
	text := fmt.Sprintf(`host: {name: %s, failure-domain: %s, source: %s, advertise: "%s"}
callers: {address: "%s"%s}
operators:
  address: "%s"
  keys: [{name: ana, hash: %s}, {name: luis, hash: %s}]
peers: {address: "%s", seeds: [%s], interval: 200ms}
platform: {address: "%s", timeout: 1s}
stop: {notice: 300ms, linger: 2s, grace: 20s}
log: {level: debug}
%s
`, name, c.domain(i), c.direct[name].Addr(), c.proxyAddress(name), c.callers[name], c.opts.CallersYAML, c.operators[name],
		fleet.HashKey(operatorKey), fleet.HashKey(operatorKey+"-2"), c.direct[name], quoteAll(seeds), c.proxyAddress("platform"), c.opts.RouterYAML)
	return os.WriteFile(c.settingsPath(name), []byte(text), 0o600)
}

func quoteAll(list []string) string {
	out := make([]string, len(list))
	for i, v := range list {
		out[i] = `"` + v + `"`
	}
	return strings.Join(out, ", ")
}

func (c *cluster) fleetText() string {
	var b strings.Builder
	b.WriteString("models: [{name: advice, weights-version: v1}]\n")
	b.WriteString("services: [{name: shop, repeatable: [{method: GET, path-prefix: /}], status-path: \"/orders/{key}\"}, {name: bare}]\nendpoints:\n")
	for i := range c.opts.Engines {
		name := fmt.Sprintf("e%d", i+1)
		_, _ = fmt.Fprintf(&b, "  - {name: %s, failure-domain: %s, kind: engine, serves: [advice], address: \"%s\", slots: 8, prefill-rate: 100000}\n", name, c.domain(i), c.proxyAddress(name))
	}
	for i := range c.opts.Services {
		name := fmt.Sprintf("s%d", i+1)
		_, _ = fmt.Fprintf(&b, "  - {name: %s, failure-domain: %s, kind: service, serves: [shop, bare], address: \"%s\", checks-keys: %t}\n", name, c.domain(i), c.proxyAddress(name), c.opts.ChecksKeys)
	}
	b.WriteString(c.opts.FleetYAML)
	return b.String()
}

func contractText(account, rank string) string {
	return fmt.Sprintf(`account: %s
key-hashes: [%s]
rank: %s
ranks: [urgent, other]
limits: {requests-per-second: 5000, tokens-per-second: 100000000, concurrency: 1000}
urgent: {first-token: 8s, deadline: 15s}
other: {first-token: 10s, deadline: 20s}
models: [advice]
services: [shop, bare]
`, account, fleet.HashKey(callerKey(account)), rank)
}

func callerKey(account string) string { return account + "-caller-key" }

func (c *cluster) publishDocuments() error {
	docs := []string{c.fleetText(), contractText("small", "urgent"), contractText("large", "other")}
	var last uint64
	for _, text := range docs {
		v, err := c.publish("r1", operatorKey, 0, text)
		if err != nil {
			return err
		}
		if v.Outcome != "accepted" {
			return fmt.Errorf("initial document was not accepted: %s", v.Reason)
		}
		last = v.Version
	}
	for _, name := range c.routerNames() {
		if err := c.eventually(startTimeout, func() error { return c.configAtLeast(name, last) }); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process and waits until it responds to HTTP requests.
func (c *cluster) start(name string) error {
	c.mu.Lock()
	p := c.procs[name]
	c.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	line := append(slices.Clone(p.program), p.args[1:]...)
	if len(p.program) == 0 {
		line = append([]string{exe}, p.args[1:]...)
	}
	cmd := exec.Command(line[0], line[1:]...)
	cmd.Env = append(append(os.Environ(), envProgram+"="+p.args[0]), p.env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	p.done = make(chan struct{})
	go p.run(log)
	return c.eventually(startTimeout, func() error { return c.checkResponds(name) })
}

func (p *proc) run(log *os.File) {
	defer close(p.done)
	defer func() { _ = log.Close() }()
	p.err = p.cmd.Wait()
}

func (c *cluster) checkResponds(name string) error {
	address, path := c.direct[name], "/control/faults"
	if op, ok := c.operators[name]; ok {
		address, path = op, "/livez"
	}
	if name == "platform" {
		path = "/v1/hosts"
	}
	resp, err := c.http.Get("http://" + address.String() + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return nil
}

func (c *cluster) signal(name string, sig syscall.Signal) error {
	return c.procs[name].cmd.Process.Signal(sig)
}

// stop sends SIGTERM to a process and waits for it to exit. It returns an error if the
// process does not exit in time or its exit status is not zero.
func (c *cluster) stop(name string) error {
	if err := c.signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	p := c.procs[name]
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not exit within %s of SIGTERM", name, stopTimeout)
	}
}

func (c *cluster) kill(name string) error {
	if err := c.signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-c.procs[name].done
	return nil
}

func (c *cluster) heal() {
	c.partitions.clear()
	for _, proxy := range c.proxies {
		proxy.reset()
	}
}

func (c *cluster) close() {
	for _, p := range c.procs {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	for _, proxy := range c.proxies {
		proxy.close()
	}
	c.http.CloseIdleConnections()
}

// eventually repeats a check until it succeeds or the time limit is reached.
func (c *cluster) eventually(within time.Duration, check func() error) error {
	const pause = 20 * time.Millisecond
	deadline := time.Now().Add(within)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %s: %w", within, err)
		}
		time.Sleep(pause)
	}
}

// control calls the control interface of a test double. It bypasses the proxy, so that
// a partition does not affect it.
func (c *cluster) control(name, method, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if text, ok := body.(string); ok {
		raw = []byte(text)
	}
	return c.call(method, "http://"+c.direct[name].String()+path, "", raw, into)
}

func (c *cluster) call(method, url, key string, body []byte, into any) error {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var raw bytes.Buffer
	if _, err := raw.ReadFrom(resp.Body); err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s returned status %d: %s", url, resp.StatusCode, raw.String())
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(raw.Bytes(), into)
}
