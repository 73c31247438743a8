package suite

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tmaxmax/go-sse"

	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/prefix"
	"cicadastand.dev/router/node"
	"cicadastand.dev/stand/engine"
	"cicadastand.dev/stand/service"
)

// response is the response to a request as its caller received it.
type response struct {
	Status int
	// State is the run state: completed, not-run or outcome-unknown; lost if
	// no complete response arrived, out-of-order if event numbers were not consecutive.
	State   string
	Code    string
	Text    string
	Source  string
	Cached  int
	Events  int
	Body    string
	Elapsed time.Duration
}

// completionOptions describes a completion request.
type completionOptions struct {
	To      string
	Account string
	Rank    string
	Prompt  string
	Pieces  int
	Tokens  int
	Stream  bool
	// From is the number of the event after which a stream is resumed.
	From int
	// Deadline is the value of the Cicada-Deadline header; if empty, none is sent.
	Deadline string
}

func (o completionOptions) fullPrompt() string {
	size := o.Pieces * prefix.PieceBytes
	return strings.Repeat("shared words ", size/len("shared words ")+1)[:size] + o.Prompt
}

func (o completionOptions) expected(weights string) string {
	return engine.Expected("advice", weights, "user\n"+o.fullPrompt()+"\x1e", o.Tokens)
}

// send sends a completion request and reads the whole response.
func (c *cluster) send(ctx context.Context, o completionOptions) response {
	body, _ := json.Marshal(map[string]any{
		"model":          "advice",
		"messages":       []map[string]string{{"role": "user", "content": o.fullPrompt()}},
		"max_tokens":     o.Tokens,
		"stream":         o.Stream,
		"stream_options": map[string]bool{"include_usage": o.Stream},
	})
	header := http.Header{}
	if o.Rank != "" {
		header.Set("Cicada-Rank", o.Rank)
	}
	if o.Deadline != "" {
		header.Set("Cicada-Deadline", o.Deadline)
	}
	if o.From > 0 {
		header.Set("Last-Event-ID", strconv.Itoa(o.From))
	}
	httpResp, resp := c.post(ctx, o.To, o.Account, "/v1/chat/completions", string(body), header)
	if httpResp == nil {
		return resp
	}
	defer func() { _ = httpResp.Body.Close() }()
	switch {
	case httpResp.StatusCode != http.StatusOK:
		resp.readError(httpResp.Body)
	case o.Stream:
		resp.readStream(httpResp.Body, o.From)
	default:
		resp.readCompletion(httpResp.Body)
	}
	return resp
}

func (c *cluster) post(ctx context.Context, to, account, path, body string, header http.Header) (*http.Response, response) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.callers[to].String()+path, strings.NewReader(body))
	if err != nil {
		return nil, response{State: "lost", Body: err.Error()}
	}
	req.Header = header
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+callerKey(account))
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, response{State: "lost", Body: err.Error(), Elapsed: time.Since(start)}
	}
	return resp, response{Status: resp.StatusCode, Source: resp.Header.Get("Cicada-Outcome-Source"), Elapsed: time.Since(start)}
}

func (r *response) readError(body io.Reader) {
	raw, err := io.ReadAll(body)
	r.Body = string(raw)
	var e openai.ErrorBody
	if err != nil || json.Unmarshal(raw, &e) != nil || e.Error == nil {
		r.State = "lost"
		return
	}
	r.State, r.Code = string(e.Error.RunState), string(e.Error.Code)
}

func (r *response) readCompletion(body io.Reader) {
	var whole openai.Completion
	if err := json.NewDecoder(body).Decode(&whole); err != nil || len(whole.Choices) != 1 {
		r.State = "lost"
		return
	}
	r.State = "completed"
	r.Text = whole.Choices[0].Message.Content
	r.Cached = whole.Usage.PromptDetails.CachedTokens
}

func (r *response) readStream(body io.Reader, from int) {
	c := openai.NewCollector(openai.Chat)
	r.State, r.Events = "lost", from
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: 1 << 20}) {
		if err != nil {
			r.Body = err.Error()
			return
		}
		if ev.Type == "error" {
			r.readError(strings.NewReader(ev.Data))
			return
		}
		if n, err := strconv.Atoi(ev.LastEventID); err != nil || n != r.Events+1 {
			r.State, r.Body = "out-of-order", fmt.Sprintf("%q after %d", ev.LastEventID, r.Events)
			return
		}
		r.Events++
		if ev.Data == openai.Done {
			r.State = "completed"
			r.Text = c.Completion().Choices[0].Message.Content
			r.Cached = c.Completion().Usage.PromptDetails.CachedTokens
			return
		}
		if err := c.Add([]byte(ev.Data)); err != nil {
			r.Body = err.Error()
			return
		}
	}
}

