package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stableWindow is stable_window_ms, in which a machine that says it is ready has to take a new
	// channel while seven clients or more try.
	stableWindow = 3 * time.Second
	minClients   = 7
	usualClients = 12
)

// runHeads has clients send heads without end, a line a second, on many channels to one host, while
// ordinary clients open channels of their own.
func runHeads(w *world, trouble bool) (verdict, error) {
	const (
		conns = 900
		span  = 30 * time.Second
	)
	if err := w.startAll(6, 4); err != nil {
		return verdict{}, err
	}
	target := w.routers[0]
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var all sync.WaitGroup
	t := &turns{w: w, addr: target.front, ready: target.ready}
	for n := range usualClients {
		all.Add(1)
		go func() {
			defer all.Done()
			t.client(ctx, n)
		}()
	}
	all.Add(1)
	go func() {
		defer all.Done()
		t.probe(ctx)
	}()
	time.Sleep(2 * time.Second) // the ordinary clients alone
	s := &slowHeads{addr: target.front}
	if trouble {
		w.record.say("clients begin to send heads without end to %s, on %d channels", target.name, conns)
		for range conns {
			all.Add(1)
			go func() {
				defer all.Done()
				s.run(ctx)
			}()
		}
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
		w.record.say("heads without end: %d channels open, %d opened, %d closed by the host; ordinary tries %d, served %d; ready %d of %d times; memory %.0f MB",
			s.open.Load(), s.opened.Load(), s.closed.Load(), t.tries.Load(), t.served.Load(), t.readyOK.Load(), t.probes.Load(), float64(target.resident())/(1<<20))
	}
	all.Wait()
	longest, clients, unready := t.longestRefusal()
	w.record.say("ordinary tries: %d on new channels, %d served; longest time in which each channel was closed without an answer: %.1f s, with %d clients trying, host not ready %d times in it", t.tries.Load(), t.served.Load(), longest.Seconds(), clients, unready)
	if target.hasEnded() {
		return verdict{broken: true, summary: "the router has ended by itself"}, nil
	}
	summary := fmt.Sprintf("%d of %d ordinary tries were served, the host took no channel of %d clients for %.1f s though it was ready", t.served.Load(), t.tries.Load(), clients, longest.Seconds())
	return verdict{broken: longest > stableWindow && clients >= minClients && unready == 0, summary: summary}, nil
}

// turns are the tries of ordinary clients.
type turns struct {
	w                              *world
	addr, ready                    string
	tries, served, probes, readyOK atomic.Int64

	mu  sync.Mutex
	log []turn
	// notReady holds when the host was asked and was not ready.
	notReady []time.Time
}

type turn struct {
	at     time.Time
	client int
	taken  bool
}

// client asks once or twice a second, each time on a new channel, from an address of its own.
func (t *turns) client(ctx context.Context, n int) {
	from := &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s%d", t.w.prefix, 200+n))}
	for i := 0; ctx.Err() == nil; i++ {
		call, cancel := context.WithTimeout(ctx, 4*time.Second)
		d := net.Dialer{LocalAddr: from}
		a := askFrom(call, d, t.addr, t.w.usual(n+i*usualClients))
		cancel()
		if ctx.Err() != nil {
			return
		}
		t.tries.Add(1)
		if a.status == http.StatusOK && a.whole {
			t.served.Add(1)
		}
		t.mu.Lock()
		t.log = append(t.log, turn{at: time.Now(), client: n, taken: a.status != 0})
		t.mu.Unlock()
		time.Sleep(600 * time.Millisecond)
	}
}

// probe asks once a second whether the host is ready, like the platform.
func (t *turns) probe(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + t.ready + "/api/readiness")
		t.probes.Add(1)
		if err == nil && resp.StatusCode == http.StatusOK {
			t.readyOK.Add(1)
		} else {
			t.mu.Lock()
			t.notReady = append(t.notReady, time.Now())
			t.mu.Unlock()
		}
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(time.Second)
	}
}

// longestRefusal returns the longest time in which no ordinary client got an answer, how many clients
// tried in it, and how often the host was not ready in it.
func (t *turns) longestRefusal() (longest time.Duration, clients, unready int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := 0; i < len(t.log); i++ {
		if t.log[i].taken {
			continue
		}
		tried, j := make(map[int]bool), i
		for ; j < len(t.log) && !t.log[j].taken; j++ {
			tried[t.log[j].client] = true
		}
		if span := t.log[j-1].at.Sub(t.log[i].at); span > longest {
			longest, clients, unready = span, len(tried), 0
			for _, at := range t.notReady {
				if at.After(t.log[i].at) && at.Before(t.log[j-1].at) {
					unready++
				}
			}
		}
		i = j
	}
	return longest, clients, unready
}

// slowHeads are clients that send heads without end.
type slowHeads struct {
	addr                 string
	open, opened, closed atomic.Int64
}

func (s *slowHeads) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.one(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func (s *slowHeads) one(ctx context.Context) {
	conn, err := net.DialTimeout("tcp", s.addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	s.opened.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	}()
	if _, err := io.WriteString(conn, "POST "+modelPath+"x HTTP/1.1\r\nHost: "+routeHost+"\r\n"); err != nil {
		return
	}
	for n := 0; ; n++ {
		select {
		case <-ended:
			if ctx.Err() == nil {
				s.closed.Add(1)
			}
			return
		case <-time.After(time.Second):
		}
		if _, err := fmt.Fprintf(conn, "X-L%d: a\r\n", n); err != nil {
			return
		}
	}
}
