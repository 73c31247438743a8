// Package server is a test double of the platform's endpoints: engines that stream
// events and load weights on request, and services that send one response body, as
// the platform's documentation describes them.
package server

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is a request that an endpoint started to execute.
type Run struct {
	ID      string
	Path    string
	Body    string
	Header  http.Header
	Version int
	At      time.Time
}

// Config describes an endpoint.
type Config struct {
	// ID is the instance ID. It changes with each start.
	ID string
	// Build is the version of the software; "v1" if empty.
	Build string
	// Name is the name of the model that it runs; empty for a service other than a model.
	Name string
	// Events is the number of events in a stream; 0 sends one response body.
	// Pause is the time before each event.
	Events int
	Pause  time.Duration
	// RejectOrders makes the endpoint answer each order as if another one were in progress.
	RejectOrders bool
	// Crash ends the process of the endpoint; used by the behavior of the same name.
	Crash func()
}

// Endpoint is one instance of an engine or a service. It is safe for concurrent use.
type Endpoint struct {
	cfg Config

	mu      sync.Mutex
	version int
	// orders is the number of orders to load weights that took effect.
	orders int64
	// holders has the lease holder and fencing token of each of these orders.
	holders []string
	runs    []Run
	// written is the number of bytes of long and endless bodies that were sent.
	written int
	// notices are headers of all responses to requests.
	notices http.Header
	// behaviorOf chooses the behavior for a request; nil responds to each.
	behaviorOf func(r *http.Request) Behavior
}

// Behavior is how an endpoint handles a request.
type Behavior int

// The behaviors.
const (
	// Respond executes the request and responds.
	Respond Behavior = iota
	// Reject returns 503 with the header that says that the request was not executed.
	Reject
	// Fail executes the request and returns 500.
	Fail
	// OmitSeal executes the request and responds without the seal header, which proves
	// that a response was created by an endpoint.
	OmitSeal
	// BreakConnection executes the request and closes the connection, in a stream
	// after two events.
	BreakConnection
	// RejectUnmarked executes the request and returns 503 without the header of Reject.
	RejectUnmarked
	// SendLongBody executes the request and responds with LongBody bytes.
	SendLongBody
	// BreakLongBody is like SendLongBody, but closes the connection within the body.
	BreakLongBody
	// SendEndlessBody executes the request and responds with a body, or in a stream with
	// one event, that does not end until the caller closes the connection.
	SendEndlessBody
	// Crash executes the request and crashes after one pause, before it responds.
	Crash
	// CrashInStream executes the request and crashes one pause after the first event.
	CrashInStream
	// CrashUnframed is like CrashInStream, with neither a length nor chunks: the end of the
	// connection is all that there is to see.
	CrashUnframed
	// CrashInNewStream is like CrashInStream, but only for streams that begin. The rest of one is
	// sent whole.
	CrashInNewStream
	// CrashInLongBody is like BreakLongBody, but crashes within the body.
	CrashInLongBody
)

const (
	// LongBody is the length of a long response body in bytes.
	LongBody = 24 << 20
	// brokenBody is how much of it is sent before the connection is closed.
	brokenBody = 2 << 20
)

// New returns an endpoint with version 1 of its weights.
func New(cfg Config) *Endpoint { return &Endpoint{cfg: cfg, version: 1} }

// SetBehavior sets the function that chooses the behavior for each later request.
func (e *Endpoint) SetBehavior(behaviorOf func(r *http.Request) Behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviorOf = behaviorOf
}

// SetNotice sets a header of all later responses to requests; no values remove it.
func (e *Endpoint) SetNotice(name string, values ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := e.notices.Clone()
	if next == nil {
		next = make(http.Header)
	}
	next[name] = values
	e.notices = next
}

// Runs returns the requests that the endpoint has started to execute.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run{}, e.runs...)
}

// Written returns how many bytes of long and endless bodies the endpoint has sent.
func (e *Endpoint) Written() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.written
}

// Version returns the version of the loaded weights.
func (e *Endpoint) Version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Holders returns the lease holder and fencing token of each order that took effect.
func (e *Endpoint) Holders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.holders...)
}

// Entry returns the endpoint's own entry in the metadata store.
func (e *Endpoint) Entry(service, address, zone, state string, sequence int) map[string]any {
	entry := map[string]any{
		"service": service, "address": address, "zone": zone, "version": cmp.Or(e.cfg.Build, "v1"),
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

// ServeHTTP serves requests, reports and orders to load weights.
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
	case e.cfg.RejectOrders, in.Precondition != nil && *in.Precondition != e.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		e.version = in.Version
		e.orders++
		e.holders = append(e.holders, fmt.Sprintf("%s %d", in.Holder, in.FencingToken))
		w.WriteHeader(http.StatusAccepted)
	}
}

// SetVersion changes the weights without an order, so that no router knows of it.
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
		e.runs = append(e.runs, Run{ID: r.Header.Get("X-Request-Id"), Path: r.RequestURI, Body: string(body), Header: r.Header.Clone(), Version: e.version, At: time.Now()})
	}
	notices := e.notices
	e.mu.Unlock()
	h := w.Header()
	for name, values := range notices {
		h[name] = values
	}
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
	case behavior == SendLongBody:
		h.Set("Content-Length", strconv.Itoa(LongBody))
		e.writeBody(w, LongBody)
	case behavior == BreakLongBody:
		e.writeBody(w, brokenBody)
		panic(http.ErrAbortHandler)
	case behavior == CrashInLongBody:
		e.writeBody(w, brokenBody)
		e.cfg.Crash()
		panic(http.ErrAbortHandler)
	case behavior == SendEndlessBody:
		e.writeBody(w, math.MaxInt)
	case behavior == Crash:
		time.Sleep(e.cfg.Pause) // other requests begin meanwhile
		e.cfg.Crash()
		panic(http.ErrAbortHandler)
	case e.cfg.Events > 0:
		e.stream(w, r, behavior)
	case behavior == BreakConnection:
		panic(http.ErrAbortHandler)
	default:
		_, _ = fmt.Fprintf(w, "answer of %s to %s", e.cfg.ID, body)
	}
}

// writeBody sends n bytes, or as many as the caller takes.
func (e *Endpoint) writeBody(w io.Writer, n int) {
	block := bytes.Repeat([]byte("0123456789abcdef"), 4<<10)
	for n > 0 {
		sent, err := w.Write(block[:min(n, len(block))])
		e.mu.Lock()
		e.written += sent
		e.mu.Unlock()
		if err != nil {
			return
		}
		n -= sent
	}
}

// eventsBeforeBreak is the number of events that a stream sends with BreakConnection;
// it breaks in the middle of the next one.
const eventsBeforeBreak = 2

func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, behavior Behavior) {
	w.Header().Set("Content-Type", "text/event-stream")
	if behavior == CrashUnframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
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
		if behavior == CrashInStream || behavior == CrashUnframed || behavior == CrashInNewStream && last == 0 {
			time.Sleep(e.cfg.Pause) // the event arrives meanwhile
			e.cfg.Crash()
			panic(http.ErrAbortHandler)
		}
	}
}
