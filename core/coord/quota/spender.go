package quota

import (
	"sync"
	"time"

	"cicadastand.dev/core/state/site"
)

const (
	// maxHold bounds how long a host rejects requests without asking again. The domain's share
	// may grow meanwhile.
	maxHold = 500 * time.Millisecond
	// fallbackShare is the part of the limits that all hosts together spend without their hubs.
	fallbackShare = 0.5
)

// Action is what a host does with a request.
type Action int

// The actions.
const (
	// Ask is to ask the hub.
	Ask Action = iota
	// Admit is to serve the request, which is charged.
	Admit
	// Reject is to reject it.
	Reject
)

// Names of what decides without a hub.
const (
	// ByGrant is a grant of the hub.
	ByGrant = "own"
	// ByFallback is the fallback bucket of the host.
	ByFallback = "fallback"
)

// Decision is the decision on one request, with what it is based on.
type Decision struct {
	Action Action
	// Wait is the time until requests of the account are admitted again.
	Wait time.Duration
	// By is ByGrant, ByFallback or the name of the hub.
	By string
	// Hub is the hub that charged the request or granted the units; empty for ByFallback.
	Hub string
	// Level is the level of the bucket that decided, and Share its rate. Both are 0 if they are
	// not known.
	Level float64
	Share float64
	// Age is the age of the hub's last decision or grant.
	Age time.Duration
}

// SpenderConfig configures a Spender.
type SpenderConfig struct {
	// Hosts returns the number of registered hosts.
	Hosts func() int
	// Random returns a random number from 0 to 1.
	Random func() float64
	// Started is when the process started.
	Started time.Duration
}

// Spender is the side of a host. It is safe for concurrent use.
//
// Lock order: Spender.mu is a leaf.
type Spender struct {
	cfg      SpenderConfig
	mu       sync.Mutex
	accounts map[string]*spending
	returned map[Return]float64
}

// Return names the hub and the account that units are returned to.
type Return struct {
	Hub     string
	Account string
}

// spending is the state of one account.
type spending struct {
	limit  site.Limit
	demand average
	usedAt time.Duration
	// spent is the running total of the units that were spent without asking.
	spent float64
	// grant is in units per second, and valid until grantEnd. allowance is the part of it that
	// may be spent, as of allowanceAt.
	grant       float64
	grantBy     string
	grantAt     time.Duration
	grantEnd    time.Duration
	allowance   float64
	allowanceAt time.Duration
	// hold is until when requests of holdUnits or more are rejected, by the decision of a hub. It
	// may still charge smaller ones.
	hold      time.Duration
	holdUnits float64
	holdBy    string
	holdAt    time.Duration
	// wait is until when the hub expects to reject requests; not before hold.
	wait time.Duration
	// level is that of the fallback bucket as of fallbackAt.
	level      float64
	fallbackAt time.Duration
}

// NewSpender returns a spender without grants.
func NewSpender(cfg SpenderConfig) *Spender {
	return &Spender{cfg: cfg, accounts: make(map[string]*spending), returned: make(map[Return]float64)}
}

// Take decides on a request, or says that the hub has to be asked. The account must have a limit.
func (s *Spender) Take(account string, limit site.Limit, units float64, now time.Duration) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.spending(account, limit, now)
	a.demand.add(units, limit.Rate, now)
	a.usedAt = now
	if now < a.hold && units >= a.holdUnits {
		return Decision{Action: Reject, Wait: a.wait - now, By: a.holdBy, Hub: a.holdBy, Level: 0, Share: a.grant, Age: now - a.holdAt}
	}
	if now >= a.grantEnd || a.grant <= 0 {
		return Decision{Action: Ask}
	}
	a.allowance = min(a.grant*grantSpan.Seconds(), a.allowance+a.grant*(now-a.allowanceAt).Seconds())
	a.allowanceAt = now
	if a.allowance < units {
		return Decision{Action: Ask}
	}
	a.allowance -= units
	a.spent += units
	return Decision{Action: Admit, By: ByGrant, Hub: a.grantBy, Level: a.allowance, Share: a.grant, Age: now - a.grantAt}
}

