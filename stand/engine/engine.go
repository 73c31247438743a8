// Package engine is a test double of a model engine. It batches continuously, caches
// prompt prefixes in limited memory, honours priorities, resumes streams, and
// publishes cache events late and with gaps. The generated text is a function of the
// model, its weights version and the prompt, so that a client can check every response.
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

// Config describes an engine.
type Config struct {
	Clock clock.Service
	// Name is the engine's name in logs.
	Name string
	// Weights has the weights version loaded at start, by model.
	Weights map[string]string
	// Adapters has the adapter loaded at start, by model.
	Adapters map[string]string
	// Slots is the number of requests that run at once.
	Slots int
	// PrefillRate is the speed at which prompt tokens that are not cached are computed,
	// in tokens per second.
	PrefillRate float64
	// TokenTime is the time to generate one token of a stream.
	TokenTime time.Duration
	// CachePieces is the capacity of the cache in pieces, which are KV cache blocks (see
	// package prefix).
	CachePieces int
	// CacheLifetime is how long a piece stays cached without use.
	CacheLifetime time.Duration
	// ReportLag is the age of load reports and cache events when they are returned.
	ReportLag time.Duration
	// LoadTime is the time to load weights.
	LoadTime time.Duration
	// RestartTime is the time for which the engine is down after a crash.
	RestartTime time.Duration
	// OffloadStore is the address of the store for offloaded KV cache; the zero address
	// for none.
	OffloadStore netip.AddrPort
	// ImportRate is the speed of imports from OffloadStore in tokens per second.
	ImportRate float64
	// ChecksFencing makes the engine reject orders with an old fencing token.
	ChecksFencing bool
	Seed          uint64
}

// Engine is the test double. It is safe for concurrent use.
type Engine struct {
	cfg     Config
	faults  *fault.Injector
	slots   *semaphore
	prefill *semaphore
	http    *http.Client

	mu sync.Mutex
	// incarnation is a random ID that changes with each restart.
	incarnation string
	// run is canceled when the incarnation ends.
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

// owner identifies what a cached piece was computed for.
type owner struct {
	account     string
	weights     string
	incarnation string
}

// Served records what one executed request used.
type Served struct {
	RequestID    string `json:"request-id"`
	Attempt      string `json:"attempt"`
	Account      string `json:"account"`
	Weights      string `json:"weights-version"`
	Incarnation  string `json:"incarnation"`
	CachedTokens int    `json:"cached-tokens"`
	PromptTokens int    `json:"prompt-tokens"`
}

// Stats has totals of the engine's work.
type Stats struct {
	Incarnation string `json:"incarnation"`
	Crashes     int    `json:"crashes"`
	// Prefilled counts prompt tokens that were computed.
	Prefilled int `json:"prefilled-tokens"`
	// Hits counts prompt tokens that were cached.
	Hits int `json:"cached-tokens"`
	// Imported counts prompt tokens that were imported from the store for offloaded KV cache.
	Imported int `json:"imported-tokens"`
	// Violations counts uses of a cached piece that belongs to another account, weights
	// version or incarnation.
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

// Faults returns the engine's fault injector.
func (e *Engine) Faults() *fault.Injector { return e.faults }

// Crash aborts all requests and drops the cache. The engine restarts with an empty cache.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endRun()
	e.crashes++
	e.downUntil = e.cfg.Clock.Now().Add(e.cfg.RestartTime)
	e.reset()
}

// Stats returns the totals since the start; they include earlier incarnations.
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

// evicted returns a callback that publishes an event for each piece that the cache
// drops. The cache calls it while the engine's lock is held, or from the goroutine that
// removes expired pieces, so it publishes in a goroutine of its own.
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

// store caches the pieces of a chain, unless the engine has crashed since the request
// started.
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
