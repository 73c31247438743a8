package suite

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/stand/fault"
)

// publishInput and publishOutput are the input and output of a publication in the
// history.
type publishInput struct{ base uint64 }

type publishOutput struct {
	accepted bool
	version  uint64
}

// publishModel models one document, whose state is its version. A change based on the
// current version is accepted, any other is stale.
var publishModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		version, in, out := state.(uint64), input.(publishInput), output.(publishOutput)
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

// TestPublishHistories checks that the verdicts on concurrent changes of one document
// are linearizable, that the configuration offset of a host never decreases, and that
// all hosts end with the same state. Operators publish the same contract through
// several hosts while the platform's log loses responses and rejects requests.
func TestPublishHistories(t *testing.T) {
	for seed := range historySeeds() {
		t.Run(fmt.Sprintf("seed=%d", seed+1), func(t *testing.T) {
			env := newTestEnv(t, uint64(seed+1))
			defer env.close()
			r := &publishRun{t: t, env: env, rng: rand.New(rand.NewPCG(uint64(seed+1), 1))}
			r.run()
		})
	}
}

type publishRun struct {
	t       *testing.T
	env     *testEnv
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
		r.hosts = append(r.hosts, newHost(r.env))
	}
	r.publishFleet()
	stop := make(chan struct{})
	var watchers, operators sync.WaitGroup
	for _, h := range r.hosts {
		watchers.Go(func() { r.checkMonotonic(h, stop) })
	}
	watchers.Go(func() { r.injectFaults(stop) })
	for id := range 4 {
		operators.Go(func() { r.publishChanges(id) })
	}
	operators.Wait()
	close(stop)
	watchers.Wait()
	r.env.platform.Faults().Set(fault.Switches{})
	r.checkAgreement()
	for _, h := range r.hosts {
		h.kill()
	}
	if !porcupine.CheckOperations(publishModel.ToModel(), r.history) {
		r.t.Errorf("verdicts are not linearizable: %v", r.history)
	}
}

func (r *publishRun) publishFleet() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	v, err := r.hosts[0].publish.Publish(ctx, conf.Change{Document: "fleet", Text: "services: [{name: shop}]\n"})
	if err != nil || v.Outcome != conf.Accepted {
		r.t.Fatal(v.Reason, err)
	}
	r.checkAgreement()
}

func (r *publishRun) injectFaults(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(15 * time.Millisecond):
			r.env.platform.Faults().Set(fault.Switches{LoseResponseNext: r.intN(3), RejectNext: r.intN(2), DelayMs: r.intN(20)})
		}
	}
}

// checkMonotonic checks that the configuration offset of a host never decreases.
func (r *publishRun) checkMonotonic(h *host, stop <-chan struct{}) {
	var last uint64
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		if now := h.store.Offset(); now < last {
			r.t.Errorf("configuration offset of a host decreased from %d to %d", last, now)
		} else {
			last = now
		}
	}
}

func (r *publishRun) publishChanges(id int) {
	for range 6 {
		h := r.hosts[r.intN(runHosts)]
		base := currentVersion(h)
		text := fmt.Sprintf("account: a\nkey-hashes: [%s]\nweight: %d\nservices: [shop]\n", fleet.HashKey("k"), 1+r.intN(9))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		start := time.Now()
		v, err := h.publish.Publish(ctx, conf.Change{Document: "contract/a", Base: base, Author: fmt.Sprint(id), Text: text})
		end := time.Now()
		cancel()
		if err != nil {
			r.t.Errorf("publication ended without a verdict: %v", err)
			return
		}
		if v.Outcome == conf.Invalid {
			r.t.Errorf("valid change was rejected: %s", v.Reason)
		}
		r.mu.Lock()
		r.history = append(r.history, porcupine.Operation{
			ClientId: id, Input: publishInput{base: base}, Output: publishOutput{accepted: v.Outcome == conf.Accepted, version: v.Version},
			Call: start.UnixNano(), Return: end.UnixNano(),
		})
		r.mu.Unlock()
	}
}

func currentVersion(h *host) uint64 {
	var v uint64
	h.store.Read(func(s *conf.State) {
		d, _ := s.Document("contract/a")
		v = d.Version
	})
	return v
}

// checkAgreement waits until all hosts are at the newest offset and checks that they
// have the same documents and verdicts.
func (r *publishRun) checkAgreement() {
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
			r.t.Errorf("hosts have different states:\n%s\n%s", states[0], s)
		}
	}
}
