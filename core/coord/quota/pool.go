package quota

import (
	"sync"
	"time"

	"cicadastand.dev/core/state/site"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Domain is the failure domain of this host.
	Domain string
	// Domains returns the failure domains of all registered hosts, and Members the number of
	// registered hosts of this one.
	Domains func() []string
	Members func() int
	// Limit returns the limit of an account.
	Limit     func(account string) (site.Limit, bool)
	Tolerance Tolerance
	// Report is called when another domain is no longer heard, and when it is heard again.
	Report func(Change)
}

// fitShare is the part of a full bucket that is enough for any request of an account above its
// limit: a larger request would wait too long for the bucket to become full.
const fitShare = 0.5

// Pool is the side of a hub. It holds the buckets of its failure domain. It is safe for
// concurrent use.
//
// Lock order: Pool.mu is a leaf.
type Pool struct {
	cfg PoolConfig
	mu  sync.Mutex
	// since is when this host began to act as a hub; its buckets were empty then. acted is
	// when it last did.
	since   time.Duration
	acted   time.Duration
	started bool
	// members holds when each host of the domain last reported.
	members  map[string]time.Duration
	accounts map[string]*bucket
	domains  map[string]*domain
	// others are the other failure domains, and quorum is the part of the domain that reports to
	// this hub, as of the last Refresh.
	others []string
	quorum float64
}

// bucket is the state of one account.
type bucket struct {
	limit site.Limit
	level float64
	at    time.Duration
	// share is the domain's part of the limit, from 0 to 1.
	share float64
	// sent holds the demand in recent status messages, oldest first. The first one is the newest
	// that all other domains have.
	sent []sentDemand
	// ceiling is the highest share while another domain is silent; 0 if none is.
	ceiling float64
	// demand is the demand of the domain as of the last Refresh.
	demand    float64
	hosts     map[string]*member
	largest   float64
	largestAt time.Duration
	usedAt    time.Duration
}

// NewPool returns a pool without buckets.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, members: make(map[string]time.Duration), accounts: make(map[string]*bucket), domains: make(map[string]*domain)}
}

// Charge charges a request to an account. Negative units are returned to it.
func (p *Pool) Charge(account string, units float64, now time.Duration) Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.act(now)
	b, ok := p.bucket(account, now)
	if !ok {
		return Reply{Unknown: true}
	}
	b.usedAt = now
	perSecond := b.share * b.limit.Rate
	if units < 0 {
		b.level = min(p.capacity(b), b.level-units)
		return Reply{Charged: true, Level: b.level, Share: perSecond}
	}
	if units >= b.largest || now-b.largestAt > largestFor {
		b.largest, b.largestAt = units, now
	}
	need := p.need(b, units)
	if b.level <= need {
		return Reply{Wait: max(p.gap(b, units), after(need-b.level, perSecond)+time.Millisecond), Level: b.level, Share: perSecond}
	}
	b.level -= units
	return Reply{Charged: true, Level: b.level, Share: perSecond}
}

// gap returns the time for which a host need not ask again, while the demand is far above the
// share: the bucket admits a request of one host in askFactor that ask. Without it nearly each
// rejected request would be a call to the hub, since the level is back above 0 within
// milliseconds. The gap is too short for the bucket to become full, which would lose units.
func (p *Pool) gap(b *bucket, units float64) time.Duration {
	perSecond := b.share * b.limit.Rate
	if b.demand < askFactor*perSecond {
		return 0
	}
	return min(maxHold/2, after(units*float64(len(b.hosts)), askFactor*perSecond), after(p.capacity(b)/2, perSecond))
}

// need returns the level above which a request is charged. It is 0, so that the largest request
// fits, unless one such request in each domain would exceed the tolerance. While the account asks
// for more than its limit, a request is charged only if it fits: the level is then about 0, and
// small requests, of which the limit has room for many more, would be rejected like large ones.
func (p *Pool) need(b *bucket, units float64) float64 {
	if b.demand > b.share*b.limit.Rate {
		return min(units, fitShare*p.capacity(b))
	}
	const most = 0.95 // a full bucket is enough for any request
	tolerance := p.cfg.Tolerance.units(b.limit)
	if tolerance <= 0 {
		return 0 // not configured
	}
	return max(0, min(units-tolerance/float64(len(p.others)+1), most*p.capacity(b)))
}

