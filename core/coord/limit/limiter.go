package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cicadastand.dev/core/state/fleet"
)

// Resource names what a limit bounds.
type Resource string

// The resources of a contract's limits.
const (
	Requests    Resource = "requests-per-second"
	Tokens      Resource = "tokens-per-second"
	Concurrency Resource = "concurrency"
)

// ErrLimit reports a request beyond the account's contract.
type ErrLimit struct {
	Account    string
	Resource   Resource
	RetryAfter time.Duration
}

// Error names the limit.
func (e *ErrLimit) Error() string {
	return fmt.Sprintf("account %s has reached its limit on %s", e.Account, e.Resource)
}

// burstPeriod is the span of its rate that an account may spend at once.
const burstPeriod = time.Second

// account is what one host knows of one account's use.
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

// Limiter holds accounts to this host's shares. It is safe for concurrent use.
//
// Lock order: Local.mu is a leaf.
type Limiter struct {
	mu       sync.Mutex
	fallback float64
	accounts map[string]*account
}

// NewLimiter returns limits under which this host may spend the whole contract.
func NewLimiter() *Limiter { return &Limiter{fallback: 1, accounts: make(map[string]*account)} }

// SetFallback sets the part of each limit that this host may spend while it has
// no granted share: the contracted share of one host among all listed ones.
func (l *Limiter) SetFallback(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fallback = share
}

// Grant sets this host's part of an account's limits until a time.
func (l *Limiter) Grant(name string, share float64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[name]; ok {
		a.share = share
		a.shareExpiry = until
	}
}

// Acquire takes one request and its tokens from the account's share, or reports
// ErrLimit and takes nothing. Release must follow a success.
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

// Usage tells how much of an account's limits was asked for on this host.
type Usage struct {
	Account string
	// RequestRate is in requests a second.
	RequestRate float64
}

// TakeUsage returns the accounts that were active since the last call, with
// their demand over the interval, and forgets accounts without use.
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

// idleTimeout is how long an account without use is remembered.
const idleTimeout = 30 * time.Second

// Len returns the number of accounts remembered.
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

// apply adapts the buckets to a share.
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
