// Package retry implements retry budgets, which limit the load that retries add.
package retry

import "sync"

// Config configures a budget.
type Config struct {
	// Ratio is the number of retries that each original request adds to the balance.
	Ratio float64
	// Burst is the maximum balance, and the balance at the start.
	Burst float64
}

// DefaultConfig returns the configuration for one account or endpoint.
func DefaultConfig() Config { return Config{Ratio: 0.08, Burst: 3} }

// Budget allows retries in proportion to original requests. It is safe for concurrent use.
type Budget struct {
	cfg     Config
	mu      sync.Mutex
	balance float64
}

// New returns a budget with a full balance.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, balance: cfg.Burst} }

// Deposit adds the share of an original request to the balance.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.cfg.Ratio, b.cfg.Burst)
}

// TryWithdraw takes one retry from the balance. It returns false if the balance does not
// cover it and the retry must not be sent.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Set holds a budget per name, such as an account.
type Set struct {
	cfg     Config
	mu      sync.Mutex
	budgets map[string]*Budget
}

// NewSet returns an empty set.
func NewSet(cfg Config) *Set { return &Set{cfg: cfg, budgets: make(map[string]*Budget)} }

// Get returns the budget of a name, creating it if necessary.
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
