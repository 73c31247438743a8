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

// leaver is a client that may end its side of the channel, and reads on to learn what became of its
// request.
type leaver struct {
	r      request
	leaves bool
	after  time.Duration
	answer
}

func (l *leaver) run(addr string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		l.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write(l.r.bytes()); err != nil {
		l.err = err
		return
	}
	in := bufio.NewReader(conn)
	if l.leaves {
		go func() {
			time.Sleep(l.after) // until the client leaves
			_ = conn.(*net.TCPConn).CloseWrite()
		}()
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: l.r.method})
	if err != nil {
		l.err = err
		return
	}
	body, err := io.ReadAll(resp.Body)
	l.answer = answer{status: resp.StatusCode, sealed: resp.Header.Get("X-Response-Seal") != "", body: string(body), whole: err == nil, err: err}
}

// runLeave has three in ten clients leave within half of the objective, some before they are answered
// in full.
func runLeave(w *world, trouble bool) (verdict, error) {
	const (
		perSecond = 40
		span      = 10 * time.Second
		// For five seconds a share of the clients leaves.
		from, until = 2500 * time.Millisecond, 7500 * time.Millisecond
		share       = 0.3
		objective   = 300 * time.Millisecond
		// pieces is the number of pieces of each stream.
		pieces = 3
	)
	if err := w.startAll(6, 4); err != nil {
		return verdict{}, err
	}
	for _, e := range w.engines {
		e.pause = 20 * time.Millisecond
		e.delay = func() time.Duration { return time.Duration(30+rand.IntN(90)) * time.Millisecond }
	}
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var all sync.WaitGroup
	var list []*leaver
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	start := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		<-tick.C
		now := time.Since(start)
		l := &leaver{r: w.usual(n), leaves: trouble && now >= from && now < until && rand.Float64() < share, after: time.Duration(rand.Int64N(int64(objective / 2)))}
		list = append(list, l)
		all.Add(1)
		go func() {
			defer all.Done()
			l.run(w.routers[n%len(w.routers)].front)
		}()
	}
	all.Wait()
	time.Sleep(200 * time.Millisecond) // until the engines have ended their work
	stayed, left := newTally(), newTally()
	unproven, orders, short := 0, 0, 0
	for _, l := range list {
		if l.leaves {
			left.add(l.answer)
		} else {
			stayed.add(l.answer)
		}
		if l.status/100 != 2 {
			continue
		}
		isStream := strings.HasPrefix(l.r.path, modelPath)
		switch {
		case !l.sealed:
			unproven++
			if strings.HasPrefix(l.r.path, orderPath) {
				orders++
			}
			w.record.say("request %s %s %s: its client left after %d ms and got %d without the proof of an engine, body %q; engines that began it: %v",
				l.r.id, l.r.method, l.r.path, l.after.Milliseconds(), l.status, l.body, w.runs.of(l.r.id))
		case isStream && l.whole && !strings.Contains(l.body, fmt.Sprintf("id: %d\n", pieces)):
			short++
			w.record.say("request %s: its client left after %d ms and got a stream that is complete by its chunks and lacks the last piece, body %q",
				l.r.id, l.after.Milliseconds(), l.body)
		}
	}
	w.record.say("clients that stayed were answered %s, those that left %s", stayed, left)
	summary := fmt.Sprintf("of %d answers %d were a success without the proof of an engine, %d of them to orders, and %d were streams that end early and look complete", len(list), unproven, orders, short)
	return verdict{broken: unproven+short > 0, summary: summary}, nil
}
