package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strings"

	"cicadastand.dev/core/proto/openai"
)

// Token returns the token at a position of the answer to a prompt.
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

// Expected returns the whole answer to a prompt.
func Expected(model, weights, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(model, weights, prompt, i))
	}
	return b.String()
}

// answer produces the events of one stream.
type answer struct {
	req     *openai.Request
	weights string
	id      string
	created int64
	cached  int
	tokens  int
}

// extraEvents are the finish chunk and the end.
const extraEvents = 2

// events returns the number of events, with one more for the usage if it is asked for.
func (a *answer) events() int {
	n := a.req.MaxTokens + extraEvents
	if a.req.IncludeUsage {
		n++
	}
	return n
}

// event returns the data of the event at a position, counted from 0.
func (a *answer) event(i int) []byte {
	if i == a.events()-1 {
		return []byte(openai.Done)
	}
	chunk := openai.Chunk{ID: a.id, Object: "chat.completion.chunk", Created: a.created, Model: a.req.Model}
	if a.req.Kind == openai.Text {
		chunk.Object = "text_completion"
	}
	switch {
	case i < a.req.MaxTokens:
		chunk.Choices = []openai.ChunkChoice{a.choice(i)}
	case i == a.req.MaxTokens:
		stop := "stop"
		chunk.Choices = []openai.ChunkChoice{{Delta: &openai.Delta{}, FinishReason: &stop}}
	default:
		chunk.Choices = []openai.ChunkChoice{}
		chunk.Usage = a.usage()
	}
	data, _ := json.Marshal(chunk)
	return data
}

func (a *answer) choice(i int) openai.ChunkChoice {
	text := Token(a.req.Model, a.weights, a.req.Prompt, i)
	if a.req.Kind == openai.Text {
		return openai.ChunkChoice{Text: text}
	}
	delta := &openai.Delta{Content: text}
	if i == 0 {
		delta.Role = "assistant"
	}
	return openai.ChunkChoice{Delta: delta}
}

func (a *answer) usage() *openai.Usage {
	return &openai.Usage{
		PromptTokens:     a.tokens,
		CompletionTokens: a.req.MaxTokens,
		TotalTokens:      a.tokens + a.req.MaxTokens,
		PromptDetails:    openai.PromptDetails{CachedTokens: a.cached},
	}
}
