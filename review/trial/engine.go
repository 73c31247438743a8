package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of a sound engine: of a model engine, which answers with streams, or of an
// order service.
type engine struct {
	id      string
	service string
	zone    string
	addr    string
	isModel bool
	// build is the version of the software.
	build string
	// pause is the time between two events of a stream.
	pause time.Duration
	born  int64
	beats atomic.Int64
	// work is the time that a request takes.
	work time.Duration
	// delay returns the work of each request instead, if it is set.
	delay func() time.Duration
	// intercept answers a request in another way, on its connection, and reports whether it did.
	intercept func(e *engine, conn net.Conn, r *http.Request) bool

	w        *world
	server   *http.Server
	listener net.Listener
	connsMu  sync.Mutex
	conns    map[net.Conn]bool
	// down is set while the engine has crashed.
	down bool
	// weights is the version of its weights, and orders counts those that it has accepted.
	weights atomic.Int64
	orders  atomic.Int64
	stop    chan struct{}
	once    sync.Once
}

const model = "m0"

func (w *world) startEngine(id, service, zone, addr string, isModel bool, options ...func(*engine)) (*engine, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, addr: l.Addr().String(), isModel: isModel, build: "v1", born: time.Now().UnixMilli(), work: 20 * time.Millisecond, w: w, listener: l, conns: make(map[net.Conn]bool), stop: make(chan struct{})}
	e.weights.Store(1)
	for _, set := range options {
		set(e)
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), MaxHeaderBytes: 64 << 10, ConnState: e.track}
	go func() { _ = e.server.Serve(l) }()
	e.beat("ready")
	go func() {
		for {
			select {
			case <-time.After(1200 * time.Millisecond):
				if e.isUp() {
					e.beat("ready")
				}
			case <-e.stop:
				return
			}
		}
	}()
	return e, nil
}

func (e *engine) beat(state string) {
	entry := map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": e.build, "slots": 32, "state": state,
		"cold_left_ms": 0, "sequence": e.beats.Add(1), "born": e.born,
	}
	if e.isModel {
		entry["stage"], entry["models"] = "unified", []any{map[string]any{"name": model, "version": e.weights.Load(), "adapters": []any{}}}
	}
	e.w.store.put("keyed.servers", e.id, entry)
}

// track holds the channels that are open.
func (e *engine) track(c net.Conn, state http.ConnState) {
	e.connsMu.Lock()
	defer e.connsMu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = true
	case http.StateClosed:
		delete(e.conns, c)
	default:
	}
}

func (e *engine) isUp() bool {
	e.connsMu.Lock()
	defer e.connsMu.Unlock()
	return !e.down
}

func (e *engine) end() {
	e.once.Do(func() {
		close(e.stop)
		_ = e.server.Close()
	})
}

func (e *engine) serve(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		rw.Header().Set("X-Instance-Id", e.id)
		return
	case "/api/report":
		writeJSON(rw, http.StatusOK, map[string]any{"stage": "unified", "models": []any{map[string]any{"name": model, "version": e.weights.Load(), "adapters": []any{}}},
			"busy": false, "sequence": e.orders.Load(), "waiting": 0, "running": 0, "kv_used": 0, "kv_total": kvTokens, "handles": 0})
		return
	}
	if r.URL.Path == "/api/order" {
		e.order(rw, r)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		rw.Header().Set("X-Instance-Id", e.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := r.Header.Get("X-Expect-Version"); want != "" && want != strconv.FormatInt(e.weights.Load(), 10) {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if e.intercept != nil {
		// The connection is taken only if the request is answered in another way.
		if e.intercept(e, nil, r) {
			conn, _, err := rw.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			e.intercept(e, conn, r)
			return
		}
	}
	e.w.runs.add(id, e.id)
	work := e.work
	if e.delay != nil {
		work = e.delay()
	}
	time.Sleep(work) // the work of the request
	h := rw.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Seal", "seal."+e.id+"."+id)
	if !e.isModel {
		body := "done " + id
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(rw, body)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", strconv.FormatInt(e.weights.Load(), 10))
	_, most, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	n, _ := strconv.Atoi(most)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= max(1, n); i++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s %s\n\n", i, e.build, e.id)
		if rw.(http.Flusher).Flush(); r.Context().Err() != nil {
			return
		}
		time.Sleep(e.pause) // until the next event is made
	}
}

// order accepts new weights, and loads them in a fifth of a second.
func (e *engine) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Version      int64  `json:"version"`
		Holder       string `json:"holder"`
		FencingToken int64  `json:"fencing_token"`
		Precondition *int64 `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.Precondition != nil && *o.Precondition != e.orders.Load() {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	e.w.record.say("engine %s gets an order for version %d from %s, fencing token %d", e.id, o.Version, o.Holder, o.FencingToken)
	e.orders.Add(1)
	time.AfterFunc(210*time.Millisecond, func() {
		e.weights.Store(o.Version)
		e.beat("ready")
	})
	rw.WriteHeader(http.StatusAccepted)
}
