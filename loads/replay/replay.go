// Package replay is a discrete-event simulation that runs a workload through the
// router's admission and routing code against simulated engines. Because time is
// simulated too, results are reproducible and don't depend on the speed of the
// machine, so routing policies can be compared with each other.
package replay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/index"
	"cicadastand.dev/core/state/prefix"
	"cicadastand.dev/loads/drive"
	"cicadastand.dev/loads/plan"
)

// Config describes the simulated engines and routers.
type Config struct {
	// Engines and Routers are the numbers of simulated engines and routers.
	Engines int `yaml:"engines"`
	Routers int `yaml:"routers"`
	// Policy names the routing policy.
	Policy string `yaml:"policy"`
	// Slots, PrefillRate, TokenTime, CachePieces and CacheLifetime describe each engine:
	// requests run in parallel, prompt tokens computed a second, time for each generated
	// token, maximum number of cached pieces (KV cache blocks, see package prefix), and
	// how long a piece is cached after its last use.
	Slots         int           `yaml:"slots"`
	PrefillRate   float64       `yaml:"prefill-rate"`
	TokenTime     time.Duration `yaml:"token-time"`
	CachePieces   int           `yaml:"cache-pieces"`
	CacheLifetime time.Duration `yaml:"cache-life"`
	// ImportRate is the speed of imports from the KV cache store in tokens a second;
	// 0 disables the store. StoreLifetime is how long the store keeps an
	// exported piece.
	ImportRate    float64       `yaml:"import-rate"`
	StoreLifetime time.Duration `yaml:"kept-life"`
	// ExportAfter is how many recent requests for a piece make an engine export it to
	// the KV cache store.
	ExportAfter int `yaml:"export-after"`
	// ReportInterval is the time between two load reports of an engine, and
	// ReportLag is the age of a report when the routers receive it.
	ReportInterval time.Duration `yaml:"report-interval"`
	ReportLag      time.Duration `yaml:"report-lag"`
	// CacheEvents makes routers read the engines' cache events. EventLossShare is
	// the share of events that are lost on the way.
	CacheEvents    bool    `yaml:"cache-events"`
	EventLossShare float64 `yaml:"lose-events"`
	// OtherFloor and UrgentReserve configure the admission queue.
	OtherFloor    float64 `yaml:"other-floor"`
	UrgentReserve float64 `yaml:"urgent-reserve"`
	// Overcommit times the number of slots is the limit of requests in flight.
	Overcommit float64 `yaml:"overcommit"`
	// UrgentFirstToken and OtherFirstToken are the targets for the time to first
	// token of urgent and of other requests.
	UrgentFirstToken time.Duration `yaml:"urgent-first-token"`
	OtherFirstToken  time.Duration `yaml:"other-first-token"`
	// WarmUp is the time at the start whose requests are excluded from the results.
	WarmUp time.Duration `yaml:"warm-up"`
	// CrashAt, if set, is when the first engine crashes, and RestartAt, if set, is
	// when all routers restart.
	CrashAt   time.Duration `yaml:"crash-at"`
	RestartAt time.Duration `yaml:"restart-at"`
}

// DefaultConfig returns a configuration with the sizes of the first deployment.
func DefaultConfig() Config {
	return Config{
		Engines:          12,
		Routers:          6,
		Policy:           route.NameExpect,
		Slots:            8,
		PrefillRate:      20_000,
		TokenTime:        10 * time.Millisecond,
		CachePieces:      120,
		CacheLifetime:    20 * time.Second,
		ImportRate:       200_000,
		ExportAfter:      1,
		StoreLifetime:    10 * time.Minute,
		CacheEvents:      true,
		ReportInterval:   100 * time.Millisecond,
		ReportLag:        200 * time.Millisecond,
		OtherFloor:       0.1,
		UrgentReserve:    0.1,
		Overcommit:       0.85,
		UrgentFirstToken: 600 * time.Millisecond,
		OtherFirstToken:  5 * time.Second,
	}
}

// ErrConfig reports a field that must be positive but isn't.
type ErrConfig struct{ Field string }

func (e *ErrConfig) Error() string { return e.Field + " must be above 0" }

