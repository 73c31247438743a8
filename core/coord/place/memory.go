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
	// urgentSlots is the part of the slots, one in so many, that is left to small requests.
	urgentSlots = 8
	// smallShare is the share of an even part of the KV cache per slot up to which a request
	// counts as small. Small requests don't wait for room.
	smallShare = 0.5
)

// HeldMemory returns the KV cache tokens that requests hold at an engine when they are
// complete. mean is assumed for each request whose size is not known.
func HeldMemory(w load.Work, mean int) int { return w.Memory + w.Unsized*mean }

// running returns the KV cache tokens of the requests at an engine that fit into its slots at
// once: those beyond wait and hold none yet.
func (e Engine) running(mean int) int {
	held := HeldMemory(e.Work, mean)
	if n := e.Work.Requests(); n > e.Slots {
		return held * e.Slots / n
	}
	return held
}

// memoryCost returns the cost of the prompt parts that a request pushes out of the engine's
// KV cache, and of the requests that it has preempted.
//
// The cost grows with the tokens of the request, so short prompts remain cheap at engines
// that are full of long ones.
func (e Engine) memoryCost(memory, mean int) time.Duration {
	if e.Capacity <= 0 {
		return 0
	}
	held := e.running(mean)
	excess := func(share float64) float64 {
		limit := share * float64(e.Capacity)
		return max(0, float64(held+memory)-max(limit, float64(held)))
	}
	return prefillTime(excess(1-sharedReserve)+(preemptWeight-1)*excess(fullShare), e)
}

// lacking returns how many tokens of KV cache the engine lacks for a request. An engine
// without other requests lacks none.
//
// A request that would take one of the last slots lacks the tokens that it needs: a more
// urgent one that finds all slots taken has it preempted.
func (e Engine) lacking(memory, mean int) int {
	if e.Capacity <= 0 {
		return 0
	}
	held := e.running(mean)
	lacking := max(0, min(held, held+memory-int(fullShare*float64(e.Capacity))))
	if e.Work.Requests()+1 > e.Slots-e.Slots/urgentSlots {
		lacking = max(lacking, min(held, memory))
	}
	return lacking
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
