package clock

import (
	"sync"
	"time"
)

// Fake is a Service whose time changes only by Advance.
type Fake struct {
	mu  sync.Mutex
	now time.Time
	// start is the initial time, from which Boot counts.
	start         time.Time
	subscriptions map[*fakeSubscription]struct{}
}

// NewFake returns a fake with start as its current time.
func NewFake(start time.Time) *Fake {
	return &Fake{now: start, start: start, subscriptions: make(map[*fakeSubscription]struct{})}
}

// Now returns the fake's current time.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Boot returns the time by which the fake was advanced.
func (f *Fake) Boot() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now.Sub(f.start)
}

// Subscribe delivers a tick whenever Advance passes the end of an interval.
func (f *Fake) Subscribe(interval time.Duration) Subscription {
	return f.add(interval, interval)
}

// Once delivers a single tick when Advance passes the end of delay.
func (f *Fake) Once(delay time.Duration) Subscription {
	return f.add(delay, 0)
}

// Advance moves the time forward and fires the subscriptions that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	for sub := range f.subscriptions {
		f.fire(sub)
	}
}

// Waiting returns the number of active subscriptions.
func (f *Fake) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.subscriptions)
}

func (f *Fake) add(delay, interval time.Duration) Subscription {
	f.mu.Lock()
	defer f.mu.Unlock()
	sub := &fakeSubscription{owner: f, due: f.now.Add(delay), interval: interval, ch: make(chan time.Time, 1)}
	f.subscriptions[sub] = struct{}{}
	f.fire(sub)
	return sub
}

func (f *Fake) fire(sub *fakeSubscription) {
	for !sub.due.After(f.now) {
		select {
		case sub.ch <- f.now:
		default:
		}
		if sub.interval <= 0 {
			delete(f.subscriptions, sub)
			return
		}
		sub.due = sub.due.Add(sub.interval)
	}
}

type fakeSubscription struct {
	owner    *Fake
	due      time.Time
	interval time.Duration
	ch       chan time.Time
}

func (s *fakeSubscription) C() <-chan time.Time { return s.ch }

func (s *fakeSubscription) Stop() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	delete(s.owner.subscriptions, s)
}
