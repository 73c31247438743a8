// Package openai holds the parts of the OpenAI protocol that the system reads
// and writes: requests, chunks, answers and errors.
package openai

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Kind tells the two kinds of completion apart.
type Kind string

// The kinds of completion.
const (
	Chat Kind = "chat"
	Text Kind = "text"
)

// Request is a completion request. Fields that the system doesn't read are kept
// and passed on.
type Request struct {
	Kind      Kind
	Model     string
	Stream    bool
	MaxTokens int
	// IncludeUsage says that a stream ends with a usage chunk.
	IncludeUsage bool
	// Prompt is the canonical text of the whole prompt.
	Prompt string

	fields map[string]json.RawMessage
}

// DefaultMaxTokens is used when a request names no limit.
const DefaultMaxTokens = 16

// MaxTokensLimit is the largest answer that a request may ask for.
const MaxTokensLimit = 131072

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Parse reads a request body. Faults name the field.
func Parse(kind Kind, body []byte) (*Request, error) {
	r := &Request{Kind: kind, MaxTokens: DefaultMaxTokens}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, badField("body", "must be a JSON object: %v", err)
	}
	if err := r.readScalars(); err != nil {
		return nil, err
	}
	prompt, err := r.readPrompt()
	if err != nil {
		return nil, err
	}
	r.Prompt = prompt
	return r, nil
}

// WantsUsage reports whether the engine's events include a usage chunk: a stream
// has one only if its caller asks, so that event numbers have no gap.
func (r *Request) WantsUsage() bool { return !r.Stream || r.IncludeUsage }

// EngineBody returns the body for an engine, which is always asked to stream.
func (r *Request) EngineBody() ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(r.fields)+2)
	for k, v := range r.fields {
		fields[k] = v
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(fmt.Sprintf(`{"include_usage":%t}`, r.WantsUsage()))
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode engine request: %w", err)
	}
	return body, nil
}

func (r *Request) readScalars() error {
	if err := r.field("model", &r.Model); err != nil {
		return err
	}
	if r.Model == "" {
		return badField("model", "must be the name of a model")
	}
	if err := r.field("stream", &r.Stream); err != nil {
		return err
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := r.field(name, &r.MaxTokens); err != nil {
			return err
		}
		if r.MaxTokens < 1 || r.MaxTokens > MaxTokensLimit {
			return badField(name, "must be between 1 and %d", MaxTokensLimit)
		}
	}
	var n = 1
	if err := r.field("n", &n); err != nil {
		return err
	}
	if n != 1 {
		return badField("n", "must be 1")
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := r.field("stream_options", &options); err != nil {
		return err
	}
	r.IncludeUsage = options.IncludeUsage
	return nil
}

func (r *Request) field(name string, into any) error {
	raw, ok := r.fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return badField(name, "has the wrong type")
	}
	return nil
}

func (r *Request) readPrompt() (string, error) {
	if r.Kind == Text {
		return r.readTextPrompt()
	}
	var messages []message
	if err := r.field("messages", &messages); err != nil {
		return "", err
	}
	if len(messages) == 0 {
		return "", badField("messages", "must hold at least one message")
	}
	var b strings.Builder
	for i, m := range messages {
		text, err := m.text()
		if err != nil || m.Role == "" {
			return "", badField(fmt.Sprintf("messages[%d]", i), "must have a role and text content")
		}
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(text)
		b.WriteByte('\x1e')
	}
	return b.String(), nil
}

func (r *Request) readTextPrompt() (string, error) {
	var prompt string
	if err := r.field("prompt", &prompt); err != nil {
		return "", err
	}
	if prompt == "" {
		return "", badField("prompt", "must be a text that is not empty")
	}
	return prompt, nil
}

func (m *message) text() (string, error) {
	if len(m.Content) == 0 || string(m.Content) == "null" {
		return "", nil
	}
	var plain string
	if err := json.Unmarshal(m.Content, &plain); err == nil {
		return plain, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", fmt.Errorf("decode content: %w", err)
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("content part of type %q", p.Type)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}
