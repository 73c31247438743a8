// Package line orders the requests that wait in a host until an engine has room for them.
//
// The load pattern: in a burst, mostly of one account, long prompts fill the KV caches of all
// engines. Requests that are sent then have others preempted, whose work is lost. So they
// wait in the host for a short time. Each of them asks for an engine again and again, which
// costs processor time, so only those ask that have a chance: a request does not ask while
// one before it needs no more memory. More urgent ranks come first. Within a rank accounts
// take turns by start-time fair queueing, so that requests of small accounts do not wait
// behind all those of a large one.
package line

import (
	"slices"
	"sync"
)

// Request is a request that waits.
type Request struct {
	// Service is the service whose engines the request waits for.
	Service string
	// Rank is the priority; 0 is the most urgent.
	Rank    int
	Account string
	// Memory is the number of KV cache tokens that the request needs.
	Memory int
}

// Table holds the waiting requests of a host. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	mu    sync.Mutex
	lines map[string]*line
}

// line holds the waiting requests of a service. Tags count tokens.
type line struct {
	waiters []*Waiter
	// virtual is the start tag of the last request that left for an engine.
	virtual int
	// finish is the finish tag of each account's last request.
	finish map[string]int
}

// Waiter is a request in line.
type Waiter struct {
	req Request
	// start is the start tag, and sequence the order of arrival.
	start    int
	sequence uint64
	table    *Table
}

// New returns an empty table.
func New() *Table { return &Table{lines: make(map[string]*line)} }

// Len returns the number of waiting requests.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.lines {
		n += len(l.waiters)
	}
	return n
}

// IsEmpty reports whether no request waits for a service.
func (t *Table) IsEmpty(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines[service] == nil
}

// Join adds a request.
func (t *Table) Join(r Request) *Waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lines[r.Service]
	if l == nil {
		l = &line{finish: make(map[string]int)}
		t.lines[r.Service] = l
	}
	w := &Waiter{req: r, start: max(l.virtual, l.finish[r.Account]), table: t}
	if n := len(l.waiters); n > 0 {
		w.sequence = l.waiters[n-1].sequence + 1
	}
	l.finish[r.Account] = w.start + r.Memory
	l.waiters = append(l.waiters, w)
	return w
}

// IsNext reports whether no request before this one needs as little memory or less, so that
// this one may ask for an engine.
func (w *Waiter) IsNext() bool {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	l := w.table.lines[w.req.Service]
	return l == nil || !slices.ContainsFunc(l.waiters, func(o *Waiter) bool { return o.req.Memory <= w.req.Memory && o.before(w) })
}

func (w *Waiter) before(o *Waiter) bool {
	switch {
	case w.req.Rank != o.req.Rank:
		return w.req.Rank < o.req.Rank
	case w.start != o.start:
		return w.start < o.start
	default:
		return w.sequence < o.sequence
	}
}

// Leave takes the request out of the line. Unless it is sent to an engine, it uses nothing of
// its account's share.
func (w *Waiter) Leave(sent bool) {
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	l := w.table.lines[w.req.Service]
	if l == nil {
		return
	}
	n := len(l.waiters)
	l.waiters = slices.DeleteFunc(l.waiters, func(o *Waiter) bool { return o == w })
	switch {
	case len(l.waiters) == n:
		return
	case len(l.waiters) == 0:
		delete(w.table.lines, w.req.Service)
	case sent:
		l.virtual = max(l.virtual, w.start)
	default:
		l.giveBack(w)
	}
}

// giveBack moves the later requests of an account up by one that is not sent.
func (l *line) giveBack(gone *Waiter) {
	l.finish[gone.req.Account] -= gone.req.Memory
	for _, o := range l.waiters {
		if o.req.Account == gone.req.Account && o.start > gone.start {
			o.start -= gone.req.Memory
		}
	}
}
