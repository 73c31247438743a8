// Package fetch decides from where an engine fetches the KV cache of a prompt's
// shared prefix, and whether it is saved to a KV cache store.
//
// Fetching saves prefill work in two cases: after an update of the weights, when no
// prefix is cached, and in a burst, when requests with the same shared prefix are
// spread over many engines. One engine then prefills the prefix, and the others
// fetch its KV cache. A store receives the cache of whole prompts, and would evict
// shared prefixes within seconds if all prompts were saved there. So each prefix
// is saved once, with a prompt that has few other tokens.
package fetch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadastand.dev/core/state/site"
)

// Engine describes an engine as a possible source.
type Engine struct {
	FailureDomain string
	// CachedTokens is the number of leading tokens of the shared prefix that the
	// engine is known to have cached.
	CachedTokens int
	// PastTokens is the number of leading tokens that the engine had cached at LearntAt, some
	// seconds ago. It may have evicted them since.
	PastTokens int
	LearntAt   time.Duration
	// Usable is set if the engine responds and has the same weights as the target.
	Usable bool
}

// Request describes a request and the engines and store that may have its shared
// prefix cached.
type Request struct {
	// SharedTokens is the length of the prefix that the prompt shares with others, and
	// UniqueTokens the number of its remaining tokens.
	SharedTokens int
	UniqueTokens int
	// Target is the index of the engine that runs the request. Owner is the index of
	// the engine that all hosts use as the source while no engine is known to have
	// the prefix cached.
	Target int
	Owner  int
	// Engines are all engines that may have the prefix cached.
	Engines []Engine
	// HasStore is set if a store is responsible for the prefix, and Stored if that
	// store is known to have it.
	HasStore bool
	Stored   bool
	// HasNewestWeights is set if the target has the newest weights.
	HasNewestWeights bool
}

// Decision says from where the shared prefix is fetched and whether it is saved.
type Decision struct {
	// Source is the index of the engine to fetch from, SourceStore or SourceNone.
	Source int
	// Save is set if the KV cache of the prompt is saved to the store.
	Save bool
}

// Sources other than an engine.
const (
	// SourceStore is the store that is responsible for the prefix.
	SourceStore = -1
	// SourceNone means that nothing is fetched.
	SourceNone = -2
)

// saveShare is the maximum ratio of unique to shared tokens of a prompt that is
// saved to the store. The store evicts the least recently used entries, and must
// have room for the shared prefixes that are used within several seconds.
const saveShare = 1.0

// Decide chooses the source of the shared prefix and whether it is saved. It
// prefers an engine that has the whole prefix cached, in the target's failure
// domain if possible; then the store, whose link is shared by all engines; then
// the engine with the longest part of the prefix. If none of them is known to have more
// than half of it, it tries an engine that had it some seconds ago, or the owner: a fetch
// that finds nothing takes about a millisecond. The target doesn't transfer what
// it still has cached itself, so the store is also the source if the target is
// expected to have the prefix, in case it has evicted it.
func Decide(r Request) Decision {
	d := Decision{
		Source: SourceNone,
		Save:   r.HasStore && !r.Stored && r.HasNewestWeights && float64(r.UniqueTokens) <= saveShare*float64(r.SharedTokens),
	}
	target := r.Engines[r.Target]
	best, near := 0, false
	for i, e := range r.Engines {
		if i == r.Target || !e.Usable || e.CachedTokens == 0 || e.CachedTokens < best {
			continue
		}
		isNear := e.FailureDomain == target.FailureDomain
		if e.CachedTokens > best || isNear && !near {
			d.Source, best, near = i, e.CachedTokens, isNear
		}
	}
	if r.Stored && (best < r.SharedTokens || target.CachedTokens >= r.SharedTokens) {
		d.Source = SourceStore
		return d
	}
	if best <= target.CachedTokens {
		d.Source = SourceNone
	}
	known := max(best, target.CachedTokens)
	past, tokens := r.pastSource()
	switch {
	case tokens > known:
		d.Source = past
	case known < r.SharedTokens/2 && r.Owner != r.Target && r.Engines[r.Owner].Usable:
		d.Source = r.Owner
	}
	return d
}

// pastSource returns the engine other than the target that had the longest part of the prefix
// cached some seconds ago, the last one if there are several, and the length of that part.
func (r Request) pastSource() (source, tokens int) {
	at := time.Duration(0)
	for i, e := range r.Engines {
		if i == r.Target || !e.Usable || e.PastTokens < tokens || e.PastTokens == tokens && e.LearntAt <= at {
			continue
		}
		source, tokens, at = i, e.PastTokens, e.LearntAt
	}
	return source, tokens
}

// StoreFor returns the store that is responsible for the prefix with a key, by
// rendezvous hashing, or nil if there are no stores.
func StoreFor(key string, stores []*site.CacheStore) *site.CacheStore {
	var best *site.CacheStore
	bestScore := uint64(0)
	for _, s := range stores {
		if score := xxhash.Sum64String(key + "@" + s.Address.String()); best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}