// Validate checks the configuration.
func (c *Config) Validate() error {
	values := map[string]float64{
		"engines": float64(c.Engines), "routers": float64(c.Routers), "slots": float64(c.Slots), "prefill-rate": c.PrefillRate,
		"token-time": float64(c.TokenTime), "cache-pieces": float64(c.CachePieces), "cache-life": float64(c.CacheLifetime),
		"report-interval": float64(c.ReportInterval), "urgent-first-token": float64(c.UrgentFirstToken), "other-first-token": float64(c.OtherFirstToken),
	}
	for field, v := range values {
		if v <= 0 {
			return &ErrConfig{Field: "site." + field}
		}
	}
	if _, err := route.ByName(c.Policy); err != nil {
		return fmt.Errorf("site.policy: %w", err)
	}
	return nil
}

// Result holds the samples of a replay and what was measured besides them.
type Result struct {
	Samples []drive.Sample
	// Computed counts the prompt tokens that engines computed. CachedElsewhere counts
	// those of them that some engine had cached when the request was sent.
	Computed, CachedElsewhere int
	// Busy is the mean share of slots in use, relative to the time from the start to
	// the last arrival.
	Busy float64
	// InTime counts, for each stream, the requests whose time to first token was
	// within the target.
	InTime map[string]int
	// Attempts counts how often a request was sent to an engine, retries included.
	Attempts int
}

// Sim is the state of one simulation run.
type Sim struct {
	cfg      Config
	now      time.Duration
	events   eventHeap
	sequence uint64
	engines  []*simEngine
	routers  []*simRouter
	result   Result
	rng      *rand.Rand
	// storedAt is the content of the KV cache store, with the time of the export.
	storedAt    map[prefix.Key]time.Duration
	lastArrival time.Duration
	busySeconds float64
}

// call is a request in progress.
type call struct {
	req          *plan.Request
	router       *simRouter
	chain        []prefix.Key
	tokens       int
	engine       int
	sentAt       time.Duration
	cachedPieces int
	// importLimit is the number of leading pieces that the engine may import from the
	// KV cache store, and exportPieces the number that it exports to the store.
	importLimit, exportPieces, importedPieces int
	// offloadedPieces and expectedPieces are the numbers of leading pieces that the
	// router expected in the KV cache store and in the cache of the chosen engine.
	offloadedPieces, expectedPieces float64
	// sentToOwner says that the chosen engine is the rendezvous owner of the prompt.
	sentToOwner bool
	demand      []index.Demand
	// prompt is the prefill work that the router expected the engine to have.
	prompt health.Prompt
	// bestCachedPieces is the highest number of leading pieces that any engine had
	// cached when the request was sent.
	bestCachedPieces int
	started          bool
	// generation is the router's generation when it sent the call.
	generation       int
	timeToFirstToken time.Duration
}

// event is a function to run at a simulated time. Events of the same time run in
// the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// Run simulates the requests until all of them are finished or rejected.
func Run(cfg Config, requests []plan.Request) (Result, error) {
	s := &Sim{cfg: cfg, result: Result{InTime: make(map[string]int)}, rng: rand.New(rand.NewPCG(1, 1)), storedAt: make(map[prefix.Key]time.Duration)}
	for i := range cfg.Engines {
		s.engines = append(s.engines, newSimEngine(s, fmt.Sprintf("engine-%d", i+1)))
	}
	for range cfg.Routers {
		r, err := newSimRouter(s)
		if err != nil {
			return Result{}, err
		}
		s.routers = append(s.routers, r)
	}
	for i := range requests {
		r := &requests[i]
		s.at(r.At, func() { s.arrive(r) })
		s.lastArrival = max(s.lastArrival, r.At)
	}
	s.schedule()
	for len(s.events) > 0 {
		e, _ := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.result.Busy = s.busySeconds / (s.lastArrival.Seconds() * float64(cfg.Engines*cfg.Slots))
	return s.result, nil
}

func (s *Sim) schedule() {
	for at := time.Duration(0); at < s.lastArrival; at += s.cfg.ReportInterval {
		s.at(at, s.report)
	}
	if s.cfg.CrashAt > 0 {
		s.at(s.cfg.CrashAt, s.crash)
	}
	if s.cfg.RestartAt > 0 {
		s.at(s.cfg.RestartAt, s.restart)
	}
}

func (s *Sim) at(t time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: t, sequence: s.sequence, do: do})
}

