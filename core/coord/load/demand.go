package load

import (
	"math"
	"time"
)

// Demand is the number of clients' requests per second for each service.
type Demand map[string]float64

// demandSpan is the time over which requests are averaged: long enough for a steady figure
// at a few requests per second.
const demandSpan = 2 * time.Second

// demandTimeout is the age at which a peer's last demand is dropped. It is longer than that
// of its work, since a peer that is not heard for a while still sends requests.
const demandTimeout = 5 * time.Second

// counter is an exponentially weighted rate of requests.
type counter struct {
	perSecond float64
	at        time.Duration
}

func (c counter) value(now time.Duration) float64 {
	return c.perSecond * math.Exp(-float64(max(0, now-c.at))/float64(demandSpan))
}

func (d Demand) add(o Demand) {
	for service, n := range o {
		d[service] += n
	}
}

// RecordRequest counts a client's request for a service.
func (t *Table) RecordRequest(service string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demand[service] = counter{perSecond: t.demand[service].value(now) + 1/demandSpan.Seconds(), at: now}
}

// Demand returns the demand at this host.
func (t *Table) Demand(now time.Duration) Demand {
	return t.sumDemand(now, func(string, peer) bool { return false })
}

// DomainDemand returns the demand at the hosts of this failure domain.
func (t *Table) DomainDemand(now time.Duration) Demand {
	return t.sumDemand(now, func(_ string, p peer) bool { return p.scope == ScopeHost })
}

// DemandExcept returns the demand at all hosts but one.
func (t *Table) DemandExcept(name string, now time.Duration) Demand {
	return t.sumDemand(now, func(n string, _ peer) bool { return n != name })
}

// DemandShare returns the part of the demand for a service that is at this host. Of the
// given number of hosts all are taken to have the same demand while no other one is heard.
func (t *Table) DemandShare(service string, hosts int, now time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if len(t.peers) == 0 {
		return 1 / float64(max(1, hosts))
	}
	own := t.demand[service].value(now)
	all := own
	for _, p := range t.peers {
		all += p.demand[service]
	}
	if all <= 0 {
		return 1 / float64(max(1, hosts))
	}
	return own / all
}

func (t *Table) sumDemand(now time.Duration, include func(string, peer) bool) Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	sum := make(Demand, len(t.demand))
	for service, c := range t.demand {
		sum[service] = c.value(now)
	}
	for name, p := range t.peers {
		if include(name, p) {
			sum.add(p.demand)
		}
	}
	return sum
}
