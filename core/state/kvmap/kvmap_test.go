package kvmap_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/kvmap"
)

var chain = []call.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 50}}

func placement(weights int, cacheSalt string) kvmap.Placement {
	return kvmap.Placement{Endpoint: "e", Weights: weights, CacheSalt: cacheSalt, Parts: chain, Capacity: 10_000}
}

func TestCachedTokensEndAtFirstMissingPart(t *testing.T) {
	is := is.New(t)
	x := kvmap.New()
	x.Add(placement(1, ""))
	is.Equal(x.CachedTokens("e", 1, "", chain, 0), 150)
	is.Equal(x.CachedTokens("e", 1, "", []call.Part{{ID: "a", Tokens: 100}, {ID: "z", Tokens: 9}, {ID: "b", Tokens: 50}}, 0), 100)
	is.Equal(x.CachedTokens("other", 1, "", chain, 0), 0)
}

func TestCacheSaltAndWeightsSeparateParts(t *testing.T) {
	is := is.New(t)
	x := kvmap.New()
	x.Add(placement(1, "account-a"))
	is.Equal(x.CachedTokens("e", 1, "", chain, 0), 0)
	is.Equal(x.CachedTokens("e", 2, "account-a", chain, 0), 0)
	x.Add(placement(2, ""))
	is.Equal(x.CachedTokens("e", 2, "", chain, 0), 150)
	x.Add(placement(1, "account-a")) // a late placement of the previous weights
	is.Equal(x.CachedTokens("e", 2, "", chain, 0), 150)
}

func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	is := is.New(t)
	x := kvmap.New()
	for _, id := range []string{"a", "b", "c", "a", "d"} {
		x.Add(kvmap.Placement{Endpoint: "e", Parts: []call.Part{{ID: id, Tokens: 10}}, Capacity: 60})
	}
	is.Equal(x.CachedTokens("e", 0, "", []call.Part{{ID: "a", Tokens: 10}}, 0), 10)
	is.Equal(x.CachedTokens("e", 0, "", []call.Part{{ID: "b", Tokens: 10}}, 0), 0)
}

func TestOutboxDeliversOncePerSubscriber(t *testing.T) {
	is := is.New(t)
	o := kvmap.NewOutbox()
	all := func(string) bool { return true }
	o.Take("one", 0)
	o.Take("two", 0)
	o.Publish(placement(1, ""), func(subscriber string) bool { return subscriber == "one" })
	o.Publish(placement(2, ""), all)
	is.Equal(len(o.Take("one", time.Second)), 2)
	is.Equal(len(o.Take("one", time.Second)), 0)
	is.Equal(len(o.Take("two", time.Second)), 1)
	o.Publish(placement(3, ""), all)
	is.Equal(len(o.Take("two", time.Minute)), 1)
	is.Equal(len(o.Take("one", time.Minute)), 0) // removed after subscriberTTL
}

// Peers expect a prefix at the engine that all of them prefer for it, but not its leading
// parts, which other prefixes share.
func TestAddReportsNewLeadingParts(t *testing.T) {
	is := is.New(t)
	x := kvmap.New()
	is.True(!x.Add(placement(1, "")))
	is.True(x.Add(placement(1, "")))
	other := placement(1, "")
	other.Parts = []call.Part{chain[0], {ID: "c", Tokens: 70}}
	is.True(x.Add(other))             // only its last part is new
	is.True(!x.Add(placement(2, ""))) // newer weights
}
