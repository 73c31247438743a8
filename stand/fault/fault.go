// Package fault injects faults into the test doubles.
package fault

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cicadastand.dev/core/state/clock"
)

// Switches selects the faults that a test double injects. Faults with a count affect
// that number of calls.
type Switches struct {
	// Down rejects every call.
	Down bool `json:"down"`
	// DelayMs delays every call, in milliseconds.
	DelayMs int `json:"delay-ms"`
	// RejectNext is the number of next calls that are rejected before they take effect.
	RejectNext int `json:"refuse-next"`
	// LoseResponseNext is the number of next calls whose connection is closed after they
	// took effect, without a response.
	LoseResponseNext int `json:"lose-answer-next"`
	// FailShare is the share of calls that are rejected before they take effect.
	FailShare float64 `json:"fail-share"`
	// LoseEvents is the share of cache events that are lost.
	LoseEvents float64 `json:"lose-events"`
	// CutStreamsAfter breaks each stream after this many events; 0 for never.
	CutStreamsAfter int `json:"cut-streams-after"`
	// SkipEvent omits the event with this number from each stream; 0 for none.
	SkipEvent int `json:"skip-event"`
	// SwapNext is the number of next calls that get the response to another request.
	SwapNext int `json:"cross-next"`
	// CopyRejectionNext is the number of next calls that take effect and get a copy of the
	// rejection of another request.
	CopyRejectionNext int `json:"copy-refusal-next"`
	// IgnoreExpectations executes requests even if the incarnation or weights version
	// that they expect differs.
	IgnoreExpectations bool `json:"ignore-expectations"`
	// Frozen stops all progress of requests while it is set.
	Frozen bool `json:"frozen"`
}

// Injector holds the fault switches of one test double. It is safe for concurrent use.
type Injector struct {
	mu     sync.Mutex
	active Switches
	rng    *rand.Rand
	// clock times DelayMs.
	clock clock.Service
}

// NewInjector returns an injector without faults. The seed makes random faults reproducible.
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

// Chance returns true for a random share of its calls.
func (i *Injector) Chance(share float64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return share > 0 && i.rng.Float64() < share
}

// TakeRejection reports whether to reject this call, and counts down RejectNext.
func (i *Injector) TakeRejection() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active.Down || takeOne(&i.active.RejectNext) {
		return true
	}
	return i.active.FailShare > 0 && i.rng.Float64() < i.active.FailShare
}

// TakeLostResponse reports whether to drop the response to this call, and counts down
// LoseResponseNext.
func (i *Injector) TakeLostResponse() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return takeOne(&i.active.LoseResponseNext)
}

// TakeSwap reports whether this call gets the response to another request, and counts
// down SwapNext.
func (i *Injector) TakeSwap() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return takeOne(&i.active.SwapNext)
}

// TakeCopiedRejection reports whether this call gets a copy of a rejection, and counts down
// CopyRejectionNext.
func (i *Injector) TakeCopiedRejection() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return takeOne(&i.active.CopyRejectionNext)
}

// Delay waits for DelayMs, or until the request is canceled.
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

// ServeHTTP returns the switches. A POST first sets the switches named in its JSON body.
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
