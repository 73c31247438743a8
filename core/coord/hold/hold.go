// Package hold accounts for the memory and the connections that clients make a host hold.
//
// The load pattern: clients that nobody controls open many connections at once and send heads
// of very many lines, or large bodies that stop short of their end, and leave them open. What
// each of them sends is legal. Charged only once it is complete, it takes more than the memory
// or the descriptors of the host. So every holder is charged as its bytes arrive. When there is
// no room, the holder that has made no progress for a time and holds the most gives way. A
// request that is complete and being served is never ended for another one, unless its client
// has taken nothing of the response for seconds.
package hold

import (
	"sync"
	"time"
)

// Kind is what bytes are held for.
type Kind int

// The kinds.
const (
	Conns Kind = iota
	Heads
	Requests
	Bodies
	Responses
	kinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Conns, Heads, Requests, Bodies, Responses} }

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"conns", "heads", "requests", "bodies", "responses"}[k]
}

// Phase is the state of a connection.
type Phase int

// The phases of a connection: nothing was received, a head or a body is incomplete, a complete
// request is being served, or the connection waits for the next request.
const (
	Silent Phase = iota
	Head
	Body
	Served
	Idle
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"silent", "head", "body", "served", "idle"}[p]
}

// Reason is why a holder is ended.
type Reason string

// The reasons.
const (
	// Stalled holders made no progress while others needed their memory or connection.
	Stalled Reason = "stalled"
	// Slow holders sent less than the least rate of a body.
	Slow Reason = "slow"
	// NoRoom holders asked for memory that is not there.
	NoRoom Reason = "no-room"
	// NoConn holders are connections above a bound.
	NoConn Reason = "no-conn"
	// Unread holders did not take what was written to them.
	Unread Reason = "unread"
)

const (
	// ConnBytes is what a connection takes: two goroutine stacks, buffers and state.
	ConnBytes = 16 << 10
	// RequestBytes is what a request takes besides its head and its bodies: the buffers of a
	// connection to an endpoint, of a stream, and goroutine stacks.
	RequestBytes = 32 << 10
	// LineBytes is what a header line takes besides its bytes: entries of the maps of the
	// client's and the endpoint's request and their strings. A map entry of a short line was
	// measured at 100 bytes.
	LineBytes = 160
	// HeadFactor counts the copy of a head that is sent to an endpoint.
	HeadFactor = 2

	// smallHolder is the size up to which a holder may use the reserve, and reserveShare the
	// part of the memory that is reserved: ordinary bodies have up to 72 KB, twice that while
	// their buffer grows, and must find room beside large ones.
	smallHolder  = 256 << 10
	smallBody    = 128 << 10
	reserveShare = 0.2

	// spareShare is the part of the memory up to which holders take what they can do without:
	// the growth of send buffers for slow readers.
	spareShare = 0.5

	// stallTime is how long a holder may make no progress while others need room: longer than
	// the pauses of a second that honest clients make.
	stallTime = 2 * time.Second
	// silentTime is that of a connection on which nothing was received, whose client has
	// sent no part of a request.
	silentTime = time.Second
	// unreadTime is that of a client that takes nothing of its response: also longer than the
	// pauses of honest clients.
	unreadTime = 3 * time.Second
	// idleTime is that of a connection between requests. Clients reuse those that were idle
	// for up to 12 s.
	idleTime = 15 * time.Second
	// leastIdleTime is that of a connection between requests if no other one can give way.
	// Its client gets the end of the connection, and opens another one.
	leastIdleTime = 2 * time.Second

	// defaultBodyPause is how long a body may bring no byte, and minBodyRate the least number
	// of bytes per second on average after that time, whether or not others need room.
	defaultBodyPause = 10 * time.Second
	minBodyRate      = 1 << 10

	// sweepGap is the time between two sweeps from which on this process counts as suspended:
	// what clients sent meanwhile has not been read.
	sweepGap = 3 * time.Second
)