func (s *Sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// report delivers the engines' delayed load reports and cache events to all routers.
func (s *Sim) report() {
	for _, e := range s.engines {
		rep := e.laggedReport(s.cfg.ReportLag)
		events := e.takeEvents(s.cfg.ReportLag)
		for _, r := range s.routers {
			r.handleReport(e, rep)
			r.handleCacheEvents(e, events)
		}
	}
}

// crash makes the first engine lose its cache and its calls, which are then retried.
func (s *Sim) crash() {
	for _, c := range s.engines[0].crash() {
		c.router.retry(c)
	}
}

// restart makes all routers lose their state at the same time.
func (s *Sim) restart() {
	for _, r := range s.routers {
		r.reset()
	}
}

func (s *Sim) arrive(r *plan.Request) {
	if r.Stream.Kind != plan.Completion {
		return
	}
	text := "user\n" + r.Prompt + "\x1e"
	scope := prefix.Scope{Account: r.Stream.Account, Model: r.Stream.Model, WeightsVersion: r.Stream.WeightsVersion}
	c := &call{req: r, router: s.routers[r.Number%len(s.routers)], chain: prefix.Chain(scope, text), tokens: prefix.EstimateTokens(text)}
	c.router.enqueue(c)
}

// recordAttempt counts an attempt and records how much of the prompt the engine
// with the best match had cached at that time.
func (s *Sim) recordAttempt(c *call) {
	best := 0
	for _, e := range s.engines {
		best = max(best, e.cachedPieces(c.chain))
	}
	c.bestCachedPieces = best
	s.result.Attempts++
}

// importable returns how many pieces that follow the cached ones can be imported
// from the KV cache store.
func (s *Sim) importable(c *call) int {
	n := c.cachedPieces
	for n < min(c.importLimit, len(c.chain)) {
		at, ok := s.storedAt[c.chain[n]]
		if !ok || s.now-at > s.cfg.StoreLifetime {
			break
		}
		n++
	}
	return n - c.cachedPieces
}

func (s *Sim) firstToken(c *call) {
	c.started = true
	if c.timeToFirstToken == 0 {
		c.timeToFirstToken = s.now - c.req.At
	}
	if c.req.At < s.cfg.WarmUp {
		c.router.firstToken(c)
		return
	}
	s.result.Computed += c.tokens - (c.cachedPieces+c.importedPieces)*prefix.PieceTokens
	s.result.CachedElsewhere += max(0, c.bestCachedPieces-c.cachedPieces-c.importedPieces) * prefix.PieceTokens
	c.router.firstToken(c)
}

func (s *Sim) recordCompletion(c *call) {
	s.busySeconds += (s.now - c.sentAt).Seconds()
	c.router.finished(c)
	if c.req.At < s.cfg.WarmUp {
		return
	}
	if c.timeToFirstToken <= s.firstTokenTarget(rankOf(c)) {
		s.result.InTime[c.req.Stream.Name]++
	}
	s.result.Samples = append(s.result.Samples, drive.Sample{
		Stream:       c.req.Stream.Name,
		At:           c.req.At,
		Outcome:      drive.Correct,
		FirstToken:   c.timeToFirstToken,
		Total:        s.now - c.req.At,
		PromptTokens: c.tokens,
		CachedTokens: c.cachedPieces * prefix.PieceTokens,
	})
}

func (s *Sim) reject(c *call, code string) {
	if c.req.At < s.cfg.WarmUp {
		return
	}
	s.result.Samples = append(s.result.Samples, drive.Sample{Stream: c.req.Stream.Name, At: c.req.At, Outcome: drive.Rejected, Code: code})
}

// firstTokenTarget returns the target for the time to first token of a rank.
func (s *Sim) firstTokenTarget(r fleet.Rank) time.Duration {
	if r == fleet.RankUrgent {
		return s.cfg.UrgentFirstToken
	}
	return s.cfg.OtherFirstToken
}

// clockStart is the wall clock time that the routers see at the start of a replay.
var clockStart = time.Unix(1_000_000, 0)

func (s *Sim) clock() time.Time { return clockStart.Add(s.now) }

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at < h[j].at
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func ceilAtLeastOne(v float64) int { return max(1, int(math.Ceil(v))) }
