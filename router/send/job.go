// Package send runs completion requests on engines: it chooses an engine, sends the
// request, verifies that the response belongs to it, retries it before the first byte,
// and resumes an interrupted stream on another engine.
package send

import (
	"context"
	"crypto/sha256"
	"time"

	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/index"
	"cicadastand.dev/core/state/prefix"
)

// Job is a completion request that is run on an engine.
type Job struct {
	ID      string
	Account string
	Rank    fleet.Rank
	Model   fleet.Model
	Request *openai.Request
	// Resume is the number of events that the caller has received before.
	Resume int

	body        []byte
	chain       []prefix.Key
	demand      []index.Demand
	tokens      int
	fingerprint poison.Fingerprint
}

// Result describes how a job was run.
type Result struct {
	// FirstToken is when the first event was passed to the sink.
	FirstToken   time.Time
	PromptTokens int
	CachedTokens int
	AnswerTokens int
	// Sends is the number of attempts.
	Sends    int
	Endpoint string
}

// Sink receives the events of a response in order.
type Sink interface {
	// Event receives an event. Events are numbered from 1 across all attempts.
	Event(ctx context.Context, number int, data []byte) error
}

// NewJob prepares a request to be run.
func NewJob(id, account string, rank fleet.Rank, model fleet.Model, req *openai.Request, resume int) (*Job, error) {
	body, err := req.EngineBody()
	if err != nil {
		return nil, err
	}
	scope := prefix.Scope{
		Account:        account,
		Model:          model.Name,
		Adapter:        model.Adapter,
		WeightsVersion: model.WeightsVersion,
	}
	return &Job{
		ID:          id,
		Account:     account,
		Rank:        rank,
		Model:       model,
		Request:     req,
		Resume:      resume,
		body:        body,
		chain:       prefix.Chain(scope, req.Prompt),
		tokens:      prefix.EstimateTokens(req.Prompt),
		fingerprint: fingerprint(account, model.Name, req.Prompt),
	}, nil
}

// Tokens returns the estimated prompt length plus the maximum number of completion
// tokens.
func (j *Job) Tokens() int { return j.tokens + j.Request.MaxTokens }

// Fingerprint returns a hash of the account, the model and the prompt.
func (j *Job) Fingerprint() poison.Fingerprint { return j.fingerprint }

func fingerprint(account, model, prompt string) poison.Fingerprint {
	h := sha256.New()
	h.Write([]byte(account + "\x00" + model + "\x00" + prompt))
	var fp poison.Fingerprint
	copy(fp[:], h.Sum(nil))
	return fp
}
