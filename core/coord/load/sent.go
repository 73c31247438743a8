package load

import (
	"maps"
	"time"
)

// minSent is the rate in requests per second below which an endpoint's count is dropped.
const minSent = 0.01

// RecordSent counts a request that this host sends to an endpoint with a request limit.
func (t *Table) RecordSent(endpoint string, now time.Duration) { t.addSent(endpoint, 1, now) }

// DropSent takes back a RecordSent, whose request was not sent.
func (t *Table) DropSent(endpoint string, now time.Duration) { t.addSent(endpoint, -1, now) }

func (t *Table) addSent(endpoint string, n float64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	perSecond := t.sent[endpoint].value(now) + n/demandSpan.Seconds()
	t.sent[endpoint] = counter{perSecond: max(0, perSecond), at: now}
}

// Sent returns how many requests per second all hosts send to an endpoint, averaged over
// demandSpan. Those of other hosts are counted as of their last updates; ok is false while
// no other host is heard.
func (t *Table) Sent(endpoint string, now time.Duration) (perSecond float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	perSecond = t.sent[endpoint].value(now)
	for _, p := range t.peers {
		perSecond += p.work[endpoint].Sent
	}
	return perSecond, len(t.peers) > 0
}

// ownWork returns this host's work with the rates of requests.
func (t *Table) ownWork(now time.Duration) map[string]Work {
	out := maps.Clone(t.own)
	for endpoint, c := range t.sent {
		perSecond := c.value(now)
		if perSecond < minSent {
			delete(t.sent, endpoint)
			continue
		}
		w := out[endpoint]
		w.Sent = perSecond
		out[endpoint] = w
	}
	return out
}