// Receive records the uses that a host of the domain reports, and returns its grants.
func (p *Pool) Receive(host string, uses []Use, now time.Duration) []Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.act(now)
	p.members[host] = now
	grants := make([]Grant, 0, len(uses))
	for _, u := range uses {
		b, ok := p.bucket(u.Account, now)
		if !ok {
			continue
		}
		if u.Demand > 0 {
			b.usedAt = now
		}
		m, reported := b.hosts[host]
		if !reported || now-m.seen > memberTimeout {
			m = &member{spent: u.Spent}
			b.hosts[host] = m
			reported = false
		}
		b.level -= m.charge(u.Spent)
		m.demand, m.seen, m.granted = max(0, u.Demand), now, 0
		if reported && !m.lower && b.level > p.capacity(b)/2 {
			m.granted = b.grant(m, now)
		}
		if m.granted >= m.most || now-m.mostAt > 2*GrantLife {
			m.most, m.mostAt = m.granted, now
		}
		grants = append(grants, Grant{Account: u.Account, PerSecond: m.granted})
	}
	return grants
}

// Refresh computes the shares from the demand of all domains, and removes the state of idle
// accounts. It is called before each status message, so that this domain splits the limits by
// the demand that it reports to the others.
func (p *Pool) Refresh(now time.Duration) {
	for _, c := range p.refresh(now) {
		p.cfg.Report(c)
	}
}

func (p *Pool) refresh(now time.Duration) []Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.act(now)
	changes := p.updateDomains(now)
	p.countHosts(now)
	for name, b := range p.accounts {
		l, ok := p.cfg.Limit(name)
		if !ok {
			delete(p.accounts, name)
			continue
		}
		p.advance(b, now)
		p.setLimit(b, l)
		b.demand = 0
		for host, m := range b.hosts {
			if now-m.seen > memberTimeout {
				delete(b.hosts, host)
				continue
			}
			b.demand += m.demand
		}
		b.recordSent(p.lastDelivered(now), now)
		p.setShare(name, b, now)
		if now-b.usedAt > idleTimeout && b.level >= p.capacity(b) {
			delete(p.accounts, name)
		}
	}
	return changes
}

// Len returns the number of accounts with a bucket.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.accounts)
}

// act starts anew, with empty buckets, if this host has not acted as a hub for a while.
func (p *Pool) act(now time.Duration) {
	if !p.started || now-p.acted > memberTimeout {
		p.started, p.since = true, now
		clear(p.accounts)
		clear(p.members)
		p.countHosts(now)
	}
	p.acted = max(p.acted, now)
}

// bucket returns the bucket of an account, filled up to now. It returns false if the account has
// no limit.
func (p *Pool) bucket(name string, now time.Duration) (*bucket, bool) {
	l, ok := p.cfg.Limit(name)
	if !ok {
		return nil, false
	}
	b, ok := p.accounts[name]
	if !ok {
		b = &bucket{limit: l, at: p.since, hosts: make(map[string]*member), usedAt: now, sent: []sentDemand{{at: never}}}
		b.share = p.split(name, b, 0)
		p.accounts[name] = b
		p.setShare(name, b, now)
	}
	p.advance(b, now)
	p.setLimit(b, l)
	return b, true
}

// advance fills the bucket.
func (p *Pool) advance(b *bucket, now time.Duration) {
	if now <= b.at {
		return
	}
	b.level = min(p.capacity(b), b.level+b.share*b.limit.Rate*(now-b.at).Seconds())
	b.at = now
}

func (p *Pool) setLimit(b *bucket, l site.Limit) {
	if b.limit == l {
		return
	}
	b.limit = l
	b.level = min(b.level, p.capacity(b))
}

// capacity returns the highest level of a bucket: the share of the burst, and of a part of the
// slack that the largest request leaves.
func (p *Pool) capacity(b *bucket) float64 {
	margin := marginShare * max(0, p.cfg.Tolerance.slack(b.limit)-b.largest)
	return b.share * max(b.limit.Burst+margin, b.limit.Rate*minSpan.Seconds())
}
