package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"cicadastand.dev/core/proto/engine"
	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/prefix"
)

// CrashMarker crashes the engine if a prompt contains it.
const CrashMarker = "[[crash-engine]]"

const (
	maxBody            = 8 << 20
	frozenPollInterval = 20 * time.Millisecond
)

// Handler serves the engine's HTTP interface and, under /control/, the calls that control the
// test double.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serve(openai.Chat))
	mux.HandleFunc("POST /v1/completions", e.serve(openai.Text))
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /control/stats", e.stats)
	mux.HandleFunc("POST /control/crash", e.crash)
	mux.HandleFunc("POST /control/leave", e.drain)
	mux.Handle("/control/faults", e.faults)
	return mux
}

// job is a request that the engine executes.
type job struct {
	req    *openai.Request
	header http.Header
	owner  owner
	chain  []prefix.Key
	urgent bool
	// from is the event at which a resumed stream starts.
	from int
	// run is canceled when the incarnation that accepted the request ends.
	run      context.Context
	cached   int
	imported int
	// swapped makes the response that of another request.
	swapped bool
}

func (e *Engine) serve(kind openai.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() {
			panic(http.ErrAbortHandler)
		}
		setRequestID(w.Header(), r.Header)
		if e.faults.TakeRejection() {
			http.Error(w, "the engine refuses", http.StatusServiceUnavailable)
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		req, err := openai.Parse(kind, body)
		if err != nil {
			openai.AsError(err).Write(w)
			return
		}
		j, err := e.newJob(req, r.Header)
		if err != nil {
			w.Header().Set(engine.HeaderIncarnation, e.currentIncarnation())
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		if strings.Contains(req.Prompt, CrashMarker) {
			e.Crash()
			panic(http.ErrAbortHandler)
		}
		e.faults.Delay(r)
		if e.faults.TakeCopiedRejection() {
			e.execute(httptest.NewRecorder(), r, j)
			w.Header().Set(engine.HeaderRequestID, "another-request")
			http.Error(w, "the engine refuses", http.StatusServiceUnavailable)
			return
		}
		e.execute(w, r, j)
	}
}

// newJob checks the incarnation and weights version that the request expects.
func (e *Engine) newJob(req *openai.Request, h http.Header) (*job, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	weights, ok := e.weights[req.Model]
	if !ok {
		return nil, fmt.Errorf("model %s is not loaded", req.Model)
	}
	if !e.faults.Get().IgnoreExpectations {
		if want := h.Get(engine.HeaderIncarnation); want != "" && want != e.incarnation {
			return nil, errors.New("incarnation differs")
		}
		if want := h.Get(engine.HeaderWeights); want != "" && want != weights {
			return nil, errors.New("weights version differs")
		}
		if e.loading {
			return nil, errors.New("weights are being loaded")
		}
	}
	from, _ := strconv.Atoi(h.Get(engine.HeaderResumeFrom))
	scope := prefix.Scope{
		Account:        h.Get(engine.HeaderAccount),
		Model:          req.Model,
		Adapter:        e.adapters[req.Model],
		WeightsVersion: weights,
	}
	return &job{
		req:    req,
		header: h,
		owner:  owner{account: scope.Account, weights: weights, incarnation: e.incarnation},
		chain:  prefix.Chain(scope, req.Prompt),
		urgent: h.Get(engine.HeaderPriority) == "urgent",
		from:   from,
		run:    e.run,
	}, nil
}

func (e *Engine) execute(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(j.run, cancel)()
	tokens := prefix.EstimateTokens(j.req.Prompt)
	e.addQueued(tokens)
	err := e.slots.acquire(ctx, j.urgent)
	if err != nil {
		e.addQueued(-tokens)
		panic(http.ErrAbortHandler)
	}
	defer e.slots.release()
	err = e.prefillPrompt(ctx, j, tokens)
	e.addQueued(-tokens)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.record(j, tokens)
	if e.stream(ctx, w, j, tokens) != nil {
		panic(http.ErrAbortHandler)
	}
}

// prefillPrompt imports or computes the part of the prompt that is not cached.
func (e *Engine) prefillPrompt(ctx context.Context, j *job, tokens int) error {
	if err := e.prefill.acquire(ctx, j.urgent); err != nil {
		return err
	}
	defer e.prefill.release()
	j.cached = e.lookup(j.chain, j.owner) * prefix.PieceTokens
	imported, err := e.importPieces(ctx, j, j.cached/prefix.PieceTokens)
	if err != nil {
		return err
	}
	j.imported = imported * prefix.PieceTokens
	missed := tokens - j.cached - j.imported
	work := time.Duration(float64(missed) / e.cfg.PrefillRate * float64(time.Second))
	if err := e.simulateWork(ctx, work); err != nil {
		return err
	}
	e.store(j.chain, j.owner)
	e.exportPieces(ctx, j)
	return nil
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, j *job, tokens int) error {
	j.swapped = e.faults.TakeSwap()
	e.writeHeader(w, j)
	c := &completion{
		req:     j.req,
		weights: j.owner.weights,
		id:      "cmpl-" + j.header.Get(engine.HeaderRequestID),
		created: e.cfg.Clock.Now().Unix(),
		cached:  j.cached,
		tokens:  tokens,
	}
	out := http.NewResponseController(w)
	if j.swapped {
		another := *j.req
		another.Prompt = "the prompt of another request"
		c.req = &another
	}
	breakAfter := e.faults.Get().CutStreamsAfter
	for i := j.from; i < c.events(); i++ {
		if i < j.req.MaxTokens {
			if err := e.simulateWork(ctx, e.cfg.TokenTime); err != nil {
				return err
			}
		}
		if breakAfter > 0 && i-j.from >= breakAfter {
			return errors.New("stream broken by an injected fault")
		}
		if i+1 == e.faults.Get().SkipEvent {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, c.event(i)); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("flush event: %w", err)
		}
	}
	return nil
}

