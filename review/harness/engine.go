package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of one engine, or of one worker of a service without a model.
type engine struct {
	w       *world
	service string
	zone    string
	addr    string
	build   string
	model   string
	slots   chan struct{}
	// work is the time of a request, or of a stream before its first event; pause is the
	// time between events.
	work   time.Duration
	events int
	pause  time.Duration
	// crashes says whether a request crashes the engine that begins to run it; away is how
	// long the engine is then gone.
	crashes func(r *http.Request) bool
	away    time.Duration

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	version  int
	orders   int64
	sequence int64
	server   *http.Server
	up       bool
	// cached holds, by salt and ID, the tenant whose request made each part that is kept.
	cached map[string]string
}

// start opens the engine's address and writes its entry, as a new boot.
func (e *engine) start() error {
	addr := e.addr
	if addr == "" {
		addr = e.w.ip(200) + ":0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.addr = l.Addr().String()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", e.addr[len(e.addr)-5:], e.starts)
	e.born = time.Now().UnixMilli()
	e.orders, e.up, e.cached = 0, true, make(map[string]string)
	e.slots = make(chan struct{}, cap(e.slots))
	if e.version == 0 {
		e.version = 1
	}
	boot := &boot{e: e, id: e.id}
	e.server = &http.Server{Handler: boot}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.beat()
	return nil
}

func (e *engine) beat() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.sequence++
	entry := map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": e.build, "slots": cap(e.slots),
		"state": "ready", "cold_left_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	if e.model != "" {
		entry["stage"], entry["models"] = "unified", e.models()
	}
	id := e.id
	e.mu.Unlock()
	e.w.store.put("keyed.servers", id, entry)
}

// models returns the list of models; the caller holds the lock.
func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}
}

// crash ends the engine: its channels break, its port refuses. After away it starts again
// with a new id, and its former entry is removed.
func (e *engine) crash(why string) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	old, server := e.id, e.server
	e.mu.Unlock()
	e.w.note("crash", old, "", why)
	_ = server.Close()
	go func() {
		time.Sleep(e.away)
		if e.w.ended() {
			return
		}
		e.w.store.put("keyed.servers", old, nil)
		for e.start() != nil {
			time.Sleep(20 * time.Millisecond)
		}
		e.w.note("back", e.id, "", "")
	}()
}

// boot is one boot of an engine.
type boot struct {
	e  *engine
	id string
}

// ServeHTTP serves requests, reports and orders.
func (b *boot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := b.e
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		e.mu.Lock()
		body := map[string]any{"stage": "unified", "models": e.models(), "busy": false, "sequence": e.orders, "waiting": 0, "running": len(e.slots), "kv_used": 0, "kv_total": 200000, "handles": 0, "born": e.born}
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case "/health":
		w.Header().Set("X-Instance-Id", b.id)
	default:
		b.request(w, r)
	}
}

func (b *boot) request(w http.ResponseWriter, r *http.Request) {
	e, id := b.e, r.Header.Get("X-Request-Id")
	e.w.note("arrives", b.id, id, r.RequestURI+" "+r.Header.Get("X-Prompt-Prefix"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Version"); want != "" && want != strconv.Itoa(e.version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	e.mu.Lock()
	slots := e.slots
	e.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slots }()
	e.w.note("runs", b.id, id, fmt.Sprintf("%s, body of %d bytes", r.RequestURI, len(body)))
	e.usePrompt(b.id, r.Header)
	if !wait(ctx, e.work) {
		return
	}
	if e.crashes != nil && e.crashes(r) {
		e.crash("by request " + id)
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Response-Seal", "seal-"+b.id+"-"+id)
	if e.events == 0 {
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", strconv.Itoa(e.version))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= e.events; n++ {
		if n > last+1 && !wait(ctx, e.pause) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// usePrompt finds the parts of a prompt that the engine keeps under the request's salt, records
// who made them, and keeps the others. Parts behind one that is not kept are read again.
func (e *engine) usePrompt(boot string, h http.Header) {
	text := h.Get("X-Prompt-Prefix")
	if text == "" {
		return
	}
	tenant, salt := h.Get("X-Tenant"), h.Get("X-Cache-Salt")
	e.mu.Lock()
	defer e.mu.Unlock()
	found := true
	for part := range strings.SplitSeq(text, ",") {
		id, _, _ := strings.Cut(part, ":")
		key := salt + " " + id
		maker, ok := e.cached[key]
		if found = found && ok; found {
			e.w.note("uses", boot, h.Get("X-Request-Id"), fmt.Sprintf("tenant %s uses part %s that tenant %s made, salt %q", tenant, id, maker, salt))
			continue
		}
		e.cached[key] = tenant
	}
}
