package burst

import (
	"cmp"
	"slices"
	"time"

	"cicadastand.dev/core/coord/load"
)

// engine computes prompts in chunks, the most urgent first, and makes one token of each
// stream with each chunk. Slots go to the most urgent requests, whether they fit or not. If
// running requests exceed the memory, the newest of the least urgent is preempted.
type engine struct {
	now            time.Duration
	queue, running []*request
	used           map[int]time.Duration // last use of each cached part
	size           map[int]int
	sent           [domainCount]load.Work // by hosts of each domain
	known          map[int]time.Duration  // what hosts know to be cached
	preempted      int
}

func (e *engine) held() int {
	sum, keys := 0, make(map[int]bool)
	for _, r := range e.running {
		sum += r.unique + r.made - min(r.unique, r.left)
		if !keys[r.key] {
			keys[r.key] = true
			sum += r.shared
		}
	}
	return sum
}

func (e *engine) admit() {
	for len(e.running) < slots && len(e.queue) > 0 {
		r := slices.MinFunc(e.queue, func(a, b *request) int { return cmp.Or(a.rank-b.rank, cmp.Compare(a.arrived, b.arrived)) })
		e.queue = slices.DeleteFunc(e.queue, func(o *request) bool { return o == r })
		if r.left = r.unique; e.used[r.key] == 0 {
			r.left += r.shared
		}
		e.used[r.key], e.size[r.key] = e.now, r.shared
		e.running = append(e.running, r)
	}
}

// makeRoom preempts requests until the others fit, and evicts cached parts.
func (e *engine) makeRoom() {
	held := e.held()
	for ; held > kvTokens && len(e.running) > 1; held = e.held() {
		newest := 0
		for i, r := range e.running {
			if r.rank >= e.running[newest].rank {
				newest = i
			}
		}
		e.queue = append(e.queue, e.running[newest])
		e.running = slices.Delete(e.running, newest, newest+1)
		e.preempted++
	}
	for _, r := range e.running {
		e.used[r.key] = e.now
	}
	var idle []int
	for key, at := range e.used {
		if at < e.now {
			held += e.size[key]
			idle = append(idle, key)
		}
	}
	slices.SortFunc(idle, func(a, b int) int { return cmp.Or(cmp.Compare(e.used[a], e.used[b]), a-b) })
	for _, key := range idle {
		if held <= kvTokens {
			return
		}
		held -= e.size[key]
		delete(e.used, key)
	}
}

func (e *engine) runUntil(end time.Duration) {
	for e.admit(); e.now < end; e.admit() {
		if len(e.running) == 0 {
			e.now = end
			return
		}
		budget := chunkTokens
		order := slices.Clone(e.running)
		slices.SortStableFunc(order, func(a, b *request) int { return a.rank - b.rank })
		for _, r := range order {
			n := min(budget, r.left)
			r.left, budget = r.left-n, budget-n
		}
		e.now += decodeStep + time.Duration(float64(chunkTokens-budget)/prefillRate*float64(time.Millisecond))
		for _, r := range e.running {
			if r.left == 0 {
				r.made++
				r.first = cmp.Or(r.first, e.now)
			}
		}
		e.running = slices.DeleteFunc(e.running, func(r *request) bool { return r.left == 0 && r.made >= r.output })
		e.makeRoom()
	}
}
