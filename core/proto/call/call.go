// Package call holds what a request, its sends and their answers say, apart from
// how a protocol spells it.
package call

import (
	"net/netip"
	"time"
)

// Ranks is the number of ranks of urgency, 0 first.
const Ranks = 10

// Part is a piece of a prompt. Requests share parts; the last one is the
// request's own.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a client's header says.
type Request struct {
	// ID is unique to one attempt of a client.
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// Timeout is how long the client waits; 0 if it did not say.
	Timeout time.Duration
	Model   string
	// PromptTokens and MaxTokens bound the work of a generation.
	PromptTokens int
	MaxTokens    int
	// Parts is the prompt in order.
	Parts []Part
	// LastEvent is the number of the last event that the client has of a stream; 0 if none.
	LastEvent int
}

// Shared returns the parts that other requests may have in common with this one.
func (r *Request) Shared() []Part {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// Send is what the router adds when it sends a request to an endpoint.
type Send struct {
	// Incarnation is the only one that may run the request.
	Incarnation string
	// Account is the client account's name; empty on public routes.
	Account string
	// Timeout is the rest of the time that the client waits.
	Timeout time.Duration
	// CacheSalt separates cached prompt parts; requests with another wall share none.
	CacheSalt string
	// FetchFrom is an engine or a store from which cached prompt parts are fetched; the zero
	// address for none.
	FetchFrom netip.AddrPort
	// SaveTo is the store to which the engine sends the parts that it reads; the
	// zero address for none.
	SaveTo netip.AddrPort
	// Weights is the only version of the weights that may run the request; 0 for any.
	Weights int
	// Rank is the urgency at the endpoint, 0 first.
	Rank int
	// HasRank is false for endpoints that know no ranks.
	HasRank bool
	// LastEvent is the number of the event after which a stream continues; 0 for all.
	LastEvent int
}

// Response is what an endpoint's header says.
type Response struct {
	// ID is that of the request which is answered.
	ID string
	// Sealed answers are proved to come from an endpoint.
	Sealed bool
	// NotRun states that the endpoint did not run the request.
	NotRun bool
	// Weights is the version of the weights that answer; 0 if it was not told.
	Weights int
}
