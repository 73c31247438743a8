// Package openai implements the part of the OpenAI API that the router supports: requests,
// stream chunks, completions and errors.
package openai

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Kind is the kind of a completion.
type Kind string

// The kinds of completion.
const (
	Chat Kind = "chat"
	Text Kind = "text"
)

// Request is a completion request. Fields that the router does not interpret are passed
// on to the engine unchanged.
type Request struct {
	Kind      Kind
	Model     string
	Stream    bool
	MaxTokens int
	// IncludeUsage is set if the stream should end with a usage chunk.
	IncludeUsage bool
	// Prompt is the canonical text of the whole prompt.
	Prompt string

	fields map[string]json.RawMessage
}

// DefaultMaxTokens is used if a request does not set a limit.
const DefaultMaxTokens = 16

// MaxTokensLimit is the largest limit that a request may set.
const MaxTokensLimit = 131072

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Parse decodes and validates a request body. Errors name the invalid field.
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

// WantsUsage reports whether the engine is asked for a usage chunk. For a stream that is
// the case only if its caller asked for one, because dropping the chunk would leave a gap
// in the event numbers.
func (r *Request) WantsUsage() bool { return !r.Stream || r.IncludeUsage }

// EngineBody returns the body of the request to an engine, which always asks for a stream.
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
