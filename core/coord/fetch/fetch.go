// Package fetch decides from where an engine fetches the shared part of a prompt,
// and whether a store keeps it.
//
// It answers new weights, after which all parts have to be read again, and bursts,
// in which requests that share a part spread over many engines: one engine reads
// the part, and the others fetch it. A store is sent whole prompts, so that it
// would drop shared parts within seconds if all prompts went there: it gets each
// part once, with a prompt that has little else.
package fetch

import (
	"github.com/cespare/xxhash/v2"

	"cicadastand.dev/core/state/site"
)

// Engine is an engine as a source.
type Engine struct {
	FailureDomain string
	// CachedTokens is how many leading tokens of the shared part it is known to hold.
	CachedTokens int
	// Usable is set if it has the weights of the engine that fetches, and answers.
	Usable bool
}

// Request is what is known of a request and its engine.
type Request struct {
	// SharedTokens and UniqueTokens are the tokens of the prompt that others have in common with
	// it, and those that are its own.
	SharedTokens int
	UniqueTokens int
	// Target is the index of the engine that runs the request, Owner that of the
	// engine where all hosts look for a part that nobody is known to hold.
	Target int
	Owner  int
	// Engines are all that might hold the part.
	Engines []Engine
	// HasStore is set if a store is responsible for the part, Stored if it is known
	// to hold it.
	HasStore bool
	Stored   bool
	// HasNewestWeights is set if the target has the newest weights.
	HasNewestWeights bool
}

// Decision is where the shared part comes from and goes to.
type Decision struct {
	// Source is the index of the engine to fetch from; SourceStore for the store, and
	// SourceNone if nothing is fetched.
	Source int
	// Save is set if the store is to keep the part.
	Save bool
}

// The sources that are no engine.
const (
	SourceStore = -1
	SourceNone  = -2
)

// saveShare is how much of its own a prompt that the store keeps may have, as a
// part of what it shares: the store drops what was not used for the longest time,
// and must hold the shared parts of some seconds.
const saveShare = 0.5

// Decide returns the nearest engine that holds all of the part, then the store,
// whose link serves all engines, then the engine with the most of it. What the
// engine turns out to have is not transferred.
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
	switch {
	case r.Stored && (best < r.SharedTokens || target.CachedTokens >= r.SharedTokens):
		d.Source = SourceStore
	case best <= target.CachedTokens:
		d.Source = SourceNone
		if target.CachedTokens == 0 && r.Owner != r.Target && r.Engines[r.Owner].Usable {
			d.Source = r.Owner
		}
	}
	return d
}

// StoreFor returns the store that is responsible for the part with a key, by
// rendezvous hashing; nil if there is none.
func StoreFor(key string, stores []*site.CacheStore) *site.CacheStore {
	var best *site.CacheStore
	most := uint64(0)
	for _, s := range stores {
		if score := xxhash.Sum64String(key + "@" + s.Address.String()); best == nil || score > most {
			best, most = s, score
		}
	}
	return best
}
