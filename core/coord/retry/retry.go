// Package retry bounds how much work repeats add.
package retry

import "sync"

// Config bounds a budget.
type Config struct {
	// Ratio is how many repeats each first send earns.
	Ratio float64
	// Burst is how many repeats can be saved up, and is there at the start.
	Burst float64
}

// DefaultConfig returns the bounds for one account or endpoint.
func DefaultConfig() Config { return Config{Ratio: 0.08, Burst: 3} }

// Budget grants repeats in proportion to first sends. It is safe for concurrent use.
type Budget struct {
	cfg   Config
	mu    sync.Mutex
	saved float64
}

// New returns a budget with its burst saved up.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, saved: cfg.Burst} }

// First notes a first send.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.cfg.Ratio, b.cfg.Burst)
}

// Repeat takes one repeat from the budget, and reports whether it may be sent.
func (b *Budget) Repeat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Set holds a budget for each name, such as an account.
type Set struct {
	cfg Config
	mu  sync.Mutex
	by  map[string]*Budget
}

// NewSet returns an empty set.
func NewSet(cfg Config) *Set { return &Set{cfg: cfg, by: make(map[string]*Budget)} }

// Get returns the budget of a name.
func (s *Set) Get(name string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.by[name]
	if !ok {
		b = New(s.cfg)
		s.by[name] = b
	}
	return b
}
