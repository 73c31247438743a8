package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/state/prefix"
)

func candidates(n int) []route.Candidate {
	out := make([]route.Candidate, n)
	for i := range out {
		out[i] = route.Candidate{Name: fmt.Sprintf("e%d", i), Slots: 8, PrefillRate: 1e5, ServiceTime: 200 * time.Millisecond}
	}
	return out
}

func chain(n int, seed byte) []prefix.Key {
	out := make([]prefix.Key, n)
	for i := range out {
		out[i] = prefix.Key{seed, byte(i), 7}
	}
	return out
}

func TestOwnersAgreeAndMoveLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := candidates(rapid.IntRange(2, 20).Draw(t, "n"))
		key := prefix.Key{byte(rapid.IntRange(0, 255).Draw(t, "key"))}
		owner := cs[route.Owner(key, cs)].Name
		shuffled := rapid.Permutation(cs).Draw(t, "order")
		if got := shuffled[route.Owner(key, shuffled)].Name; got != owner {
			t.Fatalf("hosts disagree: %s and %s", owner, got)
		}
		gone := rapid.IntRange(0, len(cs)-1).Draw(t, "gone")
		if cs[gone].Name == owner {
			return
		}
		rest := append(append([]route.Candidate{}, cs[:gone]...), cs[gone+1:]...)
		if got := rest[route.Owner(key, rest)].Name; got != owner {
			t.Fatalf("the owner moved from %s to %s when another left", owner, got)
		}
	})
}

func TestExpectFollowsTheCacheUntilTheQueueCostsMore(t *testing.T) {
	is := is.New(t)
	p := route.NewMinTTFT()
	cs := candidates(4)
	req := route.Request{Chain: chain(5, 1), Tokens: 10_500, OwnerHitRate: 0.7}
	home := p.Choose(req, cs)
	is.Equal(home, p.Choose(req, cs)) // without evidence, hosts agree
	holder := (home + 1) % len(cs)
	cs[holder].CachedPieces = 5
	is.Equal(p.Choose(req, cs), holder) // evidence goes before rendezvous
	cs[holder].QueuedTokens = 50_000
	is.True(p.Choose(req, cs) != holder) // the queue costs more than computing anew
}

func TestBaselines(t *testing.T) {
	is := is.New(t)
	cs := candidates(3)
	cs[1].Running = 5
	req := route.Request{Chain: chain(2, 3)}
	for _, name := range route.Names() {
		p, err := route.ByName(name)
		is.NoErr(err)
		is.True(p.Choose(req, cs) < len(cs))
	}
	least, _ := route.ByName(route.NameLeastLoad)
	for range 6 {
		is.True(least.Choose(req, cs) != 1)
	}
	_, err := route.ByName("best")
	is.True(err != nil)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 185, 740} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			p, cs := route.NewMinTTFT(), candidates(n)
			req := route.Request{Chain: chain(20, 1), Tokens: 40_000}
			for b.Loop() {
				p.Choose(req, cs)
			}
		})
	}
}
