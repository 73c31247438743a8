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

// run is a request that a stand-in engine began to work on.
type run struct {
	id     string
	engine string
	build  string
	began  time.Time
	first  int
}

// engine is a stand-in of an engine or a worker. The query of a request tells what it asks for:
// "work" and "gap" are times in ms, "events" the number of events of a stream and "bytes" the size of
// the answer.
type engine struct {
	c       *cluster
	id      string
	service string
	zone    string
	build   string
	model   bool
	address string
	srv     *http.Server

	mu       sync.Mutex
	listener net.Listener
	// user is the host whose client's request came last on each channel.
	user     map[net.Conn]string
	sequence int64
	orders   int64
	version  int
	stopped  chan struct{}
	born     int64
}

type connKey struct{}

func (c *cluster) startEngine(id, service, zone, build string, model bool) *engine {
	e := &engine{c: c, id: id, service: service, zone: zone, build: build, model: model, user: map[net.Conn]string{}, version: 1, stopped: make(chan struct{}), born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", c.ip(200)+":0")
	must(err)
	e.listener, e.address = l, l.Addr().String()
	e.srv = &http.Server{
		Handler: http.HandlerFunc(e.serve),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				e.mu.Lock()
				delete(e.user, conn)
				e.mu.Unlock()
			}
		},
	}
	go func() { _ = e.srv.Serve(l) }()
	go e.beat()
	c.engines = append(c.engines, e)
	return e
}

// beat writes the entry as often as engines do.
func (e *engine) beat() {
	for {
		e.register()
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-e.stopped:
			return
		}
	}
}

func (e *engine) register() {
	e.mu.Lock()
	e.sequence++
	body := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": e.build, "slots": 32, "state": "ready", "cold_left_ms": 0, "sequence": e.sequence, "born": e.born}
	if e.model {
		body["models"] = []map[string]any{{"name": "m", "version": e.version, "adapters": []string{}}}
	}
	e.mu.Unlock()
	e.c.store.put("keyed.servers", e.id, body)
}

// refuse makes new channels be refused, and resets those that carried requests of a host.
func (e *engine) refuse(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for conn, user := range e.user {
		if user == host {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// accept takes new channels again.
func (e *engine) accept() {
	l, err := net.Listen("tcp", e.address)
	must(err)
	e.mu.Lock()
	e.listener = l
	e.mu.Unlock()
	go func() { _ = e.srv.Serve(l) }()
}

// hostOf returns the host to which a client sent the request with an ID, "HOST-...".
func hostOf(id string) string {
	host, _, _ := strings.Cut(id, "-")
	return host
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(net.Conn)
	id := r.Header.Get("X-Request-Id")
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", e.id)
		return
	case "/api/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		reply(w, 200, map[string]any{"stage": "unified", "models": []map[string]any{{"name": "m", "version": e.version, "adapters": []string{}}}, "busy": false, "sequence": e.orders, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 200000, "handles": 0})
		return
	case "/api/order":
		var o struct {
			Version      int
			Precondition *int64
		}
		_ = json.NewDecoder(r.Body).Decode(&o)
		e.mu.Lock()
		defer e.mu.Unlock()
		if o.Precondition != nil && *o.Precondition != e.orders {
			w.WriteHeader(http.StatusConflict)
			return
		}
		e.orders++
		e.version = o.Version
		w.WriteHeader(http.StatusAccepted)
		return
	}
	e.mu.Lock()
	e.user[conn] = hostOf(id)
	e.mu.Unlock()
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h := w.Header()
	h.Set("X-Request-Id", id)
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	build := e.build
	e.mu.Unlock()
	e.c.began(run{id: id, engine: e.id, build: build, began: time.Now(), first: last + 1})
	h.Set("X-Response-Seal", "seal."+id)
	number := func(name string) int {
		n, _ := strconv.Atoi(r.URL.Query().Get(name))
		return n
	}
	pause := func(ms int) bool {
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
			return true
		case <-r.Context().Done():
			return false
		}
	}
	if !pause(number("work")) {
		return
	}
	if !e.model {
		body := strings.Repeat("x", max(2, number("bytes")))
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	for n := last + 1; n <= number("events"); n++ {
		if n > last+1 && !pause(number("gap")) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, build, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
