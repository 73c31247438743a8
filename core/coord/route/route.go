// Package route chooses the endpoint for a request.
package route

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadastand.dev/core/state/prefix"
)

// Candidate is an endpoint that may take the request, as this host sees it.
type Candidate struct {
	Name          string
	FailureDomain string
	Slots         int
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// Running is the number of requests at the endpoint, this host's own included.
	Running int
	// QueuedTokens is the number of prompt tokens that wait there.
	QueuedTokens int
	// ServiceTime is how long a request holds a slot.
	ServiceTime time.Duration
	// CachedPieces is the number of leading pieces that the endpoint is expected to hold.
	CachedPieces float64
}

// Request is what a policy knows of a request.
type Request struct {
	// Chain names the pieces of the prompt.
	Chain []prefix.Key
	// Tokens is the length of the prompt.
	Tokens int
	// PlacementIndex is the index in Chain of the piece by which the request is placed.
	PlacementIndex int
	// OwnerHitRate is the belief that the owner holds a piece of which nothing is known.
	OwnerHitRate float64
	// FailureDomain is the host's own.
	FailureDomain string
	// OffloadedPieces is the number of leading pieces expected in the store of kept KV cache.
	OffloadedPieces float64
	// ImportRate is the speed of imports in tokens a second; 0 if there is no store.
	ImportRate float64
}

// Policy chooses among candidates. It returns the index of the chosen one; there
// is at least one candidate.
type Policy interface {
	Choose(req Request, candidates []Candidate) int
}

// Score returns the rendezvous weight of an endpoint for a key. All hosts agree
// on it without exchanging anything.
func Score(key prefix.Key, endpoint string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest can't fail.
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(endpoint)
	return d.Sum64()
}

// Owner returns the index of the candidate with the highest score for a key.
func Owner(key prefix.Key, candidates []Candidate) int {
	best, at := uint64(0), 0
	for i, c := range candidates {
		if s := Score(key, c.Name); i == 0 || s > best {
			best, at = s, i
		}
	}
	return at
}

// NameKey returns a key made from a name, for rendezvous among hosts.
func NameKey(name string) prefix.Key {
	var k prefix.Key
	binary.BigEndian.PutUint64(k[:], xxhash.Sum64String(name))
	return k
}
