package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// keepWarm has clients of hosts send requests until stop is called, so that the hosts have used
// channels to all engines.
func (c *cluster) keepWarm(hosts []*host, clients int, path string) (stop func()) {
	var ended atomic.Bool
	var done sync.WaitGroup
	var n atomic.Int64
	for _, h := range hosts {
		for range clients {
			done.Add(1)
			go func() {
				defer done.Done()
				for !ended.Load() {
					ch, err := dial(h.front())
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					for !ended.Load() {
						a := ch.send(request{id: fmt.Sprintf("%s-warm%d", h.name, n.Add(1)), method: "POST", path: path, body: []byte("x"), deadline: 2 * time.Second}, nil)
						if a.err != nil || a.status != 200 {
							break
						}
					}
					_ = ch.conn.Close()
				}
			}()
		}
	}
	return func() {
		ended.Store(true)
		done.Wait()
	}
}

// cut cuts a host off from all engines: its channels are reset, new ones are refused. The
// other hosts reach the engines on the channels that they have.
func (c *cluster) cut(h *host) {
	c.note("host %s is cut off from the engines", h.name)
	for _, e := range c.engines {
		e.refuse(h.name)
	}
}

// cutTime is how long a cut lasts at least.
const cutTime = 2 * time.Second

func (c *cluster) heal() {
	for _, e := range c.engines {
		e.accept()
	}
	c.note("the cut has healed")
}

// stopWhileForwarding: a host that is cut off from the engines has other hosts serve its
// orders, and gets SIGTERM meanwhile. TROUBLE=term leaves out the cut.
func stopWhileForwarding(c *cluster) {
	c.putConfig(1)
	for i := range 3 {
		c.startEngine(fmt.Sprint("shop-", i), "shop", "z1", "v1", false)
	}
	c.startHosts("z1", "z2", "z2")
	c.waitReady()
	a := c.hosts[0]
	stop := c.keepWarm(c.hosts[1:], 12, "/order/?work=150")
	time.Sleep(time.Second)
	if c.trouble != "0" && c.trouble != "term" {
		c.cut(a)
	}
	stop()
	light := c.keepWarm(c.hosts[1:], 1, "/order/?work=20")
	const orders = 4
	answers := make([]answer, orders)
	var done sync.WaitGroup
	for i := range orders {
		done.Add(1)
		go func() {
			defer done.Done()
			id := fmt.Sprint("a-long", i)
			c.note("client sends order %s to host a", id)
			answers[i] = once(a, request{id: id, method: "POST", path: "/order/?work=11000", body: []byte("x")})
			c.note("client got for order %s: status %d error %v after %d ms", id, answers[i].status, answers[i].err, answers[i].took.Milliseconds())
		}()
	}
	c.eventually("the orders run", 4*time.Second, func() bool {
		n := 0
		for i := range orders {
			n += len(c.runsOf(fmt.Sprint("a-long", i)))
		}
		return n == orders
	})
	if c.trouble != "0" {
		time.Sleep(cutTime)
		if c.trouble != "term" {
			c.heal()
		}
		c.note("SIGTERM to host a")
		a.signal(syscall.SIGTERM)
	}
	done.Wait()
	light()
	broken := 0
	for i, got := range answers {
		id := fmt.Sprint("a-long", i)
		if ran := len(c.runsOf(id)); ran > 0 && (got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421) {
			broken++
			c.note("REFUSED: order %s was answered %d and has run", id, got.status)
		}
	}
	c.verdict(broken > 0)
}

func (c *cluster) verdict(broken bool) {
	if broken {
		c.end(1)
	}
	c.end(0)
}

// stopOfHelper: a host that serves streams for one that is cut off gets SIGTERM.
func stopOfHelper(c *cluster) {
	c.putConfig(1)
	for i := range 3 {
		c.startEngine(fmt.Sprint("engine-", i), "engines", "z1", "v1", true)
	}
	c.startHosts("z1", "z2")
	c.waitReady()
	a, b := c.hosts[0], c.hosts[1]
	stop := c.keepWarm(c.hosts[1:], 16, "/note/?events=3&gap=50")
	time.Sleep(time.Second)
	if c.trouble != "0" {
		c.cut(a)
	}
	stop()
	light := c.keepWarm(c.hosts[1:], 1, "/note/?events=1&gap=20")
	const streams = 6
	answers := make([]answer, streams)
	var done sync.WaitGroup
	var events atomic.Int64
	for i := range streams {
		done.Add(1)
		go func() {
			defer done.Done()
			id := fmt.Sprint("a-stream", i)
			ch, err := dial(a.front())
			if err != nil {
				answers[i].err = err
				return
			}
			// The channel has carried a request before: it is a kept one.
			first := ch.send(request{id: fmt.Sprint("a-before", i), method: "POST", path: "/note/?events=1", body: []byte("x")}, nil)
			c.note("client got on its channel %d: status %d error %v", i, first.status, first.err)
			c.note("client sends stream %s to host a", id)
			answers[i] = ch.send(request{id: id, method: "POST", path: "/note/?events=40&gap=200", body: []byte("x")}, func(string) { events.Add(1) })
			c.note("client got for stream %s: status %d, %d events, error %v after %d ms", id, answers[i].status, len(answers[i].events), answers[i].err, answers[i].took.Milliseconds())
		}()
	}
	c.eventually("the streams run", 4*time.Second, func() bool { return events.Load() >= 2*streams })
	if c.trouble != "0" {
		time.Sleep(cutTime)
		c.heal()
		c.note("SIGTERM to host b")
		b.signal(syscall.SIGTERM)
	}
	done.Wait()
	light()
	broken := 0
	for i, got := range answers {
		if got.err != nil || got.status != 200 || len(got.events) != 40 {
			broken++
			c.note("LOST: channel of stream a-stream%d ended after %d of 40 events", i, len(got.events))
		}
	}
	c.verdict(broken > 3)
}

