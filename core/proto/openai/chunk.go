package openai

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Done is the data of the final event of a stream.
const Done = "[DONE]"

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails counts the prompt tokens that were found in the KV cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one event of a stream.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the choice within a chunk. Chat completions use Delta, text completions
// use Text.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        *Delta  `json:"delta,omitempty"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the part of a chat message that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Completion is the body of a response that is not streamed.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is the choice within a Completion.
type CompletionChoice struct {
	Index        int                `json:"index"`
	Message      *CompletionMessage `json:"message,omitempty"`
	Text         string             `json:"text,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

// CompletionMessage is the message of a chat completion.
type CompletionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Model is an entry of the model list.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response body of a request for the available models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Collector joins the chunks of a stream into a Completion.
type Collector struct {
	kind   Kind
	text   strings.Builder
	last   Chunk
	finish string
	usage  Usage
}

// NewCollector returns a collector for a kind of completion.
func NewCollector(kind Kind) *Collector { return &Collector{kind: kind} }

// Add decodes and adds the data of the next chunk.
func (c *Collector) Add(data []byte) error {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("decode chunk: %w", err)
	}
	c.last = chunk
	if chunk.Usage != nil {
		c.usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		c.text.WriteString(choice.Text)
		if choice.Delta != nil {
			c.text.WriteString(choice.Delta.Content)
		}
		if choice.FinishReason != nil {
			c.finish = *choice.FinishReason
		}
	}
	return nil
}

// Completion returns the joined completion.
func (c *Collector) Completion() Completion {
	completion := Completion{ID: c.last.ID, Object: "chat.completion", Created: c.last.Created, Model: c.last.Model, Usage: c.usage}
	choice := CompletionChoice{FinishReason: c.finish}
	if c.kind == Chat {
		choice.Message = &CompletionMessage{Role: "assistant", Content: c.text.String()}
	} else {
		completion.Object = "text_completion"
		choice.Text = c.text.String()
	}
	completion.Choices = []CompletionChoice{choice}
	return completion
}