// Config holds the bounds of an Account.
type Config struct {
	// Bytes is the memory for all holders.
	Bytes int64
	// MaxConns is the largest number of connections of each port.
	MaxConns map[string]int
	// MaxSpareConns is the largest number of connections to endpoints that are not in use.
	MaxSpareConns int
	// BodyPause is how long a body may bring no byte; 0 for the default.
	BodyPause time.Duration
	// SocketBytes is the size of the kernel's buffers of a connection, one for each
	// direction; 0 if the kernel chooses it.
	SocketBytes int
	// MaxConnsPerAddress bounds the connections of one client address; 0 for no bound.
	MaxConnsPerAddress int
}

// Account holds what all clients take. It is safe for concurrent use.
//
// Lock order: Account.mu is a leaf.
type Account struct {
	cfg Config

	mu      sync.Mutex
	holders map[*Holder]struct{}
	conns   map[string]int
	byAddr  map[string]int
	held    [kinds]int64
	total   int64
	// waiting holds those that wait for memory, and newest the newest of them.
	waiting map[*Holder]struct{}
	newest  *Holder
	opened  uint64
	swept   time.Duration
}

// Holder is a connection, or a request that another host forwarded.
type Holder struct {
	port    string
	address string
	number  uint64
	evict   func(Reason)

	phase Phase
	// since is when the phase began, progress when the last byte was received in it, and
	// received their number.
	since    time.Duration
	progress time.Duration
	received int64
	bytes    [kinds]int64
	total    int64
	// unread is set while the client takes nothing of a response that is written to it.
	unread bool
	// large is set if more than smallBody was announced.
	large bool
	// waiting is set while the holder waits for memory, so that its client can't proceed.
	waiting bool
	ended   bool
}

// New returns an empty Account.
func New(cfg Config) *Account {
	return &Account{cfg: cfg, holders: make(map[*Holder]struct{}), conns: make(map[string]int), byAddr: make(map[string]int), waiting: make(map[*Holder]struct{})}
}

// OpenConn adds a connection of a client address to a port. If the port has no connection
// left, it returns the victim that gives way; without one the new connection is refused.
func (a *Account) OpenConn(port, address string, now time.Duration, evict func(Reason)) (h *Holder, victims []Victim, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if per := a.cfg.MaxConnsPerAddress; per > 0 && a.byAddr[port+" "+address] >= per {
		return nil, nil, false
	}
	if a.conns[port] >= a.cfg.MaxConns[port] {
		v, found := a.stalledConn(port, now)
		if !found {
			return nil, nil, false
		}
		v.Holder.ended = true
		victims = append(victims, v)
	}
	h = a.add(now, evict)
	h.port, h.address = port, address
	a.conns[port]++
	a.byAddr[port+" "+address]++
	a.charge(h, Conns, ConnBytes)
	return h, victims, true
}

// Open adds a holder that has no connection of its own and is complete.
func (a *Account) Open(now time.Duration) *Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.add(now, func(Reason) {})
	h.phase = Served
	return h
}

func (a *Account) add(now time.Duration, evict func(Reason)) *Holder {
	a.opened++
	h := &Holder{number: a.opened, evict: evict, since: now, progress: now}
	a.holders[h] = struct{}{}
	return h
}

// Close removes a holder and all that it holds.
func (a *Account) Close(h *Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.holders[h]; !ok {
		return
	}
	delete(a.holders, h)
	a.endWait(h)
	if h.port != "" {
		a.conns[h.port]--
		key := h.port + " " + h.address
		if a.byAddr[key]--; a.byAddr[key] == 0 {
			delete(a.byAddr, key)
		}
	}
	for k, n := range h.bytes {
		a.held[k] -= n
	}
	a.total -= h.total
	h.bytes, h.total = [kinds]int64{}, 0
}

