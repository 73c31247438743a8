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
type store struct{ grants []feed.Grant }

func (s *store) appendAt(at int64, host, nonce string) bool {
	if int64(len(s.grants)) != at {
		return false
	}
	s.grants = append(s.grants, feed.Grant{End: at + 1, Holder: host, Nonce: nonce})
	return true
}

func (s *store) last() feed.Grant {
	if len(s.grants) == 0 {
		return feed.Grant{}
	}
	return s.grants[len(s.grants)-1]
}

// Responses are lost, appends take effect late, and hosts freeze. Two hosts must
// never hold the lease at the same time, and the orders of two successive holders
// must be at least a fifth of the lease apart.
func TestOnlyOneHostHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{}
		const hosts = 4
		var all [hosts]*lease.Lease
		for i := range all {
			all[i] = lease.New(lease.Config{Host: fmt.Sprint("h", i), Duration: duration})
		}
		now := time.Hour
		lastOrder, lastHost := time.Duration(0), -1
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
				lastOrder, lastHost = now, i
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
						l.AppendSucceeded()
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
	a.AppendSucceeded()
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
