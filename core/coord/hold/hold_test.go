package hold_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/hold"
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
	memory   = 112 * megabyte
)

func noEvict(hold.Reason) {}

// client is a connection in a replayed load.
type client struct {
	h       *hold.Holder
	evicted hold.Reason
}

func openClient(t *testing.T, a *hold.Account, now time.Duration) *client {
	t.Helper()
	c := &client{}
	h, victims, ok := a.OpenConn(hold.Callers, "192.0.2.1", now, func(r hold.Reason) { c.evicted = r })
	if !ok {
		t.Fatal("no room for a connection")
	}
	for _, v := range victims {
		v.Evict()
	}
	c.h = h
	return c
}

// body begins the body of a request.
func (c *client) body(a *hold.Account, now time.Duration) *client {
	a.Received(c.h, kilobyte, now)
	a.SetPhase(c.h, hold.Body, now)
	return c
}

// Clients send bodies that stop short of their end. Together they must not hold more than the
// memory, and an ordinary request must find room beside them.
func TestUnfinishedBodiesStayWithinTheMemory(t *testing.T) {
	is := is.New(t)
	cfg := hold.ConfigFor(memory, 4100)
	a := hold.New(cfg)
	var crowd []*client
	for range 60 {
		c := openClient(t, a, 0).body(a, 0)
		crowd = append(crowd, c)
		a.Announce(c.h, 4*megabyte)
		for range 64 {
			if ok, victims := a.Take(c.h, hold.Bodies, 64*kilobyte, 0); !ok {
				is.Equal(len(victims), 0) // all have just made progress
				break
			}
		}
	}
	held := a.Held(hold.Bodies) + a.Held(hold.Conns)
	is.True(held <= cfg.Bytes)
	ordinary := openClient(t, a, time.Second).body(a, time.Second)
	ok, _ := a.Take(ordinary.h, hold.Bodies, 72*kilobyte, time.Second)
	is.True(ok) // from the reserve
	// A large body finds room once the others have stalled: the largest give way.
	large := openClient(t, a, 3*time.Second).body(a, 3*time.Second)
	a.Announce(large.h, 4*megabyte)
	ok, victims := a.Take(large.h, hold.Bodies, 4*megabyte, 3*time.Second)
	is.True(!ok)
	is.True(len(victims) > 0)
	for _, v := range victims {
		is.Equal(v.Reason, hold.Stalled)
		is.Equal(v.Bytes, int64(4*megabyte+hold.ConnBytes))
		v.Evict()
		a.Close(v.Holder)
	}
	is.Equal(crowd[0].evicted, hold.Stalled) // the oldest of the largest
	ok, _ = a.Take(large.h, hold.Bodies, 4*megabyte, 3*time.Second)
	is.True(ok)
}

// A request that is complete is never ended to make room, however long it is served.
func TestServedRequestsDontGiveWay(t *testing.T) {
	is := is.New(t)
	cfg := hold.ConfigFor(memory, 4100)
	a := hold.New(cfg)
	for range 4 {
		served := openClient(t, a, 0).body(a, 0)
		ok, _ := a.Take(served.h, hold.Bodies, 6*megabyte, 0)
		is.True(ok)
		is.True(a.SetServed(served.h, 0))
	}
	large := openClient(t, a, time.Minute).body(a, time.Minute)
	ok, victims := a.Take(large.h, hold.Bodies, 6*megabyte, time.Minute)
	is.True(!ok)
	is.Equal(len(victims), 0)
	is.Equal(len(a.Sweep(2*time.Minute-time.Second)), 1) // the unfinished body only
}

// A request may be complete at the moment at which it is chosen to give way. Then it must not
// run, since its client is told that it does not.
func TestEndedRequestIsNotServed(t *testing.T) {
	is := is.New(t)
	a := hold.New(hold.ConfigFor(memory, 4100))
	c := openClient(t, a, 0).body(a, 0)
	is.Equal(len(a.Sweep(time.Second)), 0)
	for now := 2 * time.Second; now < 12*time.Second; now += time.Second {
		for range a.Sweep(now) {
			is.Equal(now, 11*time.Second) // 10 s without a byte
		}
	}
	is.True(!a.SetServed(c.h, 12*time.Second))
}

// Honest clients send at 1 Mbit/s or less, with pauses of a second. They are never ended for
// being slow, whatever the length of their body.
func TestSlowBodiesAreNotEnded(t *testing.T) {
	is := is.New(t)
	a := hold.New(hold.ConfigFor(memory, 4100))
	c := openClient(t, a, 0).body(a, 0)
	for now := time.Second; now < 10*time.Minute; now += time.Second {
		if now%(2*time.Second) == 0 {
			a.Received(c.h, 8*kilobyte, now)
		}
		is.Equal(len(a.Sweep(now)), 0)
	}
	for now := 10 * time.Minute; now < 11*time.Minute; now += time.Second {
		for _, v := range a.Sweep(now) {
			is.Equal(v.Reason, hold.Slow)
			is.Equal(v.Phase, hold.Body)
			return
		}
	}
	t.Fatal("a body without progress was not ended")
}

