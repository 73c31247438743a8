package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/limit"
)

// Change says that another failure domain became silent, or is heard again.
type Change struct {
	Domain string
	Silent bool
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

// sentDemand is the demand in a status message, and when it was sent.
type sentDemand struct {
	at     time.Duration
	demand float64
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
