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
	// ownerBelief is the part of a shared prompt that the owner by rendezvous is
	// taken to hold while this host has not seen it: other hosts send there too.
	ownerBelief = 0.6
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
	// Held is how many leading tokens of the prompt it is known to hold.
	Held int
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

// Choose returns the index of the engine with the least expected time to the
// first token, and that time. There is at least one engine.
func Choose(p Prompt, engines []Engine) (int, time.Duration) {
	owner := -1
	if p.Key != "" {
		owner = Owner(p.Key, engines)
	}
	best, least := 0, time.Duration(0)
	for i, e := range engines {
		held := float64(e.Held)
		if i == owner {
			held = max(held, ownerBelief*float64(p.Shared))
		}
		cost := Expect(p, e, held)
		if i == 0 || cost < least {
			best, least = i, cost
		}
	}
	return best, least
}

// Expect returns the time to the first token at an engine that holds a number of
// the prompt's tokens.
func Expect(p Prompt, e Engine, held float64) time.Duration {
	read := float64(e.Work.Tokens) + max(0, float64(p.Tokens)-held)
	cost := time.Duration(read / e.Rate * float64(time.Second))
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