// setRequestID names the request and the attempt that a response belongs to.
func setRequestID(response, request http.Header) {
	response.Set(engine.HeaderRequestID, request.Get(engine.HeaderRequestID))
	response.Set(engine.HeaderAttempt, request.Get(engine.HeaderAttempt))
}

func (e *Engine) writeHeader(w http.ResponseWriter, j *job) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	setRequestID(h, j.header)
	if j.swapped {
		h.Set(engine.HeaderRequestID, "another-request")
	}
	h.Set(engine.HeaderIncarnation, j.owner.incarnation)
	h.Set(engine.HeaderWeights, j.owner.weights)
	h.Set(engine.HeaderCachedTokens, strconv.Itoa(j.cached))
	h.Set(engine.HeaderImportedTokens, strconv.Itoa(j.imported))
	w.WriteHeader(http.StatusOK)
}

// simulateWork waits for d; while the engine is frozen it makes no progress.
func (e *Engine) simulateWork(ctx context.Context, d time.Duration) error {
	for e.faults.Get().Frozen {
		if err := e.sleep(ctx, frozenPollInterval); err != nil {
			return err
		}
	}
	return e.sleep(ctx, d)
}

func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	sub := e.cfg.Clock.Once(d)
	defer sub.Stop()
	select {
	case <-sub.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) record(j *job, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hits += j.cached
	e.imported += j.imported
	e.prefilled += tokens - j.cached - j.imported
	e.served = append(e.served, Served{
		RequestID:    j.header.Get(engine.HeaderRequestID),
		Attempt:      j.header.Get(engine.HeaderAttempt),
		Account:      j.owner.account,
		Weights:      j.owner.weights,
		Incarnation:  j.owner.incarnation,
		CachedTokens: j.cached,
		PromptTokens: tokens,
	})
	if len(e.served) > maxServed {
		e.served = e.served[1:]
	}
}

func (e *Engine) addQueued(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queuedTokens += tokens
}

func (e *Engine) currentIncarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.Clock.Now().Before(e.downUntil)
}
