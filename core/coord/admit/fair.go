package admit

import (
	"container/heap"

	"cicadastand.dev/core/state/fleet"
)

// Waiter is a queued request.
type Waiter struct {
	req Request
	// finish is the virtual finish time, and sequence the order of arrival.
	finish   float64
	sequence uint64
	// index is the position in the heap, or -1 after the waiter was taken out.
	index   int
	grant   func()
	granted bool
}

// fairQueue implements weighted fair queueing for the waiters of one rank: they are
// ordered by virtual finish time, so that each account gets its share of the
// dispatches however many requests it queues.
type fairQueue struct {
	heap        waiterHeap
	virtualTime float64
	// lastFinish is the virtual finish time of each account's latest request.
	lastFinish map[string]float64
	// waiting is the number of waiters of each account.
	waiting map[string]int
}

func newFairQueue() *fairQueue {
	return &fairQueue{lastFinish: make(map[string]float64), waiting: make(map[string]int)}
}

func (f *fairQueue) push(w *Waiter) {
	start := max(f.virtualTime, f.lastFinish[w.req.Account])
	w.finish = start + w.req.Cost/w.req.Weight
	f.lastFinish[w.req.Account] = w.finish
	heap.Push(&f.heap, w)
	f.waiting[w.req.Account]++
}

func (f *fairQueue) pop() *Waiter {
	w, _ := heap.Pop(&f.heap).(*Waiter)
	f.uncount(w)
	f.virtualTime = max(f.virtualTime, w.finish-w.req.Cost/w.req.Weight)
	if len(f.heap) == 0 {
		clear(f.lastFinish)
		f.virtualTime = 0
	}
	return w
}

func (f *fairQueue) remove(w *Waiter) {
	if w.index >= 0 {
		heap.Remove(&f.heap, w.index)
		f.uncount(w)
	}
}

// backlog returns the number of waiters of an account.
func (f *fairQueue) backlog(account string) int { return f.waiting[account] }

func (f *fairQueue) len() int { return len(f.heap) }

func (f *fairQueue) uncount(w *Waiter) {
	f.waiting[w.req.Account]--
	if f.waiting[w.req.Account] == 0 {
		delete(f.waiting, w.req.Account)
	}
}

// ahead returns how many waiters would be admitted before the request if it were
// queued now.
func (f *fairQueue) ahead(r Request) int {
	finish := max(f.virtualTime, f.lastFinish[r.Account]) + r.Cost/r.Weight
	n := 0
	for _, w := range f.heap {
		if w.finish <= finish {
			n++
		}
	}
	return n
}

type waiterHeap []*Waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].finish == h[j].finish {
		return h[i].sequence < h[j].sequence
	}
	return h[i].finish < h[j].finish
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w, _ := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	last.index = -1
	return last
}

// rankPair holds one value for each rank.
type rankPair[T any] [2]T

func (p *rankPair[T]) of(r fleet.Rank) *T { return &p[r.Index()] }
