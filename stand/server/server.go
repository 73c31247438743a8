// Package server is a stand-in of a platform's endpoints: engines that stream
// events and take orders, and services that answer plainly, as the platform's
// pages describe them.
package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is a request that an endpoint began.
type Run struct {
	ID      string
	Path    string
	Body    string
	Header  http.Header
	Version int
}

// Config says how an endpoint answers.
type Config struct {
	// ID names the incarnation.
	ID string
	// Name is the model that it runs; empty for a plain service.
	Name string
	// Events is how many events a stream has, Pause the time before each.
	Events int
	Pause  time.Duration
}

// Endpoint is a server's incarnation. It is safe for concurrent use.
type Endpoint struct {
	cfg Config

	mu      sync.Mutex
	version int
	orders  int64
	holders []string
	runs    []Run
	// behaviorOf decides the behavior of a request; nil for an answer.
	behaviorOf func(r *http.Request) Behavior
}

// Behavior is what happens to a request.
type Behavior int

// The fates.
const (
	// Respond runs the request and answers it.
	Respond Behavior = iota
	// Reject refuses it unrun.
	Reject
	// Fail runs it and answers 500.
	Fail
	// OmitSeal runs it and answers without a seal.
	OmitSeal
	// BreakConnection runs it and breaks the connection, a stream after two events.
	BreakConnection
	// RejectUnmarked runs it and answers 503 without saying that it did not run it.
	RejectUnmarked
)

// New returns an endpoint with the first version of its weights.
func New(cfg Config) *Endpoint { return &Endpoint{cfg: cfg, version: 1} }

// SetBehavior sets what happens to requests from now on.
func (e *Endpoint) SetBehavior(behaviorOf func(r *http.Request) Behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviorOf = behaviorOf
}

// Runs returns the requests that the endpoint has begun.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run{}, e.runs...)
}

// Version returns the version of the weights, Holders who ordered them.
func (e *Endpoint) Version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Holders returns who gave each order, with its fencing token.
func (e *Endpoint) Holders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.holders...)
}

// Entry is what the endpoint writes to the store of itself.
func (e *Endpoint) Entry(service, address, zone, state string, sequence int) map[string]any {
	entry := map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1",
		"slots": 4, "state": state, "cold_left_ms": 0, "sequence": sequence,
	}
	if e.cfg.Name != "" {
		entry["models"] = e.models()
	}
	return entry
}

func (e *Endpoint) models() []map[string]any {
	return []map[string]any{{"name": e.cfg.Name, "version": e.Version(), "adapters": []string{}}}
}

// ServeHTTP answers requests, reports and orders.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.cfg.ID {
		w.Header().Set("X-Instance-Id", e.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		e.report(w)
	case "/api/order":
		e.order(w, r)
	default:
		e.request(w, r)
	}
}

func (e *Endpoint) report(w http.ResponseWriter) {
	e.mu.Lock()
	orders := e.orders
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "unified", "models": e.models(), "busy": false, "sequence": orders})
}

func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Version      int    `json:"version"`
		Holder       string `json:"holder"`
		FencingToken int64  `json:"fencing_token"`
		Precondition *int64 `json:"precondition"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Holder == "" || in.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.version == in.Version:
		w.WriteHeader(http.StatusOK)
	case in.Precondition != nil && *in.Precondition != e.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		e.version = in.Version
		e.orders++
		e.holders = append(e.holders, fmt.Sprintf("%s %d", in.Holder, in.FencingToken))
		w.WriteHeader(http.StatusAccepted)
	}
}

// SetVersion changes the weights without an order, so that nobody has heard of it.
func (e *Endpoint) SetVersion(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
}

func (e *Endpoint) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Expect-Version"); want != "" && want != strconv.Itoa(e.Version()) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	behavior := Respond
	if e.behaviorOf != nil {
		behavior = e.behaviorOf(r)
	}
	if behavior != Reject {
		e.runs = append(e.runs, Run{ID: r.Header.Get("X-Request-Id"), Path: r.RequestURI, Body: string(body), Header: r.Header.Clone(), Version: e.version})
	}
	e.mu.Unlock()
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if behavior == Reject {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if behavior != OmitSeal && behavior != RejectUnmarked {
		h.Set("X-Response-Seal", "seal-"+e.cfg.ID)
	}
	switch {
	case behavior == Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case behavior == RejectUnmarked:
		w.WriteHeader(http.StatusServiceUnavailable)
	case e.cfg.Events > 0:
		e.stream(w, r, behavior)
	case behavior == BreakConnection:
		panic(http.ErrAbortHandler)
	default:
		_, _ = fmt.Fprintf(w, "answer of %s to %s", e.cfg.ID, body)
	}
}

// eventsBeforeBreak is the event after which a stream breaks off, in the middle of the next.
const eventsBeforeBreak = 2

func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, behavior Behavior) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.Itoa(e.Version()))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	for id := last + 1; id <= e.cfg.Events; id++ {
		pause := time.NewTimer(e.cfg.Pause)
		select {
		case <-pause.C:
		case <-r.Context().Done():
			pause.Stop()
			return
		}
		if behavior == BreakConnection && id > last+eventsBeforeBreak {
			_, _ = fmt.Fprintf(w, "id: %d\nda", id)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", id, id)
		_ = control.Flush()
	}
}
