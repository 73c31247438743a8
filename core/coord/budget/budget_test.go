package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cicadastand.dev/core/coord/budget"
)

// Load pattern: endpoints fail while clients press. However requests and repeats
// come, all hosts together stay within the bound in every span of the window.
func TestRepeatsStayWithinTheBoundInEverySpan(t *testing.T) {
	const window, ratio, extra, hosts = 10 * time.Second, 0.2, 12, 3
	type event struct {
		at     time.Duration
		repeat bool
	}
	rapid.Check(t, func(t *rapid.T) {
		books := make([]*budget.Book, hosts)
		for i := range books {
			books[i] = budget.New(budget.Config{Window: window, Ratio: ratio, Extra: extra})
			books[i].SetHosts(hosts)
		}
		var events []event
		now := time.Hour
		for range 300 {
			now += time.Duration(rapid.Int64Range(0, 200).Draw(t, "gap")) * time.Millisecond
			b := books[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.First("s", now)
				events = append(events, event{at: now})
			} else if b.Repeat("s", now) {
				events = append(events, event{at: now, repeat: true})
			}
		}
		for i, first := range events {
			requests, repeats := 0.0, 0.0
			for _, e := range events {
				switch {
				// The bound counts the requests of this window or the one before.
				case !e.repeat && e.at > first.at-window && e.at <= first.at+window:
					requests++
				case e.repeat && e.at >= first.at && e.at < first.at+window:
					repeats++
				}
			}
			if repeats > ratio*requests+extra {
				t.Fatalf("span from event %d: %v repeats for %v requests", i, repeats, requests)
			}
		}
	})
}

func TestTheBudgetComesBack(t *testing.T) {
	is := is.New(t)
	b := budget.New(budget.Config{Window: 10 * time.Second, Extra: 1})
	is.True(b.Repeat("s", 0))
	is.True(!b.Repeat("s", 9*time.Second))
	is.True(b.Repeat("s", 11*time.Second))
	is.True(b.Repeat("other", 0)) // each service has its own
}
