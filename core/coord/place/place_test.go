package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/place"
)

func engines(n int) []place.Engine {
	out := make([]place.Engine, n)
	for i := range out {
		out[i] = place.Engine{ID: fmt.Sprintf("e%d", i), Slots: 32, PrefillRate: 100_000}
	}
	return out
}

func work(waiting, tokens int) load.Work {
	w := load.Work{Waiting: waiting}
	w.Tokens[0] = tokens
	return w
}

var prompt = place.Prompt{Tokens: 12_000, SharedTokens: 5_000, Key: "catalogue"}

func TestAllHostsChooseTheSameOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := engines(rapid.IntRange(1, 40).Draw(t, "engines"))
		owner := list[place.Choose(prompt, list, 3).Index].ID
		shuffled := rapid.Permutation(list).Draw(t, "order")
		if got := shuffled[place.Choose(prompt, shuffled, 3).Index].ID; got != owner {
			t.Fatalf("owner is %s, but %s after the endpoints were shuffled", owner, got)
		}
	})
}

func TestACachedPrefixBeatsTheOwnerUntilTheEngineIsBusy(t *testing.T) {
	is := is.New(t)
	list := engines(8)
	owner := place.Choose(prompt, list, 3)
	is.True(owner.IsOwner)
	holder := (owner.Index + 1) % len(list)
	list[holder].CachedTokens = prompt.SharedTokens
	got := place.Choose(prompt, list, 3)
	is.Equal(got.Index, holder)
	is.True(!got.IsOwner)
	list[holder].Work = work(9, 90_000)
	is.True(place.Choose(prompt, list, 3).Index != holder) // queueing costs more than computing the prefix again
}

// In a burst in which all requests share one prefix, the requests have to spread over
// the engines before the queueing delay exceeds three times the time to compute the
// prefix again.
func TestABurstOnOnePrefixSpreads(t *testing.T) {
	is := is.New(t)
	list := engines(12)
	used := make(map[int]bool)
	longest := time.Duration(0)
	for range 60 {
		c := place.Choose(prompt, list, 12)
		e := &list[c.Index]
		longest = max(longest, c.FirstToken)
		e.Work = e.Work.Add(work(1, prompt.Tokens-e.CachedTokens))
		e.CachedTokens = prompt.SharedTokens
		used[c.Index] = true
	}
	is.True(len(used) >= 6)
	is.True(longest < 800*time.Millisecond) // 60 prompts on 12 engines; no queue is much longer than the others
}

// Many hosts have an outdated view of the load. Hosts that send different prefixes
// must not all choose the one engine that seems idle.
func TestHostsWithStaleLoadDontHerd(t *testing.T) {
	is := is.New(t)
	list := engines(70)
	for i := range list {
		list[i].Work = work(1, 5_000)
	}
	list[17].Work = load.Work{}
	chosen := 0
	const hosts = 68
	for h := range hosts {
		p := prompt
		p.Key = fmt.Sprint("part-", h)
		if place.Choose(p, list, 3).Index == 17 {
			chosen++
		}
	}
	is.True(chosen <= hosts/8)
}

func TestMoreEnginesAreConsideredWhileTheFirstAreBusy(t *testing.T) {
	is := is.New(t)
	list := engines(12)
	for i := range list {
		list[i].Work = work(8, 80_000)
	}
	list[5].Work = load.Work{}
	is.Equal(place.Choose(prompt, list, 3).Index, 5)
}

func TestLeastLoadedComparesRequestsPerSlot(t *testing.T) {
	is := is.New(t)
	list := engines(3)
	list[0].Work = load.Work{Running: 3}
	list[1].Work = load.Work{Running: 2}
	list[2].Work, list[2].Slots = load.Work{Running: 3}, 64
	for offset := range 3 {
		is.Equal(place.LeastLoaded(list, offset, 3), 2)
	}
}

// Endpoints are compared by the time that the new request would take, an idle slow one against
// a fast one in use too.
func TestLeastLoadedWeighsLearnedCapacity(t *testing.T) {
	is := is.New(t)
	for offset := range 2 {
		list := engines(2)
		list[0].Speed, list[1].Speed = 0.4, 1.3
		is.Equal(place.LeastLoaded(list, offset, 2), 1)
		list[1].Work = load.Work{Running: 2}
		is.Equal(place.LeastLoaded(list, offset, 2), 1)
		list[1].Work = load.Work{Running: 8}
		is.Equal(place.LeastLoaded(list, offset, 2), 0)
		list = engines(2)
		list[0].Work, list[1].Work = load.Work{Running: 4}, load.Work{Running: 5}
		list[0].Comfortable = list[0].Slots / 2
		is.Equal(place.LeastLoaded(list, offset, 2), 1)
	}
}

// Learned estimates that do not differ change nothing.
func TestEqualSpeedsChangeNoPlacement(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		plain := engines(rapid.IntRange(1, 8).Draw(r, "engines"))
		for i := range plain {
			plain[i].Slots = rapid.IntRange(1, 64).Draw(r, "slots")
			plain[i].Work = load.Work{Running: rapid.IntRange(0, 99).Draw(r, "running")}
			plain[i].Remote = rapid.Bool().Draw(r, "remote")
		}
		learned := slices.Clone(plain)
		for i := range learned {
			learned[i].Speed = 1
		}
		offset := rapid.IntRange(0, 7).Draw(r, "offset")
		if place.LeastLoaded(plain, offset, 3) != place.LeastLoaded(learned, offset, 3) {
			r.Fatal("placement differs")
		}
	})
}
