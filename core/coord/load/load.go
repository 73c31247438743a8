// Package load tracks the work that all hosts have at each endpoint.
//
// An endpoint's own report is some hundred milliseconds old and costs a call, so
// hosts tell each other what they have sent instead. The sum errs only by what
// was sent since the last exchange.
package load

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cicadastand.dev/core/proto/call"
)

// Work is what waits and runs at an endpoint.
type Work struct {
	// Waiting requests have not answered yet, Running ones have begun to.
	Waiting int
	Running int
	// Tokens is how much prompt the waiting requests still need read, by rank.
	Tokens [call.Ranks]int
}

// Add returns the sum of two amounts of work.
func (w Work) Add(o Work) Work {
	w.Waiting += o.Waiting
	w.Running += o.Running
	for rank, n := range o.Tokens {
		w.Tokens[rank] += n
	}
	return w
}

// TokensAhead returns how much prompt is read before that of a new request of a rank.
func (w Work) TokensAhead(rank int) int {
	sum := 0
	for _, n := range w.Tokens[:min(rank+1, call.Ranks)] {
		sum += n
	}
	return sum
}

// RequestsAhead returns how many requests begin before a new one of a rank. Hosts
// tell the ranks of tokens alone, so it goes by their share.
func (w Work) RequestsAhead(rank int) int {
	all := w.TokensAhead(call.Ranks - 1)
	if all <= 0 {
		return w.Waiting
	}
	return w.Waiting * w.TokensAhead(rank) / all
}

// Requests returns how many requests are at the endpoint.
func (w Work) Requests() int { return w.Waiting + w.Running }

// Table holds this host's work and what peers have told. It is safe for
// concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	// peerTimeout is when a silent peer's work no longer counts.
	peerTimeout time.Duration
	mu          sync.Mutex
	own         map[string]Work
	peers       map[string]peer
	// reserved are requests that hosts of the domain were told where to send, and
	// that their own word does not show yet.
	reserved []reservation
}

// Scope says whose work a word is about.
type Scope int

// The scopes.
const (
	// ScopeHost is one host of this host's failure domain.
	ScopeHost Scope = iota
	// ScopeDomain is all of another failure domain, by the word of its hub.
	ScopeDomain
	// ScopeOthers is all hosts but this one, by the word of this host's hub.
	ScopeOthers
)

type peer struct {
	updated time.Duration
	scope   Scope
	work    map[string]Work
}

// reservation is one request that is about to be sent.
type reservation struct {
	host     string
	endpoint string
	work     Work
	until    time.Duration
}

// New returns an empty table that forgets a peer after a time without word of it.
func New(peerTimeout time.Duration) *Table {
	return &Table{peerTimeout: peerTimeout, own: make(map[string]Work), peers: make(map[string]peer)}
}

// Request is one request at an endpoint.
type Request struct {
	table    *Table
	endpoint string
	work     Work
}

// Track notes a request of a rank that is sent with tokens of prompt to be read.
func (t *Table) Track(endpoint string, rank, tokens int) *Request {
	k := &Request{table: t, endpoint: endpoint}
	waiting := Work{Waiting: 1}
	waiting.Tokens[rank] = tokens
	k.change(waiting)
	return k
}

// MarkRunning notes that the endpoint has begun to answer.
func (k *Request) MarkRunning() {
	if k.work.Waiting > 0 {
		k.change(Work{Running: 1})
	}
}

// Done notes that the request is no longer at the endpoint.
func (k *Request) Done() { k.change(Work{}) }

func (k *Request) change(to Work) {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.own[k.endpoint].Add(to)
	w.Waiting -= k.work.Waiting
	w.Running -= k.work.Running
	for rank, n := range k.work.Tokens {
		w.Tokens[rank] -= n
	}
	k.work = to
	if w == (Work{}) {
		delete(t.own, k.endpoint)
		return
	}
	t.own[k.endpoint] = w
}

// Own returns this host's work.
func (t *Table) Own() map[string]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.own)
}

// UpdatePeer takes a peer's word on the work at endpoints. What a hub says of the rest
// stands for all that was heard before, and ends with the first word of another
// kind: then this host has become a hub itself.
func (t *Table) UpdatePeer(name string, scope Scope, work map[string]Work, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, p := range t.peers {
		if (p.scope == ScopeOthers) != (scope == ScopeOthers) || scope == ScopeOthers && other != name {
			delete(t.peers, other)
		}
	}
	t.peers[name] = peer{updated: now, scope: scope, work: work}
}

// RemovePeer forgets a peer that stops.
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

// Reserve notes that a host was told to send a request to an endpoint, until the
// host's own word shows it.
func (t *Table) Reserve(host, endpoint string, rank, tokens int, until time.Duration) {
	r := reservation{host: host, endpoint: endpoint, work: Work{Waiting: 1}, until: until}
	r.work.Tokens[rank] = tokens
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reserved = append(t.reserved, r)
}

// AtEndpoints returns the work of all hosts at some endpoints.
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
	sum := maps.Clone(t.own)
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
		if now-p.updated > t.peerTimeout {
			delete(t.peers, host)
		}
	}
	t.reserved = slices.DeleteFunc(t.reserved, func(r reservation) bool { return now >= r.until })
}
