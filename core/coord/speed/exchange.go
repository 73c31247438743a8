package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cicadastand.dev/core/coord/load"
)

const (
	// maxReports bounds the endpoints in one message.
	maxReports = 64
	// reportInterval is the time between two messages with reports to one receiver.
	reportInterval = time.Second
	// resendAfter is when a report that was sent counts as lost. Receivers replace what they
	// have by it, so that a repetition is harmless.
	resendAfter = 3 * time.Second
	// minChange is the change of the observations, in units of weight, that is worth sending.
	minChange = 0.05
	// reorderTime is how much older than the known observations those of a later message may
	// be. Older ones were overtaken, unless the known ones are older than overtakenFor.
	reorderTime  = 100 * time.Millisecond
	overtakenFor = 2 * time.Second
	// receiverTimeout is when a receiver is forgotten.
	receiverTimeout = time.Minute
)

// Report has the observations of one incarnation of an endpoint.
type Report struct {
	Incarnation
	// Age is the time since the newest observation.
	Age time.Duration
	// Weights and Means have the weight of the observations and the mean of the logarithm of
	// the relative speed, by how full the endpoint was.
	Weights [Bins]float64
	Means   [Bins]float64
}

// sentTo records what was sent to one receiver.
type sentTo struct {
	at      time.Duration
	reports map[Incarnation]sentReport
}

type sentReport struct {
	at            time.Duration
	weight, value float64
}

// pooled is the sum of the observations of this host and all peers at a time. A hub reports it
// to each host of its domain, without what that host has sent.
type pooled struct {
	at    time.Duration
	total map[Incarnation]*sums
	// parts has what each peer has sent. Later reports replace entries and don't change them.
	parts map[string]map[Incarnation]*received
}

// pooledLife is how long a sum is used: a hub with 30 hosts needs it each 30 ms.
const pooledLife = 400 * time.Millisecond

func (t *Table) pooled(now time.Duration) *pooled {
	if t.lastPooled != nil && now-t.lastPooled.at < pooledLife {
		return t.lastPooled
	}
	p := &pooled{at: now, total: make(map[Incarnation]*sums), parts: make(map[string]map[Incarnation]*received, len(t.peers))}
	for name, peer := range t.peers {
		p.parts[name] = maps.Clone(peer.sums)
	}
	for e := range t.observed() {
		p.total[e] = t.pool(e, now, func(*peer) bool { return true })
	}
	t.lastPooled = p
	return p
}

// except returns the sum of the observations of an endpoint by all but one peer.
func (p *pooled) except(name string, e Incarnation, now time.Duration) *sums {
	out := sums{at: now}
	if total := p.total[e]; total != nil {
		out = *total
		out.decayTo(now)
	}
	if part := p.parts[name][e]; part != nil {
		part.decayTo(now)
		out.subtract(&part.sums)
	}
	return &out
}

// pool returns the sum of this host's observations of an endpoint and those of some peers.
func (t *Table) pool(e Incarnation, now time.Duration, include func(p *peer) bool) *sums {
	out := &sums{at: now}
	if own := t.own[e]; own != nil {
		own.decayTo(now)
		out.add(own)
	}
	for _, p := range t.peers {
		if r := p.sums[e]; r != nil && include(p) {
			r.decayTo(now)
			out.add(&r.sums)
		}
	}
	return out
}

// Own returns the reports of this host's observations that are due for a receiver.
func (t *Table) Own(to string, now time.Duration) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reports("host "+to, now, func(e Incarnation) *sums {
		return t.pool(e, now, func(*peer) bool { return false })
	})
}

// Domain returns the reports of the observations in this host's failure domain that are due
// for another hub.
func (t *Table) Domain(to string, now time.Duration) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reports("hub "+to, now, func(e Incarnation) *sums {
		return t.pool(e, now, func(p *peer) bool { return p.scope == load.ScopeHost })
	})
}

// Others returns the reports of the observations of all hosts but one, the receiver, if they
// are due. A host that has just become the hub returns none until it has heard of other hosts:
// what the last hub told it includes the observations of the receiver.
func (t *Table) Others(to string, now time.Duration) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.scope == load.ScopeOthers {
			return nil
		}
	}
	return t.reports("member "+to, now, func(e Incarnation) *sums { return t.pooled(now).except(to, e, now) })
}

