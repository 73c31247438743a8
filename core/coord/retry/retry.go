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
	cfg     Config
	mu      sync.Mutex
	balance float64
}

// New returns a budget with its burst saved up.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, balance: cfg.Burst} }

// Deposit notes a first send.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.cfg.Ratio, b.cfg.Burst)
}

// TryWithdraw takes one repeat from the budget, and reports whether it may be sent.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Set holds a budget for each name, such as an account.
type Set struct {
	cfg     Config
	mu      sync.Mutex
	budgets map[string]*Budget
}

// NewSet returns an empty set.
func NewSet(cfg Config) *Set { return &Set{cfg: cfg, budgets: make(map[string]*Budget)} }

// Get returns the budget of a name.
func (s *Set) Get(name string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[name]
	if !ok {
		b = New(s.cfg)
		s.budgets[name] = b
	}
	return b
}
