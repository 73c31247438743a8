package suite

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"cicadastand.dev/stand/engine"
)

// TestClientLibrary checks that an unmodified OpenAI client library works with a router.
func TestClientLibrary(t *testing.T) {
	is := is.New(t)
	c, err := newCluster(t.TempDir(), clusterOptions{Engines: 1, Routers: 1, Domains: 1, Services: 1})
	is.NoErr(err)
	defer c.close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := openai.NewClient(option.WithBaseURL("http://"+c.callers["r1"].String()+"/v1/"), option.WithAPIKey(callerKey("small")))
	params := openai.ChatCompletionNewParams{
		Model:     "advice",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("catalogue"), openai.UserMessage("which cane?")},
		MaxTokens: openai.Int(12),
	}
	want := engine.Expected("advice", "v1", "system\ncatalogue\x1euser\nwhich cane?\x1e", 12)

	completion, err := client.Chat.Completions.New(ctx, params)
	is.NoErr(err)
	is.Equal(completion.Choices[0].Message.Content, want)

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var collected openai.ChatCompletionAccumulator
	for stream.Next() {
		collected.AddChunk(stream.Current())
	}
	is.NoErr(stream.Err())
	is.Equal(collected.Choices[0].Message.Content, want)

	models, err := client.Models.List(ctx)
	is.NoErr(err)
	is.Equal(len(models.Data), 1)

	text, err := client.Completions.New(ctx, openai.CompletionNewParams{
		Model:     "advice",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("once")},
		MaxTokens: openai.Int(3),
	})
	is.NoErr(err)
	is.Equal(text.Choices[0].Text, engine.Expected("advice", "v1", "once", 3))

	params.Model = "nonsense"
	_, err = client.Chat.Completions.New(ctx, params)
	var apiErr *openai.Error
	is.True(asAPIError(err, &apiErr))
	is.Equal(apiErr.StatusCode, 404)
	is.Equal(apiErr.Param, "model")
}

func asAPIError(err error, target **openai.Error) bool { return errors.As(err, target) }
