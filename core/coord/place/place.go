// Package place chooses the endpoint for a request from what each has to do.
//
// It answers two loads. With room everywhere, requests that share a prompt part
// come together where the part is cached. In a burst, or when one part draws
// much of the traffic, they spread as soon as waiting costs more than reading
// the part again elsewhere.
package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadastand.dev/core/coord/load"
)

const (
	// readWeight is how much more a shared part counts than the time it takes to
	// read it again: other prompts at the engine wait for it as well, and the part
	// takes memory in a second place.
	readWeight = 3
	// oldWeightsCost keeps requests away from engines whose weights were replaced.
	oldWeightsCost = 60 * time.Millisecond
	// runningCost is how much a running request slows the reading of prompts.
	runningCost = 200 * time.Microsecond
	// overfullCost is the wait for one slot when all are taken.
	overfullCost = 40 * time.Millisecond
	// remoteCost is the way to another failure domain and back, and the price of
	// the bytes.
	remoteCost = 3 * time.Millisecond
)

// Engine is an endpoint as a candidate.
type Engine struct {
	ID    string
	Slots int
	// Rate is how many prompt tokens it reads in a second.
	Rate float64
	Work load.Work
	// Held is how many leading tokens of the shared part it is known to hold.
	Held int
	// Old is set if newer weights were named than the engine has.
	Old bool
	// Remote is set outside the host's own failure domain.
	Remote bool
}

// Prompt is what is known of a request.
type Prompt struct {
	// Tokens is its length, Shared the part that other requests have in common.
	Tokens int
	Shared int
	// Key names the deepest shared part; empty if there is none.
	Key string
}

// Choice is the result of a placement.
type Choice struct {
	// Index is that of the engine.
	Index int
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// Home is set if the engine is the one that all hosts choose for the shared
	// part while nobody holds it.
	Home bool
}

// Choose returns the engine with the least cost. There is at least one engine.
// While no engine is known to hold the shared part, its owner by rendezvous
// counts as the holder, so that all hosts read it at one place.
func Choose(p Prompt, engines []Engine) Choice {
	owner := -1
	if p.Key != "" {
		owner = Owner(p.Key, engines)
	}
	held := 0
	for _, e := range engines {
		held = max(held, e.Held)
	}
	best, least := 0, time.Duration(0)
	for i, e := range engines {
		missed := p.Shared - e.Held
		if i == owner && held < p.Shared {
			missed = 0
		}
		cost := FirstToken(p, e) + readTime(float64((readWeight-1)*missed), e)
		if e.Old {
			cost += oldWeightsCost
		}
		if i == 0 || cost < least {
			best, least = i, cost
		}
	}
	return Choice{Index: best, FirstToken: FirstToken(p, engines[best]), Home: best == owner}
}

func readTime(tokens float64, e Engine) time.Duration {
	return time.Duration(tokens / e.Rate * float64(time.Second))
}

// FirstToken returns the time that an engine takes to the first token.
func FirstToken(p Prompt, e Engine) time.Duration {
	cost := readTime(float64(e.Work.Tokens+max(0, p.Tokens-e.Held)), e)
	cost += time.Duration(e.Work.Running) * runningCost
	if over := e.Work.Requests() + 1 - e.Slots; over > 0 {
		cost += time.Duration(over) * overfullCost
	}
	if e.Remote {
		cost += remoteCost
	}
	return cost
}

// Owner returns the index of the engine that rendezvous hashing gives a key. All
// hosts agree on it without exchanging anything.
func Owner(key string, engines []Engine) int {
	best, at := uint64(0), 0
	for i, e := range engines {
		var d xxhash.Digest
		d.Reset()
		// Writes to a digest can't fail.
		_, _ = d.WriteString(key)
		_, _ = d.WriteString(e.ID)
		if s := d.Sum64(); i == 0 || s > best {
			best, at = s, i
		}
	}
	return at
}

// LeastLoaded returns the index of the engine with the fewest requests for its
// slots. Equal ones are taken from turn on, nearest first.
func LeastLoaded(engines []Engine, turn int) int {
	best, least := 0, 0.0
	for i := range engines {
		j := (i + turn) % len(engines)
		e := engines[j]
		// Half a slot is what the way to another failure domain may cost.
		fill := (float64(e.Work.Requests()) + remotePart(e)) / float64(e.Slots)
		if i == 0 || fill < least {
			best, least = j, fill
		}
	}
	return best
}

func remotePart(e Engine) float64 {
	const half = 0.5
	if e.Remote {
		return half
	}
	return 0
}
