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

// setCache lets the engine fetch what it lacks and keep what it reads. Engines
// check neither version nor account of a cached part: so the salt names both, and
// a request with a version in its salt runs on no other.
func (j *job) setCacheFields(send *call.Send, c choice) {
	if !c.valid {
		return
	}
	send.CacheSalt = j.cacheSalt() + "/v" + strconv.Itoa(c.weights)
	send.Weights, send.FetchFrom = c.weights, c.source
	if c.store != nil {
		send.SaveTo = c.store.Address
	}
}

const (
	// engineCacheLifetime is how long an engine is taken to hold a part: on a large site
	// under load, the prompts of two to three seconds fill an engine's cache.
	engineCacheLifetime = 2500 * time.Millisecond
	// storeCacheLifetime is how long a store is taken to hold a part. It may have restarted
	// since, and what is read again within ten seconds is priced.
	storeCacheLifetime = 10 * time.Second
)

// isStored reports whether a store is known to hold the shared part.
func (j *job) isStored(store *site.CacheStore, weights, shared int) bool {
	since := j.r.cfg.Clock.Boot() - storeCacheLifetime
	return store != nil && j.r.cfg.CacheIndex.CachedTokens(store.Address.String(), weights, j.cacheSalt(), j.params.Shared(), since) >= shared
}

// setSource decides from where the shared part is fetched and where it is kept.
func (j *job) setFetchSource(out *choice, p place.Prompt, c place.Choice, engines []place.Engine, list []*site.Endpoint, loaded []engineWeights) {
	if p.SharedTokens == 0 || p.TransferRate <= 0 {
		return
	}
	store := fetch.StoreFor(p.Key, j.view.Config.CacheStores)
	n := fetch.Request{
		SharedTokens:     p.SharedTokens,
		UniqueTokens:     p.Tokens - p.SharedTokens,
		Target:           c.Index,
		Owner:            c.Owner,
		HasStore:         store != nil,
		Stored:           j.isStored(store, out.weights, p.SharedTokens),
		HasNewestWeights: !engines[c.Index].OldWeights,
	}
	for i, e := range engines {
		n.Engines = append(n.Engines, fetch.Engine{
			FailureDomain: list[i].FailureDomain,
			CachedTokens:  e.CachedTokens,
			Usable:        loaded[i].valid && loaded[i].version == out.weights,
		})
	}
	d := fetch.Decide(n)
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

// placed notes that the endpoint will hold the shared part of the prompt. Other
// hosts are told if they would look for it elsewhere.
func (j *job) recordPlacement(c choice, weights int) {
	if !j.isModel() {
		return
	}
	p := j.newPlacement(c.endpoint.ID, weights, j.service.Engine.CacheTokens)
	j.r.cfg.CacheIndex.Add(p)
	if !c.isOwner {
		j.r.cfg.PlacementUpdates.Publish(p, func(string) bool { return true })
	}
}

// stored notes that a store holds the shared part of the prompt, and tells others.
func (j *job) recordStored(c choice) {
	if c.store == nil {
		return
	}
	p := j.newPlacement(c.store.Address.String(), c.weights, c.store.CacheTokens)
	j.r.cfg.CacheIndex.Add(p)
	j.r.cfg.PlacementUpdates.Publish(p, func(string) bool { return true })
}

// placement says that an endpoint or a store holds the shared part of the prompt.
func (j *job) newPlacement(holder string, weights, capacity int) kvmap.Placement {
	return kvmap.Placement{
		Endpoint:  holder,
		Weights:   weights,
		CacheSalt: j.cacheSalt(),
		Parts:     j.params.Shared(),
		Capacity:  capacity,
		LearntAt:  j.r.cfg.Clock.Boot(),
	}
}
