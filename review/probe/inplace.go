package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// downTime is how long an engine is down while it restarts, and restartGap the time from
	// the restart of one engine to that of the next.
	downTime   = 300 * time.Millisecond
	restartGap = 400 * time.Millisecond
)

// upgrade restarts the engine under its ID with newer software. It writes its entry at once.
func (e *engine) upgrade(build string) {
	e.mu.Lock()
	_ = e.listener.Close()
	for conn := range e.user {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.c.note("engine %s goes down", e.id)
	time.Sleep(downTime)
	e.mu.Lock()
	e.build, e.born, e.sequence, e.orders = build, time.Now().UnixMilli(), 0, 0
	e.mu.Unlock()
	e.accept()
	e.register()
	e.c.note("engine %s is back under its ID with software %s, and has written its entry", e.id, build)
}

// restartInPlace: half of the engines restart one after the other under their IDs, with newer
// software.
func restartInPlace(c *cluster) {
	c.putConfig(1)
	for i := range 6 {
		c.startEngine(fmt.Sprint("engine-", i), "engines", fmt.Sprint("z", 1+i%2), "v1", true)
	}
	c.startHosts("z1", "z2")
	c.waitReady()
	c.eventually("the hosts have set a base version", 12*time.Second, func() bool { return c.store.count("keyed.cicada-bases") > 0 })
	time.Sleep(2 * time.Second)
	const streams, all = 100, 60
	var done sync.WaitGroup
	var mixed, whole, resumed atomic.Int64
	software := func(event string) string {
		_, text, _ := strings.Cut(event, "data: ")
		build, _, _ := strings.Cut(text, " ")
		return build
	}
	for i := range streams {
		done.Add(1)
		go func() {
			defer done.Done()
			first := fmt.Sprintf("%s-chat%d", c.hosts[i%2].name, i)
			var events []string
			// A client takes a stream up twice at most.
			for try := range 3 {
				h := c.hosts[(i+try)%2]
				q := request{id: first, method: "POST", path: fmt.Sprintf("/chat/?events=%d&gap=100", all), body: []byte(first),
					header: []string{"X-Model: m", "X-Token-Usage: 100,60", fmt.Sprintf("X-Prompt-Prefix: %x:50,%x:50", 100+i%10, 1000+i)}}
				if try > 0 {
					q.id = fmt.Sprintf("%s-again%d.%d", h.name, i, try)
				}
				if len(events) > 0 {
					q.header = append(q.header, fmt.Sprintf("Last-Event-Id: %d", len(events)), "Resumes: "+first)
					resumed.Add(1)
				} else {
					first = q.id
				}
				got := once(h, q)
				events = append(events, got.events...)
				if got.status == http.StatusOK && got.err == nil {
					whole.Add(1)
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
			for n := 1; n < len(events); n++ {
				if software(events[n]) != software(events[n-1]) {
					mixed.Add(1)
					c.note("ORDER: stream %s holds %q and then %q", first, events[n-1], events[n])
					return
				}
			}
		}()
	}
	time.Sleep(time.Second)
	if c.trouble != "0" {
		for _, e := range c.engines[:len(c.engines)/2] {
			go e.upgrade("v2")
			time.Sleep(restartGap)
		}
	}
	done.Wait()
	c.note("%d streams, %d ended whole, %d were taken up again, %d hold events of two software versions", streams, whole.Load(), resumed.Load(), mixed.Load())
	c.verdict(mixed.Load() > 2)
}
