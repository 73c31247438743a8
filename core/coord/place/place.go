// Package place selects the endpoint for a request by estimated cost, from the
// load and the cached prompt prefixes of each endpoint.
//
// It has to serve two load patterns. While there is spare capacity, requests with
// a common prompt prefix go to the endpoint that has the prefix cached. In a
// burst, or when one prefix draws much of the traffic, they spread as soon as
// queueing costs more than computing the prefix again on another endpoint.
package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadastand.dev/core/coord/load"
)

const (
	// recomputeWeight multiplies the cost of computing a shared prefix again: other
	// prompts at the engine are delayed by it too, and the prefix then takes cache
	// memory on a second engine.
	recomputeWeight = 3
	// oldWeightsCost is the penalty for engines that still serve replaced weights.
	oldWeightsCost = 25 * time.Millisecond
	// busyWait is the queueing delay from which an engine counts as busy, so that
	// further engines are considered.
	busyWait = 100 * time.Millisecond
	// runningRequestCost is the prefill delay caused by each running request.
	runningRequestCost = 200 * time.Microsecond
	// stallShare is the weight of the time for which a prompt stalls streams that are
	// already running, or for which a stream will be stalled by prompts that are queued
	// behind it. stallTolerance is the stall that streams can bear.
	stallShare     = 0.25
	stallTolerance = 100 * time.Millisecond
	// excessRequestCost is the delay per request beyond the engine's slots.
	excessRequestCost = 40 * time.Millisecond
	// crowdedRequestCost is the penalty for each request beyond the number that the engine
	// handles well. It is no delay: the learned speed covers how long requests take then.
	crowdedRequestCost = 10 * time.Millisecond
	// fetchFactor scales the estimated time of a cache fetch. It allows for fetches
	// across failure domains, which take twice as long, and for other transfers on
	// the same links.
	fetchFactor = 3
	// remoteCost is the round trip to another failure domain, plus an allowance for
	// the cost of that traffic.
	remoteCost = 3 * time.Millisecond
)

// Engine describes an endpoint that may take the request.
type Engine struct {
	ID    string
	Slots int
	// PrefillRate is the prefill throughput in prompt tokens per second.
	PrefillRate float64
	Work        load.Work
	// Capacity is the size of the KV cache in tokens; 0 if it is not known.
	Capacity int
	// Speed is the learned speed relative to the other engines of the service; 0 counts as 1.
	// It is used by LeastLoaded; PrefillRate includes it.
	Speed float64
	// Comfortable is the learned number of requests up to which the engine keeps its response
	// times; 0 if it is not below Slots.
	Comfortable int
	// CachedTokens is the number of leading tokens of the shared prefix that the
	// engine is known to have cached.
	CachedTokens int
	// CanFetch is set if the engine can fetch the shared prefix from another cache.
	CanFetch bool
	// OldWeights is set if the engine has not loaded the newest published weights.
	OldWeights bool
	// Remote is set if the engine is in another failure domain than this host.
	Remote bool
}

// Prompt describes the prompt of a request.
type Prompt struct {
	// Tokens is the length of the prompt, SharedTokens that of the prefix which other
	// requests have in common.
	Tokens       int
	SharedTokens int
	// OutputTokens is the limit of generated tokens.
	OutputTokens int
	// Holds is set if the request is sent only to an engine that does not lack memory for it.
	Holds bool
	// FetchableTokens is how much of the shared prefix engines can fetch from another
	// cache, and TransferRate the throughput of a fetch in tokens per second.
	FetchableTokens int
	TransferRate    float64
	// Rank is the priority class; requests of higher ranks are queued behind it.
	Rank int
	// Key identifies the longest shared prefix; empty if there is none.
	Key string

	// meanMemory is assumed for requests at engines whose size is not known.
	meanMemory int
}

