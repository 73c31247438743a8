package fetch_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/fetch"
	"cicadastand.dev/core/state/site"
)

const shared = 5000

// request returns a request with a frequent shared prefix whose target is engine 0.
// Engine 3 owns the prefix; cached is the number of cached tokens of each engine.
func request(cached ...int) fetch.Request {
	r := fetch.Request{SharedTokens: shared, UniqueTokens: 1000, Owner: 3, HasStore: true, HasNewestWeights: true}
	for i, tokens := range cached {
		r.Engines = append(r.Engines, fetch.Engine{FailureDomain: fmt.Sprint("d", i%2), CachedTokens: tokens, Usable: true})
	}
	return r
}

// In a burst, requests with one shared prefix are spread over engines that don't have
// it cached.
func TestPrefixIsFetchedFromNearestEngineThatHasIt(t *testing.T) {
	is := is.New(t)
	r := request(0, shared, shared, 0)
	is.Equal(fetch.Decide(r).Source, 2) // of the same failure domain
	r.Engines[2].Usable = false
	is.Equal(fetch.Decide(r).Source, 1)
	r.Engines[1].CachedTokens = 500
	r.Stored = true
	is.Equal(fetch.Decide(r).Source, fetch.SourceStore) // the store has the whole prefix
	r.Engines[0].CachedTokens = shared
	is.Equal(fetch.Decide(r).Source, fetch.SourceStore) // in case the engine has evicted it
	r.Stored = false
	is.Equal(fetch.Decide(r).Source, fetch.SourceNone)
}

func TestUncachedPrefixIsFetchedFromItsOwner(t *testing.T) {
	is := is.New(t)
	r := request(0, 0, 0, 0)
	is.Equal(fetch.Decide(r).Source, 3)
	r.Target = 3
	is.Equal(fetch.Decide(r).Source, fetch.SourceNone)
	r.Target = 0
	r.Engines[3].Usable = false // it has other weights or doesn't respond
	is.Equal(fetch.Decide(r).Source, fetch.SourceNone)
}

// Prefixes that are used each few seconds were computed again, since hosts took parts for
// evicted after 2.5 s. The leading part, which many prefixes have in common, is cached at most
// engines and hid the engine that had the whole prefix.
func TestPrefixIsFetchedFromTheEngineThatHadItSomeSecondsAgo(t *testing.T) {
	is := is.New(t)
	const leading = 500
	r := request(leading, leading, 0, 0)
	r.Engines[1].PastTokens, r.Engines[1].LearntAt = leading, 9*time.Second
	r.Engines[2].PastTokens, r.Engines[2].LearntAt = shared, 5*time.Second
	is.Equal(fetch.Decide(r).Source, 2)
	r.Engines[3].PastTokens, r.Engines[3].LearntAt = shared, 6*time.Second
	is.Equal(fetch.Decide(r).Source, 3) // the later one is less likely to have evicted it
	r.Engines[3].Usable = false
	r.Engines[1].CachedTokens = shared
	is.Equal(fetch.Decide(r).Source, 1) // known to have it now
	r.Engines[1].CachedTokens, r.Engines[2].PastTokens = leading, 0
	r.Engines[3].Usable = true
	r.Engines[3].PastTokens = 0
	is.Equal(fetch.Decide(r).Source, 3) // the owner
	r.Stored = true
	is.Equal(fetch.Decide(r).Source, fetch.SourceStore)
}

// The store receives the KV cache of whole prompts. If all prompts were saved, the
// store of a large site would evict the shared prefixes within three seconds.
func TestPrefixIsSavedOnceWithAShortPrompt(t *testing.T) {
	is := is.New(t)
	r := request(0, 0, 0, 0)
	is.True(fetch.Decide(r).Save)
	r.UniqueTokens = shared
	is.True(fetch.Decide(r).Save)
	r.UniqueTokens++
	is.True(!fetch.Decide(r).Save)
	r.UniqueTokens, r.Stored = 0, true
	is.True(!fetch.Decide(r).Save)
	r.Stored, r.HasNewestWeights = false, false // prefixes of old weights are soon useless
	is.True(!fetch.Decide(r).Save)
}

func TestStoreForDoesNotDependOnTheOrderOfStores(t *testing.T) {
	is := is.New(t)
	var stores []*site.CacheStore
	for i := range 3 {
		stores = append(stores, &site.CacheStore{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i))})
	}
	seen := make(map[*site.CacheStore]int)
	for i := range 300 {
		key := fmt.Sprint("prefix", i)
		s := fetch.StoreFor(key, stores)
		seen[s]++
		is.Equal(fetch.StoreFor(key, []*site.CacheStore{stores[2], stores[0], stores[1]}), s)
	}
	for _, s := range stores {
		is.True(seen[s] > 50)
	}
	is.Equal(fetch.StoreFor("prefix", nil), nil)
}
