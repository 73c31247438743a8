package relay

import (
	"strconv"
	"time"

	"cicadastand.dev/core/coord/fetch"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/kvmap"
	"cicadastand.dev/core/state/site"
)

// setCacheFields tells the engine from where to fetch cached prompt parts and where
// to save them. Engines check neither the weights version nor the client account of
// a cached part, so the cache salt contains both, and a request with a version in
// its salt may run on that version only.
func (j *job) setCacheFields(attempt *call.Attempt, c choice) {
	if !c.valid {
		return
	}
	attempt.CacheSalt = j.cacheSalt() + "/v" + strconv.Itoa(c.weights)
	attempt.Weights, attempt.FetchFrom = c.weights, c.source
	if c.store != nil {
		attempt.SaveTo = c.store.Address
	}
}

const (
	// engineCacheLifetime is how long a prompt part is assumed to stay in an engine's
	// cache. On a large site under load, the prompts that arrive within two to three
	// seconds fill the cache.
	engineCacheLifetime = 2500 * time.Millisecond
	// enginePastLifetime is how long an engine is still tried as the source of a prompt part.
	// A fetch that misses costs about a millisecond, far less than the prefill.
	enginePastLifetime = 10 * time.Second
	// storeCacheLifetime is how long a prompt part is assumed to stay in a store. A longer
	// time is not safe, since the store may have restarted. A shorter one would cause
	// repeated prefill, which counts as a cost if it is within ten seconds of the first.
	storeCacheLifetime = 10 * time.Second
)

// isStored reports whether a store is known to have the shared prefix cached.
func (j *job) isStored(store *site.CacheStore, weights, shared int) bool {
	since := j.r.cfg.Clock.Boot() - storeCacheLifetime
	return store != nil && j.r.cfg.CacheIndex.CachedTokens(store.Address.String(), weights, j.cacheSalt(), j.params.Shared(), since) >= shared
}

// setFetchSource decides from where the shared prefix is fetched and whether it is
// saved to a store.
func (j *job) setFetchSource(out *choice, p place.Prompt, c place.Choice, engines []place.Engine, list []*site.Endpoint, loaded []engineWeights) {
	if p.SharedTokens == 0 || p.TransferRate <= 0 {
		return
	}
	store := fetch.StoreFor(p.Key, j.view.Config.CacheStores)
	req := fetch.Request{
		SharedTokens:     p.SharedTokens,
		UniqueTokens:     p.Tokens - p.SharedTokens,
		Target:           c.Index,
		Owner:            c.Owner,
		HasStore:         store != nil,
		Stored:           j.isStored(store, out.weights, p.SharedTokens),
		HasNewestWeights: !engines[c.Index].OldWeights,
	}
	since := j.r.cfg.Clock.Boot() - enginePastLifetime
	for i, e := range engines {
		past, at := j.r.cfg.CacheIndex.CachedSince(e.ID, loaded[i].version, j.cacheSalt(), j.params.Shared(), since)
		req.Engines = append(req.Engines, fetch.Engine{
			FailureDomain: list[i].FailureDomain,
			CachedTokens:  e.CachedTokens,
			PastTokens:    past,
			LearntAt:      at,
			Usable:        loaded[i].valid && loaded[i].version == out.weights,
		})
	}
	d := fetch.Decide(req)
	switch {
	case d.Source == fetch.SourceStore:
		out.source, out.sourceName = store.Address, "store"
	case d.Source >= 0:
		out.source, out.sourceName = list[d.Source].Address, list[d.Source].ID
	}
	if d.Save {
		out.store = store
	}
}

// recordPlacement records that the endpoint will have the shared prefix cached. If
// other hosts would expect it at another endpoint, they are notified.
func (j *job) recordPlacement(c choice, weights int) {
	if !j.isModel() {
		return
	}
	p := j.newPlacement(c.endpoint.ID, weights, j.service.Engine.CacheTokens)
	known := j.r.cfg.CacheIndex.Add(p)
	if !c.isOwner || !known {
		j.r.cfg.PlacementUpdates.Publish(p, func(string) bool { return true })
	}
}

// recordStored records that a store has the shared prefix cached, and notifies the
// other hosts.
func (j *job) recordStored(c choice) {
	if c.store == nil {
		return
	}
	p := j.newPlacement(c.store.Address.String(), c.weights, c.store.CacheTokens)
	j.r.cfg.CacheIndex.Add(p)
	j.r.cfg.PlacementUpdates.Publish(p, func(string) bool { return true })
}

// newPlacement returns a record that an endpoint or a store has the shared prefix
// cached.
func (j *job) newPlacement(location string, weights, capacity int) kvmap.Placement {
	return kvmap.Placement{
		Endpoint:  location,
		Weights:   weights,
		CacheSalt: j.cacheSalt(),
		Parts:     j.params.Shared(),
		Capacity:  capacity,
		LearntAt:  j.r.cfg.Clock.Boot(),
	}
}
