package quota_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"cicadastand.dev/core/coord/quota"
	"cicadastand.dev/core/state/site"
)

const (
	domainCount = 3
	perDomain   = 6
	step        = 10 * time.Millisecond
	interval    = 60 * time.Millisecond
	window      = 8 * time.Second
	overage     = 0.1
	slack       = 140_000
)

var domains = []string{"d0", "d1", "d2"}

// node is a host of the model, with its sides of a member and of a hub.
type node struct {
	name, domain string
	pool         *quota.Pool
	spender      *quota.Spender
	frozenUntil  time.Duration
	frozenSince  time.Duration
	started      time.Duration
	busyUntil    time.Duration
}

// system is a model of the hosts and of the messages between them.
type system struct {
	rnd     *rand.Rand
	limit   site.Limit
	now     time.Duration
	nodes   []*node
	later   map[time.Duration][]func()
	loss    float64
	isCut   func(a, b string, now time.Duration) bool
	ran     map[time.Duration]float64
	refused int
	offered int
	asked   int
}

func newSystem(seed int64, limit site.Limit) *system {
	s := &system{rnd: rand.New(rand.NewSource(seed)), limit: limit, later: make(map[time.Duration][]func()), ran: make(map[time.Duration]float64)}
	s.isCut = func(string, string, time.Duration) bool { return false }
	for i := range domainCount * perDomain {
		n := &node{name: fmt.Sprint("h", i), domain: domains[i%domainCount], started: -time.Minute, frozenSince: -time.Minute, frozenUntil: -time.Minute}
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	return s
}

// start gives a host the state of a new process.
func (s *system) start(n *node) {
	n.pool = quota.NewPool(quota.PoolConfig{
		Domain:    n.domain,
		Domains:   func() []string { return domains },
		Members:   func() int { return perDomain },
		Limit:     func(string) (site.Limit, bool) { return s.limit, true },
		Tolerance: quota.Tolerance{Window: window, Overage: overage, Slack: slack},
		Report:    func(quota.Change) {},
	})
	n.spender = quota.NewSpender(quota.SpenderConfig{Hosts: func() int { return len(s.nodes) }, Random: s.rnd.Float64, Started: n.started})
}

func (s *system) frozen(n *node) bool { return s.now < n.frozenUntil }

// hub returns the hub of a domain: hosts that did not answer for 400 ms are skipped.
func (s *system) hub(domain string) *node {
	hub, ok := lo.Find(s.nodes, func(n *node) bool {
		return n.domain == domain && (s.now >= n.frozenUntil+2*time.Second || s.now < n.frozenSince+400*time.Millisecond)
	})
	if !ok {
		hub, _ = lo.Find(s.nodes, func(n *node) bool { return n.domain == domain })
	}
	return hub
}

// deliver runs a message at its receiver: 10 to 30 ms later, or when the receiver is no longer
// frozen.
func (s *system) deliver(to *node, f func()) {
	if s.rnd.Float64() < s.loss {
		return
	}
	at := max(s.now, to.frozenUntil) + step*time.Duration(1+s.rnd.Intn(3))
	s.later[at] = append(s.later[at], f)
}

// announce sends the status of a host.
func (s *system) announce(n *node) {
	hub := s.hub(n.domain)
	for to, units := range n.spender.TakeReturned() {
		hub.pool.Charge(to.Account, -units, s.now)
	}
	if hub != n {
		if s.now < n.busyUntil {
			return
		}
		uses, sent, spender := n.spender.Uses(s.now), s.now, n.spender
		n.busyUntil = s.now + 400*time.Millisecond
		s.deliver(hub, func() {
			grants := hub.pool.Receive(n.name, uses, s.now)
			s.deliver(n, func() {
				if s.now-sent < 400*time.Millisecond && spender == n.spender {
					spender.Receive(hub.name, grants, sent, s.now)
					n.busyUntil = 0
				}
			})
		})
		return
	}
	n.pool.Receive(n.name, n.spender.Uses(s.now), s.now)
	n.pool.Refresh(s.now)
	uses, sent := n.pool.DomainUses(), s.now
	for _, d := range lo.Without(domains, n.domain) {
		if other := s.hub(d); !s.isCut(n.domain, d, s.now) {
			s.deliver(other, func() {
				other.pool.ReceiveDomain(n.domain, "", uses, s.now)
				s.deliver(n, func() { n.pool.Delivered(other.domain, sent) })
			})
		}
	}
}

// request has a host decide on a request.
func (s *system) request(n *node, units float64) {
	s.offered++
	d := n.spender.Take("a", s.limit, units, s.now)
	if d.Action == quota.Ask {
		s.asked++
		hub := s.hub(n.domain)
		switch {
		case hub != n && (s.frozen(hub) || s.rnd.Float64() < s.loss), s.now < n.started+time.Second:
			d = n.spender.Fallback("a", s.limit, units, s.now)
		default:
			d = n.spender.Settle("a", s.limit, hub.name, hub.pool.Charge("a", units, s.now), units, s.now)
		}
	}
	if d.Action == quota.Reject {
		s.refused++
		return
	}
	if s.rnd.Intn(20) == 0 { // refused for another reason
		n.spender.Return("a", d, units, s.now)
		return
	}
	s.ran[s.now] += units
}

// run plays the load until a time. rate gives the demand in units per second, cost the units of
// a request, and pick the host that gets it.
func (s *system) run(until time.Duration, rate func(time.Duration) float64, cost func() float64, pick func() *node, each func()) {
	due := 0.0
	for ; s.now < until; s.now += step {
		each()
		for _, f := range s.later[s.now] {
			f()
		}
		delete(s.later, s.now)
		for i, n := range s.nodes {
			if !s.frozen(n) && (s.now/step+time.Duration(i))%(interval/step) == 0 {
				s.announce(n)
			}
		}
		due += rate(s.now) * step.Seconds() * 2 * s.rnd.Float64()
		for due > 0 {
			units := cost()
			due -= units
			if n := pick(); !s.frozen(n) {
				s.request(n, units)
			}
		}
	}
}

// most returns the most units that ran in a window.
func (s *system) most() float64 {
	most, sum := 0.0, 0.0
	for at := time.Duration(0); at <= s.now; at += step {
		sum += s.ran[at] - s.ran[at-window]
		most = max(most, sum)
	}
	return most
}

func (s *system) bound() float64 {
	return (s.limit.Rate*window.Seconds()+s.limit.Burst)*(1+overage) + slack
}

// limits are those of a large and of a small account, and costs their requests.
var (
	limits = []site.Limit{{Rate: 1_473_258, Burst: 1_473_258, Unit: site.UnitTokens}, {Rate: 36_000, Burst: 36_000, Unit: site.UnitTokens}}
	costs  = []float64{2_370, 12_038, 12_038}
)

// An account asks for 7 times its usual rate for 7 s while hosts freeze and restart, messages are
// lost, domains are cut off from each other, and its clients move to other hosts.
func TestBoundHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom(limits).Draw(t, "limit")
		s := newSystem(rapid.Int64().Draw(t, "seed"), limit)
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		steps := rapid.IntRange(0, 1500)
		usual := rapid.Float64Range(0.2, 1).Draw(t, "usual") * limit.Rate
		burstAt, cutAt, cutFor := step*time.Duration(steps.Draw(t, "burst")), step*time.Duration(steps.Draw(t, "cut")), step*time.Duration(steps.Draw(t, "cut for"))
		cut := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"d0d1", "d0d2", "d1d2"}), 0, 3, rapid.ID).Draw(t, "cuts")
		s.isCut = func(a, b string, now time.Duration) bool {
			return now >= cutAt && now < cutAt+cutFor && lo.Contains(cut, min(a, b)+max(a, b))
		}
		target, faults := 0, rapid.Float64Range(0, 0.01).Draw(t, "faults")
		s.run(25*time.Second, func(now time.Duration) float64 {
			if now >= burstAt && now < burstAt+7*time.Second {
				return 7 * usual
			}
			return usual
		}, func() float64 {
			if s.rnd.Intn(10) == 0 {
				return 80_000
			}
			return costs[s.rnd.Intn(len(costs))]
		}, func() *node {
			if s.rnd.Intn(3) == 0 {
				return s.nodes[s.rnd.Intn(len(s.nodes))]
			}
			return s.nodes[(target+domainCount*s.rnd.Intn(perDomain))%len(s.nodes)] // a domain
		}, func() {
			if s.rnd.Intn(200) == 0 {
				target = s.rnd.Intn(len(s.nodes))
			}
			if s.rnd.Float64() >= faults {
				return
			}
			n := s.nodes[s.rnd.Intn(len(s.nodes))]
			if n.started = s.now; s.rnd.Intn(2) == 0 {
				s.start(n)
				return
			}
			n.started = -time.Minute
			n.frozenSince, n.frozenUntil = s.now, s.now+time.Duration(s.rnd.Intn(400))*step
		})
		if got := s.most(); got > s.bound() {
			t.Fatalf("%.0f units in a window, the bound is %.0f", got, s.bound())
		}
	})
}