// orderOptions describes an order: a non-idempotent call of the order service.
type orderOptions struct {
	To           string
	Account      string
	Service      string
	Key          string
	Created      time.Time
	Body         string
	FirstAttempt bool
	Deadline     string
}

func (c *cluster) order(ctx context.Context, o orderOptions) response {
	header := http.Header{}
	header.Set("Idempotency-Key", o.Key)
	header.Set("Idempotency-Key-Created", o.Created.UTC().Format(time.RFC3339Nano))
	if o.FirstAttempt {
		header.Set("Idempotency-Retry-Count", "0")
	}
	if o.Deadline != "" {
		header.Set("Cicada-Deadline", o.Deadline)
	}
	httpResp, resp := c.post(ctx, o.To, o.Account, "/v1/services/"+o.Service+"/orders", o.Body, header)
	if httpResp == nil {
		return resp
	}
	defer func() { _ = httpResp.Body.Close() }()
	if resp.Status >= http.StatusBadRequest {
		resp.readError(httpResp.Body)
		return resp
	}
	raw, err := io.ReadAll(httpResp.Body)
	resp.Body, resp.State = string(raw), "completed"
	if err != nil {
		resp.State = "lost"
	}
	return resp
}

// executions returns how many times the services ran the order of each idempotency key.
func (c *cluster) executions() (map[string]int, error) {
	out := make(map[string]int)
	for i := range c.opts.Services {
		var body service.ExecutionsBody
		if err := c.control(fmt.Sprintf("s%d", i+1), http.MethodGet, "/control/executions", nil, &body); err != nil {
			return nil, err
		}
		for _, e := range body.Executions {
			out[e.Key] += e.Count
		}
	}
	return out, nil
}

func (c *cluster) engineStats(name string) (engine.Stats, error) {
	var st engine.Stats
	err := c.control(name, http.MethodGet, "/control/stats", nil, &st)
	return st, err
}

// fault sets the fault switches of a test double, given as JSON.
func (c *cluster) fault(name, switches string) error {
	return c.control(name, http.MethodPost, "/control/faults", json.RawMessage(switches), nil)
}

// publish publishes a contract or a fleet description through a router's interface for
// operators. The text determines the document's name.
func (c *cluster) publish(to, key string, base uint64, text string) (conf.Verdict, error) {
	name := conf.FleetDocument
	if rest, ok := strings.CutPrefix(text, "account: "); ok {
		account, _, _ := strings.Cut(rest, "\n")
		name = conf.ContractDocument(account)
	}
	body, err := json.Marshal(map[string]any{"document": name, "base": base, "text": text})
	if err != nil {
		return conf.Verdict{}, err
	}
	var v conf.Verdict
	err = c.call(http.MethodPost, "http://"+c.operators[to].String()+"/v1/changes", key, body, &v)
	return v, err
}

func (c *cluster) dump(router string) (node.State, error) {
	var st node.State
	err := c.call(http.MethodGet, "http://"+c.operators[router].String()+"/v1/dump", operatorKey, nil, &st)
	return st, err
}

func (c *cluster) configAtLeast(router string, version uint64) error {
	st, err := c.dump(router)
	if err != nil {
		return err
	}
	if st.ConfigOffset < version {
		return fmt.Errorf("%s is at configuration offset %d, want at least %d", router, st.ConfigOffset, version)
	}
	return nil
}

// version returns the version of a document in a router's configuration.
func (c *cluster) version(router, name string) (uint64, error) {
	var doc conf.Document
	err := c.call(http.MethodGet, "http://"+c.operators[router].String()+"/v1/document?name="+name, operatorKey, nil, &doc)
	return doc.Version, err
}

var errNoResponse = errors.New("no response yet")

func decodeExecutions(t *testing.T, resp *http.Response) map[string]int {
	var body service.ExecutionsBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	out := make(map[string]int)
	for _, e := range body.Executions {
		out[e.Key] += e.Count
	}
	return out
}