// A body that brings a byte now and then makes no progress that is worth its connection.
func TestTricklingBodyIsEnded(t *testing.T) {
	is := is.New(t)
	a := hold.New(hold.ConfigFor(memory, 4100))
	c := openClient(t, a, 0).body(a, 0)
	for now := time.Second; now < time.Minute; now += time.Second {
		a.Received(c.h, 1, now)
		if victims := a.Sweep(now); len(victims) > 0 {
			is.Equal(victims[0].Reason, hold.Slow)
			is.True(now > 10*time.Second)
			return
		}
	}
	t.Fatal("a trickling body was not ended")
}

// While this process was suspended it read nothing: its clients are not to blame.
func TestSuspensionDoesNotCountAsPause(t *testing.T) {
	is := is.New(t)
	a := hold.New(hold.ConfigFor(memory, 4100))
	a.Sweep(time.Second)
	c := openClient(t, a, time.Second).body(a, time.Second)
	is.Equal(len(a.Sweep(time.Minute)), 0)
	a.Received(c.h, kilobyte, time.Minute)
	is.Equal(len(a.Sweep(time.Minute+time.Second)), 0)
}

// All bodies wait for memory that only they hold. The newest gives up, so that the oldest is
// completed.
func TestNewestWaiterGivesUpFirst(t *testing.T) {
	is := is.New(t)
	a := hold.New(hold.ConfigFor(memory, 4100))
	older, newer := openClient(t, a, 0).body(a, 0), openClient(t, a, 0).body(a, 0)
	is.True(!a.Wait(older.h)) // others may stall and give way
	is.True(a.Wait(newer.h))
	is.True(!a.Wait(older.h))
	a.EndWait(newer.h, 0)
	is.True(!a.Wait(older.h))
}

