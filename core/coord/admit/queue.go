package admit

import (
	"container/heap"

	"cicadastand.dev/core/state/fleet"
)

// Ticket is the place of a request in a line.
type Ticket struct {
	ask     Ask
	tag     float64
	order   uint64
	index   int
	grant   func()
	granted bool
}

// fair orders the waiters of one rank by weighted virtual finish time, so that
// each account gets its share of the dispatches however many requests it queues.
type fair struct {
	heap  waiterHeap
	clock float64
	last  map[string]float64
	// waiting counts the waiters of each account.
	waiting map[string]int
}

func newFair() *fair { return &fair{last: make(map[string]float64), waiting: make(map[string]int)} }

func (f *fair) push(w *Ticket) {
	start := max(f.clock, f.last[w.ask.Account])
	w.tag = start + w.ask.Cost/w.ask.Weight
	f.last[w.ask.Account] = w.tag
	heap.Push(&f.heap, w)
	f.waiting[w.ask.Account]++
}

func (f *fair) pop() *Ticket {
	w, _ := heap.Pop(&f.heap).(*Ticket)
	f.gone(w)
	f.clock = max(f.clock, w.tag-w.ask.Cost/w.ask.Weight)
	if len(f.heap) == 0 {
		clear(f.last)
		f.clock = 0
	}
	return w
}

func (f *fair) remove(w *Ticket) {
	if w.index >= 0 {
		heap.Remove(&f.heap, w.index)
		f.gone(w)
	}
}

// backlog returns the number of waiters of an account.
func (f *fair) backlog(account string) int { return f.waiting[account] }

func (f *fair) len() int { return len(f.heap) }

func (f *fair) gone(w *Ticket) {
	f.waiting[w.ask.Account]--
	if f.waiting[w.ask.Account] == 0 {
		delete(f.waiting, w.ask.Account)
	}
}

// ahead returns how many waiters would be served before a new request of an account.
func (f *fair) ahead(a Ask) int {
	tag := max(f.clock, f.last[a.Account]) + a.Cost/a.Weight
	n := 0
	for _, w := range f.heap {
		if w.tag <= tag {
			n++
		}
	}
	return n
}

type waiterHeap []*Ticket

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].tag == h[j].tag {
		return h[i].order < h[j].order
	}
	return h[i].tag < h[j].tag
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends x; it is for container/heap.
func (h *waiterHeap) Push(x any) {
	w, _ := x.(*Ticket)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter; it is for container/heap.
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
