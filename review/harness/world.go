package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errCantRun reports that a case could not be played.
var errCantRun = errors.New("the case can't run")

// world is a small deployment on loopback addresses.
type world struct {
	root    string
	tmp     string
	net     int
	claim   net.PacketConn
	start   time.Time
	trouble bool

	store   *store
	engines []*engine
	hosts   []*host

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	notes  []event
	done   bool
}

// event is one line of the record.
type event struct {
	at    time.Duration
	what  string
	who   string
	id    string
	about string
}

// host is one entry host: a process of the project's program.
type host struct {
	w        *world
	name     string
	zone     string
	ip       string
	front    string
	ready    string
	settings string

	mu  sync.Mutex
	cmd *exec.Cmd
	log *os.File
	// exited is closed when the process has ended.
	exited chan struct{}
}

func newWorld(folder string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{root: root, tmp: tmp, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", file: file, record: bufio.NewWriter(file)}
	if err := w.claimNet(); err != nil {
		return nil, err
	}
	if w.store, err = newStore(w.ip(250)); err != nil {
		return nil, err
	}
	return w, nil
}

// claimNet takes a range of loopback addresses for this run: hosts of different runs have the
// same port for their metrics. A UDP port that is held until the end is the claim.
func (w *world) claimNet() error {
	for try := range 200 {
		w.net = 20 + (os.Getpid()+try)%200
		claim, err := net.ListenPacket("udp", w.ip(254)+":9464")
		if err == nil {
			w.claim = claim
			return nil
		}
	}
	return errCantRun
}

// ip returns a loopback address of this run.
func (w *world) ip(n int) string { return fmt.Sprintf("127.0.%d.%d", w.net, n) }

func (w *world) since() time.Duration { return time.Since(w.start) }

func (w *world) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done
}

// note writes one line of the record.
func (w *world) note(what, who, id, about string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	e := event{w.since(), what, who, id, about}
	w.notes = append(w.notes, e)
	_, _ = fmt.Fprintf(w.record, "%9.3f %-9s %-22s %-12s %s\n", e.at.Seconds(), what, who, id, about)
}

func (w *world) say(format string, args ...any) {
	w.note("note", "", "", fmt.Sprintf(format, args...))
	fmt.Printf("%8.3f %s\n", w.since().Seconds(), fmt.Sprintf(format, args...))
}

// events returns the lines of one kind.
func (w *world) events(what string) []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []event
	for _, e := range w.notes {
		if e.what == what {
			out = append(out, e)
		}
	}
	return out
}

// close ends all processes and closes the record.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	w.mu.Lock()
	w.done = true
	_ = w.record.Flush()
	_ = w.file.Close()
	w.mu.Unlock()
	for _, e := range w.engines {
		_ = e.server.Close()
	}
	_ = w.store.server.Close()
	_ = w.claim.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.tmp)
	} else {
		fmt.Println("logs in", w.tmp)
	}
}

// freePort returns a port that is free on an address, with count-1 free ones behind it.
func freePort(ip string, count int) (int, error) {
	for try := 0; try < 50; try++ {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		ok := true
		for p := port; p < port+count && ok; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if ok = err == nil; ok {
				_ = l.Close()
			}
		}
		if ok {
			return port, nil
		}
	}
	return 0, errCantRun
}

// addHost adds an entry host with settings like those of the site file, and does not start it.
func (w *world) addHost(zone string, memoryMB int, zones []string) error {
	n := len(w.hosts) + 1
	h := &host{w: w, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: w.ip(n)}
	port, err := freePort(h.ip, 20)
	if err != nil {
		return err
	}
	h.front, h.ready = fmt.Sprintf("%s:%d", h.ip, port), fmt.Sprintf("%s:%d", h.ip, port+1)
	h.settings = filepath.Join(w.tmp, h.name+".toml")
	text := fmt.Sprintf(`node_name = %q
role = "router"
machine_class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "sierra-centro"
internal_ports = [%d,%d]
seeds = []
first_start = true
loss_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
`, h.name, h.ip, zone, port+3, port+18)
	for _, z := range zones {
		text += z + " = \"sierra-centro\"\n"
	}
	text += fmt.Sprintf(`[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
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
`, h.front, h.ready, memoryMB, w.store.addr)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	return nil
}

// command returns the command of the role in the deploy file.
func (w *world) command() ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(w.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		name, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errCantRun
}

// run starts the process of the host.
func (h *host) run() error {
	words, err := h.w.command()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.w.tmp, h.name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(h.w.root, words[0]), words[1:]...)
	cmd.Dir = h.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.w.tmp, "CICADASTAND_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.log, h.exited = cmd, log, exited
	h.mu.Unlock()
	go func() {
		err := cmd.Wait()
		h.w.note("process", h.name, "", fmt.Sprintf("ended: %v", err))
		_ = log.Close()
		close(exited)
	}()
	h.w.note("process", h.name, "", "started")
	return nil
}

// kill sends SIGKILL and waits for the end of the process.
func (h *host) kill() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	c := newClient(h.ready, time.Second)
	a := c.do("GET", "/api/readiness", h.ready, nil, nil)
	return a.status == 200
}

// startAll starts all engines and hosts and waits until the hosts are ready.
func (w *world) startAll() error {
	for _, e := range w.engines {
		if err := e.start(); err != nil {
			return err
		}
	}
	go func() {
		for !w.ended() {
			time.Sleep(1200 * time.Millisecond)
			for _, e := range w.engines {
				if !w.ended() {
					e.beat()
				}
			}
		}
	}()
	for _, h := range w.hosts {
		if err := h.run(); err != nil {
			return err
		}
	}
	return w.awaitReady(15 * time.Second)
}

func (w *world) awaitReady(most time.Duration) error {
	until := time.Now().Add(most)
	for _, h := range w.hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%w: %s is not ready", errCantRun, h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