// The domains don't hear each other while the demand of each grows. If the shares grew with it,
// the domains together would spend more than twice the limit.
func TestSharesDoNotGrowDuringACut(t *testing.T) {
	s := newSystem(1, limits[0])
	s.isCut = func(_, _ string, now time.Duration) bool { return now > 5*time.Second }
	next := 0
	s.run(30*time.Second, func(now time.Duration) float64 {
		if now < 5*time.Second {
			return s.limit.Rate / 2
		}
		return 4 * s.limit.Rate
	}, func() float64 { return costs[1] }, func() *node { next++; return s.nodes[next%len(s.nodes)] }, func() {})
	if got := s.most(); got > s.bound() {
		t.Fatalf("%.0f units in a window, the bound is %.0f", got, s.bound())
	}
}

// An account asks for 7 times its limit. The limit is used up, and most of the excess is rejected
// without a call to a hub, which would be saturated by one for each request.
func TestOverloadIsRejectedAtTheHosts(t *testing.T) {
	for limit, cost := range map[site.Limit]float64{limits[0]: costs[1], {Rate: 100, Unit: site.UnitRequests}: 1} {
		s := newSystem(1, limit)
		s.run(15*time.Second, func(time.Duration) float64 { return 7 * limit.Rate }, func() float64 { return cost },
			func() *node { return s.nodes[s.rnd.Intn(len(s.nodes))] }, func() {
				if s.now == 5*time.Second {
					s.offered, s.refused, s.asked = 0, 0, 0
				}
			})
		admitted := s.offered - s.refused
		t.Logf("%d requests, %d admitted, %d asked", s.offered, admitted, s.asked)
		part := float64(admitted) * cost / (10 * limit.Rate)
		if part < 0.95 || part > 1.1 || limit.Burst > 0 && s.asked > 3*admitted { // 5 in 100 admitted ones are returned
			t.Fatalf("%.2f of the limit", part)
		}
	}
}

