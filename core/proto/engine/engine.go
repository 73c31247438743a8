// Package engine defines the protocol between the router and a model engine: the OpenAI
// API with additional headers for the request ID, the cache scope and the incarnation of
// the engine.
package engine

// The headers of requests to an engine and of its responses.
const (
	// HeaderRequestID is echoed in the response.
	HeaderRequestID = "Cicada-Request-Id"
	// HeaderAttempt numbers the attempts of a request; it is echoed in the response.
	HeaderAttempt = "Cicada-Attempt"
	// HeaderAccount separates the caches of client accounts.
	HeaderAccount = "Cicada-Account"
	// HeaderIncarnation is the engine's incarnation: the expected one in a request, the
	// actual one in a response.
	HeaderIncarnation = "Cicada-Incarnation"
	// HeaderWeights is the weights version: the expected one in a request, the actual one
	// in a response.
	HeaderWeights = "Cicada-Weights-Version"
	// HeaderAdapter is the name of the adapter on top of the weights.
	HeaderAdapter = "Cicada-Adapter"
	// HeaderPriority is the priority rank; engines serve urgent requests first.
	HeaderPriority = "Cicada-Priority"
	// HeaderResumeFrom is the number of events that the caller has already received.
	HeaderResumeFrom = "Cicada-Resume-From"
	// HeaderCachedTokens is the number of prompt tokens that were found in the KV cache.
	HeaderCachedTokens = "Cicada-Cached-Tokens"
	// HeaderImport is the number of leading pieces that the engine may import from the KV
	// cache store instead of computing them.
	HeaderImport = "Cicada-Import-Pieces"
	// HeaderExport is the number of leading pieces that the engine should export to the KV
	// cache store.
	HeaderExport = "Cicada-Export-Pieces"
	// HeaderImportedTokens is the number of prompt tokens that were imported from the KV
	// cache store.
	HeaderImportedTokens = "Cicada-Imported-Tokens"
	// HeaderFence is the fencing token of an order or of a non-idempotent call.
	HeaderFence = "Cicada-Fence"
)

// Load is the status report of an engine. It is delivered with a delay.
type Load struct {
	Incarnation    string            `json:"incarnation"`
	Weights        map[string]string `json:"weights"`
	Adapters       map[string]string `json:"adapters"`
	Role           string            `json:"role"`
	FencingToken   uint64            `json:"fence"`
	Running        int               `json:"running"`
	Queued         int               `json:"queued"`
	QueuedTokens   int               `json:"queued-tokens"`
	Leaving        bool              `json:"leaving"`
	Loading        bool              `json:"loading"`
	LastEvent      uint64            `json:"last-event"`
	ReportSequence uint64            `json:"report-sequence"`
}

// EventKind is the kind of change to a cached piece.
type EventKind string

// The kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// CacheEvent reports a change of one cached piece. Events can be delayed or lost.
type CacheEvent struct {
	Sequence    uint64    `json:"sequence"`
	Kind        EventKind `json:"kind"`
	Key         string    `json:"key"`
	Incarnation string    `json:"incarnation"`
}

// EventsBody is the response body of a request for cache events.
type EventsBody struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Order tells an engine to load a model version, or an adapter on top of it.
type Order struct {
	FencingToken   uint64 `json:"fence"`
	Model          string `json:"model"`
	WeightsVersion string `json:"weights-version"`
	Adapter        string `json:"adapter,omitempty"`
	Role           string `json:"role,omitempty"`
}