// Connections are bounded. One that has sent nothing for a second, or an incomplete head or body
// for two, gives way. One that is between requests does so only if there is no other.
func TestStalledConnectionsGiveWay(t *testing.T) {
	for _, tt := range []struct {
		phase hold.Phase
		keeps time.Duration
		gives time.Duration
	}{
		{hold.Silent, 900 * time.Millisecond, time.Second},
		{hold.Head, 1900 * time.Millisecond, 2 * time.Second},
		{hold.Body, 1900 * time.Millisecond, 2 * time.Second},
		{hold.Idle, 1900 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(tt.phase.String(), func(t *testing.T) {
			is := is.New(t)
			a := hold.New(hold.Config{Bytes: megabyte, MaxConns: map[string]int{hold.Callers: 1}})
			c := openClient(t, a, 0)
			a.SetPhase(c.h, tt.phase, 0)
			_, _, ok := a.OpenConn(hold.Callers, "192.0.2.2", tt.keeps, noEvict)
			is.True(!ok)
			_, victims, ok := a.OpenConn(hold.Callers, "192.0.2.2", tt.gives, noEvict)
			is.True(ok)
			is.Equal(len(victims), 1)
			is.Equal(victims[0].Holder, c.h)
		})
	}
}

// A crowd at the callers' port must leave connections for other hosts, probes and metrics.
func TestPortsHaveConnectionsOfTheirOwn(t *testing.T) {
	is := is.New(t)
	a := hold.New(hold.ConfigFor(memory, 700))
	for {
		if _, _, ok := a.OpenConn(hold.Callers, "192.0.2.1", 0, noEvict); !ok {
			break
		}
	}
	for _, port := range []string{hold.Peers, hold.Operators, hold.Readiness, hold.Metrics} {
		_, _, ok := a.OpenConn(port, "192.0.2.1", 0, noEvict)
		is.True(ok)
	}
}

// The bounds leave the descriptors for files, and one for each connection to an endpoint. On
// hosts of the stated sizes hundreds of requests can be in progress.
func TestBoundsFollowTheLimitsOfTheHost(t *testing.T) {
	for _, files := range []int{700, 4100, 8192} {
		for _, mb := range []int64{112, 184, 536} {
			t.Run(fmt.Sprintf("%d files, %d MB", files, mb), func(t *testing.T) {
				is := is.New(t)
				cfg := hold.ConfigFor(mb*megabyte, files)
				sum := cfg.MaxConns[hold.Callers] + cfg.MaxSpareConns // the connections to endpoints
				for _, n := range cfg.MaxConns {
					sum += n
				}
				is.True(sum <= files-200)
				is.True(int64(cfg.MaxConns[hold.Callers])*hold.ConnBytes <= cfg.Bytes/2)
				if files >= 4100 {
					is.True(cfg.MaxConns[hold.Callers] >= 700)
				}
			})
		}
	}
}

// The bound by client address is off by default, since all clients may come through one load
// balancer.
func TestConnectionsOfOneAddress(t *testing.T) {
	is := is.New(t)
	cfg := hold.ConfigFor(memory, 4100)
	is.Equal(cfg.MaxConnsPerAddress, 0)
	cfg.MaxConnsPerAddress = 1
	a := hold.New(cfg)
	first, _, ok := a.OpenConn(hold.Callers, "192.0.2.1", 0, noEvict)
	is.True(ok)
	_, _, ok = a.OpenConn(hold.Callers, "192.0.2.1", 0, noEvict)
	is.True(!ok)
	_, _, ok = a.OpenConn(hold.Callers, "192.0.2.2", 0, noEvict)
	is.True(ok)
	a.Close(first)
	_, _, ok = a.OpenConn(hold.Callers, "192.0.2.1", 0, noEvict)
	is.True(ok)
}

// What a holder took is returned once, also if it is closed twice.
func TestCloseReturnsAll(t *testing.T) {
	is := is.New(t)
	a := hold.New(hold.ConfigFor(memory, 4100))
	c := openClient(t, a, 0)
	for _, k := range hold.Kinds() {
		ok, _ := a.Take(c.h, k, kilobyte, 0)
		is.True(ok)
	}
	a.Close(c.h)
	a.Close(c.h)
	a.Give(c.h, hold.Bodies, kilobyte)
	for _, k := range hold.Kinds() {
		is.Equal(a.Held(k), int64(0))
	}
	is.Equal(a.OpenConns(hold.Callers), 0)
	ok, _ := a.Take(c.h, hold.Bodies, kilobyte, 0)
	is.True(!ok)
}

// Send buffers grow for slow readers. A crowd of them must leave room for ordinary requests.
func TestSpareMemoryLeavesRoom(t *testing.T) {
	is := is.New(t)
	a := hold.New(hold.ConfigFor(memory, 4100))
	for range 300 {
		a.TakeSpare(openClient(t, a, 0).h, hold.Conns, 256*kilobyte)
	}
	is.True(!a.TakeSpare(openClient(t, a, 0).h, hold.Conns, 256*kilobyte))
	ordinary := openClient(t, a, 0).body(a, 0)
	ok, _ := a.Take(ordinary.h, hold.Bodies, 72*kilobyte, 0)
	is.True(ok)
	large := openClient(t, a, 0).body(a, 0)
	ok, _ = a.Take(large.h, hold.Bodies, 4*megabyte, 0)
	is.True(ok)
}

// Clients that take nothing of their responses hold connections. They give way after some
// seconds, unlike those that read slowly.
func TestUnreadResponsesGiveWay(t *testing.T) {
	is := is.New(t)
	a := hold.New(hold.Config{Bytes: megabyte, MaxConns: map[string]int{hold.Callers: 1}})
	c := openClient(t, a, 0)
	is.True(a.SetServed(c.h, 0))
	a.SetUnread(c.h, time.Second)
	_, _, ok := a.OpenConn(hold.Callers, "192.0.2.2", 3*time.Second, noEvict)
	is.True(!ok)
	a.SetRead(c.h)
	_, _, ok = a.OpenConn(hold.Callers, "192.0.2.2", time.Minute, noEvict)
	is.True(!ok)
	a.SetUnread(c.h, time.Minute)
	_, victims, ok := a.OpenConn(hold.Callers, "192.0.2.2", time.Minute+3*time.Second, noEvict)
	is.True(ok)
	is.Equal(len(victims), 1)
	is.Equal(victims[0].Holder, c.h)
}

// Clients reuse connections that were idle for up to 12 s. While others are stalled, they are
// kept.
func TestIdleConnectionsGiveWayLast(t *testing.T) {
	is := is.New(t)
	a := hold.New(hold.Config{Bytes: megabyte, MaxConns: map[string]int{hold.Callers: 2}})
	idle, silent := openClient(t, a, 0), openClient(t, a, 10*time.Second)
	a.SetPhase(idle.h, hold.Idle, 0)
	_, victims, ok := a.OpenConn(hold.Callers, "192.0.2.2", 12*time.Second, noEvict)
	is.True(ok)
	is.Equal(victims[0].Holder, silent.h)
	a.Close(silent.h)
	_, victims, ok = a.OpenConn(hold.Callers, "192.0.2.2", 12*time.Second+time.Millisecond, noEvict)
	is.True(ok)
	is.Equal(victims[0].Holder, idle.h)
}
