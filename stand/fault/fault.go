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
	// RefuseNext refuses the next calls before they take effect.
	RefuseNext int `json:"refuse-next"`
	// LoseAnswerNext cuts the connection of the next calls after they took effect.
	LoseAnswerNext int `json:"lose-answer-next"`
	// FailShare is the share of calls that are refused before they take effect.
	FailShare float64 `json:"fail-share"`
	// LoseEvents is the share of cache events that are lost.
	LoseEvents float64 `json:"lose-events"`
	// CutStreamsAfter cuts each stream after this many events; 0 for never.
	CutStreamsAfter int `json:"cut-streams-after"`
	// SkipEvent leaves the event with this number out of each stream; 0 for none.
	SkipEvent int `json:"skip-event"`
	// CrossNext answers the next calls with the identity of another request.
	CrossNext int `json:"cross-next"`
	// IgnoreExpectations runs requests whose expected incarnation or weights differ.
	IgnoreExpectations bool `json:"ignore-expectations"`
	// Frozen stops all progress while it is set.
	Frozen bool `json:"frozen"`
}

// Board guards the switches of one stand-in.
type Board struct {
	mu  sync.Mutex
	now Switches
	rng *rand.Rand
	// clock times the delays.
	clock clock.Service
}

// NewBoard returns a board without faults and with a fixed seed.
func NewBoard(service clock.Service, seed uint64) *Board {
	return &Board{clock: service, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Get returns the switches.
func (b *Board) Get() Switches {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

// Set replaces the switches.
func (b *Board) Set(s Switches) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = s
}

// Chance reports true for a share of the calls.
func (b *Board) Chance(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return share > 0 && b.rng.Float64() < share
}

// TakeRefuse reports whether this call is refused.
func (b *Board) TakeRefuse() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.now.Down || take(&b.now.RefuseNext) {
		return true
	}
	return b.now.FailShare > 0 && b.rng.Float64() < b.now.FailShare
}

// TakeLoseAnswer reports whether the answer of this call is lost.
func (b *Board) TakeLoseAnswer() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return take(&b.now.LoseAnswerNext)
}

// TakeCross reports whether this call is answered with another identity.
func (b *Board) TakeCross() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return take(&b.now.CrossNext)
}

// Delay waits for the delay that is switched on, or until the caller leaves.
func (b *Board) Delay(r *http.Request) {
	wait := time.Duration(b.Get().DelayMs) * time.Millisecond
	if wait <= 0 {
		return
	}
	sub := b.clock.Once(wait)
	defer sub.Stop()
	select {
	case <-sub.C():
	case <-r.Context().Done():
	}
}

// ServeHTTP shows the switches, or sets those that the body names.
func (b *Board) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		next := b.Get()
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.Set(next)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b.Get())
}

func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
