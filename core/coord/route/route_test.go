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

// The owner of a key depends neither on the order of the candidates nor on the removal of
// other candidates; otherwise hosts with different lists would split a cache.
func TestOwnerIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := candidates(rapid.IntRange(2, 20).Draw(t, "n"))
		key := prefix.Key{byte(rapid.IntRange(0, 255).Draw(t, "key"))}
		owner := cs[route.Owner(key, cs)].Name
		shuffled := rapid.Permutation(cs).Draw(t, "order")
		if got := shuffled[route.Owner(key, shuffled)].Name; got != owner {
			t.Fatalf("owner depends on the candidate order: %s and %s", owner, got)
		}
		removed := rapid.IntRange(0, len(cs)-1).Draw(t, "removed")
		if cs[removed].Name == owner {
			return
		}
		rest := append(append([]route.Candidate{}, cs[:removed]...), cs[removed+1:]...)
		if got := rest[route.Owner(key, rest)].Name; got != owner {
			t.Fatalf("owner changed from %s to %s after another candidate was removed", owner, got)
		}
	})
}

func TestMinTTFTPrefersCacheUntilQueueCostsMore(t *testing.T) {
	is := is.New(t)
	p := route.NewMinTTFT()
	cs := candidates(4)
	req := route.Request{Chain: chain(5, 1), Tokens: 10_500, OwnerHitRate: 0.7}
	owner := p.Choose(req, cs)
	is.Equal(owner, p.Choose(req, cs)) // without cache information, hosts choose the same endpoint
	holder := (owner + 1) % len(cs)
	cs[holder].CachedPieces = 5
	is.Equal(p.Choose(req, cs), holder) // cache information outweighs rendezvous hashing
	cs[holder].QueuedTokens = 50_000
	is.True(p.Choose(req, cs) != holder) // waiting in the queue costs more than recomputing
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
