// Package load tracks the work of all hosts at each endpoint.
//
// An endpoint's own report is a few hundred milliseconds old and costs a call, so
// hosts instead exchange what they have sent. The sum lacks only the requests sent
// since the last exchange.
package load

import (
	"slices"
	"sync"
	"time"

	"cicadastand.dev/core/proto/call"
)

// Work is the number of requests and queued prompt tokens at an endpoint.
type Work struct {
	// Waiting counts the requests without a first response, Running those whose
	// response has started.
	Waiting int
	Running int
	// Sent is the number of requests per second that are sent to the endpoint, while it
	// names a request limit.
	Sent float64
	// Tokens is the number of prompt tokens still to be computed for the waiting
	// requests, by rank.
	Tokens [call.Ranks]int
	// Memory is the number of KV cache tokens that the requests hold when they are complete,
	// without those of Unsized requests, whose size is not known: their host runs a release
	// that does not send it.
	Memory  int
	Unsized int
}

// Add returns the sum of two amounts of work.
func (w Work) Add(o Work) Work {
	w.Waiting += o.Waiting
	w.Running += o.Running
	w.Sent += o.Sent
	w.Memory += o.Memory
	w.Unsized += o.Unsized
	for rank, n := range o.Tokens {
		w.Tokens[rank] += n
	}
	return w
}

// TokensAhead returns the number of prompt tokens queued ahead of a new request of
// a rank.
func (w Work) TokensAhead(rank int) int {
	sum := 0
	for _, n := range w.Tokens[:min(rank+1, call.Ranks)] {
		sum += n
	}
	return sum
}

// LastRank is the least urgent rank.
const LastRank = call.Ranks - 1

// TokensStarted estimates the tokens that the engine still has to compute of a prompt
// that it has started before a new, more urgent request arrives: engines finish such a
// prompt first. It is half of the average prompt that is queued behind the rank.
func (w Work) TokensStarted(rank int) int {
	requests := w.Waiting - w.RequestsAhead(rank)
	if requests <= 0 {
		return 0
	}
	return (w.TokensAhead(LastRank) - w.TokensAhead(rank)) / requests / 2
}

// RequestsAhead estimates how many waiting requests are queued ahead of a new one of
// a rank. Hosts exchange token counts by rank but request counts only in total, so the
// estimate assumes that the requests are divided among the ranks as the tokens are.
func (w Work) RequestsAhead(rank int) int {
	all := w.TokensAhead(LastRank)
	if all <= 0 {
		return w.Waiting
	}
	return w.Waiting * w.TokensAhead(rank) / all
}

// EstimatedMemory returns Memory with an estimate for the requests of unknown size: those of
// known size at the same endpoint are taken as typical. It returns 0 if no size is known.
func (w Work) EstimatedMemory() int {
	sized := w.Requests() - w.Unsized
	if sized <= 0 || w.Memory <= 0 {
		return 0
	}
	return w.Memory * w.Requests() / sized
}

// Requests returns how many requests are at the endpoint.
func (w Work) Requests() int { return w.Waiting + w.Running }

// Table holds this host's work and the work reported by peers. It is safe for
// concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	// peerTimeout is the age at which a peer's last update is dropped.
	peerTimeout time.Duration
	mu          sync.Mutex
	own         map[string]Work
	// sent counts this host's requests by endpoint, while the endpoint names a request limit.
	sent map[string]counter
	// demand counts this host's requests by service.
	demand map[string]counter
	peers  map[string]peer
	// reserved holds requests that this host, as the hub, has placed for hosts of its
	// domain and that their own updates do not include yet.
	reserved []reservation
}

// Scope says whose work a peer's update covers.
type Scope int

// The scopes of an update.
const (
	// ScopeHost covers one host of this host's failure domain.
	ScopeHost Scope = iota
	// ScopeDomain covers another failure domain; its hub sends the update.
	ScopeDomain
	// ScopeOthers covers all hosts but this one; this host's hub sends the update.
	ScopeOthers
)

type peer struct {
	updated time.Duration
	scope   Scope
	work    map[string]Work
	demand  Demand
}

// reservation is one request that a host of the domain is about to send.
type reservation struct {
	host     string
	endpoint string
	work     Work
	until    time.Duration
}

// New returns an empty table that drops a peer's work after peerTimeout without an
// update.
func New(peerTimeout time.Duration) *Table {
	return &Table{peerTimeout: peerTimeout, own: make(map[string]Work), sent: make(map[string]counter), demand: make(map[string]counter), peers: make(map[string]peer)}
}

