package suite

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/claim"
	"cicadastand.dev/core/coord/commit"
	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/proto/logapi"
	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/ledger"
	"cicadastand.dev/core/state/stream"
	"cicadastand.dev/router/order"
	"cicadastand.dev/stand/fault"
	"cicadastand.dev/stand/platform"
	"cicadastand.dev/stand/service"
)

// historySeeds is the number of seeds of a history check; the variable
// CICADA_SEEDS raises it.
func historySeeds() int {
	if n, err := strconv.Atoi(os.Getenv("CICADA_SEEDS")); err == nil {
		return n
	}
	return 12
}

// world is a platform and an order service with faults, for hosts within this process.
type world struct {
	platform     *platform.Platform
	platformAddr netip.AddrPort
	service      *httptest.Server
	faults       *fault.Board
	view         *conf.View
	servers      []*httptest.Server
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func newWorld(t *testing.T, seed uint64) *world {
	p := platform.New(platform.Config{Clock: clock.New(), AppendsPerSecond: 10_000, Seed: seed})
	ps := httptest.NewServer(p.Handler())
	svc := service.New(service.Config{Clock: clock.New(), Work: time.Millisecond, Seed: seed})
	ss := httptest.NewServer(svc.Handler())
	w := &world{platform: p, platformAddr: addressOf(ps), service: ss, servers: []*httptest.Server{ps, ss}}
	w.faults = fault.NewBoard(seed)
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
	w.view = state.View()
	return w
}

// View returns the fleet that all hosts see.
func (w *world) View() *conf.View { return w.view }

func (w *world) close() {
	for _, s := range w.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

func (w *world) setService(text string) error {
	resp, err := http.Post(w.service.URL+"/control/faults", "application/json", strings.NewReader(text))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// host is a router's part for orders and configuration, within this process.
type host struct {
	w       *world
	log     *logapi.Client
	claims  *claim.Coordinator
	caller  *order.Caller
	store   *follow.Store
	publish *commit.Publisher
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	dead    chan struct{}
	// pause delays a send after its claim has won.
	pause func()
}

var errDead = errors.New("the host is dead")

func newHost(w *world) *host {
	h := &host{w: w, dead: make(chan struct{}), store: follow.NewStore(), pause: func() {}}
	logger := hclog.NewNullLogger()
	h.log = logapi.New(logapi.Config{Clock: clock.New(), Address: w.platformAddr, Timeout: 200 * time.Millisecond})
	h.claims = claim.New(claim.Config{Clock: clock.New(), Log: h.log, Ledger: ledger.DefaultConfig(), Logger: logger})
	h.caller = order.New(order.Config{
		Clock: clock.New(), Views: w, Health: health.New(health.DefaultConfig()), Claims: h.claims, Dial: h.dial, Logger: logger,
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

// dial makes a connection, after a pause between winning and sending; a dead host sends nothing.
func (h *host) dial(ctx context.Context, network, address string) (net.Conn, error) {
	h.pause()
	select {
	case <-h.dead:
		return nil, errDead
	default:
		var d net.Dialer
		return d.DialContext(ctx, network, address)
	}
}

// kill ends a host without any farewell; answers that it still makes are lost.
func (h *host) kill() {
	close(h.dead)
	h.cancel()
	h.loops.Wait()
	h.log.Close()
	h.caller.Close()
}

func (h *host) isDead() bool {
	select {
	case <-h.dead:
		return true
	default:
		return false
	}
}

// keyInput and keyOutput are an operation on one key, for the history.
type keyInput struct {
	key  string
	read bool
}

type keyOutput struct {
	state string
	count int
}

// orderModel: a key has run or not. Completed needs that it has run by then,
// not-run that it has not, and of the rest either may be.
var orderModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := make(map[string][]porcupine.Operation)
		for _, op := range history {
			k := op.Input.(keyInput).key
			by[k] = append(by[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{false} },
	Step: func(state, input, output any) []any {
		ran, out := state.(bool), output.(keyOutput)
		switch {
		case input.(keyInput).read:
			if ran == (out.count > 0) {
				return []any{ran}
			}
			return nil
		case out.state == string(openai.Completed):
			return []any{true}
		case out.state == string(openai.NotRun):
			if ran {
				return nil
			}
			return []any{false}
		default:
			return []any{ran, true}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestOrderHistories runs orders through hosts that pause and die, with a log
// and a service that lose answers, and checks what callers were told against
// what ran.
func TestOrderHistories(t *testing.T) {
	totals := make(map[string]int)
	for seed := range historySeeds() {
		t.Run(fmt.Sprintf("seed=%d", seed+1), func(t *testing.T) {
			r := &orderRun{t: t, rng: rand.New(rand.NewPCG(uint64(seed+1), 0)), w: newWorld(t, uint64(seed+1)), first: make(map[string]bool)}
			defer r.w.close()
			r.run()
			for k, n := range r.totals {
				totals[k] += n
			}
		})
	}
	t.Logf("answers over all seeds: %v", totals)
}

// orderRun is one seeded run.
type orderRun struct {
	t       *testing.T
	w       *world
	mu      sync.Mutex
	rng     *rand.Rand
	hosts   []*host
	first   map[string]bool
	history []porcupine.Operation
	bodies  map[string]string
	totals  map[string]int
	clients sync.WaitGroup
}

const (
	runHosts   = 3
	runClients = 6
	runOrders  = 8
	runKeys    = 12
)

func (r *orderRun) run() {
	r.bodies = make(map[string]string)
	r.totals = make(map[string]int)
	for range runHosts {
		r.hosts = append(r.hosts, r.newHost())
	}
	stop := make(chan struct{})
	var chaos sync.WaitGroup
	chaos.Go(func() { r.chaos(stop) })
	for c := range runClients {
		r.clients.Go(func() { r.client(c) })
	}
	r.clients.Wait()
	close(stop)
	chaos.Wait()
	r.check()
	for _, h := range r.hosts {
		h.kill()
	}
}

func (r *orderRun) newHost() *host {
	h := newHost(r.w)
	h.pause = func() {
		if r.intN(4) == 0 {
			time.Sleep(time.Duration(r.intN(250)) * time.Millisecond)
		}
	}
	return h
}

func (r *orderRun) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// chaos switches faults and replaces hosts until the clients are done.
func (r *orderRun) chaos(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+r.intN(60)) * time.Millisecond):
		}
		switch r.intN(6) {
		case 0:
			r.w.platform.Faults().Set(fault.Switches{LoseAnswerNext: 1 + r.intN(3)})
		case 1:
			r.w.platform.Faults().Set(fault.Switches{Down: true})
		case 2:
			r.w.platform.Faults().Set(fault.Switches{DelayMs: r.intN(300)})
		case 3:
			_ = r.w.setService(`{"lose-answer-next":2}`)
		case 4:
			r.replaceHost()
		default:
			r.w.platform.Faults().Set(fault.Switches{})
		}
	}
}

func (r *orderRun) replaceHost() {
	fresh := r.newHost()
	i := r.intN(runHosts)
	r.mu.Lock()
	old := r.hosts[i]
	r.hosts[i] = fresh
	r.mu.Unlock()
	old.kill()
}

func (r *orderRun) client(id int) {
	for range runOrders {
		key := fmt.Sprintf("key-%d", r.intN(runKeys))
		r.mu.Lock()
		h := r.hosts[r.rng.IntN(runHosts)]
		first := !r.first[key]
		r.first[key] = true
		r.mu.Unlock()
		r.call(id, h, key, first)
	}
}

var keyBirth = time.Now().UTC()

func (r *orderRun) call(id int, h *host, key string, first bool) {
	svc, _ := r.w.view.Fleet.Service("shop")
	ctx, cancel := context.WithTimeoutCause(context.Background(), 500*time.Millisecond, context.DeadlineExceeded)
	defer cancel()
	start := time.Now()
	answer, err := h.caller.Call(ctx, order.Request{
		ID: "x", Account: "a", Service: svc, Method: http.MethodPost, Path: "/orders",
		Key: key, KeyCreated: keyBirth.Format(time.RFC3339Nano), FirstTry: first,
	})
	state := string(openai.Completed)
	if err != nil {
		state = string(openai.AsError(err).RunState)
	}
	end := time.Now()
	if h.isDead() {
		state = "lost"
	}
	op := porcupine.Operation{ClientId: id, Input: keyInput{key: key}, Output: keyOutput{state: state}, Call: start.UnixNano(), Return: end.UnixNano()}
	if state == string(openai.OutcomeUnknown) || state == "lost" {
		op.Return = 1 << 62 // the order may run after the answer
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals[state]++
	r.history = append(r.history, op)
	if state == string(openai.Completed) {
		if before, ok := r.bodies[key]; ok && before != string(answer.Body) {
			r.t.Errorf("%s: one caller was told %s, another %s", key, before, answer.Body)
		}
		r.bodies[key] = string(answer.Body)
	}
}

// check reads what ran once nothing can run any more.
func (r *orderRun) check() {
	r.w.platform.Faults().Set(fault.Switches{})
	const settle = 300 * time.Millisecond // longer than any pause before a send
	time.Sleep(settle)
	resp, err := http.Get(r.w.service.URL + "/control/executions")
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	counts := decodeExecutions(r.t, resp)
	now := time.Now().UnixNano()
	for i := range runKeys {
		key := fmt.Sprintf("key-%d", i)
		if counts[key] > 1 {
			r.t.Errorf("%s ran %d times", key, counts[key])
		}
		r.history = append(r.history, porcupine.Operation{
			ClientId: runClients + i, Input: keyInput{key: key, read: true}, Output: keyOutput{count: counts[key]}, Call: now, Return: now + 1,
		})
	}
	checkOrders(r.t, r.history)
}

// checkOrders sets what callers were told of each key against what ran.
func checkOrders(t *testing.T, history []porcupine.Operation) {
	for _, ops := range orderModel.Partition(history) {
		if porcupine.CheckOperations(orderModel.ToModel(), ops) {
			continue
		}
		slices.SortFunc(ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
		t.Errorf("%s: what callers were told does not fit what ran", ops[0].Input.(keyInput).key)
		for _, op := range ops {
			t.Logf("  client %d from %d for %d us: %+v", op.ClientId, op.Call, (op.Return-op.Call)/1000, op.Output)
		}
	}
}

// casInput and casOutput are a publication, for the history.
type casInput struct{ base uint64 }

type casOutput struct {
	accepted bool
	version  uint64
}

// casModel is the version of one document: a change from the current version is
// accepted, any other is stale.
var casModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		version, in, out := state.(uint64), input.(casInput), output.(casOutput)
		switch {
		case out.accepted && in.base == version:
			return []any{out.version}
		case out.accepted:
			return nil
		case in.base != version:
			return []any{version}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestPublishHistories lets operators race on one contract at hosts whose log
// loses answers, and checks the verdicts, and that no host ever goes back.
func TestPublishHistories(t *testing.T) {
	for seed := range historySeeds() {
		t.Run(fmt.Sprintf("seed=%d", seed+1), func(t *testing.T) {
			w := newWorld(t, uint64(seed+1))
			defer w.close()
			r := &publishRun{t: t, w: w, rng: rand.New(rand.NewPCG(uint64(seed+1), 1))}
			r.run()
		})
	}
}

type publishRun struct {
	t       *testing.T
	w       *world
	mu      sync.Mutex
	rng     *rand.Rand
	hosts   []*host
	history []porcupine.Operation
}

func (r *publishRun) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *publishRun) run() {
	for range runHosts {
		r.hosts = append(r.hosts, newHost(r.w))
	}
	r.publishFleet()
	stop := make(chan struct{})
	var watchers, operators sync.WaitGroup
	for _, h := range r.hosts {
		watchers.Go(func() { r.watch(h, stop) })
	}
	watchers.Go(func() { r.chaos(stop) })
	for id := range 4 {
		operators.Go(func() { r.operator(id) })
	}
	operators.Wait()
	close(stop)
	watchers.Wait()
	r.w.platform.Faults().Set(fault.Switches{})
	r.agree()
	for _, h := range r.hosts {
		h.kill()
	}
	if !porcupine.CheckOperations(casModel.ToModel(), r.history) {
		r.t.Errorf("verdicts don't fit one order of changes: %v", r.history)
	}
}

func (r *publishRun) publishFleet() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	v, err := r.hosts[0].publish.Publish(ctx, conf.Change{Document: "fleet", Text: "services: [{name: shop}]\n"})
	if err != nil || v.Outcome != conf.Accepted {
		r.t.Fatal(v.Reason, err)
	}
	r.agree()
}

func (r *publishRun) chaos(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(15 * time.Millisecond):
			r.w.platform.Faults().Set(fault.Switches{LoseAnswerNext: r.intN(3), RefuseNext: r.intN(2), DelayMs: r.intN(20)})
		}
	}
}

// watch makes sure that what a host has in force never goes back.
func (r *publishRun) watch(h *host, stop <-chan struct{}) {
	var last uint64
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		if now := h.store.Offset(); now < last {
			r.t.Errorf("a host went back from %d to %d", last, now)
		} else {
			last = now
		}
	}
}

func (r *publishRun) operator(id int) {
	for range 6 {
		h := r.hosts[r.intN(runHosts)]
		base := current(h)
		text := fmt.Sprintf("account: a\nkey-hashes: [%s]\nweight: %d\nservices: [shop]\n", fleet.HashKey("k"), 1+r.intN(9))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		start := time.Now()
		v, err := h.publish.Publish(ctx, conf.Change{Document: "contract/a", Base: base, Author: fmt.Sprint(id), Text: text})
		end := time.Now()
		cancel()
		if err != nil {
			r.t.Errorf("publication without a verdict: %v", err)
			return
		}
		if v.Outcome == conf.Invalid {
			r.t.Errorf("a valid change was refused: %s", v.Reason)
		}
		r.mu.Lock()
		r.history = append(r.history, porcupine.Operation{
			ClientId: id, Input: casInput{base: base}, Output: casOutput{accepted: v.Outcome == conf.Accepted, version: v.Version},
			Call: start.UnixNano(), Return: end.UnixNano(),
		})
		r.mu.Unlock()
	}
}

func current(h *host) uint64 {
	var v uint64
	h.store.Read(func(s *conf.State) {
		d, _ := s.Document("contract/a")
		v = d.Version
	})
	return v
}

// agree makes sure that all hosts end with the same documents and verdicts.
func (r *publishRun) agree() {
	top := uint64(0)
	for _, h := range r.hosts {
		top = max(top, h.store.Offset())
	}
	var states []string
	for _, h := range r.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := h.store.Wait(ctx, func(s *conf.State) bool { return s.Offset() >= top })
		cancel()
		if err != nil {
			r.t.Error(err)
		}
		h.store.Read(func(s *conf.State) { states = append(states, fmt.Sprint(s.Documents(), s.History())) })
	}
	for _, s := range states[1:] {
		if s != states[0] {
			r.t.Errorf("hosts disagree:\n%s\n%s", states[0], s)
		}
	}
}
