package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strings"

	"cicadastand.dev/core/proto/openai"
)

// Token returns the generated token at a position of the completion of a prompt.
func Token(model, weights, prompt string, i int) string {
	h := sha256.New()
	sum := sha256.Sum256([]byte(prompt))
	h.Write(sum[:])
	h.Write([]byte(model + "\x00" + weights))
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(i))
	h.Write(n[:])
	return " " + hex.EncodeToString(h.Sum(nil)[:3])
}

// Expected returns the whole generated text for a prompt.
func Expected(model, weights, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(model, weights, prompt, i))
	}
	return b.String()
}

// completion generates the events of one stream.
type completion struct {
	req     *openai.Request
	weights string
	id      string
	created int64
	cached  int
	tokens  int
}

// extraEvents counts the chunk with the finish reason and the event that ends the stream.
const extraEvents = 2

// events returns the number of events; a requested usage chunk is one more.
func (c *completion) events() int {
	n := c.req.MaxTokens + extraEvents
	if c.req.IncludeUsage {
		n++
	}
	return n
}

// event returns the data of the event at a position, starting at 0.
func (c *completion) event(i int) []byte {
	if i == c.events()-1 {
		return []byte(openai.Done)
	}
	chunk := openai.Chunk{ID: c.id, Object: "chat.completion.chunk", Created: c.created, Model: c.req.Model}
	if c.req.Kind == openai.Text {
		chunk.Object = "text_completion"
	}
	switch {
	case i < c.req.MaxTokens:
		chunk.Choices = []openai.ChunkChoice{c.choice(i)}
	case i == c.req.MaxTokens:
		stop := "stop"
		chunk.Choices = []openai.ChunkChoice{{Delta: &openai.Delta{}, FinishReason: &stop}}
	default:
		chunk.Choices = []openai.ChunkChoice{}
		chunk.Usage = c.usage()
	}
	data, _ := json.Marshal(chunk)
	return data
}

func (c *completion) choice(i int) openai.ChunkChoice {
	text := Token(c.req.Model, c.weights, c.req.Prompt, i)
	if c.req.Kind == openai.Text {
		return openai.ChunkChoice{Text: text}
	}
	delta := &openai.Delta{Content: text}
	if i == 0 {
		delta.Role = "assistant"
	}
	return openai.ChunkChoice{Delta: delta}
}

func (c *completion) usage() *openai.Usage {
	return &openai.Usage{
		PromptTokens:     c.tokens,
		CompletionTokens: c.req.MaxTokens,
		TotalTokens:      c.tokens + c.req.MaxTokens,
		PromptDetails:    openai.PromptDetails{CachedTokens: c.cached},
	}
}