// Request tracks one of this host's requests at an endpoint.
type Request struct {
	table    *Table
	endpoint string
	memory   int
	work     Work
}

// Track records a request of a rank that is sent to an endpoint, with the number of
// prompt tokens that the engine has to compute and of KV cache tokens that the request
// holds when it is complete.
func (t *Table) Track(endpoint string, rank, tokens, memory int) *Request {
	r := &Request{table: t, endpoint: endpoint, memory: memory}
	waiting := Work{Waiting: 1, Memory: memory}
	waiting.Tokens[rank] = tokens
	r.change(waiting)
	return r
}

// MarkRunning records that the response has started.
func (r *Request) MarkRunning() {
	if r.work.Waiting > 0 {
		r.change(Work{Running: 1, Memory: r.memory})
	}
}

// Done records that the request is no longer at the endpoint.
func (r *Request) Done() { r.change(Work{}) }

func (r *Request) change(to Work) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.own[r.endpoint].Add(to)
	w.Waiting -= r.work.Waiting
	w.Running -= r.work.Running
	w.Memory -= r.work.Memory
	for rank, n := range r.work.Tokens {
		w.Tokens[rank] -= n
	}
	r.work = to
	if w == (Work{}) {
		delete(t.own, r.endpoint)
		return
	}
	t.own[r.endpoint] = w
}

// Own returns this host's work.
func (t *Table) Own(now time.Duration) map[string]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownWork(now)
}

// UpdatePeer stores a peer's update on the work at endpoints and on demand. An update with
// ScopeOthers covers all other hosts, so it replaces all earlier updates. It is dropped
// at the first update with another scope, since this host has then become a hub itself.
func (t *Table) UpdatePeer(name string, scope Scope, work map[string]Work, demand Demand, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, p := range t.peers {
		if (p.scope == ScopeOthers) != (scope == ScopeOthers) || scope == ScopeOthers && other != name {
			delete(t.peers, other)
		}
	}
	t.peers[name] = peer{updated: now, scope: scope, work: work, demand: demand}
}

// RemovePeer drops the work and demand of a peer that shuts down.
func (t *Table) RemovePeer(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, host)
}

// Total returns the work of all hosts at each endpoint.
func (t *Table) Total(now time.Duration) map[string]Work {
	return t.sum(now, func(string, peer) bool { return true })
}

// TotalExcept returns the work of all hosts but one.
func (t *Table) TotalExcept(name string, now time.Duration) map[string]Work {
	return t.sum(now, func(n string, _ peer) bool { return n != name })
}

// DomainTotal returns the work of this host's failure domain.
func (t *Table) DomainTotal(now time.Duration) map[string]Work {
	return t.sum(now, func(_ string, p peer) bool { return p.scope == ScopeHost })
}

// Reserve counts a request that was placed for a host, until the host's own update
// is expected to include it.
func (t *Table) Reserve(host, endpoint string, rank, tokens, memory int, until time.Duration) {
	r := reservation{host: host, endpoint: endpoint, work: Work{Waiting: 1, Memory: memory}, until: until}
	r.work.Tokens[rank] = tokens
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reserved = append(t.reserved, r)
}

// AtEndpoints returns the work of all hosts at each of the given endpoints, without the
// rates of requests.
func (t *Table) AtEndpoints(endpoints []string, now time.Duration) []Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := make([]Work, len(endpoints))
	for i, e := range endpoints {
		out[i] = t.own[e]
		for _, p := range t.peers {
			if w, ok := p.work[e]; ok {
				out[i] = out[i].Add(w)
			}
		}
		for _, r := range t.reserved {
			if r.endpoint == e {
				out[i] = out[i].Add(r.work)
			}
		}
	}
	return out
}

func (t *Table) sum(now time.Duration, include func(string, peer) bool) map[string]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	sum := t.ownWork(now)
	for name, p := range t.peers {
		if !include(name, p) {
			continue
		}
		for endpoint, w := range p.work {
			sum[endpoint] = sum[endpoint].Add(w)
		}
	}
	for _, r := range t.reserved {
		if include(r.host, peer{scope: ScopeHost}) {
			sum[r.endpoint] = sum[r.endpoint].Add(r.work)
		}
	}
	return sum
}

func (t *Table) expire(now time.Duration) {
	for host, p := range t.peers {
		switch age := now - p.updated; {
		case age > max(t.peerTimeout, demandTimeout):
			delete(t.peers, host)
		case age > t.peerTimeout && p.work != nil:
			p.work = nil
			t.peers[host] = p
		}
	}
	t.reserved = slices.DeleteFunc(t.reserved, func(r reservation) bool { return now >= r.until })
}
