package suite

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/router/invoke"
	"cicadastand.dev/stand/fault"
)

// keyInput and keyOutput are the input and output of an operation in the history: an
// order with an idempotency key, or a read of how many times the key ran.
type keyInput struct {
	key  string
	read bool
}

type keyOutput struct {
	state string
	count int
}

// orderModel models one idempotency key, whose state is whether its order has run. After
// the response completed the order has run, after not-run it has not. After any other
// response both are possible.
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

// TestOrderHistories checks that an order runs at most once and that the run states
// reported to callers are consistent with what ran. Concurrent clients place and retry
// orders at hosts that pause before a call or are killed, while the platform's log and
// the order service lose responses.
func TestOrderHistories(t *testing.T) {
	totals := make(map[string]int)
	for seed := range historySeeds() {
		t.Run(fmt.Sprintf("seed=%d", seed+1), func(t *testing.T) {
			r := &orderRun{t: t, rng: rand.New(rand.NewPCG(uint64(seed+1), 0)), env: newTestEnv(t, uint64(seed+1)), attempted: make(map[string]bool)}
			defer r.env.close()
			r.run()
			for k, n := range r.totals {
				totals[k] += n
			}
		})
	}
	t.Logf("run states over all seeds: %v", totals)
}

// orderRun is one run of the test with its seed.
type orderRun struct {
	t              *testing.T
	env            *testEnv
	mu             sync.Mutex
	rng            *rand.Rand
	hosts          []*host
	attempted      map[string]bool
	history        []porcupine.Operation
	responseBodies map[string]string
	totals         map[string]int
	clients        sync.WaitGroup
}

const (
	runHosts   = 3
	runClients = 6
	runOrders  = 8
	runKeys    = 12
)

func (r *orderRun) run() {
	r.responseBodies = make(map[string]string)
	r.totals = make(map[string]int)
	for range runHosts {
		r.hosts = append(r.hosts, r.newHost())
	}
	stop := make(chan struct{})
	var injector sync.WaitGroup
	injector.Go(func() { r.injectFaults(stop) })
	for c := range runClients {
		r.clients.Go(func() { r.client(c) })
	}
	r.clients.Wait()
	close(stop)
	injector.Wait()
	r.check()
	for _, h := range r.hosts {
		h.kill()
	}
}

func (r *orderRun) newHost() *host {
	h := newHost(r.env)
	h.beforeDial = func() {
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

// injectFaults sets and clears faults and replaces hosts until the clients are done.
func (r *orderRun) injectFaults(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+r.intN(60)) * time.Millisecond):
		}
		switch r.intN(6) {
		case 0:
			r.env.platform.Faults().Set(fault.Switches{LoseResponseNext: 1 + r.intN(3)})
		case 1:
			r.env.platform.Faults().Set(fault.Switches{Down: true})
		case 2:
			r.env.platform.Faults().Set(fault.Switches{DelayMs: r.intN(300)})
		case 3:
			_ = r.env.setService(`{"lose-answer-next":2}`)
		case 4:
			r.replaceHost()
		default:
			r.env.platform.Faults().Set(fault.Switches{})
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
		first := !r.attempted[key]
		r.attempted[key] = true
		r.mu.Unlock()
		r.call(id, h, key, first)
	}
}

var keysCreated = time.Now().UTC()

func (r *orderRun) call(id int, h *host, key string, first bool) {
	svc, _ := r.env.view.Fleet.Service("shop")
	ctx, cancel := context.WithTimeoutCause(context.Background(), 500*time.Millisecond, context.DeadlineExceeded)
	defer cancel()
	start := time.Now()
	response, err := h.caller.Call(ctx, invoke.Request{
		ID: "x", Account: "a", Service: svc, Method: http.MethodPost, Path: "/orders",
		Key: key, KeyCreated: keysCreated.Format(time.RFC3339Nano), FirstAttempt: first,
	})
	state := string(openai.Completed)
	if err != nil {
		state = string(openai.AsError(err).RunState)
	}
	end := time.Now()
	if h.isKilled() {
		state = "lost"
	}
	op := porcupine.Operation{ClientId: id, Input: keyInput{key: key}, Output: keyOutput{state: state}, Call: start.UnixNano(), Return: end.UnixNano()}
	if state == string(openai.OutcomeUnknown) || state == "lost" {
		op.Return = 1 << 62 // the order may still run after the response
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals[state]++
	r.history = append(r.history, op)
	if state == string(openai.Completed) {
		if before, ok := r.responseBodies[key]; ok && before != string(response.Body) {
			r.t.Errorf("%s: callers received different responses: %s and %s", key, before, response.Body)
		}
		r.responseBodies[key] = string(response.Body)
	}
}

// check reads how many times each key ran, after all calls have ended, and checks the
// history.
func (r *orderRun) check() {
	r.env.platform.Faults().Set(fault.Switches{})
	const settle = 300 * time.Millisecond // longer than the longest delay of beforeDial
	time.Sleep(settle)
	resp, err := http.Get(r.env.service.URL + "/control/executions")
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

// checkOrders checks for each key that the responses to callers are consistent with the
// number of executions.
func checkOrders(t *testing.T, history []porcupine.Operation) {
	for _, ops := range orderModel.Partition(history) {
		if porcupine.CheckOperations(orderModel.ToModel(), ops) {
			continue
		}
		slices.SortFunc(ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
		t.Errorf("%s: responses to callers are not consistent with the executions", ops[0].Input.(keyInput).key)
		for _, op := range ops {
			t.Logf("  client %d from %d for %d us: %+v", op.ClientId, op.Call, (op.Return-op.Call)/1000, op.Output)
		}
	}
}
