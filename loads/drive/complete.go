package drive

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/loads/plan"
	"cicadastand.dev/stand/engine"
)

const maxEventBytes = 1 << 20

// completionBody is the body of a chat completion request.
type completionBody struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	MaxTokens     int            `json:"max_tokens"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (d *Driver) complete(ctx context.Context, r *plan.Request) Sample {
	body := completionBody{
		Model:     r.Stream.Model,
		Messages:  []chatMessage{{Role: "user", Content: r.Prompt}},
		MaxTokens: r.Stream.MaxTokens,
		Stream:    r.Stream.Streaming,
	}
	if body.Stream {
		body.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return Sample{Outcome: Failed, Detail: err.Error()}
	}
	url := "http://" + d.routerAddress(r.Router).String() + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return Sample{Outcome: Failed, Detail: err.Error()}
	}
	setHeaders(req.Header, r.Stream)
	start := d.clock.Now()
	resp, err := d.http.Do(req)
	if err != nil {
		return Sample{Outcome: Failed, Detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errorSample(resp)
	}
	s := Sample{Outcome: Correct}
	var text string
	if body.Stream {
		text, err = d.readStream(resp.Body, &s, func() { s.FirstToken = d.clock.Now().Sub(start) })
	} else {
		text, err = readResponse(resp.Body, &s)
		s.FirstToken = d.clock.Now().Sub(start)
	}
	s.Total = d.clock.Now().Sub(start)
	return checkCompletion(s, r, text, err)
}

// checkCompletion compares the text of a completion with the one that the simulated
// engine generates for the prompt, and sets the outcome of the sample.
func checkCompletion(s Sample, r *plan.Request, text string, err error) Sample {
	var typed *openai.Error
	switch {
	case errors.As(err, &typed):
		s.Outcome, s.Code, s.Detail = Failed, string(typed.Code), typed.Message
	case err != nil:
		s.Outcome, s.Detail = Wrong, err.Error()
	case text != engine.Expected(r.Stream.Model, r.Stream.WeightsVersion, "user\n"+r.Prompt+"\x1e", r.Stream.MaxTokens):
		s.Outcome, s.Detail = Wrong, "the answer belongs to another prompt, or is not whole"
	}
	return s
}

func setHeaders(h http.Header, s *plan.Stream) {
	h.Set("Authorization", "Bearer "+s.Key)
	h.Set("Content-Type", "application/json")
	if s.Rank != "" {
		h.Set("Cicada-Rank", string(s.Rank))
	}
}

// readStream reads a stream to its end and checks that no event is missing. It calls
// onFirstToken when the first event arrives.
func (d *Driver) readStream(body io.Reader, s *Sample, onFirstToken func()) (string, error) {
	c := openai.NewCollector(openai.Chat)
	last := 0
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return "", fmt.Errorf("stream broke off: %w", err)
		}
		if ev.Type == "error" {
			return "", decodeError([]byte(ev.Data))
		}
		number, err := strconv.Atoi(ev.LastEventID)
		if err != nil || number != last+1 {
			return "", fmt.Errorf("event %q follows event %d", ev.LastEventID, last)
		}
		if last == 0 {
			onFirstToken()
		}
		last = number
		if ev.Data == openai.Done {
			completion := c.Completion()
			s.PromptTokens = completion.Usage.PromptTokens
			s.CachedTokens = completion.Usage.PromptDetails.CachedTokens
			return completion.Choices[0].Message.Content, nil
		}
		if err := c.Add([]byte(ev.Data)); err != nil {
			return "", err
		}
	}
	return "", errors.New("the stream ended without its end event")
}

func readResponse(body io.Reader, s *Sample) (string, error) {
	var completion openai.Completion
	if err := json.NewDecoder(body).Decode(&completion); err != nil {
		return "", fmt.Errorf("decode answer: %w", err)
	}
	if len(completion.Choices) != 1 || completion.Choices[0].Message == nil {
		return "", errors.New("the answer has no message")
	}
	s.PromptTokens = completion.Usage.PromptTokens
	s.CachedTokens = completion.Usage.PromptDetails.CachedTokens
	return completion.Choices[0].Message.Content, nil
}

func decodeError(raw []byte) error {
	var body openai.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Error == nil {
		return fmt.Errorf("error of unknown shape: %.200s", raw)
	}
	return body.Error
}

// errorSample returns the sample of a response with an error status.
func errorSample(resp *http.Response) Sample {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	err := decodeError(raw)
	var typed *openai.Error
	if !errors.As(err, &typed) {
		return Sample{Outcome: Failed, Detail: err.Error()}
	}
	s := Sample{Outcome: Failed, Code: string(typed.Code), Detail: typed.Message}
	switch typed.RunState {
	case openai.NotRun:
		s.Outcome = Rejected
	case openai.OutcomeUnknown:
		s.Outcome = Unknown
	}
	return s
}
