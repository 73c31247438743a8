package replay

import (
	"container/list"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/prefix"
)

// simEngine is a simulated engine. It has a fixed number of slots, computes one
// prompt at a time with urgent ones first, and has an LRU cache of bounded size.
type simEngine struct {
	sim          *Sim
	name         string
	incarnation  int
	running      int
	slotQueue    rankQueue
	prefilling   bool
	prefillQueue rankQueue
	queuedTokens int
	cache        *simplelru.LRU[prefix.Key, time.Duration]
	inFlight     map[*call]bool
	reports      []report
	events       []cacheEvent
}

// cacheEvent says that an engine stored or evicted a piece of KV cache.
type cacheEvent struct {
	at          time.Duration
	incarnation int
	key         prefix.Key
	stored      bool
}

// report is the load of an engine at a point in time.
type report struct {
	at           time.Duration
	incarnation  int
	running      int
	queued       int
	queuedTokens int
}

// rankQueue is a FIFO queue of calls that returns urgent ones first.
type rankQueue struct{ urgent, other list.List }

func (q *rankQueue) push(c *call) {
	if c.req.Stream.Rank == fleet.RankUrgent {
		q.urgent.PushBack(c)
		return
	}
	q.other.PushBack(c)
}

func (q *rankQueue) pop() *call {
	for _, l := range []*list.List{&q.urgent, &q.other} {
		if front := l.Front(); front != nil {
			c, _ := l.Remove(front).(*call)
			return c
		}
	}
	return nil
}

func (q *rankQueue) len() int { return q.urgent.Len() + q.other.Len() }

func newSimEngine(s *Sim, name string) *simEngine {
	e := &simEngine{sim: s, name: name}
	e.reset()
	return e
}

func (e *simEngine) reset() {
	e.incarnation++
	e.running, e.queuedTokens, e.prefilling = 0, 0, false
	e.slotQueue, e.prefillQueue = rankQueue{}, rankQueue{}
	e.cache, _ = simplelru.NewLRU[prefix.Key, time.Duration](e.sim.cfg.CachePieces, func(k prefix.Key, _ time.Duration) { e.recordEvent(k, false) })
	e.inFlight = make(map[*call]bool)
}

// crash drops the cache and all calls, and returns these calls.
func (e *simEngine) crash() []*call {
	lost := make([]*call, 0, len(e.inFlight))
	for c := range e.inFlight {
		lost = append(lost, c)
	}
	e.reset()
	return lost
}

func (e *simEngine) arrive(c *call) {
	e.inFlight[c] = true
	e.queuedTokens += c.tokens
	e.slotQueue.push(c)
	e.fillSlots()
}

func (e *simEngine) fillSlots() {
	for e.running < e.sim.cfg.Slots && e.slotQueue.len() > 0 {
		e.running++
		e.prefillQueue.push(e.slotQueue.pop())
	}
	e.startPrefill()
}

func (e *simEngine) startPrefill() {
	if e.prefilling || e.prefillQueue.len() == 0 {
		return
	}
	c := e.prefillQueue.pop()
	e.prefilling = true
	c.cachedPieces = e.lookup(c.chain)
	c.importedPieces = e.sim.importable(c)
	missed := c.tokens - (c.cachedPieces+c.importedPieces)*prefix.PieceTokens
	work := time.Duration(float64(missed) / e.sim.cfg.PrefillRate * float64(time.Second))
	if c.importedPieces > 0 {
		work += time.Duration(float64(c.importedPieces*prefix.PieceTokens) / e.sim.cfg.ImportRate * float64(time.Second))
	}
	incarnation := e.incarnation
	e.sim.after(work, func() {
		if e.incarnation == incarnation {
			e.finishPrefill(c)
		}
	})
}

func (e *simEngine) finishPrefill(c *call) {
	e.prefilling = false
	e.queuedTokens -= c.tokens
	for _, k := range c.chain {
		if !e.cache.Contains(k) {
			e.recordEvent(k, true)
		}
		e.cache.Add(k, e.sim.now)
	}
	for _, k := range c.chain[:c.exportPieces] {
		e.sim.storedAt[k] = e.sim.now
	}
	e.sim.firstToken(c)
	incarnation := e.incarnation
	e.sim.after(time.Duration(c.req.Stream.MaxTokens)*e.sim.cfg.TokenTime, func() {
		if e.incarnation == incarnation {
			e.finish(c)
		}
	})
	e.startPrefill()
}

func (e *simEngine) finish(c *call) {
	delete(e.inFlight, c)
	e.running--
	e.sim.recordCompletion(c)
	e.fillSlots()
}

// lookup returns how many leading pieces are cached, and marks them as used.
func (e *simEngine) lookup(chain []prefix.Key) int {
	n := e.cachedPieces(chain)
	for _, k := range chain[:n] {
		e.cache.Add(k, e.sim.now)
	}
	return n
}

// cachedPieces returns how many leading pieces are cached.
func (e *simEngine) cachedPieces(chain []prefix.Key) int {
	for i, k := range chain {
		used, ok := e.cache.Peek(k)
		if !ok || e.sim.now-used > e.sim.cfg.CacheLifetime {
			return i
		}
	}
	return len(chain)
}

func (e *simEngine) recordEvent(k prefix.Key, stored bool) {
	e.events = append(e.events, cacheEvent{at: e.sim.now, incarnation: e.incarnation, key: k, stored: stored})
}

// takeEvents removes and returns the events that are at least lag old.
func (e *simEngine) takeEvents(lag time.Duration) []cacheEvent {
	n := 0
	for n < len(e.events) && e.sim.now-e.events[n].at >= lag {
		n++
	}
	out := e.events[:n]
	e.events = e.events[n:]
	return out
}

// laggedReport records the current load and returns the newest report that is at
// least lag old, or the oldest one if there is none.
func (e *simEngine) laggedReport(lag time.Duration) report {
	e.reports = append(e.reports, report{
		at: e.sim.now, incarnation: e.incarnation, running: e.running, queued: e.slotQueue.len(), queuedTokens: e.queuedTokens,
	})
	chosen := e.reports[0]
	for len(e.reports) > 1 && e.sim.now-e.reports[1].at >= lag {
		e.reports = e.reports[1:]
		chosen = e.reports[0]
	}
	return chosen
}