// Choice is the result of a placement.
type Choice struct {
	// Index is the index of the chosen engine.
	Index int
	// ReusableTokens is how much of the shared prefix the engine need not compute.
	ReusableTokens int
	// TokensAhead is the number of queued prompt tokens ahead of this prompt.
	TokensAhead int
	// FirstToken is the expected time to the first token, and Wait the part of it
	// that the prompt spends in the queue.
	FirstToken time.Duration
	Wait       time.Duration
	// Memory is the number of KV cache tokens that the request holds when it is complete,
	// and Lacking how many of them the engine lacks.
	Memory  int
	Lacking int
	// Owner is the index of the engine that all hosts prefer for the shared prefix
	// while no engine has it cached.
	Owner int
	// IsOwner is set if the chosen engine is the owner.
	IsOwner bool
}

// Choose returns the engine with the least cost. engines must not be empty.
//
// It considers only the engines that have the most tokens of the shared prefix
// cached and the first sampleSize by rendezvous hashing, then sampleSize more at a
// time while the best engine is busy or lacks memory. Hosts learn of each other's requests a few
// hundred milliseconds late, so if many hosts considered all engines, each would
// send to the same idle one.
func Choose(p Prompt, engines []Engine, sampleSize int) Choice {
	ranked := rendezvousOrder(p.Key, engines)
	owner := ranked[0]
	maxCached := maxCachedTokens(engines)
	p.meanMemory = meanMemory(len(engines), func(i int) *load.Work { return &engines[i].Work }, p.memory(engines[owner]))
	best, least, examined := owner, time.Duration(math.MaxInt64), 0
	for position, i := range ranked {
		e := engines[i]
		if examined >= sampleSize && position%sampleSize == 0 && p.wait(engines[best]) < busyWait && p.lacking(engines[best]) == 0 {
			break
		}
		examined++
		if cost := p.cost(e, i == owner && maxCached < p.SharedTokens); cost < least {
			best, least = i, cost
		}
	}
	for i, e := range engines {
		if e.CachedTokens == 0 || e.CachedTokens < maxCached {
			continue
		}
		if cost := p.cost(e, false); cost < least {
			best, least = i, cost
		}
	}
	return Choice{Index: best, ReusableTokens: p.reusableTokens(engines[best]), TokensAhead: engines[best].Work.TokensAhead(p.Rank), FirstToken: FirstToken(p, engines[best]), Wait: p.wait(engines[best]), Memory: p.memory(engines[best]), Lacking: p.lacking(engines[best]), Owner: owner, IsOwner: best == owner}
}

// cost returns the time to the first token, plus a penalty for computing the
// shared prefix again. With assumeCached there is no such penalty; Choose sets it for
// the owner while no engine is known to have the whole prefix cached.
func (p Prompt) cost(e Engine, assumeCached bool) time.Duration {
	recomputed := p.SharedTokens - p.reusableTokens(e)
	if assumeCached {
		recomputed = 0
	}
	cost := FirstToken(p, e) + prefillTime(float64((recomputeWeight-1)*recomputed), e)
	if e.OldWeights {
		cost += oldWeightsCost
	}
	return cost + stall(e, p.Rank, max(0, p.Tokens-p.reusableTokens(e))) + crowding(e) + e.memoryCost(p.memory(e), p.meanMemory)
}

// crowding returns the penalty for placing a request at an engine that has more requests than
// it handles well.
func crowding(e Engine) time.Duration {
	if e.Comfortable == 0 {
		return 0
	}
	return time.Duration(max(0, e.Work.Requests()+1-e.Comfortable)) * crowdedRequestCost
}

// memory returns how many KV cache tokens the request adds at an engine. Cached parts of its
// prompt are there already.
func (p Prompt) memory(e Engine) int {
	return max(1, p.Tokens-e.CachedTokens) + p.OutputTokens
}

func (p Prompt) lacking(e Engine) int { return e.lacking(p.memory(e), p.meanMemory) }

// stall returns the cost of the pauses in streams that follow from placing a prompt of a
// rank at an engine. While an engine computes a prompt, its running streams make little
// progress. So prompts that take long to compute go to engines that run few streams, and
// streams go to engines that have few such prompts to compute.
func stall(e Engine, rank, tokens int) time.Duration {
	queued := e.Work.TokensAhead(load.LastRank)
	excess := func(tokens int) time.Duration { return max(0, prefillTime(float64(tokens), e)-stallTolerance) }
	caused := time.Duration(e.Work.Running) * (excess(queued+tokens) - excess(queued))
	suffered := prefillTime(float64(queued-e.Work.TokensAhead(rank)), e)
	return time.Duration(stallShare * float64(caused+suffered))
}

