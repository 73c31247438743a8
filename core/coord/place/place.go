// Package place chooses the endpoint for a request from what each has to do.
//
// It answers two loads. With room everywhere, requests that share a prompt part
// come together where the part is cached. In a burst, or when one part draws
// much of the traffic, they spread as soon as waiting costs more than reading
// the part again elsewhere.
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
	// recomputeWeight is how much more a shared part counts than the time it takes to
	// read it again: other prompts at the engine wait for it as well, and the part
	// takes memory in a second place.
	recomputeWeight = 3
	// oldWeightsCost keeps requests away from engines whose weights were replaced.
	oldWeightsCost = 25 * time.Millisecond
	// busyWait is the wait at which more engines are looked at.
	busyWait = 100 * time.Millisecond
	// runningRequestCost is how much a running request slows the reading of prompts.
	runningRequestCost = 200 * time.Microsecond
	// excessRequestCost is the wait for one slot when all are taken.
	excessRequestCost = 40 * time.Millisecond
	// fetchFactor allows for the way between failure domains, which takes twice as
	// long, and for other transfers on the same links.
	fetchFactor = 3
	// remoteCost is the way to another failure domain and back, and the price of
	// the bytes.
	remoteCost = 3 * time.Millisecond
)

// Engine is an endpoint as a candidate.
type Engine struct {
	ID    string
	Slots int
	// PrefillRate is how many prompt tokens it reads in a second.
	PrefillRate float64
	Work        load.Work
	// CachedTokens is how many leading tokens of the shared part it is known to hold.
	CachedTokens int
	// CanFetch is set if the engine can fetch the shared part from where it is kept.
	CanFetch bool
	// OldWeights is set if newer weights were named than the engine has.
	OldWeights bool
	// Remote is set outside the host's own failure domain.
	Remote bool
}

// Prompt is what is known of a request.
type Prompt struct {
	// Tokens is its length, SharedTokens the part that other requests have in common.
	Tokens       int
	SharedTokens int
	// FetchableTokens is how much of the shared part is known to be where engines can fetch
	// it from, and TransferRate how many tokens arrive in a second.
	FetchableTokens int
	TransferRate    float64
	// Rank is its urgency: what is less urgent waits behind it.
	Rank int
	// Key names the deepest shared part; empty if there is none.
	Key string
}

// Choice is the result of a placement.
type Choice struct {
	// Index is that of the engine.
	Index int
	// ReusableTokens is how much of the shared part the engine need not read.
	ReusableTokens int
	// TokensAhead is how many tokens are read before the prompt.
	TokensAhead int
	// FirstToken is the expected time to the first token, and Wait the part of it
	// until the engine begins with the prompt.
	FirstToken time.Duration
	Wait       time.Duration
	// Owner is the index of the engine that all hosts choose for the shared part
	// while nobody holds it.
	Owner int
	// IsOwner is set if the engine is the owner.
	IsOwner bool
}

// Choose returns the engine with the least cost. There is at least one engine.
//
// Only some engines are looked at: those that hold the shared part, and the
// first by rendezvous hashing, look at a time while all of those are busy. Hosts
// know of each other's sends some hundred milliseconds late; if many hosts looked
// at all engines, each would send to the one that seems idle.
func Choose(p Prompt, engines []Engine, sampleSize int) Choice {
	ranked := rendezvousOrder(p.Key, engines)
	owner := ranked[0]
	maxCached := maxCachedTokens(engines)
	best, least, examined := owner, time.Duration(math.MaxInt64), 0
	for position, i := range ranked {
		e := engines[i]
		if examined >= sampleSize && position%sampleSize == 0 && p.wait(engines[best]) < busyWait {
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
	return Choice{Index: best, ReusableTokens: p.reusableTokens(engines[best]), TokensAhead: engines[best].Work.TokensAhead(p.Rank), FirstToken: FirstToken(p, engines[best]), Wait: p.wait(engines[best]), Owner: owner, IsOwner: best == owner}
}

// cost is the time to the first token, and what a second reading of the shared
// part costs others. The owner counts as the holder while nobody is known to be.
func (p Prompt) cost(e Engine, assumeCached bool) time.Duration {
	recomputed := p.SharedTokens - p.reusableTokens(e)
	if assumeCached {
		recomputed = 0
	}
	cost := FirstToken(p, e) + prefillTime(float64((recomputeWeight-1)*recomputed), e)
	if e.OldWeights {
		cost += oldWeightsCost
	}
	return cost
}

// wait is the time until the engine begins with the prompt.
func (p Prompt) wait(e Engine) time.Duration { return Wait(e, p.Rank) }

// reusableTokens returns how many leading tokens of the shared part the engine need not read.
func (p Prompt) reusableTokens(e Engine) int {
	if e.CanFetch && p.TransferRate > 0 {
		return max(e.CachedTokens, p.FetchableTokens)
	}
	return e.CachedTokens
}

func prefillTime(tokens float64, e Engine) time.Duration {
	return time.Duration(tokens / e.PrefillRate * float64(time.Second))
}

// FirstToken returns the time that an engine takes to the first token.
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

// Wait returns the time until an engine begins with a new request of a rank.
func Wait(e Engine, rank int) time.Duration {
	cost := prefillTime(float64(e.Work.TokensAhead(rank)), e)
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

// rendezvousOrder returns the indices of the engines in the order that rendezvous hashing
// gives them for a key. All hosts agree on it without exchanging anything.
func rendezvousOrder(key string, engines []Engine) []int {
	scores := make([]uint64, len(engines))
	order := make([]int, len(engines))
	for i, e := range engines {
		var d xxhash.Digest
		d.Reset()
		// Writes to a digest can't fail.
		_, _ = d.WriteString(key)
		_, _ = d.WriteString(e.ID)
		scores[i], order[i] = d.Sum64(), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return order
}

// LeastLoaded returns the index of the engine with the fewest requests for its
// slots, among look of them from turn on.
func LeastLoaded(engines []Engine, offset, sampleSize int) int {
	best, least := 0, 0.0
	for i := range min(sampleSize, len(engines)) {
		j := (i + offset) % len(engines)
		e := engines[j]
		// Half a slot is what the way to another failure domain may cost.
		fill := (float64(e.Work.Requests()) + remoteSlots(e)) / float64(e.Slots)
		if i == 0 || fill < least {
			best, least = j, fill
		}
	}
	return best
}

func remoteSlots(e Engine) float64 {
	const half = 0.5
	if e.Remote {
		return half
	}
	return 0
}
