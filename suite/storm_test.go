package suite

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// stormSeed and stormDuration return the values of the environment variables
// CICADA_SEED and CICADA_SPAN, or their defaults.
func stormSeed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("CICADA_SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

func stormDuration() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("CICADA_SPAN")); err == nil {
		return d
	}
	return 12 * time.Second
}

// TestStorm is a randomized fault injection test on a cluster of real processes. It
// runs completions, orders and configuration changes while faults of all kinds are
// injected at random times, up to two at once. It checks that each completion has the
// right text, that each order runs at most once and as reported to its caller, that the
// configuration offset of a running router never decreases, that no engine uses cache
// entries of another account, incarnation or version, and that the cluster works normally
// after the faults.
func TestStorm(t *testing.T) {
	seed := stormSeed()
	c, err := newCluster(t.TempDir(), clusterOptions{
		Engines: 4, Routers: 3, Domains: 3, Services: 1,
		EngineArgs: []string{"-token-time", "5ms"},
		RouterYAML: "chores: {checkpoint-interval: 1s, heartbeat-interval: 500ms}\nrouting: {stall-timeout: 800ms}",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	st := &storm{t: t, cluster: c, rng: rand.New(rand.NewPCG(seed, 2)), attempted: make(map[string]bool), counts: make(map[string]int)}
	st.run(stormDuration())
	t.Logf("seed %d: results %v, faults %v", seed, st.counts, st.faults)
}

type storm struct {
	t         *testing.T
	cluster   *cluster
	mu        sync.Mutex
	rng       *rand.Rand
	attempted map[string]bool
	history   []porcupine.Operation
	counts    map[string]int
	faults    map[string]int
	stopped   atomic.Bool
	version   atomic.Uint64
}

const stormKeys = 40

func (st *storm) intN(n int) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.rng.IntN(n)
}

func (st *storm) randomRouter() string { return fmt.Sprintf("r%d", st.intN(st.cluster.opts.Routers)+1) }

func (st *storm) run(span time.Duration) {
	st.faults = make(map[string]int)
	var load, injectors sync.WaitGroup
	for i := range 6 {
		load.Go(func() { st.sendCompletions(i) })
	}
	for i := range 4 {
		load.Go(func() { st.placeOrders(i) })
	}
	load.Go(st.publishChanges)
	for range 2 {
		injectors.Go(st.injectFaults)
	}
	for _, r := range st.cluster.routerNames() {
		load.Go(func() { st.watchConfig(r) })
	}
	time.Sleep(span)
	st.stopped.Store(true)
	injectors.Wait()
	st.clearFaults()
	load.Wait()
	st.check()
}

// injectFaults injects random faults and ends them, one after another. Two of these
// loops run concurrently.
func (st *storm) injectFaults() {
	faults := []struct {
		name string
		do   func()
	}{
		{"kill-router", st.killRouter},
		{"stop-router", st.stopRouter},
		{"freeze-router", func() { st.freeze(st.randomRouter()) }},
		{"freeze-engine", func() { st.freeze(st.randomEngine()) }},
		{"crash-engine", func() { _ = st.cluster.control(st.randomEngine(), "POST", "/control/crash", nil, nil) }},
		{"partition", st.partition},
		{"platform-down", func() { st.disturbPlatform(`{"down":true}`) }},
		{"platform-slow", func() { st.disturbPlatform(`{"delay-ms":400}`) }},
		{"append-responses-lost", func() { _ = st.cluster.fault("platform", `{"lose-answer-next":3}`) }},
		{"order-responses-lost", func() { _ = st.cluster.fault("s1", `{"lose-answer-next":2}`) }},
		{"crossed-responses", func() { _ = st.cluster.fault(st.randomEngine(), `{"cross-next":2}`) }},
	}
	for !st.stopped.Load() {
		f := faults[st.intN(len(faults))]
		st.mu.Lock()
		st.faults[f.name]++
		st.mu.Unlock()
		f.do()
		st.sleepUpTo(150)
	}
}

func (st *storm) randomEngine() string { return fmt.Sprintf("e%d", st.intN(st.cluster.opts.Engines)+1) }

func (st *storm) sleepUpTo(ms int) { time.Sleep(time.Duration(st.intN(ms)) * time.Millisecond) }

// processMu is held while a process is restarted or frozen, so that the two
// loops of injectFaults do not act on the same process.
var processMu sync.Mutex

func (st *storm) killRouter() {
	processMu.Lock()
	defer processMu.Unlock()
	r := st.randomRouter()
	if err := st.cluster.kill(r); err != nil {
		st.t.Errorf("kill %s: %v", r, err)
	}
	st.sleepUpTo(300)
	if err := st.cluster.start(r); err != nil {
		st.t.Errorf("start %s: %v", r, err)
	}
}

func (st *storm) stopRouter() {
	processMu.Lock()
	defer processMu.Unlock()
	r := st.randomRouter()
	if err := st.cluster.signal(r, syscall.SIGTERM); err != nil {
		st.t.Errorf("stop %s: %v", r, err)
	}
	select {
	case <-st.cluster.procs[r].done:
	case <-time.After(stopTimeout):
		st.t.Errorf("%s did not exit in time after SIGTERM", r)
		_ = st.cluster.kill(r)
	}
	if err := st.cluster.start(r); err != nil {
		st.t.Errorf("start %s: %v", r, err)
	}
}

func (st *storm) freeze(name string) {
	processMu.Lock()
	defer processMu.Unlock()
	_ = st.cluster.signal(name, syscall.SIGSTOP)
	st.sleepUpTo(1500)
	_ = st.cluster.signal(name, syscall.SIGCONT)
}

func (st *storm) partition() {
	targets := append([]string{"platform", "s1", "e1", "e2"}, st.cluster.routerNames()...)
	st.cluster.partitions.set(st.randomRouter(), targets[st.intN(len(targets))], true)
	st.sleepUpTo(1500)
	st.cluster.heal()
}

func (st *storm) disturbPlatform(fault string) {
	_ = st.cluster.fault("platform", fault)
	st.sleepUpTo(1500)
	_ = st.cluster.fault("platform", `{"down":false,"delay-ms":0}`)
}

// clearFaults ends all faults.
func (st *storm) clearFaults() {
	st.cluster.heal()
	_ = st.cluster.fault("platform", `{"down":false,"delay-ms":0,"lose-answer-next":0}`)
	_ = st.cluster.fault("s1", `{"lose-answer-next":0}`)
}

// sendCompletions sends completion requests and checks the text of each complete
// response.
func (st *storm) sendCompletions(id int) {
	for n := 0; !st.stopped.Load(); n++ {
		o := completionOptions{To: st.randomRouter(), Account: "small", Prompt: fmt.Sprintf("%d-%d", id, n), Pieces: st.intN(3), Tokens: 10 + st.intN(30), Stream: st.intN(2) == 0, Deadline: "6s"}
		if id%2 == 0 {
			o.Account = "large"
		}
		resp := st.cluster.send(context.Background(), o)
		if resp.State == "completed" && resp.Text != o.expected("v1") {
			st.t.Errorf("%s: wrong or incomplete text in the response: %q", o.Prompt, resp.Text)
		}
		if resp.State == "out-of-order" {
			st.t.Errorf("%s: events out of order: %s", o.Prompt, resp.Body)
		}
		st.count("send " + resp.State)
	}
}

func (st *storm) count(what string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.counts[what]++
}

var stormKeysCreated = time.Now()

// placeOrders places orders with random keys, each up to three times until it is
// completed.
func (st *storm) placeOrders(id int) {
	for !st.stopped.Load() {
		key := fmt.Sprintf("storm-%d", st.intN(stormKeys))
		for range 3 {
			resp := st.placeOrder(id, key)
			st.count("order " + resp.State)
			if resp.State == "completed" || st.stopped.Load() {
				break
			}
		}
		st.sleepUpTo(60)
	}
}

func (st *storm) placeOrder(id int, key string) response {
	st.mu.Lock()
	first := !st.attempted[key]
	st.attempted[key] = true
	st.mu.Unlock()
	start := time.Now()
	resp := st.cluster.order(context.Background(), orderOptions{To: st.randomRouter(), Account: "small", Service: "shop", Key: key, Created: stormKeysCreated, Body: "{}", FirstAttempt: first, Deadline: "2s"})
	op := porcupine.Operation{ClientId: id, Input: keyInput{key: key}, Output: keyOutput{state: resp.State}, Call: start.UnixNano(), Return: time.Now().UnixNano()}
	if resp.State != "completed" && resp.State != "not-run" {
		op.Return = 1 << 62 // the order may still run after the response
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.history = append(st.history, op)
	return resp
}

// publishChanges publishes changes of a contract.
func (st *storm) publishChanges() {
	for n := 1; !st.stopped.Load(); n++ {
		to := st.randomRouter()
		base, err := st.cluster.version(to, "contract/small")
		if err == nil {
			v, err := st.cluster.publish(to, operatorKey, base, contractText("small", "urgent")+fmt.Sprintf("weight: %d\n", n%9+1))
			if err == nil && v.Outcome == "accepted" {
				st.version.Store(max(st.version.Load(), v.Version))
				st.count("change accepted")
			}
		}
		st.sleepUpTo(300)
	}
}

// watchConfig checks that the configuration offset of a router does not decrease until
// the router is restarted.
func (st *storm) watchConfig(router string) {
	var last uint64
	var started string
	for !st.stopped.Load() {
		d, err := st.cluster.dump(router)
		if err == nil {
			if d.Started != started {
				started, last = d.Started, 0
			}
			if d.ConfigOffset < last {
				st.t.Errorf("configuration offset of %s decreased from %d to %d", router, last, d.ConfigOffset)
			}
			last = d.ConfigOffset
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (st *storm) check() {
	for _, r := range st.cluster.routerNames() {
		if err := st.cluster.eventually(10*time.Second, func() error { return st.cluster.configAtLeast(r, st.version.Load()) }); err != nil {
			st.t.Errorf("%s did not receive an accepted change: %v", r, err)
		}
		// Each router serves requests again and stops gracefully, so no request is left
		// in progress.
		err := st.cluster.eventually(10*time.Second, func() error {
			resp := st.cluster.send(context.Background(), completionOptions{To: r, Account: "small", Prompt: "after", Tokens: 4})
			if resp.State != "completed" {
				return fmt.Errorf("request at %s ended as %s %s", r, resp.State, resp.Code)
			}
			return nil
		})
		if err != nil {
			st.t.Error(err)
		}
		if err := st.cluster.stop(r); err != nil {
			st.t.Errorf("graceful stop of %s failed: %v", r, err)
		}
	}
	counts, err := st.cluster.executions()
	if err != nil {
		st.t.Fatal(err)
	}
	now := time.Now().UnixNano()
	for i := range stormKeys {
		key := fmt.Sprintf("storm-%d", i)
		if counts[key] > 1 {
			st.t.Errorf("%s ran %d times", key, counts[key])
		}
		st.history = append(st.history, porcupine.Operation{ClientId: 100 + i, Input: keyInput{key: key, read: true}, Output: keyOutput{count: counts[key]}, Call: now, Return: now + 1})
	}
	checkOrders(st.t, st.history)
	for i := range st.cluster.opts.Engines {
		stats, err := st.cluster.engineStats(fmt.Sprintf("e%d", i+1))
		if err != nil || stats.Violations > 0 {
			st.t.Errorf("e%d used cache entries of another account, incarnation or version: %v violations, error %v", i+1, stats.Violations, err)
		}
	}
}
