package place

import (
	"time"

	"cicadastand.dev/core/coord/load"
)

const (
	// sharedReserve is the share of an engine's KV cache that is left to cached prompt parts:
	// beyond the rest of it, a request pushes such parts out, which then are computed or
	// fetched again.
	sharedReserve = 0.3
	// fullShare is the share of the KV cache beyond which requests count as preempted. It is
	// below 1 since the sum leaves out shared parts whose first request has finished while
	// others still use them.
	fullShare = 0.9
	// preemptWeight multiplies the time to compute the tokens of preempted requests again:
	// their streams pause, and other prompts at the engine are delayed.
	preemptWeight = 4
	// smallShare is the share of an even part of the KV cache per slot up to which a request
	// counts as small. Small requests don't wait for room.
	smallShare = 0.5
)

// HeldMemory returns the KV cache tokens that requests hold at an engine when they are
// complete. mean is assumed for each request whose size is not known.
func HeldMemory(w load.Work, mean int) int { return w.Memory + w.Unsized*mean }

// isBinding reports whether requests as those at an engine and a new one of memory tokens
// exceed its KV cache before they use all of its slots.
func (e Engine) isBinding(memory, mean int) bool {
	if e.Capacity <= 0 {
		return false
	}
	held := HeldMemory(e.Work, mean) + memory
	return held*e.Slots > e.Capacity*(e.Work.Requests()+1)
}

// memoryCost returns the cost of the prompt parts that a request pushes out of the engine's
// KV cache, and of the requests that it has preempted.
//
// The cost grows with the tokens of the request, so short prompts remain cheap at engines
// that are full of long ones.
func (e Engine) memoryCost(memory, mean int) time.Duration {
	if !e.isBinding(memory, mean) {
		return 0
	}
	held := HeldMemory(e.Work, mean)
	excess := func(share float64) float64 {
		limit := share * float64(e.Capacity)
		return max(0, float64(held+memory)-max(limit, float64(held)))
	}
	return prefillTime(excess(1-sharedReserve)+(preemptWeight-1)*excess(fullShare), e)
}

// lacking returns how many tokens of KV cache the engine lacks for a request. An engine
// without other requests lacks none.
func (e Engine) lacking(memory, mean int) int {
	if !e.isBinding(memory, mean) {
		return 0
	}
	held := HeldMemory(e.Work, mean)
	return max(0, min(held, held+memory-int(fullShare*float64(e.Capacity))))
}

// IsSmall reports whether a request is so small against the KV cache of an engine that it
// does not wait for room.
func IsSmall(memory int, e Engine) bool {
	return float64(memory*e.Slots) <= smallShare*float64(e.Capacity)
}

// IsTight reports whether an engine that lacks some tokens still takes the request without
// preempting others, going by the sum of their sizes.
func IsTight(lacking, capacity int) bool {
	return float64(lacking) <= (1-fullShare)*float64(capacity)
}

// meanMemory returns the mean size of the requests of known size at n engines, or that of the
// new request if there are none.
func meanMemory(n int, work func(i int) *load.Work, own int) int {
	tokens, requests := 0, 0
	for i := range n {
		if w := work(i); w.Requests() > w.Unsized {
			tokens += w.Memory
			requests += w.Requests() - w.Unsized
		}
	}
	if requests == 0 {
		return own
	}
	return tokens / requests
}
