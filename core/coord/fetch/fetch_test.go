package fetch_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/fetch"
	"cicadastand.dev/core/state/site"
)

const shared = 5000

// request is a request of a hot part at engine 0; engine 3 is the part's owner.
func request(held ...int) fetch.Request {
	n := fetch.Request{SharedTokens: shared, UniqueTokens: 1000, Owner: 3, HasStore: true, HasNewestWeights: true}
	for i, h := range held {
		n.Engines = append(n.Engines, fetch.Engine{FailureDomain: fmt.Sprint("d", i%2), CachedTokens: h, Usable: true})
	}
	return n
}

// Load pattern: a burst on one part spreads over engines that do not hold it.
func TestThePartComesFromTheNearestEngineThatHoldsIt(t *testing.T) {
	is := is.New(t)
	n := request(0, shared, shared, 0)
	is.Equal(fetch.Decide(n).Source, 2) // of the same failure domain
	n.Engines[2].Usable = false
	is.Equal(fetch.Decide(n).Source, 1)
	n.Engines[1].CachedTokens = 500
	n.Stored = true
	is.Equal(fetch.Decide(n).Source, fetch.SourceStore) // it has all of the part
	n.Engines[0].CachedTokens = shared
	is.Equal(fetch.Decide(n).Source, fetch.SourceStore) // in case the engine has dropped it
	n.Stored = false
	is.Equal(fetch.Decide(n).Source, fetch.SourceNone)
}

func TestAPartThatNobodyIsKnownToHoldIsLookedForAtItsOwner(t *testing.T) {
	is := is.New(t)
	n := request(0, 0, 0, 0)
	is.Equal(fetch.Decide(n).Source, 3)
	n.Target = 3
	is.Equal(fetch.Decide(n).Source, fetch.SourceNone)
	n.Target = 0
	n.Engines[3].Usable = false // other weights, or gone
	is.Equal(fetch.Decide(n).Source, fetch.SourceNone)
}

// Load pattern: the store is sent whole prompts. If all prompts went there, it
// would drop the shared parts of a large site within three seconds.
func TestTheStoreGetsEachPartOnceWithAShortPrompt(t *testing.T) {
	is := is.New(t)
	n := request(0, 0, 0, 0)
	is.True(fetch.Decide(n).Save)
	n.UniqueTokens = shared / 2
	is.True(fetch.Decide(n).Save)
	n.UniqueTokens++
	is.True(!fetch.Decide(n).Save)
	n.UniqueTokens, n.Stored = 0, true
	is.True(!fetch.Decide(n).Save)
	n.Stored, n.HasNewestWeights = false, false // the part is of no use soon
	is.True(!fetch.Decide(n).Save)
}

func TestAllHostsFindTheSameStore(t *testing.T) {
	is := is.New(t)
	var stores []*site.CacheStore
	for i := range 3 {
		stores = append(stores, &site.CacheStore{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i))})
	}
	seen := make(map[*site.CacheStore]int)
	for i := range 300 {
		key := fmt.Sprint("part", i)
		s := fetch.StoreFor(key, stores)
		seen[s]++
		is.Equal(fetch.StoreFor(key, []*site.CacheStore{stores[2], stores[0], stores[1]}), s)
	}
	for _, s := range stores {
		is.True(seen[s] > 50)
	}
	is.Equal(fetch.StoreFor("part", nil), nil)
}