// reports returns the reports for a receiver that changed most since it was sent them.
func (t *Table) reports(receiver string, now time.Duration, sumOf func(e Incarnation) *sums) []Report {
	if t.cfg.Disabled {
		return nil
	}
	to := t.sent[receiver]
	if to == nil {
		to = &sentTo{at: now - reportInterval, reports: make(map[Incarnation]sentReport)}
		t.sent[receiver] = to
	}
	if now-to.at < reportInterval {
		return nil
	}
	to.at = now
	type candidate struct {
		Incarnation
		sums   *sums
		change float64
	}
	var list []candidate
	for e := range t.observed() {
		observed := sumOf(e)
		weight, value := observed.total()
		last, ok := to.reports[e]
		if !ok || now-last.at >= resendAfter {
			last = sentReport{at: now}
		}
		f := math.Exp(-float64(now-last.at) / float64(span))
		if change := math.Abs(weight-f*last.weight) + math.Abs(value-f*last.value); change >= minChange {
			list = append(list, candidate{Incarnation: e, sums: observed, change: change})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.change, a.change), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.StartedMs, b.StartedMs))
	})
	out := make([]Report, 0, min(maxReports, len(list)))
	for _, c := range list[:min(maxReports, len(list))] {
		weight, value := c.sums.total()
		to.reports[c.Incarnation] = sentReport{at: now, weight: weight, value: value}
		r := Report{Incarnation: c.Incarnation, Age: now - c.sums.newest, Weights: c.sums.weight}
		for b, w := range c.sums.weight {
			if w > 0 {
				r.Means[b] = c.sums.value[b] / w
			}
		}
		out = append(out, r)
	}
	return out
}

// observed returns the incarnations with observations.
func (t *Table) observed() map[Incarnation]struct{} {
	out := make(map[Incarnation]struct{}, len(t.known))
	for e := range t.own {
		out[e] = struct{}{}
	}
	for _, p := range t.peers {
		for e := range p.sums {
			out[e] = struct{}{}
		}
	}
	return out
}

// Receive stores the reports of a peer. They replace its earlier ones of the same endpoints;
// what a message leaves out stays and fades. As in load.Table, reports of ScopeOthers cover
// all other hosts, so they and reports of other scopes replace each other.
func (t *Table) Receive(name string, scope load.Scope, reports []Report, now time.Duration) {
	if len(reports) == 0 || t.cfg.Disabled {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, p := range t.peers {
		if (p.scope == load.ScopeOthers) != (scope == load.ScopeOthers) || scope == load.ScopeOthers && other != name {
			delete(t.peers, other)
			t.lastPooled = nil
		}
	}
	p := t.peers[name]
	if p == nil {
		p = &peer{sums: make(map[Incarnation]*received)}
		t.peers[name] = p
	}
	p.scope = scope
	for _, r := range reports {
		newest := now - max(0, r.Age)
		if last := p.sums[r.Incarnation]; last != nil && newest < last.newest-reorderTime && now-last.at < overtakenFor {
			continue
		}
		if s, ok := r.sums(now, newest); ok {
			p.sums[r.Incarnation] = &received{sums: s, at: now}
		}
	}
}

// sums returns the sums of a report, and false if it has invalid numbers.
func (r Report) sums(now, newest time.Duration) (sums, bool) {
	out := sums{weight: r.Weights, at: now, newest: newest}
	for b := range Bins {
		if !(r.Weights[b] >= 0 && r.Weights[b] <= maxWeight && math.Abs(r.Means[b]) <= maxMean) {
			return sums{}, false
		}
		out.value[b] = r.Weights[b] * r.Means[b]
	}
	return out, true
}

const (
	// maxWeight and maxMean bound what a peer can report.
	maxWeight = 1e6
	maxMean   = 10
)

// Retain removes observations that have faded and the state of endpoints that are no longer
// known.
func (t *Table) Retain(known func(e Incarnation) bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	faded := func(e Incarnation, s *sums) bool {
		s.decayTo(now)
		weight, _ := s.total()
		return weight < minWeight || !known(e)
	}
	for e := range t.known {
		if !known(e) {
			delete(t.known, e)
		}
	}
	for e := range t.rates {
		if !known(e) {
			delete(t.rates, e)
		}
	}
	for e, s := range t.own {
		if faded(e, s) {
			delete(t.own, e)
		}
	}
	for name, p := range t.peers {
		for e, r := range p.sums {
			if faded(e, &r.sums) {
				delete(p.sums, e)
			}
		}
		if len(p.sums) == 0 {
			delete(t.peers, name)
		}
	}
	for receiver, to := range t.sent {
		for e, r := range to.reports {
			if now-r.at >= resendAfter {
				delete(to.reports, e)
			}
		}
		if now-to.at >= receiverTimeout {
			delete(t.sent, receiver)
		}
	}
}
