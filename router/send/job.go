// Package send runs completion requests on engines: it chooses an engine, sends
// the request, checks whose answer comes back, retries before the first byte,
// and resumes a broken stream on another engine.
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

// Job is an admitted request.
type Job struct {
	ID      string
	Account string
	Rank    fleet.Rank
	Model   fleet.Model
	Request *openai.Request
	// Resume is the number of events that the caller has already.
	Resume int

	body        []byte
	chain       []prefix.Key
	demand      []index.Demand
	tokens      int
	fingerprint poison.Fingerprint
}

// Result tells how a job went.
type Result struct {
	// FirstToken is when the first event went to the sink.
	FirstToken   time.Time
	PromptTokens int
	CachedTokens int
	AnswerTokens int
	// Sends is how often the job was sent to an engine.
	Sends    int
	Endpoint string
}

// Sink takes the events of an answer in order.
type Sink interface {
	// Event takes an event, numbered from 1 over all engines that took part.
	Event(ctx context.Context, number int, data []byte) error
}

// NewJob prepares a request for dispatch.
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

// Tokens returns the estimated length of the prompt and the longest answer.
func (j *Job) Tokens() int { return j.tokens + j.Request.MaxTokens }

// Fingerprint identifies the content of the request.
func (j *Job) Fingerprint() poison.Fingerprint { return j.fingerprint }

func fingerprint(account, model, prompt string) poison.Fingerprint {
	h := sha256.New()
	h.Write([]byte(account + "\x00" + model + "\x00" + prompt))
	var fp poison.Fingerprint
	copy(fp[:], h.Sum(nil))
	return fp
}