// Settle decides on a request by the reply of a hub.
func (s *Spender) Settle(account string, limit site.Limit, hub string, reply Reply, units float64, now time.Duration) Decision {
	if reply.Unknown {
		return s.Fallback(account, limit, units, now)
	}
	d := Decision{Action: Admit, By: hub, Hub: hub, Level: reply.Level, Share: reply.Share}
	if reply.Charged {
		return d
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.spending(account, limit, now)
	a.hold, a.wait, a.holdUnits, a.holdBy, a.holdAt = now+min(reply.Wait, maxHold), now+reply.Wait, units, hub, now
	// What the fallback would admit now is what the hub has just rejected.
	a.level, a.fallbackAt = 0, now
	d.Action, d.Wait = Reject, reply.Wait
	return d
}

// Fallback decides on a request without a hub.
func (s *Spender) Fallback(account string, limit site.Limit, units float64, now time.Duration) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.spending(account, limit, now)
	part := s.fallbackPart()
	perSecond := limit.Rate * part
	s.fill(a, now)
	d := Decision{Action: Admit, By: ByFallback, Level: a.level, Share: perSecond}
	switch {
	case a.level >= units:
		a.level -= units
	case s.cfg.Random()*units < a.level:
		// Requests larger than the level are admitted now and then, so that the sum of the
		// admitted units is as expected.
		a.level = 0
	default:
		d.Action, d.Wait = Reject, after(units-a.level, perSecond)
		a.level = 0
	}
	return d
}

func (s *Spender) fallbackPart() float64 { return fallbackShare / float64(max(1, s.cfg.Hosts())) }

// fill fills the fallback bucket.
func (s *Spender) fill(a *spending, now time.Duration) {
	part := s.fallbackPart()
	capacity := part * max(a.limit.Burst, a.limit.Rate*minSpan.Seconds())
	a.level = min(capacity, a.level+part*a.limit.Rate*(now-a.fallbackAt).Seconds())
	a.fallbackAt = now
}

// Receive records the grants in the reply of a hub to a status that was sent at a time.
func (s *Spender) Receive(hub string, grants []Grant, sent, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range grants {
		a, ok := s.accounts[g.Account]
		if !ok || sent < a.grantAt {
			continue
		}
		if now < a.grantEnd {
			a.allowance += a.grant * (now - a.allowanceAt).Seconds()
		} else {
			a.allowance = 0
		}
		a.allowance, a.allowanceAt = min(max(0, a.allowance), g.PerSecond*grantSpan.Seconds()), now
		a.grant, a.grantBy, a.grantAt, a.grantEnd = g.PerSecond, hub, sent, sent+GrantLife
	}
}

// Return gives back the units of a request that was admitted and has not run.
func (s *Spender) Return(account string, d Decision, units float64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.By != ByFallback {
		s.returned[Return{Hub: d.Hub, Account: account}] += units
		return
	}
	if a, ok := s.accounts[account]; ok {
		a.level += units
		s.fill(a, now)
	}
}

// TakeReturned returns the units to return to hubs since the last call.
func (s *Spender) TakeReturned() map[Return]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.returned) == 0 {
		return nil
	}
	out := s.returned
	s.returned = make(map[Return]float64)
	return out
}

// Uses returns the uses of this host for its hub. It removes the state of idle accounts.
func (s *Spender) Uses(now time.Duration) []Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Use
	for name, a := range s.accounts {
		if now-a.usedAt > idleTimeout {
			delete(s.accounts, name)
			continue
		}
		out = append(out, Use{Account: name, Demand: a.demand.value(now), Spent: a.spent})
	}
	return out
}

// Len returns the number of accounts with state on this host.
func (s *Spender) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accounts)
}

// spending returns the state of an account. A changed limit ends its grant and its hold.
func (s *Spender) spending(account string, limit site.Limit, now time.Duration) *spending {
	a, ok := s.accounts[account]
	if !ok {
		// The fallback bucket was empty when the process started.
		a = &spending{limit: limit, usedAt: now, fallbackAt: s.cfg.Started}
		s.accounts[account] = a
	}
	if a.limit != limit {
		s.fill(a, now)
		a.limit = limit
		a.grantEnd, a.hold = 0, 0
		s.fill(a, now)
	}
	return a
}