// A bucket for all hosts would admit all of these requests. Divided among the domains, the limit
// must still admit nearly all of them.
func TestRequestsWithinTheLimitAreServed(t *testing.T) {
	for _, c := range []struct {
		limit site.Limit
		// part is the demand as a part of the limit. astray is the part of it that is not in one
		// domain, every 5 s another one.
		part, astray float64
	}{{limits[0], 0.9, 1}, {limits[0], 0.6, 0.3}, {limits[1], 0.75, 1}, {limits[1], 0.6, 0.3}} {
		t.Run(fmt.Sprint(c.limit.Rate, " ", c.part, " ", c.astray), func(t *testing.T) {
			s := newSystem(1, c.limit)
			level, at, target := 0.0, time.Duration(0), 0
			s.run(500*time.Second, func(now time.Duration) float64 {
				level, at = min(c.limit.Burst, level+c.limit.Rate*(now-at).Seconds()), now
				if level <= 0 {
					return 0
				}
				return c.part * c.limit.Rate
			}, func() float64 {
				units := costs[s.rnd.Intn(len(costs))]
				level -= units
				return units
			}, func() *node {
				if s.rnd.Float64() < c.astray {
					return s.nodes[s.rnd.Intn(len(s.nodes))]
				}
				return s.nodes[(target+domainCount*s.rnd.Intn(perDomain))%len(s.nodes)]
			}, func() {
				if s.rnd.Intn(500) == 0 {
					target = s.rnd.Intn(len(s.nodes))
				}
			})
			t.Logf("%d of %d requests refused", s.refused, s.offered)
			if 100*s.refused > 2*s.offered {
				t.Fatal("more than 2 in 100")
			}
		})
	}
}
