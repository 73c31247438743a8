package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cicadastand.dev/core/state/fleet"
)

// Resource names the quantity that a limit restricts.
type Resource string

// The resources that a contract limits.
const (
	Requests    Resource = "requests-per-second"
	Tokens      Resource = "tokens-per-second"
	Concurrency Resource = "concurrency"
)

// ErrLimit reports a request that exceeds the limits of the account's contract.
type ErrLimit struct {
	Account    string
	Resource   Resource
	RetryAfter time.Duration
}

func (e *ErrLimit) Error() string {
	return fmt.Sprintf("account %s has reached its limit on %s", e.Account, e.Resource)
}

// burstPeriod is the period whose allowance an account may spend at once.
const burstPeriod = time.Second

// account holds the rate limiters of one account on this host.
type account struct {
	limits      fleet.Limits
	share       float64
	shareExpiry time.Time
	requests    *rate.Limiter
	tokens      *rate.Limiter
	inFlight    int
	attempts    float64
	lastSeen    time.Time
}

// Limiter enforces this host's share of each account's limits. It is safe for
// concurrent use.
//
// Lock order: Limiter.mu is a leaf.
type Limiter struct {
	mu       sync.Mutex
	fallback float64
	accounts map[string]*account
}

// NewLimiter returns a limiter that allows this host the full limits until
// SetFallback or Grant is called.
func NewLimiter() *Limiter { return &Limiter{fallback: 1, accounts: make(map[string]*account)} }

// SetFallback sets the fraction of each limit that this host may spend while it has
// no valid share: an even share among all active hosts.
func (l *Limiter) SetFallback(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fallback = share
}

// Grant sets this host's share of an account's limits, valid until a time.
func (l *Limiter) Grant(name string, share float64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[name]; ok {
		a.share = share
		a.shareExpiry = until
	}
}

// Acquire admits one request and charges it and its tokens to the account's share.
// If a limit is reached, it returns an ErrLimit and charges nothing. Each admitted
// request must be ended with Release.
func (l *Limiter) Acquire(c *fleet.Contract, tokens int, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(c, now)
	a.attempts++
	a.lastSeen = now
	share := l.share(a, now)
	a.apply(share, now)
	allowed := max(1, int(math.Round(float64(c.Limits.Concurrency)*share)))
	if a.inFlight >= allowed {
		return &ErrLimit{Account: c.Account, Resource: Concurrency, RetryAfter: burstPeriod}
	}
	if a.requests.TokensAt(now) < 1 {
		return &ErrLimit{Account: c.Account, Resource: Requests, RetryAfter: retryAfter(a.requests, 1, now)}
	}
	need := min(tokens, a.tokens.Burst())
	if !a.tokens.AllowN(now, need) {
		return &ErrLimit{Account: c.Account, Resource: Tokens, RetryAfter: retryAfter(a.tokens, need, now)}
	}
	a.requests.AllowN(now, 1)
	a.inFlight++
	return nil
}

// Release ends a request that Acquire admitted.
func (l *Limiter) Release(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[name]; ok {
		a.inFlight--
	}
}

// Usage is the demand for one account on this host.
type Usage struct {
	Account string
	// RequestRate is the demand in requests per second, rejected ones included.
	RequestRate float64
}

// TakeUsage returns the demand of each account that was active since the last call,
// averaged over the interval, and removes idle accounts.
func (l *Limiter) TakeUsage(interval time.Duration, now time.Time) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var usage []Usage
	for name, a := range l.accounts {
		if a.attempts > 0 {
			usage = append(usage, Usage{Account: name, RequestRate: a.attempts / interval.Seconds()})
		}
		a.attempts = 0
		if a.inFlight == 0 && now.Sub(a.lastSeen) > idleTimeout {
			delete(l.accounts, name)
		}
	}
	return usage
}

// idleTimeout is how long the state of an idle account is retained.
const idleTimeout = 30 * time.Second

// Len returns the number of accounts with state on this host.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}

func (l *Limiter) account(c *fleet.Contract, now time.Time) *account {
	a, ok := l.accounts[c.Account]
	if ok && a.limits == c.Limits {
		return a
	}
	replacement := &account{limits: c.Limits}
	if ok {
		replacement.inFlight = a.inFlight
		replacement.share = a.share
		replacement.shareExpiry = a.shareExpiry
	}
	share := l.share(replacement, now)
	replacement.requests = bucket(c.Limits.RequestsPerSecond * share)
	replacement.tokens = bucket(c.Limits.TokensPerSecond * share)
	l.accounts[c.Account] = replacement
	return replacement
}

func (l *Limiter) share(a *account, now time.Time) float64 {
	if now.Before(a.shareExpiry) {
		return a.share
	}
	return l.fallback
}

// apply resizes the token buckets to a share of the limits.
func (a *account) apply(share float64, now time.Time) {
	resize(a.requests, a.limits.RequestsPerSecond*share, now)
	resize(a.tokens, a.limits.TokensPerSecond*share, now)
}

func resize(b *rate.Limiter, perSecond float64, now time.Time) {
	if b.Limit() == rate.Limit(perSecond) {
		return
	}
	b.SetLimitAt(now, rate.Limit(perSecond))
	b.SetBurstAt(now, burstSize(perSecond))
}

func bucket(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burstSize(perSecond))
}

func burstSize(perSecond float64) int { return max(1, int(perSecond*burstPeriod.Seconds())) }

func retryAfter(b *rate.Limiter, need int, now time.Time) time.Duration {
	missing := float64(need) - b.TokensAt(now)
	if missing <= 0 || b.Limit() <= 0 {
		return 0
	}
	return time.Duration(missing / float64(b.Limit()) * float64(time.Second))
}