// copyAge is the age of the copy when the first streams begin.
const copyAge = time.Second

// restoreAndKill: the store comes back from an older copy while a host is killed, with streams of
// two software versions of the engines. TROUBLE=kill leaves out the store.
func restoreAndKill(c *cluster) {
	c.putConfig(1)
	for i := range 2 {
		c.startEngine(fmt.Sprint("old-", i), "engines", "z1", "v1", true)
	}
	c.startHosts("z1", "z2", "z2")
	c.waitReady()
	c.eventually("the hosts have set a base version", 12*time.Second, func() bool { return c.store.count("keyed.cicada-bases") > 0 })
	for i := range 2 {
		c.startEngine(fmt.Sprint("new-", i), "engines", "z1", "v2", true)
	}
	c.note("engines of software v2 join")
	time.Sleep(5 * time.Second)
	copied := c.store.copyAll()
	c.note("the store is copied")
	time.Sleep(copyAge)
	a, b := c.hosts[0], c.hosts[1]
	const streams, all = 16, 40
	answers := make([]answer, streams)
	var done sync.WaitGroup
	var events atomic.Int64
	for i := range streams {
		done.Add(1)
		go func() {
			defer done.Done()
			id := fmt.Sprint("a-chat", i)
			ch, err := dial(a.front())
			if err != nil {
				answers[i].err = err
				return
			}
			answers[i] = ch.send(request{id: id, method: "POST", path: fmt.Sprintf("/chat/?events=%d&gap=150", all), body: []byte(id), header: []string{"X-Model: m", "X-Token-Usage: 100,30", fmt.Sprintf("X-Prompt-Prefix: %x:100", 1000+i)}}, func(string) { events.Add(1) })
			got := answers[i]
			c.note("client got for stream %s: status %d, %d events, error %v", id, got.status, len(got.events), got.err)
		}()
	}
	c.eventually("the streams run", 4*time.Second, func() bool { return events.Load() >= 3*streams })
	if c.trouble != "0" {
		time.Sleep(time.Second)
		if c.trouble != "kill" {
			c.note("the store is away")
			c.store.setDown(true)
		}
		c.note("host a is killed")
		a.signal(syscall.SIGKILL)
		if c.trouble != "kill" {
			time.Sleep(500 * time.Millisecond)
			c.store.restore(copied)
			c.putConfig(1)
			for _, e := range c.engines {
				e.register()
			}
			c.store.setDown(false)
			c.note("the store is back from the copy; the operator and the engines have written again")
		}
	}
	done.Wait()
	mixed, resumed := 0, 0
	var mu sync.Mutex
	for i := range streams {
		if len(answers[i].events) == all || len(answers[i].events) == 0 {
			continue
		}
		done.Add(1)
		go func() {
			defer done.Done()
			stream, last := fmt.Sprint("a-chat", i), len(answers[i].events)
			began := c.runsOf(stream)[0].build
			for try := range 8 {
				id := fmt.Sprintf("b-again%d.%d", i, try)
				got := once(b, request{id: id, method: "POST", path: fmt.Sprintf("/chat/?events=%d&gap=20", all), body: []byte(stream), header: []string{"X-Model: m", "X-Token-Usage: 100,30", fmt.Sprintf("X-Prompt-Prefix: %x:100", 1000+i), fmt.Sprintf("Last-Event-Id: %d", last), "Resumes: " + stream}})
				c.note("client resumes %s (begun at %s) after event %d as %s at host b: status %d, %d events, error %v", stream, began, last, id, got.status, len(got.events), got.err)
				if got.status != 200 {
					time.Sleep(time.Second)
					continue
				}
				mu.Lock()
				resumed++
				if len(got.events) > 0 && !strings.Contains(got.events[0], "data: "+began+" ") {
					mixed++
					c.note("ORDER: stream %s began at software %s and goes on with %q", stream, began, got.events[0])
				}
				mu.Unlock()
				return
			}
		}()
	}
	done.Wait()
	c.note("%d streams were resumed, %d hold events of two software versions", resumed, mixed)
	c.verdict(mixed > 2)
}

// optionsOfServer: a client asks for the options of the server.
func optionsOfServer(c *cluster) {
	c.putConfig(1)
	c.startEngine("shop-0", "shop", "z1", "v1", false)
	c.startHosts("z1")
	c.waitReady()
	a := c.hosts[0]
	path := "*"
	if c.trouble == "0" {
		path = "/lookup/"
	}
	got := once(a, request{id: "a-options", method: "OPTIONS", path: path})
	c.note("OPTIONS %s: status %d, seal %q, error %v, runs %d", path, got.status, got.header.Get("X-Response-Seal"), got.err, len(c.runsOf("a-options")))
	c.verdict(got.status/100 == 2 && got.header.Get("X-Response-Seal") == "")
}
