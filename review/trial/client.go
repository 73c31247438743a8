package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request is what a client sends.
type request struct {
	id     string
	method string
	path   string
	header map[string]string
	body   string
}

func (r request) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n", r.method, r.path, routeHost, r.id)
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return []byte(b.String())
}

// answer is what the client got.
type answer struct {
	status int
	sealed bool
	body   string
	whole  bool
	err    error
}

// ask sends one request on a new connection.
func ask(ctx context.Context, addr string, r request) answer {
	return askFrom(ctx, net.Dialer{}, addr, r)
}

func askFrom(ctx context.Context, d net.Dialer, addr string, r request) answer {
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := conn.Write(r.bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, sealed: resp.Header.Get("X-Response-Seal") != "", body: string(body), whole: err == nil, err: err}
}

// tally counts answers by kind.
type tally struct {
	mu sync.Mutex
	by map[string]int
}

func newTally() *tally { return &tally{by: make(map[string]int)} }

func (t *tally) add(a answer) {
	kind := fmt.Sprint(a.status)
	switch {
	case a.status == 0:
		kind = "no answer"
	case !a.whole:
		kind += " cut"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.by[kind]++
}

func (t *tally) count(kind string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.by[kind]
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return mustJSON(t.by)
}

// ordinary keeps up the usual traffic until ctx ends: small prompts, orders and reads.
func (w *world) ordinary(ctx context.Context, perSecond int, t *tally) {
	var all sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			all.Wait()
			return
		case <-tick.C:
		}
		r := w.usual(n)
		addr := w.routers[n%len(w.routers)].front
		all.Add(1)
		go func() {
			defer all.Done()
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), 4*time.Second)
			defer cancel()
			t.add(ask(call, addr, r))
		}()
	}
}

func (w *world) usual(n int) request {
	r := request{id: newID(), method: http.MethodPost, header: map[string]string{"Authorization": "Bearer " + key, "X-Deadline-Ms": "4000"}}
	switch n % 4 {
	case 0:
		r.path, r.body = orderPath+fmt.Sprint(n), r.id+strings.Repeat("o", 584)
	case 1:
		r.method, r.path = http.MethodGet, readPath+fmt.Sprint(n%50)
	default:
		r.path, r.body = modelPath+"x", r.id+strings.Repeat("p", 2384)
		r.header["X-Model"], r.header["X-Token-Usage"] = model, "2368,3"
		r.header["X-Prompt-Prefix"] = fmt.Sprintf("%08x:341,%08x:227,%08x:1800", n%20, 1000+n%789, rand.Uint32())
	}
	return r
}
