package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cicadastand.dev/core/proto/engine"
	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/prefix"
)

// CrashMarker is the text that crashes an engine that runs a prompt with it.
const CrashMarker = "[[crash-engine]]"

const (
	maxBody     = 8 << 20
	frozenCheck = 20 * time.Millisecond
)

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serve(openai.Chat))
	mux.HandleFunc("POST /v1/completions", e.serve(openai.Text))
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /control/stats", e.stats)
	mux.HandleFunc("POST /control/crash", e.crash)
	mux.HandleFunc("POST /control/leave", e.leave)
	mux.Handle("/control/faults", e.faults)
	return mux
}

// job is one request on its way through the engine.
type job struct {
	req      *openai.Request
	header   http.Header
	who      owner
	chain    []prefix.Key
	urgent   bool
	from     int
	life     context.Context
	cached   int
	imported int
	// crossed says that the answer is another request's.
	crossed bool
}

func (e *Engine) serve(kind openai.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() {
			panic(http.ErrAbortHandler)
		}
		if e.faults.TakeRefuse() {
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
		j, err := e.accept(req, r.Header)
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
		e.execute(w, r, j)
	}
}

// accept checks what the request expects of the engine.
func (e *Engine) accept(req *openai.Request, h http.Header) (*job, error) {
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
		who:    owner{account: scope.Account, weights: weights, incarnation: e.incarnation},
		chain:  prefix.Chain(scope, req.Prompt),
		urgent: h.Get(engine.HeaderPriority) == "urgent",
		from:   from,
		life:   e.life,
	}, nil
}

func (e *Engine) execute(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(j.life, cancel)()
	tokens := prefix.EstimateTokens(j.req.Prompt)
	e.addQueued(tokens)
	err := e.slots.acquire(ctx, j.urgent)
	if err != nil {
		e.addQueued(-tokens)
		panic(http.ErrAbortHandler)
	}
	defer e.slots.release()
	err = e.fill(ctx, j, tokens)
	e.addQueued(-tokens)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.note(j, tokens)
	if e.stream(ctx, w, j, tokens) != nil {
		panic(http.ErrAbortHandler)
	}
}

// fill computes the part of the prompt that the cache lacks.
func (e *Engine) fill(ctx context.Context, j *job, tokens int) error {
	if err := e.prefill.acquire(ctx, j.urgent); err != nil {
		return err
	}
	defer e.prefill.release()
	j.cached = e.lookup(j.chain, j.who) * prefix.PieceTokens
	imported, err := e.importKept(ctx, j, j.cached/prefix.PieceTokens)
	if err != nil {
		return err
	}
	j.imported = imported * prefix.PieceTokens
	missed := tokens - j.cached - j.imported
	work := time.Duration(float64(missed) / e.cfg.PrefillRate * float64(time.Second))
	if err := e.work(ctx, work); err != nil {
		return err
	}
	e.store(j.chain, j.who)
	e.exportKept(ctx, j)
	return nil
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, j *job, tokens int) error {
	j.crossed = e.faults.TakeCross()
	e.writeHeader(w, j)
	a := &answer{
		req:     j.req,
		weights: j.who.weights,
		id:      "cmpl-" + j.header.Get(engine.HeaderRequestID),
		created: e.cfg.Clock.Now().Unix(),
		cached:  j.cached,
		tokens:  tokens,
	}
	out := http.NewResponseController(w)
	if j.crossed {
		another := *j.req
		another.Prompt = "the prompt of another request"
		a.req = &another
	}
	cut := e.faults.Get().CutStreamsAfter
	for i := j.from; i < a.events(); i++ {
		if i < j.req.MaxTokens {
			if err := e.work(ctx, e.cfg.TokenTime); err != nil {
				return err
			}
		}
		if cut > 0 && i-j.from >= cut {
			return errors.New("stream is cut")
		}
		if i+1 == e.faults.Get().SkipEvent {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, a.event(i)); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("flush event: %w", err)
		}
	}
	return nil
}

func (e *Engine) writeHeader(w http.ResponseWriter, j *job) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(engine.HeaderRequestID, j.header.Get(engine.HeaderRequestID))
	h.Set(engine.HeaderAttempt, j.header.Get(engine.HeaderAttempt))
	if j.crossed {
		h.Set(engine.HeaderRequestID, "another-request")
	}
	h.Set(engine.HeaderIncarnation, j.who.incarnation)
	h.Set(engine.HeaderWeights, j.who.weights)
	h.Set(engine.HeaderCachedTokens, strconv.Itoa(j.cached))
	h.Set(engine.HeaderImportedTokens, strconv.Itoa(j.imported))
	w.WriteHeader(http.StatusOK)
}

// work takes time, and no progress is made while the engine is frozen.
func (e *Engine) work(ctx context.Context, d time.Duration) error {
	for e.faults.Get().Frozen {
		if err := e.sleep(ctx, frozenCheck); err != nil {
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

func (e *Engine) note(j *job, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hits += j.cached
	e.imported += j.imported
	e.prefilled += tokens - j.cached - j.imported
	e.served = append(e.served, Served{
		RequestID:    j.header.Get(engine.HeaderRequestID),
		Attempt:      j.header.Get(engine.HeaderAttempt),
		Account:      j.who.account,
		Weights:      j.who.weights,
		Incarnation:  j.who.incarnation,
		CachedTokens: j.cached,
		PromptTokens: tokens,
	})
	if len(e.served) > servedKept {
		e.served = e.served[1:]
	}
}

func (e *Engine) addQueued(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queuedToks += tokens
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
