// Package engine holds the protocol between the system and a model engine: the
// OpenAI protocol with headers that name the request, its cache scope and the
// engine's incarnation.
package engine

// The headers of a request to an engine and of its answer.
const (
	// HeaderRequestID is echoed in the answer.
	HeaderRequestID = "Cicada-Request-Id"
	// HeaderAttempt counts the sends of one request; it is echoed in the answer.
	HeaderAttempt = "Cicada-Attempt"
	// HeaderAccount separates the caches of client accounts.
	HeaderAccount = "Cicada-Account"
	// HeaderIncarnation is the engine's incarnation: expected in a request, actual in an answer.
	HeaderIncarnation = "Cicada-Incarnation"
	// HeaderWeights is the weights version: expected in a request, actual in an answer.
	HeaderWeights = "Cicada-Weights-Version"
	// HeaderAdapter names the adapter on top of the weights.
	HeaderAdapter = "Cicada-Adapter"
	// HeaderPriority is the rank; engines serve urgent requests first.
	HeaderPriority = "Cicada-Priority"
	// HeaderResumeFrom is the number of events that the caller has already.
	HeaderResumeFrom = "Cicada-Resume-From"
	// HeaderCachedTokens is the number of prompt tokens that came from the cache.
	HeaderCachedTokens = "Cicada-Cached-Tokens"
	// HeaderImport is the number of leading pieces that the engine may import from
	// the store of kept KV cache instead of computing them.
	HeaderImport = "Cicada-Import-Pieces"
	// HeaderExport is the number of leading pieces that the engine should export.
	HeaderExport = "Cicada-Export-Pieces"
	// HeaderImportedTokens is the number of prompt tokens that were imported.
	HeaderImportedTokens = "Cicada-Imported-Tokens"
	// HeaderFence is the fencing number of an order or of a call that may not be repeated.
	HeaderFence = "Cicada-Fence"
)

// Load is an engine's report on itself. It lags.
type Load struct {
	Incarnation    string            `json:"incarnation"`
	Weights        map[string]string `json:"weights"`
	Adapters       map[string]string `json:"adapters"`
	Role           string            `json:"role"`
	Fence          uint64            `json:"fence"`
	Running        int               `json:"running"`
	Queued         int               `json:"queued"`
	QueuedTokens   int               `json:"queued-tokens"`
	Leaving        bool              `json:"leaving"`
	Loading        bool              `json:"loading"`
	LastEvent      uint64            `json:"last-event"`
	ReportSequence uint64            `json:"report-sequence"`
}

// EventKind says what happened to a cached piece.
type EventKind string

// The kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// CacheEvent tells of one cached piece. Events arrive late and with gaps.
type CacheEvent struct {
	Sequence    uint64    `json:"sequence"`
	Kind        EventKind `json:"kind"`
	Key         string    `json:"key"`
	Incarnation string    `json:"incarnation"`
}

// EventsBody is the answer to a call for cache events.
type EventsBody struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// Order asks an engine to load a model version, or an adapter on top of it.
type Order struct {
	Fence          uint64 `json:"fence"`
	Model          string `json:"model"`
	WeightsVersion string `json:"weights-version"`
	Adapter        string `json:"adapter,omitempty"`
	Role           string `json:"role,omitempty"`
}
