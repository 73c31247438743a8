package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cicadastand.dev/core/coord/budget"
)

// Guards against retry storms when endpoints fail under load: for any sequence of
// requests and retries, all hosts together stay within the limit in every span as
// long as the window.
func TestRetriesStayWithinLimitInEveryWindow(t *testing.T) {
	const window, ratio, extra, hosts = 10 * time.Second, 0.2, 12, 3
	type event struct {
		at    time.Duration
		retry bool
	}
	rapid.Check(t, func(t *rapid.T) {
		trackers := make([]*budget.Tracker, hosts)
		for i := range trackers {
			trackers[i] = budget.New(budget.Config{Window: window, Ratio: ratio, Extra: extra})
			trackers[i].SetHosts(hosts)
		}
		var events []event
		now := time.Hour
		for range 300 {
			now += time.Duration(rapid.Int64Range(0, 200).Draw(t, "gap")) * time.Millisecond
			tracker := trackers[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				tracker.RecordRequest("s", now)
				events = append(events, event{at: now})
			} else if tracker.TakeRetry("s", now) {
				events = append(events, event{at: now, retry: true})
			}
		}
		for i, start := range events {
			requests, retries := 0.0, 0.0
			for _, e := range events {
				switch {
				// The limit counts the requests of this span and of the one before it.
				case !e.retry && e.at > start.at-window && e.at <= start.at+window:
					requests++
				case e.retry && e.at >= start.at && e.at < start.at+window:
					retries++
				}
			}
			if retries > ratio*requests+extra {
				t.Fatalf("span from event %d: %v retries for %v requests", i, retries, requests)
			}
		}
	})
}

func TestBudgetIsRestoredAfterTheWindow(t *testing.T) {
	is := is.New(t)
	b := budget.New(budget.Config{Window: 10 * time.Second, Extra: 1})
	is.True(b.TakeRetry("s", 0))
	is.True(!b.TakeRetry("s", 9*time.Second))
	is.True(b.TakeRetry("s", 11*time.Second))
	is.True(b.TakeRetry("other", 0)) // each service has its own budget
}
