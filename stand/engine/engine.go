// Package engine stands in for a model engine: it batches continuously, caches
// prompt prefixes in limited memory, honours priorities, resumes streams, and
// publishes cache events late and with gaps. Its answers are a function of the
// prompt, so a reader can check each of them.
package engine

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/golang-lru/v2/expirable"

	"cicadastand.dev/core/proto/engine"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/prefix"
	"cicadastand.dev/stand/fault"
)

// Config describes the stand-in.
type Config struct {
	Clock clock.Service
	// Name tells engines apart in logs.
	Name string
	// Weights are the versions loaded at start, by model.
	Weights map[string]string
	// Adapters are the adapters loaded at start, by model.
	Adapters map[string]string
	// Slots is how many requests run at once.
	Slots int
	// PrefillRate is the speed for missed prompt tokens, in tokens a second.
	PrefillRate float64
	// TokenTime is the time for each token of one stream.
	TokenTime time.Duration
	// CachePieces is how many pieces the cache holds.
	CachePieces int
	// CacheLifetime is how long a piece stays without use.
	CacheLifetime time.Duration
	// ReportLag is how old load reports and cache events are.
	ReportLag time.Duration
	// LoadTime is how long weights take to load.
	LoadTime time.Duration
	// RestartTime is how long the engine is away after a crash.
	RestartTime time.Duration
	// OffloadStore is the store of kept KV cache; the zero address for none.
	OffloadStore netip.AddrPort
	// ImportRate is the speed of imports in tokens a second.
	ImportRate float64
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	Seed          uint64
}

// Engine is the stand-in.
type Engine struct {
	cfg     Config
	faults  *fault.Injector
	slots   *semaphore
	prefill *semaphore
	http    *http.Client

	mu             sync.Mutex
	incarnation    string
	run            context.Context
	endRun         context.CancelFunc
	downUntil      time.Time
	crashes        int
	weights        map[string]string
	adapters       map[string]string
	role           string
	fence          uint64
	loading        bool
	leaving        bool
	cache          *expirable.LRU[prefix.Key, owner]
	events         []timedEvent
	sequence       uint64
	reports        []timedLoad
	reportSequence uint64
	queuedTokens   int
	served         []Served
	prefilled      int
	hits           int
	imported       int
	violations     int
}

// owner says who wrote a cached piece.
type owner struct {
	account     string
	weights     string
	incarnation string
}

// Served tells what one request truly used.
type Served struct {
	RequestID    string `json:"request-id"`
	Attempt      string `json:"attempt"`
	Account      string `json:"account"`
	Weights      string `json:"weights-version"`
	Incarnation  string `json:"incarnation"`
	CachedTokens int    `json:"cached-tokens"`
	PromptTokens int    `json:"prompt-tokens"`
}

// Stats sums up what the engine did.
type Stats struct {
	Incarnation string `json:"incarnation"`
	Crashes     int    `json:"crashes"`
	// Prefilled counts prompt tokens that were computed.
	Prefilled int `json:"prefilled-tokens"`
	// Hits counts prompt tokens that came from the cache.
	Hits int `json:"cached-tokens"`
	// Imported counts prompt tokens that came from the store of kept KV cache.
	Imported int `json:"imported-tokens"`
	// Violations counts uses of an entry of another account, weights or incarnation.
	Violations int      `json:"violations"`
	Served     []Served `json:"served"`
}

const maxServed = 50_000

// New returns an engine with an empty cache.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:      cfg,
		faults:   fault.NewInjector(cfg.Clock, cfg.Seed),
		slots:    newSemaphore(cfg.Slots),
		prefill:  newSemaphore(1),
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots}},
		weights:  make(map[string]string),
		adapters: make(map[string]string),
		role:     "serving",
	}
	for m, v := range cfg.Weights {
		e.weights[m] = v
	}
	for m, a := range cfg.Adapters {
		e.adapters[m] = a
	}
	e.reset()
	return e
}

// Faults returns the fault switches.
func (e *Engine) Faults() *fault.Injector { return e.faults }

// Crash drops all requests and the cache; the engine comes back empty.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endRun()
	e.crashes++
	e.downUntil = e.cfg.Clock.Now().Add(e.cfg.RestartTime)
	e.reset()
}

// Stats returns what the engine did.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{
		Incarnation: e.incarnation,
		Crashes:     e.crashes,
		Prefilled:   e.prefilled,
		Hits:        e.hits,
		Imported:    e.imported,
		Violations:  e.violations,
		Served:      append([]Served{}, e.served...),
	}
}

// reset starts a new incarnation; the caller holds the lock or has the only reference.
func (e *Engine) reset() {
	e.incarnation = uuid.NewString()
	e.run, e.endRun = context.WithCancel(context.Background())
	e.events, e.reports = nil, nil
	e.cache = expirable.NewLRU(e.cfg.CachePieces, e.evicted(e.incarnation), e.cfg.CacheLifetime)
}

// evicted publishes an event for each piece that the cache drops. The cache
// calls it while the engine's lock is held, or from its own cleaner.
func (e *Engine) evicted(incarnation string) func(prefix.Key, owner) {
	return func(k prefix.Key, _ owner) {
		go e.publishEvicted(incarnation, k)
	}
}

func (e *Engine) publishEvicted(incarnation string, k prefix.Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation == e.incarnation && !e.cache.Contains(k) {
		e.publish(engine.EventEvicted, k)
	}
}

func (e *Engine) publish(kind engine.EventKind, k prefix.Key) {
	e.sequence++
	if e.faults.Chance(e.faults.Get().LoseEvents) {
		return
	}
	ev := engine.CacheEvent{Sequence: e.sequence, Kind: kind, Key: k.String(), Incarnation: e.incarnation}
	e.events = append(e.events, timedEvent{at: e.cfg.Clock.Now(), event: ev})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents/2:]
	}
}

// lookup returns how many leading pieces of a chain are cached.
func (e *Engine) lookup(chain []prefix.Key, by owner) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, k := range chain {
		o, ok := e.cache.Get(k)
		if !ok {
			break
		}
		if o != by {
			e.violations++
		}
		e.cache.Add(k, o)
		n++
	}
	return n
}

// store keeps the pieces of a chain, unless the engine crashed meanwhile.
func (e *Engine) store(chain []prefix.Key, by owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if by.incarnation != e.incarnation {
		return
	}
	for _, k := range chain {
		if !e.cache.Contains(k) {
			e.publish(engine.EventStored, k)
		}
		e.cache.Add(k, by)
	}
}
