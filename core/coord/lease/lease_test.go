package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cicadastand.dev/core/coord/lease"
	"cicadastand.dev/core/proto/feed"
)

const duration = 3 * time.Second

// store is a log with a conditional append.
type store struct {
	era    int64
	grants []feed.Grant
}

// restore drops the grants after the first n and begins a new era.
func (s *store) restore(n int) {
	s.era++
	s.grants = s.grants[:n]
}

func (s *store) appendAt(at int64, host, nonce string) bool {
	if int64(len(s.grants)) != at {
		return false
	}
	s.grants = append(s.grants, feed.Grant{End: at + 1, Holder: host, Nonce: nonce})
	return true
}

func (s *store) last() feed.Grant {
	out := feed.Grant{}
	if n := len(s.grants); n > 0 {
		out = s.grants[n-1]
	}
	out.Era = s.era
	return out
}

// Responses are lost, appends take effect late, hosts freeze and restart, and the log loses
// its newest grants. Two hosts must never hold the lease at the same time, the orders of two
// successive holders must be at least a fifth of the lease apart, and fencing tokens go up.
func TestOnlyOneHostHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{era: 1}
		const hosts = 4
		var all [hosts]*lease.Lease
		for i := range all {
			all[i] = lease.New(lease.Config{Host: fmt.Sprint("h", i), Duration: duration})
		}
		now := time.Hour
		lastOrder, lastHost, lastFence := time.Duration(0), -1, int64(0)
		type lateAppend struct {
			at    int64
			host  string
			nonce string
		}
		var pending []lateAppend
		for step := range 200 {
			now += time.Duration(rapid.Int64Range(1, 900).Draw(t, "gap")) * time.Millisecond
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			l := all[i]
			if l.Holds(now) {
				if lastHost >= 0 && lastHost != i && now-lastOrder < duration/5 {
					t.Fatalf("host %d sends an order only %v after host %d", i, now-lastOrder, lastHost)
				}
				for o := range all {
					if o != i && all[o].Holds(now) {
						t.Fatalf("hosts %d and %d both hold the lease at %v", i, o, now)
					}
				}
				if fence := l.FencingToken(); fence < lastFence || fence == lastFence && lastHost != i {
					t.Fatalf("host %d orders with token %d after host %d with %d", i, fence, lastHost, lastFence)
				}
				lastOrder, lastHost, lastFence = now, i, l.FencingToken()
			}
			switch rapid.IntRange(0, 20).Draw(t, "rare") {
			case 0:
				s.restore(rapid.IntRange(0, len(s.grants)).Draw(t, "retained"))
			case 1:
				all[i] = lease.New(lease.Config{Host: fmt.Sprint("h", i), Duration: duration})
				continue
			}
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				if len(pending) > 0 { // an append without a response takes effect now
					p := pending[0]
					pending = pending[1:]
					s.appendAt(p.at, p.host, p.nonce)
				}
			case 1:
				l.Observe(s.last(), now)
			default:
				if !l.Known() {
					l.Observe(s.last(), now)
					continue
				}
				if l.Wait(now) > 0 {
					continue
				}
				nonce := fmt.Sprint(step)
				l.BeginAppend(nonce, now)
				switch rapid.IntRange(0, 3).Draw(t, "response") {
				case 0: // response lost, append takes effect
					s.appendAt(l.NextOffset(), fmt.Sprint("h", i), nonce)
					l.AppendUnresolved()
				case 1: // response lost, append takes effect later
					pending = append(pending, lateAppend{l.NextOffset(), fmt.Sprint("h", i), nonce})
					l.AppendUnresolved()
				default:
					if s.appendAt(l.NextOffset(), fmt.Sprint("h", i), nonce) {
						l.AppendSucceeded(s.era)
					} else {
						l.Observe(s.last(), now)
					}
				}
			}
		}
	})
}

func TestTheLastHolderDoesNotWait(t *testing.T) {
	is := is.New(t)
	a := lease.New(lease.Config{Host: "a", Duration: duration})
	b := lease.New(lease.Config{Host: "b", Duration: duration})
	a.Observe(feed.Grant{}, 0)
	is.Equal(a.Wait(0), time.Duration(0)) // the lease was never granted
	a.BeginAppend("n", 0)
	a.AppendSucceeded(0)
	is.True(a.Holds(0))
	is.True(a.ShouldRenew(2 * time.Second))
	is.True(!a.Holds(duration))
	is.Equal(a.Wait(duration), time.Duration(0))
	b.Observe(feed.Grant{End: 1, Holder: "a", Nonce: "n"}, time.Second)
	is.Equal(b.Wait(2*time.Second), 2*time.Second)
	is.Equal(a.FencingToken(), int64(1))
}

func TestAGrantReadFromTheLogCountsFromTheAppend(t *testing.T) {
	is := is.New(t)
	a := lease.New(lease.Config{Host: "a", Duration: duration})
	a.Observe(feed.Grant{}, 0)
	a.BeginAppend("n", 0)
	a.AppendUnresolved()
	is.True(!a.Known())
	a.Observe(feed.Grant{End: 1, Holder: "a", Nonce: "n"}, time.Second)
	is.True(a.Holds(time.Second))
	is.True(!a.Holds(duration))
}

// An append of an earlier era takes effect late, after this host has seen the new era, while
// another host still acts on a grant that was lost. Found by 20,000 rounds of the test above.
func TestALateAppendOfAnEarlierEraIsNotUsed(t *testing.T) {
	is := is.New(t)
	a := lease.New(lease.Config{Host: "a", Duration: duration})
	a.Observe(feed.Grant{Era: 1}, 0)
	a.BeginAppend("n", 0)
	a.AppendUnresolved()
	a.Observe(feed.Grant{Era: 2}, time.Second)
	a.Observe(feed.Grant{Era: 2, End: 1, Holder: "a", Nonce: "n"}, 2*time.Second)
	is.True(!a.Holds(2 * time.Second))
	is.Equal(a.Wait(2*time.Second), duration)
}

// The holder of a grant that was lost may renew it: the others wait a whole lease.
func TestTheHolderRenewsInANewEra(t *testing.T) {
	is := is.New(t)
	a := lease.New(lease.Config{Host: "a", Duration: duration})
	a.Observe(feed.Grant{Era: 1}, 0)
	a.BeginAppend("n", 0)
	is.True(a.AppendSucceeded(1))
	a.Observe(feed.Grant{Era: 2}, time.Second)
	is.True(a.Holds(time.Second))
	is.Equal(a.Wait(time.Second), time.Duration(0))
	a.BeginAppend("n2", time.Second)
	is.True(a.AppendSucceeded(2))
	is.True(a.Holds(3 * time.Second))
	b := lease.New(lease.Config{Host: "b", Duration: duration})
	b.Observe(feed.Grant{Era: 2}, time.Second) // started after the restore, before the renewal
	is.Equal(b.Wait(time.Second), duration)
}
