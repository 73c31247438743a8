package quota

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/limit"
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

// Change says that another failure domain became silent, or is heard again.
type Change struct {
	Domain string
	Silent bool
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

// sentDemand is the demand in a status message, and when it was sent.
type sentDemand struct {
	at     time.Duration
	demand float64
}

// member is the use of an account by one host of the domain.
type member struct {
	demand float64
	spent  float64
	// lower is set if the last report had a lower total: the host was restarted, or the report
	// was overtaken by a later one.
	lower   bool
	seen    time.Duration
	granted float64
	// most is the highest grant that may have been spent since the last report, and mostAt when
	// it was granted.
	most   float64
	mostAt time.Duration
}

// domain is what is known of another failure domain.
type domain struct {
	sources map[string]*source
	heard   time.Duration
	// delivered is when a message to a host of that domain last succeeded.
	delivered time.Duration
	silent    bool
}

// source is the demand that one hub or host of another domain has reported.
type source struct {
	demand map[string]float64
	at     time.Duration
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

// charge returns the units that the host has spent since its last report. They are at most what
// it was granted: more was granted by another hub, which charges it.
func (m *member) charge(total float64) float64 {
	if total < m.spent {
		// A restart shows in two reports, one that was overtaken in one only.
		if m.lower {
			m.spent = total
		}
		m.lower = !m.lower
		return 0
	}
	m.lower = false
	spent := min(total-m.spent, m.most*(GrantLife+grantSpan).Seconds())
	m.spent = total
	return spent
}

// grant returns the units per second that a host may spend without asking: a part by its demand.
func (b *bucket) grant(m *member, now time.Duration) float64 {
	sum := 0.0
	for _, o := range b.hosts {
		if now-o.seen <= memberTimeout {
			sum += o.demand
		}
	}
	if sum <= 0 {
		return 0
	}
	return min(grantShare*b.share*b.limit.Rate*m.demand/sum, grantGrowth*m.demand)
}

// ReceiveDomain records the demand in another failure domain. from is the host that reports for
// itself, or empty for the hub of the domain.
func (p *Pool) ReceiveDomain(name, from string, uses []Use, now time.Duration) {
	if name == p.cfg.Domain {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.domain(name)
	d.heard = now
	d.sources[from] = &source{at: now, demand: lo.SliceToMap(uses, func(u Use) (string, float64) { return u.Account, max(0, u.Demand) })}
}

// Delivered records that a host of another failure domain has received a message that was sent at
// a time, which is that of the Refresh before.
func (p *Pool) Delivered(name string, sent time.Duration) {
	if name == p.cfg.Domain {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.domain(name)
	d.delivered = max(d.delivered, sent)
}

func (p *Pool) domain(name string) *domain {
	d, ok := p.domains[name]
	if !ok {
		d = &domain{sources: make(map[string]*source), delivered: never}
		p.domains[name] = d
	}
	return d
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

// updateDomains drops the demand of hosts that left other domains, and returns the domains that
// became silent or are heard again.
func (p *Pool) updateDomains(now time.Duration) []Change {
	var changes []Change
	for name, d := range p.domains {
		if silent := now-d.contact() > silentAfter; silent != d.silent {
			d.silent = silent
			if d.delivered != never && len(p.accounts) > 0 {
				changes = append(changes, Change{Domain: name, Silent: silent})
			}
		}
		if !d.silent {
			maps.DeleteFunc(d.sources, func(_ string, s *source) bool { return now-s.at > sourceTimeout })
		}
	}
	return changes
}

// never is the time of what has not happened.
const never = time.Duration(math.MinInt64 / 2)

// contact returns when messages last passed in both directions. Without the way there, the other
// domain would not know of a growing demand here.
func (d *domain) contact() time.Duration { return min(d.heard, d.delivered) }

// DomainUses returns the demand of this domain for the other ones.
func (p *Pool) DomainUses() []Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Use
	for name, b := range p.accounts {
		if b.demand > 0 {
			out = append(out, Use{Account: name, Demand: b.demand})
		}
	}
	return out
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

// setShare sets the domain's share of a limit. The level is cut to the capacity at a smaller
// share, so that the levels of all domains add up to no more than one capacity. A larger share
// adds nothing to the level.
func (p *Pool) setShare(name string, b *bucket, now time.Duration) {
	share := p.split(name, b, b.demand)
	if now-p.lastContact(now) > silentAfter {
		// The domains on both sides of a cut split the limit by what both know.
		share = p.split(name, b, min(b.demand, b.known()))
		if b.ceiling == 0 {
			b.ceiling = share
		}
		share = min(share, b.ceiling)
	} else {
		b.ceiling = 0
	}
	share *= p.quorum
	p.advance(b, now)
	b.share = share
	b.level = min(b.level, p.capacity(b))
}

// recordSent records the demand that is sent now.
func (b *bucket) recordSent(delivered, now time.Duration) {
	for len(b.sent) > 1 && b.sent[1].at <= delivered {
		b.sent = b.sent[1:]
	}
	if n := len(b.sent); n > 1 && now-b.sent[1].at > silentAfter {
		// Only the first entry counts during a cut.
		b.sent = b.sent[:1]
	}
	b.sent = append(b.sent, sentDemand{at: now, demand: b.demand})
}

// known returns the demand that all other domains have received.
func (b *bucket) known() float64 { return b.sent[0].demand }

// lastContact returns when messages last passed to and from all other known domains, and
// lastDelivered when they last passed there.
func (p *Pool) lastContact(now time.Duration) time.Duration {
	return p.oldest(now, (*domain).contact)
}

func (p *Pool) lastDelivered(now time.Duration) time.Duration {
	return p.oldest(now, func(d *domain) time.Duration { return d.delivered })
}

func (p *Pool) oldest(now time.Duration, at func(*domain) time.Duration) time.Duration {
	for _, o := range p.others {
		if d, ok := p.domains[o]; ok {
			now = min(now, at(d))
		}
	}
	return now
}

// countHosts updates what depends on the registered hosts. The quorum is 1 if most hosts of the
// domain report to this hub, else the part that does. While hosts disagree on the hub, their hubs
// don't spend the share twice.
func (p *Pool) countHosts(now time.Duration) {
	maps.DeleteFunc(p.members, func(_ string, at time.Duration) bool { return now-at > memberTimeout })
	p.others = lo.Without(p.cfg.Domains(), p.cfg.Domain)
	slices.Sort(p.others)
	all, n := max(1, p.cfg.Members()), max(1, len(p.members))
	p.quorum = 1
	if 2*n <= all {
		p.quorum = float64(n) / float64(all)
	}
}

// split returns this domain's part of a limit by the demand of all domains. The parts are even
// while another domain was never heard.
func (p *Pool) split(name string, b *bucket, demand float64) float64 {
	floor := max(minDemand*b.limit.Rate, min(maxFloor*b.limit.Rate, b.largest/demandSpan.Seconds()))
	demands := []limit.Demand{{Host: p.cfg.Domain, Amount: max(floor, headroom*demand)}}
	for _, o := range p.others {
		d, ok := p.domains[o]
		if !ok || len(d.sources) == 0 {
			return 1 / float64(len(p.others)+1)
		}
		sum := lo.SumBy(lo.Values(d.sources), func(s *source) float64 { return s.demand[name] })
		demands = append(demands, limit.Demand{Host: o, Amount: max(floor, headroom*sum)})
	}
	return limit.Split(b.limit.Rate, demands)[0].Amount / b.limit.Rate
}
