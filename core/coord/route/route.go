// Package route selects the endpoint for a request. Rendezvous hashing (highest random
// weight) maps each prompt prefix to an owner, so that requests with the same prefix go
// to an endpoint that probably has it cached. Prompts are divided into pieces, which
// package prefix explains.
package route

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadastand.dev/core/state/prefix"
)

// Candidate is an endpoint that can serve the request, with the state known to this host.
type Candidate struct {
	Name          string
	FailureDomain string
	Slots         int
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// Running is the number of requests at the endpoint, including those of this host.
	Running int
	// QueuedTokens is the number of prompt tokens in the queue of the endpoint.
	QueuedTokens int
	// ServiceTime is how long a request occupies a slot.
	ServiceTime time.Duration
	// CachedPieces is the expected number of leading pieces in the KV cache of the endpoint.
	CachedPieces float64
}

// Request is the input of a policy that describes the request.
type Request struct {
	// Chain holds the keys of the pieces of the prompt.
	Chain []prefix.Key
	// Tokens is the number of prompt tokens.
	Tokens int
	// PlacementIndex is the index in Chain of the piece that is used for rendezvous hashing.
	PlacementIndex int
	// OwnerHitRate is the estimated probability that the rendezvous owner has cached a
	// piece for which this host has no cache information.
	OwnerHitRate float64
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// OffloadedPieces is the expected number of leading pieces in the KV cache store.
	OffloadedPieces float64
	// ImportRate is the speed of imports from the KV cache store in tokens per second; 0
	// if there is no store.
	ImportRate float64
}

// Policy selects one of the candidates. Choose returns its index and requires at least
// one candidate.
type Policy interface {
	Choose(req Request, candidates []Candidate) int
}

// Score returns the rendezvous hashing weight of an endpoint for a key. All hosts compute
// the same value without communication.
func Score(key prefix.Key, endpoint string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never return an error.
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(endpoint)
	return d.Sum64()
}

// Owner returns the index of the rendezvous owner of a key, which is the candidate with
// the highest score for it.
func Owner(key prefix.Key, candidates []Candidate) int {
	bestScore, bestIndex := uint64(0), 0
	for i, c := range candidates {
		if s := Score(key, c.Name); i == 0 || s > bestScore {
			bestScore, bestIndex = s, i
		}
	}
	return bestIndex
}

// NameKey returns the key of a name, for rendezvous hashing over hosts.
func NameKey(name string) prefix.Key {
	var k prefix.Key
	binary.BigEndian.PutUint64(k[:], xxhash.Sum64String(name))
	return k
}
