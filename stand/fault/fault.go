// Package fault holds the fault switches that every stand-in has.
package fault

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cicadastand.dev/core/state/clock"
)

// Switches are the faults of a stand-in. Counted faults hit the next calls only.
type Switches struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMs delays every call, in milliseconds.
	DelayMs int `json:"delay-ms"`
	// RejectNext refuses the next calls before they take effect.
	RejectNext int `json:"refuse-next"`
	// LoseResponseNext cuts the connection of the next calls after they took effect.
	LoseResponseNext int `json:"lose-answer-next"`
	// FailShare is the share of calls that are refused before they take effect.
	FailShare float64 `json:"fail-share"`
	// LoseEvents is the share of cache events that are lost.
	LoseEvents float64 `json:"lose-events"`
	// CutStreamsAfter cuts each stream after this many events; 0 for never.
	CutStreamsAfter int `json:"cut-streams-after"`
	// SkipEvent leaves the event with this number out of each stream; 0 for none.
	SkipEvent int `json:"skip-event"`
	// SwapNext answers the next calls with the identity of another request.
	SwapNext int `json:"cross-next"`
	// IgnoreExpectations runs requests whose expected incarnation or weights differ.
	IgnoreExpectations bool `json:"ignore-expectations"`
	// Frozen stops all progress while it is set.
	Frozen bool `json:"frozen"`
}

// Injector guards the switches of one stand-in.
type Injector struct {
	mu     sync.Mutex
	active Switches
	rng    *rand.Rand
	// clock times the delays.
	clock clock.Service
}

// NewInjector returns a board without faults and with a fixed seed.
func NewInjector(service clock.Service, seed uint64) *Injector {
	return &Injector{clock: service, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Get returns the switches.
func (i *Injector) Get() Switches {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.active
}

// Set replaces the switches.
func (i *Injector) Set(s Switches) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.active = s
}

// Chance reports true for a share of the calls.
func (i *Injector) Chance(share float64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return share > 0 && i.rng.Float64() < share
}

// TakeRejection reports whether this call is refused.
func (i *Injector) TakeRejection() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active.Down || takeOne(&i.active.RejectNext) {
		return true
	}
	return i.active.FailShare > 0 && i.rng.Float64() < i.active.FailShare
}

// TakeLostResponse reports whether the answer of this call is lost.
func (i *Injector) TakeLostResponse() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return takeOne(&i.active.LoseResponseNext)
}

// TakeSwap reports whether this call is answered with another identity.
func (i *Injector) TakeSwap() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return takeOne(&i.active.SwapNext)
}

// Delay waits for the delay that is switched on, or until the caller leaves.
func (i *Injector) Delay(r *http.Request) {
	wait := time.Duration(i.Get().DelayMs) * time.Millisecond
	if wait <= 0 {
		return
	}
	sub := i.clock.Once(wait)
	defer sub.Stop()
	select {
	case <-sub.C():
	case <-r.Context().Done():
	}
}

// ServeHTTP shows the switches, or sets those that the body names.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		next := i.Get()
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.Set(next)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.Get())
}

func takeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