// Take adds n bytes to what a holder holds. If there is no room it adds none, and returns the
// victims that have to give way, if there are any.
func (a *Account) Take(h *Holder, k Kind, n int64, now time.Duration) (ok bool, victims []Victim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.holders[h]; !open {
		return false, nil
	}
	limit := a.cfg.Bytes
	if h.large || h.total+n > smallHolder {
		limit -= int64(reserveShare * float64(limit))
	}
	if a.total+n <= limit {
		a.endWait(h)
		a.charge(h, k, n)
		return true, nil
	}
	return false, a.stalledHolders(h, a.total+n-limit, now)
}

// TakeSpare adds n bytes that a holder can do without. It takes them only while a large part of the
// memory is free.
func (a *Account) TakeSpare(h *Holder, k Kind, n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.holders[h]; !open || float64(a.total+n) > spareShare*float64(a.cfg.Bytes) {
		return false
	}
	a.charge(h, k, n)
	return true
}

// Announce records the announced length of a body. A large one can't use the reserve, also while
// little of it has arrived.
func (a *Account) Announce(h *Holder, length int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.large = length > smallBody
}

// Give returns n bytes.
func (a *Account) Give(h *Holder, k Kind, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.holders[h]; ok {
		a.charge(h, k, -n)
	}
}

// GiveAll returns all that is held of a kind.
func (a *Account) GiveAll(h *Holder, k Kind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.charge(h, k, -h.bytes[k])
}

func (a *Account) charge(h *Holder, k Kind, n int64) {
	h.bytes[k] += n
	h.total += n
	a.held[k] += n
	a.total += n
}

// SetPhase begins a phase of a connection.
func (a *Account) SetPhase(h *Holder, p Phase, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endWait(h)
	h.phase, h.since, h.progress, h.received, h.unread = p, now, now, 0, false
}

// SetServed records that the request of a connection is complete. It reports false if the
// holder was ended before: then the request must not run.
func (a *Account) SetServed(h *Holder, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.ended {
		return false
	}
	a.endWait(h)
	h.phase, h.since, h.progress, h.received = Served, now, now, 0
	return true
}

// PhaseOf returns the phase of a connection.
func (a *Account) PhaseOf(h *Holder) Phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.phase
}

// Received records that n bytes were received. The first ones after silence or idle time begin
// a head.
func (a *Account) Received(h *Holder, n int, now time.Duration) Phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.phase == Silent || h.phase == Idle {
		h.phase, h.since, h.received = Head, now, 0
	}
	h.progress = now
	h.received += int64(n)
	return h.phase
}

// SetUnread records since when the client has taken nothing of what is written to it.
func (a *Account) SetUnread(h *Holder, since time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.phase == Served {
		h.unread, h.progress = true, since
	}
}

// SetRead records that the client takes what is written to it.
func (a *Account) SetRead(h *Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.unread = false
}

// Wait records that a holder waits for memory, and reports whether it is the newest of several
// that do. All that wait are incomplete, so if they hold the whole memory, none can proceed.
// The newest gives up first, so that the oldest is completed.
func (a *Account) Wait(h *Holder) (newest bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.waiting {
		h.waiting = true
		a.waiting[h] = struct{}{}
		if a.newest == nil || h.number > a.newest.number {
			a.newest = h
		}
	}
	return h == a.newest && len(a.waiting) > 1
}

// endWait removes a holder from those that wait.
func (a *Account) endWait(h *Holder) {
	if !h.waiting {
		return
	}
	h.waiting = false
	delete(a.waiting, h)
	if h != a.newest {
		return
	}
	a.newest = nil
	for other := range a.waiting {
		if a.newest == nil || other.number > a.newest.number {
			a.newest = other
		}
	}
}

// EndWait records that a holder no longer waits for memory.
func (a *Account) EndWait(h *Holder, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endWait(h)
	h.progress = now
}

// Held returns the bytes that are held of a kind.
func (a *Account) Held(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[k]
}

// HeldBy returns the bytes of a kind that a holder holds.
func (a *Account) HeldBy(h *Holder, k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.bytes[k]
}

// OpenConns returns the number of connections of a port.
func (a *Account) OpenConns(port string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conns[port]
}