// wait returns the queueing delay of the prompt at an engine.
func (p Prompt) wait(e Engine) time.Duration { return Wait(e, p.Rank) }

// reusableTokens returns how many leading tokens of the shared prefix the engine
// need not compute, because it has them cached or can fetch them.
func (p Prompt) reusableTokens(e Engine) int {
	if e.CanFetch && p.TransferRate > 0 {
		return max(e.CachedTokens, p.FetchableTokens)
	}
	return e.CachedTokens
}

func prefillTime(tokens float64, e Engine) time.Duration {
	return time.Duration(tokens / e.PrefillRate * float64(time.Second))
}

// FirstToken estimates the time to the first token of a prompt at an engine.
func FirstToken(p Prompt, e Engine) time.Duration {
	reusable := p.reusableTokens(e)
	cost := prefillTime(float64(max(0, p.Tokens-reusable)), e) + Wait(e, p.Rank)
	if reusable > e.CachedTokens {
		cost += time.Duration(fetchFactor * float64(reusable-e.CachedTokens) / p.TransferRate * float64(time.Second))
	}
	if e.Remote {
		cost += remoteCost
	}
	return cost
}

// Wait estimates the queueing delay of a new request of a rank at an engine.
func Wait(e Engine, rank int) time.Duration {
	cost := prefillTime(float64(e.Work.TokensAhead(rank)+e.Work.TokensStarted(rank)), e)
	cost += time.Duration(e.Work.Running) * runningRequestCost
	if over := e.Work.Running + e.Work.RequestsAhead(rank) + 1 - e.Slots; over > 0 {
		cost += time.Duration(over) * excessRequestCost
	}
	return cost
}

func maxCachedTokens(engines []Engine) int {
	most := 0
	for _, e := range engines {
		most = max(most, e.CachedTokens)
	}
	return most
}

// rendezvousOrder returns the indices of the engines, ordered by rendezvous
// hashing of the key. All hosts get the same order without communication.
func rendezvousOrder(key string, engines []Engine) []int {
	scores := make([]uint64, len(engines))
	order := make([]int, len(engines))
	for i, e := range engines {
		var d xxhash.Digest
		d.Reset()
		// Writes to a digest never fail.
		_, _ = d.WriteString(key)
		_, _ = d.WriteString(e.ID)
		scores[i], order[i] = d.Sum64(), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return order
}

// LeastLoaded returns the index of the engine with the least expected time, among sampleSize
// engines starting at offset. While no engine is known to differ from the others, that is the
// one with the fewest requests per slot.
func LeastLoaded(engines []Engine, offset, sampleSize int) int {
	best, least := 0, 0.0
	// An idle slow engine takes longer than an idle fast one, so the new request counts too.
	own := 0.0
	if slices.ContainsFunc(engines, Engine.differs) {
		own = 1
	}
	for i := range min(sampleSize, len(engines)) {
		j := (i + offset) % len(engines)
		e := engines[j]
		fill := (float64(e.Work.Requests()) + own + remoteSlots(e)) / e.capacity()
		if i == 0 || fill < least {
			best, least = j, fill
		}
	}
	return best
}

// differs reports whether the engine is known to differ from the others of its service.
func (e Engine) differs() bool { return e.Comfortable > 0 || e.Speed > 0 && e.Speed != 1 }

// capacity returns the number of requests that the engine handles well, scaled by its speed.
func (e Engine) capacity() float64 {
	slots := float64(e.Slots)
	if e.Comfortable > 0 {
		slots = min(slots, float64(e.Comfortable))
	}
	if e.Speed > 0 {
		slots *= e.Speed
	}
	return slots
}

// remoteSlots returns the penalty for an engine in another failure domain: the
// round trip counts as much as half an occupied slot.
func remoteSlots(e Engine) float64 {
	const half = 0.5
	if e.Remote {
		return half
	}
	return 0
}
