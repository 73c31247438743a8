package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stream is a stream over all tries of its client.
type stream struct {
	id     string
	last   int
	builds map[string]int
	tries  []string
	done   bool
}

// take reads events until the answer ends.
func (s *stream) take(ctx context.Context, addr, id string, tokens int) string {
	r := request{id: id, method: http.MethodPost, path: longPath + "x", body: strings.Repeat("p", 12000), header: map[string]string{
		"Authorization": "Bearer " + key, "X-Deadline-Ms": "12000", "X-Model": model, "X-Token-Usage": fmt.Sprintf("6610,%d", tokens),
		"X-Prompt-Prefix": fmt.Sprintf("0000beef:512,%s:4870,%s:1228", id[:8], id[8:])}}
	if s.last > 0 {
		r.header["Last-Event-Id"], r.header["Resumes"] = strconv.Itoa(s.last), s.id
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := conn.Write(r.bytes()); err != nil {
		return "not sent"
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return "no answer"
	}
	if resp.StatusCode != http.StatusOK {
		return strconv.Itoa(resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last, _ = strconv.Atoi(id)
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			build, _, _ := strings.Cut(data, " ")
			s.builds[build]++
		}
	}
	if lines.Err() != nil {
		return "200 cut"
	}
	s.done = true
	return "200"
}

// runDrill has the store come back from a copy during a release, while a router is stopped as planned.
// Its clients then take their streams up at others.
func runDrill(w *world, trouble bool) (verdict, error) {
	const (
		streams = 60
		tokens  = 66
		pause   = 150 * time.Millisecond
	)
	// Until the first drill the store has come back from a copy 0 times.
	w.store.era = 0
	if text := os.Getenv("FIRST_ERA"); text != "" {
		w.store.era, _ = strconv.Atoi(text)
	}
	zones := []string{"quito-norte", "quito-sur", "latacunga", "ambato"}
	w.publish(7, nil)
	add := func(n int, build string) error {
		e, err := w.startEngine(fmt.Sprintf("i-%s-%02d", build, n), "asistente", zones[n%4], fmt.Sprintf("%s%d:8180", w.prefix, 100+n), true, func(e *engine) { e.build, e.pause = build, pause })
		if err == nil {
			w.engines = append(w.engines, e)
		}
		return err
	}
	for n := range 6 {
		if err := add(n, "v1"); err != nil {
			return verdict{}, err
		}
	}
	for i := range 6 {
		if _, err := w.startRouter(i, zones[i%4]); err != nil {
			return verdict{}, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second) // until the hosts know each other
	w.record.say("%d routers are ready, Store-Era is %d", len(w.routers), w.store.era)
	for n := 6; n < 12; n++ {
		if err := add(n, "v2"); err != nil {
			return verdict{}, err
		}
	}
	w.record.say("a release begins: 6 engines of software version v2 have joined 6 of v1")
	time.Sleep(5 * time.Second) // until streams begin at both versions
	snapshot := w.store.lengths()
	w.record.say("the copy of the store is made")
	_ = w.routers[0].cmd.Process.Signal(syscall.SIGTERM)
	w.record.say("%s gets SIGTERM, clients still open channels there for two seconds", w.routers[0].name)
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	var all sync.WaitGroup
	list := make([]*stream, streams)
	for i := range list {
		s := &stream{id: newID(), builds: make(map[string]int)}
		list[i] = s
		all.Add(1)
		go func() {
			defer all.Done()
			for try := 0; try < 4 && !s.done && ctx.Err() == nil; try++ {
				id, addr := s.id, w.routers[0].front
				if try > 0 {
					id, addr = newID(), w.routers[1+(i+try)%5].front
				}
				s.tries = append(s.tries, s.take(ctx, addr, id, tokens)+fmt.Sprintf(" (%d)", s.last))
				if !s.done {
					time.Sleep(300 * time.Millisecond) // before the next try
				}
			}
		}()
		time.Sleep(15 * time.Millisecond)
	}
	if trouble {
		w.record.say("the store is away, and comes back after a second from the copy")
		if err := w.store.restore(snapshot, time.Second, 0); err != nil {
			return verdict{}, err
		}
		w.record.say("the store is back, Store-Era is %d", w.store.era)
	} else {
		time.Sleep(time.Second)
	}
	<-w.routers[0].done
	w.record.say("%s has ended", w.routers[0].name)
	all.Wait()
	mixed, whole, resumed := 0, 0, 0
	for _, s := range list {
		if s.done {
			whole++
		}
		if len(s.tries) > 1 {
			resumed++
		}
		note := ""
		if len(s.builds) > 1 {
			mixed++
			note = "  EVENTS OF TWO VERSIONS"
		}
		w.record.say("stream %s: tries %v, events by version %v%s", s.id, s.tries, s.builds, note)
	}
	w.record.say("%d streams, %d complete, %d taken up again, %d hold events of two versions", streams, whole, resumed, mixed)
	return verdict{broken: mixed > 2, summary: fmt.Sprintf("%d of %d streams that were taken up again hold events of two versions", mixed, resumed)}, nil
}
