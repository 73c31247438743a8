// Package call holds the metadata of requests, of their attempts at endpoints and of the
// responses, independent of the encoding of a protocol.
package call

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Ranks is the number of priority ranks. Rank 0 is the most urgent.
const Ranks = 10

// Part is a section of a prompt. Requests can have parts in common; the last part belongs
// to one request only.
type Part struct {
	ID     string
	Tokens int
}

// Request holds the metadata from the header of a client's request.
type Request struct {
	// ID is unique for each attempt of a client.
	ID string
	// Key is the API key; empty if the request has none.
	Key string
	// Timeout is how long the client waits; 0 if not given.
	Timeout time.Duration
	Model   string
	// PromptTokens is the length of the prompt and MaxTokens the limit of generated
	// tokens; 0 if not given.
	PromptTokens int
	MaxTokens    int
	// Parts are the parts of the prompt in order.
	Parts []Part
	// LastEvent is the number of the last event of a stream that the client has received;
	// 0 if none.
	LastEvent int
	// Resumes is the ID of the client's request that brought the first event of the stream
	// that this one resumes; empty if it resumes none.
	Resumes string
}

// Shared returns the parts that other requests can have in common with this one.
func (r *Request) Shared() []Part {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// Attempt holds the metadata that the router adds when it sends a request to an endpoint.
type Attempt struct {
	// Incarnation is the only incarnation of the endpoint that may run the request.
	Incarnation string
	// Account is the name of the client account; empty on public routes.
	Account string
	// Timeout is the remaining time that the client waits.
	Timeout time.Duration
	// CacheSalt separates cached prompt parts: requests with different salts share none.
	CacheSalt string
	// FetchFrom is the engine or KV cache store from which cached prompt parts are fetched;
	// the zero address if there is none.
	FetchFrom netip.AddrPort
	// SaveTo is the KV cache store to which the engine saves the prompt parts that it
	// prefills; the zero address if there is none.
	SaveTo netip.AddrPort
	// Weights is the only version of the weights that may run the request; 0 if any may.
	Weights int
	// Rank is the priority at the endpoint; 0 is the most urgent.
	Rank int
	// HasRank is false for endpoints that do not support ranks; Rank is not sent then.
	HasRank bool
	// LastEvent is the number of the event after which a stream is resumed; 0 to receive all.
	LastEvent int
}

// Forwarded is a client's request that one host passes on to another.
type Forwarded struct {
	// Host is the name of the host that received the request.
	Host   string
	Method string
	// URI is the path and the query as the client sent them.
	URI       string
	Authority string
	Header    http.Header
	Body      []byte
	// Timeout is how long the client still waits.
	Timeout time.Duration
	// Build is the software version that began the stream which is resumed, if HasBuild is
	// set.
	Build    string
	HasBuild bool
	// Attempts is the number of endpoints that may have run the request.
	Attempts int
}

// ForwardedResponse is the response of another host, whose body has not been read yet. Close
// must be called after use.
type ForwardedResponse struct {
	// Host is the name of the other host.
	Host   string
	Status int
	Header http.Header
	// Body ends with io.EOF if it is complete.
	Body io.ReadCloser
}

// ErrNotForwarded reports a request that no other host could serve. It has not run.
var ErrNotForwarded = errors.New("no other host reaches the endpoints")

// ErrBroken reports a response that another host broke off.
type ErrBroken struct {
	// Attempts is the number of endpoints that may have run the request for that host.
	Attempts int
}

// Error includes the number of attempts.
func (e *ErrBroken) Error() string {
	return fmt.Sprintf("response was broken off after %d attempts", e.Attempts)
}

// Response holds the metadata from the header of an endpoint's response.
type Response struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// Sealed is set if the response carries proof that it comes from an endpoint.
	Sealed bool
	// NotRun is set if the endpoint states that it did not run the request.
	NotRun bool
	// Weights is the version of the weights that produced the response; 0 if not given.
	Weights int
	// Notice is what the response says of the endpoint itself.
	Notice Notice
}

// Notice is what a response says of its endpoint rather than of the request.
type Notice struct {
	// RequestLimit is the number of requests per second that the endpoint takes from all
	// hosts together, for as long as its responses name it.
	RequestLimit    float64
	HasRequestLimit bool
	// Leaving is set if the endpoint is draining.
	Leaving bool
	// Wait is how long the endpoint wants no requests from this host; 0 if it does not say.
	Wait time.Duration
	// Brittle is set while the endpoint crashes if it rejects more than MaxRejections
	// requests of all hosts in a second.
	Brittle       bool
	MaxRejections float64
	// Faults holds an error for each invalid value. The other fields don't include it.
	Faults []error
}
