package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/place"
)

// burst simulates one failure domain of a large site during a burst: 22 hosts send
// 900 requests per second of 2,200 tokens to 24 engines, which is the engines' full
// prefill throughput. Hosts learn of each other's requests every 60 ms. It returns
// the longest queue of any engine, in tokens.
func burst(byHub bool) int {
	const (
		hosts, engines = 22, 24
		tokens         = 2200
		rate           = 90 // tokens per millisecond
		gap            = 1111 * time.Microsecond
		interval       = 60 * time.Millisecond
		requests       = 2000
	)
	var queue, exchanged [engines]int
	own := make([][engines]int, hosts)
	longest := 0
	for n := range requests {
		now := time.Duration(n) * gap
		if now%interval < gap {
			exchanged, own = queue, make([][engines]int, hosts)
		}
		for e := range queue {
			queue[e] = max(0, queue[e]-rate*int(gap/time.Microsecond)/1000)
		}
		host := n * 7 % hosts
		list := make([]place.Engine, engines)
		for e := range list {
			list[e] = place.Engine{ID: fmt.Sprint("e", e), Slots: 32, PrefillRate: rate * 1000, CanFetch: true}
			list[e].Work.Tokens[0] = exchanged[e] + own[host][e]
		}
		p := place.Prompt{Tokens: tokens, SharedTokens: 500, Key: fmt.Sprint("part", n*n%800), TransferRate: 400_000}
		var index int
		if byHub {
			q := place.NewQuery(p, list)
			var work []load.Work
			for _, c := range q.Candidates {
				w := load.Work{}
				w.Tokens[0] = queue[c.Index]
				work = append(work, w)
			}
			index = place.ChoiceFrom(p, list, q, place.Decide(q, work)).Index
		} else {
			index = place.Choose(p, list, 3).Index
		}
		queue[index] += tokens
		own[host][index] += tokens
		longest = max(longest, queue[index])
	}
	return longest
}

// In a burst, hosts that decide alone all send to the engines that seem idle. In a
// simulation one such engine had a queue of 66k tokens while hosts knew of 14k.
func TestAHubPreventsHerding(t *testing.T) {
	is := is.New(t)
	alone, hub := burst(false), burst(true)
	t.Logf("longest queue: %d tokens without a hub, %d with a hub", alone, hub)
	const inTime = 30_000 // 330 ms of prefill: urgent prompts behind it still meet their target
	is.True(hub < inTime)
	is.True(2*hub < alone)
}

func TestAHubsDecisionMapsToTheHostsEngine(t *testing.T) {
	is := is.New(t)
	list := []place.Engine{
		{ID: "a", Slots: 4, PrefillRate: 100_000, Remote: true},
		{ID: "b", Slots: 4, PrefillRate: 100_000, CachedTokens: 5000},
		{ID: "c", Slots: 4, PrefillRate: 100_000},
	}
	p := place.Prompt{Tokens: 6000, SharedTokens: 5000, Key: "k"}
	q := place.NewQuery(p, list)
	is.Equal(len(q.Candidates), 3)
	work := make([]load.Work, 3)
	a := place.Decide(q, work)
	is.Equal(q.Candidates[a.Position].ID, "b") // it has the prefix cached
	work[a.Position].Tokens[0] = 100_000
	a = place.Decide(q, work)
	is.Equal(q.Candidates[a.Position].ID, "c") // computing the prefix again costs less than a second in the queue
	c := place.ChoiceFrom(p, list, q, a)
	is.Equal(c.Index, 2)
	is.Equal(c.TokensAhead, 0)
	is.Equal(c.FirstToken, 60*time.Millisecond)
}

// The first engine slows down from 9 requests on. The hub learns of it with the query.
func TestDecideAvoidsCrowdedEngines(t *testing.T) {
	is := is.New(t)
	list := engines(2)
	list[0].Comfortable = 8
	q := place.NewQuery(place.Prompt{Tokens: 1000, Key: "k"}, list)
	at := func(running int) int {
		work := make([]load.Work, 2)
		for i, c := range q.Candidates {
			if work[i].Running = running; c.Index == 1 {
				work[i].Running++ // the other one has a little more to do
			}
		}
		return q.Candidates[place.Decide(q, work).Position].Index
	}
	is.Equal(at(7), 0)
	is.Equal(at(12), 1)
}
