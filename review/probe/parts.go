package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// keeper is the platform: it ends a process that takes more memory than its machine has, and
// starts it again after a short time.
type keeper struct {
	c     *cluster
	mu    sync.Mutex
	peak  map[string]float64
	ends  map[string]int
	stop  chan struct{}
	ended sync.WaitGroup
}

const restartAfter = 300 * time.Millisecond

func (c *cluster) watchMemory() *keeper {
	k := &keeper{c: c, peak: map[string]float64{}, ends: map[string]int{}, stop: make(chan struct{})}
	for _, h := range c.hosts {
		k.ended.Add(1)
		go k.watch(h)
	}
	return k
}

func (k *keeper) watch(h *host) {
	defer k.ended.Done()
	for {
		select {
		case <-k.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := h.anonymous()
		k.mu.Lock()
		k.peak[h.name] = max(k.peak[h.name], mb)
		k.mu.Unlock()
		ended := false
		select {
		case <-h.done:
			ended = true
			k.c.note("the process of host %s has ended by itself", h.name)
		default:
		}
		if mb > float64(k.c.memory) {
			k.c.note("the process of host %s takes %.0f MB of %d MB, the platform kills it", h.name, mb, k.c.memory)
			_ = h.cmd.Process.Kill()
			<-h.done
			ended = true
		}
		if !ended {
			continue
		}
		k.mu.Lock()
		k.ends[h.name]++
		k.mu.Unlock()
		time.Sleep(restartAfter)
		k.c.restart(h)
	}
}

// finish ends the watch and returns the number of hosts whose process has ended three times.
func (k *keeper) finish() int {
	close(k.stop)
	k.ended.Wait()
	thrice := 0
	for _, h := range k.c.hosts {
		k.c.note("host %s: peak of its memory %.0f MB of %d MB, its process has ended %d times", h.name, k.peak[h.name], k.c.memory, k.ends[h.name])
		if k.ends[h.name] >= 3 {
			thrice++
		}
	}
	return thrice
}

// restart starts the process of a host again, with the settings that it had.
func (c *cluster) restart(h *host) {
	c.ending.Lock()
	defer c.ending.Unlock()
	out, err := os.OpenFile(h.log, os.O_APPEND|os.O_WRONLY, 0)
	must(err)
	cmd := exec.Command(h.cmd.Path, h.cmd.Args[1:]...)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = h.cmd.Dir, h.cmd.Env, out, out
	must(cmd.Start())
	done := make(chan struct{})
	h.cmd, h.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

// manyParts: one client sends prompts of very many short parts, in heads inside the limit.
func manyParts(c *cluster) {
	c.putConfig(1)
	for i := range 12 {
		c.startEngine(fmt.Sprint("engine-", i), "engines", fmt.Sprint("z", 1+i%3), "v1", true)
	}
	c.startEngine("shop-0", "shop", "z1", "v1", false)
	c.startHosts("z1", "z2", "z3")
	c.waitReady()
	k := c.watchMemory()
	var ended atomic.Bool
	var done sync.WaitGroup
	var parts, sent, served, refused, other atomic.Int64
	var ordinary, failed atomic.Int64
	done.Add(1)
	go func() {
		defer done.Done()
		for n := 0; !ended.Load(); n++ {
			h := c.hosts[n%len(c.hosts)]
			got := once(h, request{id: fmt.Sprintf("%s-warmorder%d", h.name, n), method: "POST", path: "/order/?work=20", body: []byte("x"), deadline: 2 * time.Second})
			ordinary.Add(1)
			if got.err != nil || got.status != 200 {
				failed.Add(1)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	const clients = 4
	for i := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			for n := 0; !ended.Load(); n++ {
				prefix, tokens := "abc1:400,abc2:200,", 800
				count := 2
				if c.trouble != "0" {
					var b strings.Builder
					for count = 0; b.Len() < 15500; count++ {
						fmt.Fprintf(&b, "%x:1,", 0x100000+parts.Add(1))
					}
					prefix, tokens = b.String(), count+1
				}
				q := request{id: fmt.Sprintf("a-warmchat%d.%d", i, n), method: "POST", path: "/chat/?events=2", body: []byte("x"), deadline: 4 * time.Second}
				last := fmt.Sprintf("%x:%d", 0xf0000000+sent.Add(1), 1)
				q.header = []string{"X-Model: m", fmt.Sprintf("X-Token-Usage: %d,2", tokens), "X-Prompt-Prefix: " + prefix + last}
				if sent.Load() == 1 {
					c.note("a prompt of the client has %d parts, its head %d bytes; the operator allows 16384", count+1, len(q.head()))
				}
				got := once(c.hosts[0], q)
				switch {
				case got.status == 200:
					served.Add(1)
				case got.status == 503 || got.status == 429:
					refused.Add(1)
				default:
					other.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(45 * time.Second)
	ended.Store(true)
	done.Wait()
	c.note("the client sent %d prompts: %d served, %d refused, %d failed otherwise; other callers: %d of %d orders failed", sent.Load(), served.Load(), refused.Load(), other.Load(), failed.Load(), ordinary.Load())
	c.verdict(k.finish() >= 2)
}
